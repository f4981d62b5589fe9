package backlog

import (
	"slices"
	"testing"
	"time"

	"arbutusramp/core/backlog"
)

// Symptom: in an overload less than half of the items were in time, though the engines had enough slots for two
// thirds. Sequence: items wait for longer than their due times allow; the ones that are due first start first, and end
// late; meanwhile the next ones become late. Cause: the order of due times alone.
func TestItemsThatCanBeInTimeGoFirst(t *testing.T) {
	const tokens, events = 1000, 300
	m := &Manager{pace: backlog.NewPace()}
	for range 50 { // a whole item takes 4.5 s
		m.pace.Ran("r", events, 4500*time.Millisecond)
		m.pace.Done("r", events, tokens)
	}
	now := time.UnixMilli(100_000)
	waiting := func(id string, dueIn time.Duration, made int) *task {
		j := &backlog.Job{ID: id, Route: "r", Submitted: now.UnixMilli(), Due: dueIn, Items: []backlog.Item{{ID: "i", Tokens: tokens}}}
		return &task{job: j, events: made}
	}
	tasks := []*task{
		waiting("late", time.Second, 0),
		waiting("over", -time.Second, 0),
		waiting("last", 9*time.Second, 0),
		waiting("half-done", 3*time.Second, 200), // 1.5 s are left
		waiting("in-time", 5*time.Second, 0),
	}
	var got []string
	for _, r := range (&scheduler{m: m}).rank(tasks, now) {
		got = append(got, r.task.job.ID)
	}
	if want := []string{"half-done", "in-time", "last", "over", "late"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}

func TestOrderOfDueTimesWhileThePaceIsNotKnown(t *testing.T) {
	m := &Manager{pace: backlog.NewPace()}
	now := time.UnixMilli(100_000)
	var tasks []*task
	for _, dueIn := range []time.Duration{3, 1, 2} {
		j := &backlog.Job{Submitted: now.UnixMilli(), Due: dueIn * time.Second, Items: []backlog.Item{{Tokens: 1000}}}
		tasks = append(tasks, &task{job: j})
	}
	ranked := (&scheduler{m: m}).rank(tasks, now)
	for i, want := range []time.Duration{1, 2, 3} {
		if ranked[i].task.job.Due != want*time.Second {
			t.Errorf("place %d is due after %v", i, ranked[i].task.job.Due)
		}
	}
}

// Symptom: overnight work of an urgent route ends behind that of a less urgent one that is due sooner.
// Cause: items started by due times alone. Work that is late anyway gains nothing by its rank.
func TestMoreUrgentRoutesGoFirst(t *testing.T) {
	m := &Manager{pace: backlog.NewPace()}
	now := time.UnixMilli(100_000)
	waiting := func(id string, dueIn time.Duration, rank int) *task {
		return &task{job: &backlog.Job{ID: id, Submitted: now.UnixMilli(), Due: dueIn, Rank: rank, Items: []backlog.Item{{Tokens: 1000}}}}
	}
	tasks := []*task{
		waiting("late", -time.Second, 0),
		waiting("soon-2", time.Second, 2),
		waiting("day-1", 24*time.Hour, 1),
		waiting("soon-100", time.Second, 100),
		waiting("soon-1", time.Second, 1),
	}
	var got []string
	for _, r := range (&scheduler{m: m}).rank(tasks, now) {
		got = append(got, r.task.job.ID)
	}
	if want := []string{"soon-1", "day-1", "soon-2", "soon-100", "late"}; !slices.Equal(got, want) {
		t.Errorf("order %v, want %v", got, want)
	}
}
