package follow

import (
	"testing"
	"time"

	"arbutusramp/core/relay"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

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
			c.changeLosingAnswers()
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

// changeLosingAnswers is change with a log that loses answers.
func (c *cluster) changeLosingAnswers() {
	f := c.log.Faults()
	f.LoseAnswer = 0
	saved := c.log.Faults()
	c.log.SetFaults(f)
	c.change()
	c.log.SetFaults(saved)
}
