package jobs

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

var start = time.Unix(1000, 0)

// addJob puts an accepted job straight into the state.
func addJob(s *State, id structs.JobID, ws structs.WorkspaceID, n int, dueMs int64) *Job {
	j := &Job{
		ID: id, Spec: structs.JobSpec{Workspace: ws, Model: "m", DueMs: dueMs},
		Accepted: true, Count: n,
	}
	for first := 0; first < n; first += 100 {
		c := min(100, n-first)
		j.Segments = append(j.Segments, Segment{
			Offset: 1, First: int32(first), Count: int32(c),
			open: &openSegment{Done: newBitset(c)},
		})
	}
	s.Jobs[id] = j
	return j
}

func query(side string, room int) Query {
	return Query{Side: structs.HostID(side), Models: []structs.ModelID{"m"}, Room: room, Lease: time.Minute}
}

func byJob(picks []Pick) map[structs.JobID]int {
	out := make(map[structs.JobID]int)
	for _, p := range picks {
		out[p.Job]++
	}
	return out
}

// Symptom: a job of a small workspace never starts. Sequence: a big workspace
// keeps submitting jobs that are due earlier. Cause: earliest due time alone decides.
func TestNoJobStarves(t *testing.T) {
	s := NewState(nil, Broken{})
	addJob(s, "early", "big", 100_000, 1)
	addJob(s, "late", "small", 1000, 0)
	sc := NewSched(s, start, 0)
	got := byJob(sc.Take(start, query("x", 1600)))
	if got["early"] < 700 || got["late"] < 700 {
		t.Fatalf("shares %v, want about half each", got)
	}
}

func TestEarliestDueTimeGetsHalf(t *testing.T) {
	s := NewState(nil, Broken{})
	for i := range 9 {
		addJob(s, structs.JobID(fmt.Sprint("j", i)), structs.WorkspaceID(fmt.Sprint("w", i)), 1000, int64(100+i))
	}
	sc := NewSched(s, start, 0)
	got := byJob(sc.Take(start, query("x", 1600)))
	if got["j0"] < 800 {
		t.Fatalf("earliest due got %d of 1600: %v", got["j0"], got)
	}
	for id, n := range got {
		if n < 64 {
			t.Errorf("%s got only %d", id, n)
		}
	}
	if len(got) != 9 {
		t.Errorf("%d of 9 jobs served", len(got))
	}
}

func TestSharesFollowWeights(t *testing.T) {
	s := NewState(nil, Broken{})
	addJob(s, "a", "heavy", 10_000, 0)
	addJob(s, "b", "light", 10_000, 0)
	sc := NewSched(s, start, 0)
	q := query("x", 6400)
	q.Weight = func(ws structs.WorkspaceID) int {
		if ws == "heavy" {
			return 3
		}
		return 1
	}
	got := byJob(sc.Take(start, q))
	if ratio := float64(got["a"]) / float64(got["b"]); ratio < 2.5 || ratio > 3.5 {
		t.Fatalf("ratio %.2f, want about 3: %v", ratio, got)
	}
}

// Symptom: an item is lost with its side. Sequence: side takes the item, its
// host dies. Cause: nobody hands it out again.
func TestLeaseRunsOut(t *testing.T) {
	s := NewState(nil, Broken{})
	addJob(s, "a", "w", 3, 0)
	sc := NewSched(s, start, 0)
	first := sc.Take(start, query("x", 10))
	if len(first) != 3 {
		t.Fatalf("%d picks", len(first))
	}
	for _, p := range first {
		sc.Sent(p.Key, start.Add(time.Minute), "")
	}
	if n := len(sc.Take(start, query("y", 10))); n != 0 {
		t.Fatalf("%d items handed out twice", n)
	}
	sc.SideGone(start, "x", time.Second)
	later := start.Add(2 * time.Second)
	for _, key := range sc.Expired(later) {
		sc.Return(later, key, 0)
	}
	if n := len(sc.Take(later, query("y", 10))); n != 0 {
		t.Fatalf("%d items handed out again without a wait", n)
	}
	picks := sc.Take(later.Add(returnWait), query("y", 10))
	if len(picks) != 3 || picks[0].Attempt != 1 {
		t.Fatalf("picks %v", picks)
	}
}

// Symptom: an item that runs at most once runs twice. Sequence: the owner claims its
// run and dies, the next owner finds it without result. Cause: the new owner hands it out again.
func TestStartedItemWaitsForItsSide(t *testing.T) {
	s := NewState(nil, Broken{})
	j := addJob(s, "a", "w", 2, 0)
	j.Segments[0].open.Once = newBitset(2)
	j.Segments[0].open.Once.set(0)
	j.Segments[0].open.Started = newBitset(2)
	j.Segments[0].open.Started.set(0)
	sc := NewSched(s, start, 30*time.Second)
	picks := sc.Take(start, query("x", 10))
	if len(picks) != 1 || picks[0].Index != 1 {
		t.Fatalf("picks %v, want item 1 only", picks)
	}
	if got := sc.Expired(start.Add(31 * time.Second)); len(got) != 1 || got[0].Index != 0 {
		t.Fatalf("expired %v", got)
	}
}

// Symptom: innocent items end as errors. Sequence: one item kills its target
// again and again, its neighbours die with it. Cause: all that were there are charged.
func TestSuspectsAreSeparated(t *testing.T) {
	s := NewState(nil, Broken{})
	j := addJob(s, "a", "w", 20, 0)
	sc := NewSched(s, start, 0)
	now := start
	killed := sc.Take(now, query("x", 8))
	crash := func(picks []Pick) {
		for _, p := range picks {
			s.applyCharge(&structs.ItemCharge{Job: "a", Index: p.Index, Crash: true})
			sc.Return(now, p.Key, 0)
		}
		now = now.Add(time.Second)
	}
	crash(killed)
	second := sc.Take(now, query("x", 8))
	suspects := 0
	for _, p := range second {
		if j.Trouble(p.Index).Crashes > 0 {
			suspects++
		}
		if p.Alone {
			t.Errorf("item %d alone after one crash", p.Index)
		}
	}
	if suspects != 1 {
		t.Fatalf("%d suspects run beside each other", suspects)
	}
	crash(second)
	third := sc.Take(now, query("y", 8))
	for sc.holdsSuspect("y") && !third[len(third)-1].Alone {
		for _, p := range third {
			sc.Drop(p.Key)
			s.applyDone(1, 1, &structs.ItemsDone{Job: "a", Indexes: []int{p.Index}}, &Effects{})
		}
		third = sc.Take(now, query("y", 8))
	}
	if len(third) == 0 || !third[len(third)-1].Alone {
		t.Fatalf("the item of both crashes is not run alone: %v", third)
	}
}

func TestJudge(t *testing.T) {
	failed := func(e *errs.Error, neighbours int) *structs.ItemDone {
		return &structs.ItemDone{Err: e, Neighbours: make([]structs.ItemRef, neighbours)}
	}
	died := errs.New(errs.TargetFailed, "connection reset")
	for _, c := range []struct {
		name   string
		done   *structs.ItemDone
		once   bool
		t      Trouble
		want   Verdict
		result errs.Type
	}{
		{"ok", &structs.ItemDone{Status: 200}, false, Trouble{}, Finish, ""},
		{"gave back", &structs.ItemDone{GaveBack: true}, false, Trouble{Charges: 2}, Again, ""},
		{"preempted", failed(errs.New(errs.Preempted, ""), 0), false, Trouble{}, Again, ""},
		{"refused", failed(errs.New(errs.TargetRefused, ""), 0), false, Trouble{}, Finish, errs.TargetRefused},
		{"timeout", failed(errs.New(errs.TargetTimeout, ""), 0), false, Trouble{}, Charge, ""},
		{"last timeout", failed(errs.New(errs.TargetTimeout, ""), 0), false, Trouble{Charges: 2}, Finish, errs.AttemptsSpent},
		{"died with others", failed(died, 3), false, Trouble{Crashes: 5}, Crash, ""},
		{"hung with others", failed(errs.New(errs.TargetTimeout, ""), 3), false, Trouble{Charges: 2}, Crash, ""},
		{"died alone", failed(died, 0), false, Trouble{Crashes: 2}, Finish, errs.AttemptsSpent},
		{"once, not run", failed(died.WithRan(errs.RanNo), 0), true, Trouble{}, Reopen, ""},
		{"once, unknown", failed(died, 0), true, Trouble{}, Finish, errs.ItemUnknown},
		{"once, gave back", &structs.ItemDone{GaveBack: true}, true, Trouble{}, Finish, errs.ItemUnknown},
	} {
		got := Judge(c.done, c.once, c.t, 3)
		if got.Verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", c.name, got.Verdict, c.want)
		}
		if c.result != "" && (got.Err == nil || got.Err.Type != c.result) {
			t.Errorf("%s: result %v, want %s", c.name, got.Err, c.result)
		}
	}
}
