package follow

import (
	"bytes"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// fakeSide folds what entries send it and asks for what it lacks.
type fakeSide struct {
	id   structs.HostID
	fold SideFold
	deaf bool

	mu  sync.Mutex
	got int // messages with records or a snapshot
}

// connect opens a session to f.
func (s *fakeSide) connect(t *testing.T, f *Follower) {
	var send func(*structs.Frame) error
	send = func(frame *structs.Frame) error {
		if s.deaf {
			return errs.New(errs.SessionLost, "gone")
		}
		if len(frame.Config.Records)+len(frame.Config.Snapshot) > 0 {
			s.mu.Lock()
			s.got++
			s.mu.Unlock()
		}
		before := s.fold.Current().Version
		after, err := s.fold.Apply(frame.Config)
		if after.Version < before {
			t.Errorf("side went back from %d to %d", before, after.Version)
		}
		if err != nil {
			go f.OnConfig(s.id, send, &structs.ConfigMsg{Ask: true, From: after.Version})
		}
		return nil
	}
	f.SideOpened(s.id, send)
}

func TestSidesGetEachChange(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(3, 4)
		c.allReady()
		c.inForce(c.change(), inForceWithin)
		side := &fakeSide{id: "s1"}
		for _, h := range c.members() {
			side.connect(t, c.follower(h.ID))
		}
		synctest.Wait()
		for range 5 {
			v := c.change()
			time.Sleep(10 * time.Millisecond)
			if got := side.fold.Current().Version; got != v {
				t.Errorf("side at version %d, want %d", got, v)
			}
			time.Sleep(5 * time.Second)
		}
		// The first is fetched once; of the changes, two owners send each.
		if side.got > 1+2*5+12 {
			t.Errorf("%d messages with records for 6 changes", side.got)
		}
	})
}

// Symptom: a side keeps an old configuration although entries have a newer one.
// Sequence: its sessions to the two entries that own it break; a change comes.
// Cause: the others leave it to them.
func TestSideWithoutItsOwnersIsToldByOthers(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		c.startMany(3, 4)
		c.allReady()
		side := &fakeSide{id: "s1"}
		connected := 0
		for _, h := range c.members() {
			if f := c.follower(h.ID); !f.owns(side.id) && connected < 2 {
				side.connect(t, f)
				connected++
			}
		}
		v := c.change()
		time.Sleep(inForceWithin)
		if got := side.fold.Current().Version; got != v {
			t.Errorf("side at version %d, want %d", got, v)
		}
	})
}

// Symptom: a side acts on half of the configuration.
// Sequence: a message is lost; the next one holds only the records after it.
// Cause: records are folded across the gap.
func TestSideDoesNotFoldAcrossAGap(t *testing.T) {
	var s SideFold
	record := func(at structs.Offset) structs.LogEntry {
		body, err := confstate.EncodeConfirm(&structs.Confirm{Plan: string(rune('a' + at)), Base: structs.Version(at - 1), Intents: []structs.Intent{
			{Policy: &structs.PolicyIntent{Headroom: 0.5}},
		}})
		if err != nil {
			t.Fatal(err)
		}
		return structs.LogEntry{Offset: at, Body: body}
	}
	if _, err := s.Apply(&structs.ConfigMsg{From: 0, To: 1, Records: []structs.LogEntry{record(1)}}); err != nil {
		t.Fatal(err)
	}
	state, err := s.Apply(&structs.ConfigMsg{From: 2, To: 3, Records: []structs.LogEntry{record(3)}})
	if !errs.Is(err, errs.LogTrimmed) || state.Version != 1 {
		t.Errorf("version %d, error %v", state.Version, err)
	}
	state, err = s.Apply(&structs.ConfigMsg{From: 1, To: 3, Records: []structs.LogEntry{record(2), record(3)}})
	if err != nil || state.Version != 3 {
		t.Errorf("version %d, error %v", state.Version, err)
	}
	state, err = s.Apply(&structs.ConfigMsg{From: 0, To: 1, Records: []structs.LogEntry{record(1)}})
	if err != nil || state.Version != 3 {
		t.Errorf("an entry that is behind: version %d, error %v", state.Version, err)
	}
}

// Symptom: a side goes back to an old configuration.
// Sequence: an entry that is behind answers its question with a snapshot.
func TestSideDoesNotTakeAnOlderSnapshot(t *testing.T) {
	snapshot := func(v structs.Version) *structs.ConfigMsg {
		b, err := (&confstate.State{Version: v}).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		return &structs.ConfigMsg{To: v, Snapshot: b}
	}
	var s SideFold
	if _, err := s.Apply(snapshot(7)); err != nil {
		t.Fatal(err)
	}
	if state, err := s.Apply(snapshot(5)); err != nil || state.Version != 7 {
		t.Errorf("version %d, error %v", state.Version, err)
	}
}

// Symptom: a side lacks changes although its version is the newest.
// Sequence: it is further behind than the records that its entry keeps.
// Cause: it gets those that are kept, and folds them across the gap.
func TestSideFarBehindGetsASnapshot(t *testing.T) {
	bubble(t, func(t *testing.T, c *cluster) {
		f := c.start("e", "d")
		<-f.Ready()
		var v structs.Version
		for range keepTail + 20 {
			v = c.change()
		}
		c.inForce(v, inForceWithin)
		side := &fakeSide{id: "s1"}
		side.connect(t, f)
		synctest.Wait()
		got, err := side.fold.Current().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		want, err := f.Current().Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got, want) {
			t.Errorf("side at version %d differs from its entry at version %d", side.fold.Current().Version, v)
		}
		if side.got != 1 {
			t.Errorf("%d messages", side.got)
		}
	})
}
