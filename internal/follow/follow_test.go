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
