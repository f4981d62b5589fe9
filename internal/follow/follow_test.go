package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/core/relay"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

const inForceWithin = 4 * time.Second

func TestChangeReachesEveryProcess(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(3, 20)
		c.allReady()
		for range 3 {
			if took := c.inForce(c.change(), inForceWithin); took > 100*time.Millisecond {
				t.Errorf("took %v without any fault", took)
			}
		}
	})
}

// Symptom: the log service is polled by every process.
// Cause: processes do not follow each other.
func TestOnlyRootsReadTheLog(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(2, 15)
		c.allReady()
		readers := 0
		for _, h := range c.members() {
			if len(relay.Parents(h, c.members())) == 0 {
				readers++
				continue
			}
			c.setLogCut(h.ID, true)
		}
		if readers != 4 {
			t.Errorf("%d roots", readers)
		}
		c.inForce(c.change(), inForceWithin)
	})
}

// Symptom: the entries below one relay miss a change for as long as it hangs.
// Sequence: a relay accepts questions and never answers; a change comes.
// Cause: its followers wait for it without a deadline.
func TestSilentRelayIsPassedOver(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(1, 20)
		c.allReady()
		relays := c.roots()
		c.setSilent(relays[0], true)
		took := c.inForce(c.change(), inForceWithin)
		t.Logf("in force after %v", took)
	})
}

// Symptom: the entries below one relay run on old configuration, and all looks well.
// Sequence: a relay loses the log but not its followers; a change comes.
// Cause: it goes on answering "nothing new".
func TestRelayCutOffFromTheLogSaysSo(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(1, 20)
		c.allReady()
		cut := c.roots()[0]
		c.setLogCut(cut, true)
		took := c.inForce(c.change(), inForceWithin)
		t.Logf("in force after %v", took)
		if took > PollWait+pollGrace {
			t.Errorf("its followers did not turn away as soon as it knew")
		}
	})
}

func (c *cluster) roots() []structs.HostID {
	var out []structs.HostID
	for _, h := range c.members() {
		if len(relay.Parents(h, c.members())) == 0 {
			out = append(out, h.ID)
		}
	}
	return out
}

// Symptom: a new process acts on configuration that was replaced.
// Sequence: a change reaches one process only; the log goes down; a process starts.
// Cause: it takes what the first peer that answers holds, or nothing.
func TestNewProcessTakesTheHighestThatPeersHoldWhileTheLogIsDown(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(2, 5)
		c.allReady()
		c.inForce(c.change(), inForceWithin)
		for _, h := range c.members() {
			c.setSilent(h.ID, true) // nobody hears of the last change ...
			c.setLogCut(h.ID, true)
		}
		time.Sleep(inForceWithin)
		only := c.members()[3].ID
		c.setLogCut(only, false) // ... but this one
		v := c.change()
		if _, err := c.follower(only).WaitFor(t.Context(), v); err != nil {
			t.Fatal(err)
		}
		c.log.SetFaults(logmem.Faults{Down: true})
		for _, h := range c.members() {
			c.setSilent(h.ID, false)
		}
		f := c.start("new", "d0")
		<-f.Ready()
		if got := f.Current().Version; got != v {
			t.Errorf("ready at version %d, a peer holds %d", got, v)
		}
		c.inForce(v, time.Minute) // the others hear of it from each other
	})
}

// Symptom: a process takes work without any configuration.
// Sequence: it starts with the log down and no peer to ask.
func TestNewProcessWithoutLogAndPeersIsNotReady(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		v := c.change()
		c.log.SetFaults(logmem.Faults{Down: true})
		f := c.start("new", "d0")
		time.Sleep(time.Minute)
		if f.isReady() {
			t.Error("ready although nobody could tell the configuration")
		}
		c.log.SetFaults(logmem.Faults{})
		<-f.Ready()
		if got := f.Current().Version; got != v {
			t.Errorf("version %d, want %d", got, v)
		}
	})
}

// Symptom: a part of the system runs on an old configuration for as long as the log is down.
// Sequence: a change reaches one entry that nobody follows; the log goes down.
// Cause: entries ask none but their parents.
func TestVersionSpreadsFromOneHolderWhileTheLogIsDown(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(2, 12)
		c.allReady()
		holder := c.notFollowed()
		for _, h := range c.members() {
			c.setSilent(h.ID, true)
			c.setLogCut(h.ID, h.ID != holder)
		}
		time.Sleep(inForceWithin)
		v := c.change()
		if _, err := c.follower(holder).WaitFor(t.Context(), v); err != nil {
			t.Fatal(err)
		}
		c.log.SetFaults(logmem.Faults{Down: true})
		for _, h := range c.members() {
			c.setSilent(h.ID, false)
		}
		c.inForce(v, time.Minute)
	})
}

// notFollowed returns an entry that is nobody's parent or backup.
func (c *cluster) notFollowed() structs.HostID {
	followed := map[structs.HostID]bool{}
	for _, h := range c.members() {
		for _, p := range append(relay.Parents(h, c.members()), relay.Backups(h, c.members())...) {
			followed[p.ID] = true
		}
	}
	for _, h := range c.members() {
		if !followed[h.ID] {
			return h.ID
		}
	}
	c.t.Fatal("everybody is followed by somebody")
	return ""
}

// Symptom: entries that are cut off together count as up to date.
// Sequence: they lose the log; each hears from the others what it told them before.
// Cause: an answer of any age ends staleness.
func TestOldNewsLeavesAStaleProcessStale(t *testing.T) {
	f := New(Options{})
	at := time.Now()
	f.heard(at)
	f.lost()
	f.heard(at)
	if !f.stale {
		t.Error("no longer stale by what it knew before")
	}
	f.heard(at.Add(time.Millisecond))
	if f.stale {
		t.Error("still stale after news")
	}
}

// Symptom: the whole system falls back to an old configuration.
// Sequence: the log is down; every host is replaced, one after the other.
// Cause: nothing but the processes holds the newest version meanwhile.
func TestReplacementOfAllHostsDuringALogOutage(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(2, 4)
		c.allReady()
		v := c.change()
		c.inForce(v, inForceWithin)
		c.log.SetFaults(logmem.Faults{Down: true})
		for n, old := range c.members() {
			f := c.start(structs.HostID("new"+string(rune('a'+n))), old.Domain)
			<-f.Ready()
			c.kill(old.ID)
			time.Sleep(time.Second)
		}
		for _, h := range c.members() {
			if got := c.follower(h.ID).Current().Version; got != v {
				t.Errorf("%s at version %d, want %d", h.ID, got, v)
			}
		}
		c.log.SetFaults(logmem.Faults{})
		c.inForce(c.change(), 10*time.Second)
	})
}

// Symptom: a new process can't start, or starts from nothing.
// Sequence: the retention of the log passes; the early records are gone.
// Cause: no snapshot is written in time, or it is not read.
func TestSnapshotBridgesTheRetention(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		began := time.Now()
		c.log.SetFaults(logmem.Faults{Retention: time.Hour, LoseAnswer: 0.3})
		c.startMany(1, 3)
		c.allReady()
		for range 5 {
			c.change2()
		}
		time.Sleep(2 * snapshotCheck)
		for range 300 { // far beyond the retention, without any change
			time.Sleep(time.Minute)
			if s, err := c.follower("e00").newestSnapshot(t.Context()); err != nil || s == nil {
				t.Fatalf("no snapshot in the log after %v: %v", time.Since(began), err)
			}
		}
		for _, h := range c.members() {
			c.kill(h.ID)
		}
		f := c.start("new", "d0")
		<-f.Ready()
		if got := f.Current(); got.Version != structs.Version(c.plans) || got.Policy.Headroom == 0 {
			t.Errorf("state %+v, want version %d", got, c.plans)
		}
	})
}

// Symptom: after the shortest retention that settings allow, new entries know no workspace and
// no model: every caller is refused.
// Sequence: a change; a minute passes, in which each entry is replaced.
// Cause: snapshots are looked after once a minute, whatever the retention.
func TestSnapshotBridgesTheShortestRetention(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.retention = time.Minute
		c.log.SetFaults(logmem.Faults{Retention: c.retention})
		c.startMany(1, 3)
		c.allReady()
		v := c.change()
		for range 20 {
			time.Sleep(c.retention / 2)
			for _, h := range c.members() {
				c.kill(h.ID)
			}
			c.startMany(1, 3)
			time.Sleep(inForceWithin)
			if got := c.follower("e00").Current().Version; got != v {
				t.Fatalf("version %d, want %d", got, v)
			}
		}
	})
}

// change2 is change with a log that loses answers.
func (c *cluster) change2() {
	f := c.log.Faults()
	f.LoseAnswer = 0
	saved := c.log.Faults()
	c.log.SetFaults(f)
	c.change()
	c.log.SetFaults(saved)
}

// Symptom: operators' changes vanish without a word.
// Sequence: the log service is restored from an old copy and lacks the newest records.
// Cause: a follower that takes what the log says goes back with it.
func TestLogThatLostRecordsIsNoticedAndNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		var seen []invariant.Violation
		c.check = invariant.NewChecker(func(v invariant.Violation) { seen = append(seen, v) })
		c.startMany(1, 1)
		c.allReady()
		c.change()
		v := c.change()
		c.inForce(v, inForceWithin)
		f := c.follower("e00")
		c.mu.Lock()
		c.log = logmem.New(2)
		c.mu.Unlock()
		time.Sleep(time.Minute)
		if got := f.Current().Version; got != v {
			t.Errorf("version %d, want the %d that was in force", got, v)
		}
		if len(seen) == 0 || seen[0].Name != VersionNeverBack || f.stats.regressions.Count() == 0 {
			t.Errorf("violations %v", seen)
		}
		c.stopAll()
		synctest.Wait()
	})
}

func TestInstallRefusesToGoBack(t *testing.T) {
	var seen []invariant.Violation
	f := New(Options{Check: invariant.NewChecker(func(v invariant.Violation) { seen = append(seen, v) })})
	newer := *f.Current()
	newer.Version = 5
	older := newer
	older.Version = 4
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.install(&newer); err != nil {
		t.Fatal(err)
	}
	if err := f.install(&older); !errs.Is(err, errs.Internal) {
		t.Errorf("error %v", err)
	}
	if f.state.Version != 5 || len(seen) != 1 {
		t.Errorf("version %d, violations %v", f.state.Version, seen)
	}
}

// Symptom: a call that may not be repeated runs twice.
// Sequence: an entry is cut off from log and peers; its targets' registration changes.
// Cause: it does not know that its configuration may be old.
func TestFreshEndsWhenCutOff(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(1, 31)
		c.allReady()
		for range 10 {
			time.Sleep(700 * time.Millisecond)
			for _, h := range c.members() {
				if !c.follower(h.ID).Fresh() {
					t.Fatalf("%s is not fresh without a fault", h.ID)
				}
			}
		}
		c.log.SetFaults(logmem.Faults{Down: true})
		time.Sleep(FreshFor + 2*PollWait + 2*time.Second)
		for _, h := range c.members() {
			if c.follower(h.ID).Fresh() {
				t.Errorf("%s counts as fresh with the log down", h.ID)
			}
		}
	})
}

// Symptom: a confirm waits for the slowest way, or for ever.
// Sequence: the confirming entry's relay is silent.
func TestReadBackReadsTheLogItself(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(1, 12)
		c.allReady()
		var child platform.Host
		for _, h := range c.members() {
			if p := relay.Parents(h, c.members()); len(p) > 0 {
				child = h
				for _, x := range p {
					c.setSilent(x.ID, true)
				}
				break
			}
		}
		v := c.change()
		start := time.Now()
		if err := c.follower(child.ID).ReadBack(t.Context(), v); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("took %v", took)
		}
	})
}
