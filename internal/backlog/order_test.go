package backlog

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// Under overload, items that can still meet their due times must start first. If items start in the order of
// their due times alone, those that are due first end late, and the next ones become late meanwhile: fewer
// than half of the items end in time, even if the engines have enough slots for two thirds.
func TestItemsThatCanMeetDueTimeStartFirst(t *testing.T) {
	const tokens, events = 1000, 300
	m := &Manager{runTimes: backlog.NewRunTimeEstimator()}
	for range 50 { // a complete item takes 4.5 s
		m.runTimes.ObserveRun("r", events, 4500*time.Millisecond)
		m.runTimes.ObserveItem("r", events, tokens)
	}
	now := time.UnixMilli(100_000)
	taskDue := func(id string, dueIn time.Duration, eventsDone int) *task {
		j := &backlog.Job{ID: id, Route: "r", SubmittedMs: now.UnixMilli(), DueWithin: dueIn, Items: []backlog.Item{{ID: "i", Tokens: tokens}}}
		return &task{job: j, events: eventsDone}
	}
	tasks := []*task{
		taskDue("late", time.Second, 0),
		taskDue("over", -time.Second, 0),
		taskDue("last", 9*time.Second, 0),
		taskDue("half-done", 3*time.Second, 200), // 1.5 s remain
		taskDue("in-time", 5*time.Second, 0),
	}
	var got []string
	for _, ordered := range (&scheduler{m: m}).sortTasks(tasks, now) {
		got = append(got, ordered.task.job.ID)
	}
	if want := []string{"half-done", "in-time", "last", "over", "late"}; !slices.Equal(got, want) {
		t.Errorf("start order is %v, want %v", got, want)
	}
}

// Without an estimate of the run time, items must start in the order of their due times.
func TestOrderByDueTimeWithoutEstimates(t *testing.T) {
	m := &Manager{runTimes: backlog.NewRunTimeEstimator()}
	now := time.UnixMilli(100_000)
	var tasks []*task
	for _, dueIn := range []time.Duration{3, 1, 2} {
		j := &backlog.Job{SubmittedMs: now.UnixMilli(), DueWithin: dueIn * time.Second, Items: []backlog.Item{{Tokens: 1000}}}
		tasks = append(tasks, &task{job: j})
	}
	ordered := (&scheduler{m: m}).sortTasks(tasks, now)
	for i, want := range []time.Duration{1, 2, 3} {
		if ordered[i].task.job.DueWithin != want*time.Second {
			t.Errorf("the item at place %d from 0 is due within %v, want items due within 1 s, 2 s and 3 s in this order", i, ordered[i].task.job.DueWithin)
		}
	}
}

// Items of a more urgent rank must precede those of a less urgent one, even if these are due sooner. Items
// that can no longer meet their due times come last, whatever their rank.
func TestMoreUrgentRanksStartFirst(t *testing.T) {
	m := &Manager{runTimes: backlog.NewRunTimeEstimator()}
	now := time.UnixMilli(100_000)
	taskDue := func(id string, dueIn time.Duration, rank int) *task {
		return &task{job: &backlog.Job{ID: id, SubmittedMs: now.UnixMilli(), DueWithin: dueIn, Rank: rank, Items: []backlog.Item{{Tokens: 1000}}}}
	}
	tasks := []*task{
		taskDue("late", -time.Second, 0),
		taskDue("soon-2", time.Second, 2),
		taskDue("day-1", 24*time.Hour, 1),
		taskDue("soon-100", time.Second, 100),
		taskDue("soon-1", time.Second, 1),
	}
	var got []string
	for _, ordered := range (&scheduler{m: m}).sortTasks(tasks, now) {
		got = append(got, ordered.task.job.ID)
	}
	if want := []string{"soon-1", "day-1", "soon-2", "soon-100", "late"}; !slices.Equal(got, want) {
		t.Errorf("start order is %v, want %v", got, want)
	}
}
