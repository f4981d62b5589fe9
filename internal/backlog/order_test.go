package backlog

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// Under overload, items that can still meet their due times must start first. If items start by due time
// alone, those that are due first end late, and the next ones become late meanwhile: less than half of the
// items were in time although the engines had enough slots for two thirds.
func TestItemsThatCanMeetDueTimeStartFirst(t *testing.T) {
	const tokens, events = 1000, 300
	m := &Manager{runTimes: backlog.NewPace()}
	for range 50 { // a complete item takes 4.5 s
		m.runTimes.Ran("r", events, 4500*time.Millisecond)
		m.runTimes.Done("r", events, tokens)
	}
	now := time.UnixMilli(100_000)
	taskDue := func(id string, dueIn time.Duration, made int) *task {
		j := &backlog.Job{ID: id, Route: "r", Submitted: now.UnixMilli(), Due: dueIn, Items: []backlog.Item{{ID: "i", Tokens: tokens}}}
		return &task{job: j, events: made}
	}
	tasks := []*task{
		taskDue("late", time.Second, 0),
		taskDue("over", -time.Second, 0),
		taskDue("last", 9*time.Second, 0),
		taskDue("half-done", 3*time.Second, 200), // 1.5 s remain
		taskDue("in-time", 5*time.Second, 0),
	}
	var got []string
	for _, r := range (&scheduler{m: m}).sortTasks(tasks, now) {
		got = append(got, r.task.job.ID)
	}
	if want := []string{"half-done", "in-time", "last", "over", "late"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestOrderByDueTimeWithoutEstimates(t *testing.T) {
	m := &Manager{runTimes: backlog.NewPace()}
	now := time.UnixMilli(100_000)
	var tasks []*task
	for _, dueIn := range []time.Duration{3, 1, 2} {
		j := &backlog.Job{Submitted: now.UnixMilli(), Due: dueIn * time.Second, Items: []backlog.Item{{Tokens: 1000}}}
		tasks = append(tasks, &task{job: j})
	}
	ordered := (&scheduler{m: m}).sortTasks(tasks, now)
	for i, want := range []time.Duration{1, 2, 3} {
		if ordered[i].task.job.Due != want*time.Second {
			t.Errorf("place %d has a due time of %v", i, ordered[i].task.job.Due)
		}
	}
}

// Items of an urgent route must precede those of a less urgent one that are due sooner, which due times alone
// do not ensure. Work that is late anyway gains nothing by its rank.
func TestMoreUrgentRoutesStartFirst(t *testing.T) {
	m := &Manager{runTimes: backlog.NewPace()}
	now := time.UnixMilli(100_000)
	taskDue := func(id string, dueIn time.Duration, rank int) *task {
		return &task{job: &backlog.Job{ID: id, Submitted: now.UnixMilli(), Due: dueIn, Rank: rank, Items: []backlog.Item{{Tokens: 1000}}}}
	}
	tasks := []*task{
		taskDue("late", -time.Second, 0),
		taskDue("soon-2", time.Second, 2),
		taskDue("day-1", 24*time.Hour, 1),
		taskDue("soon-100", time.Second, 100),
		taskDue("soon-1", time.Second, 1),
	}
	var got []string
	for _, r := range (&scheduler{m: m}).sortTasks(tasks, now) {
		got = append(got, r.task.job.ID)
	}
	if want := []string{"soon-1", "day-1", "soon-2", "soon-100", "late"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
