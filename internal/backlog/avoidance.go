package backlog

import (
	"slices"
	"time"

	"arbutusramp/core/fleet"
)

const (
	// avoidTime is how long after a run that was broken off an item waits for a slot at another target rather than run
	// at the same one again.
	avoidTime = time.Second
	// maxAvoidTime is the same after a run that was answered with status 500: such runs are counted, and a faulty target
	// must not use up the attempts of an item while sound ones are full. It is the longest life of an avoidance.
	maxAvoidTime = 10 * time.Second
	// maxAvoided bounds the targets that an item avoids; the oldest are forgotten.
	maxAvoided = 8
)

// avoidedTargets are the targets at which the last runs of an item were broken off or failed. The zero value is empty.
type avoidedTargets struct {
	ids   []string // oldest first
	until time.Time
}

// add adds a target that is avoided for d. Those that are no longer avoided are dropped.
func (a *avoidedTargets) add(now time.Time, target string, d time.Duration) {
	if !now.Before(a.until) {
		a.ids = nil
	}
	// A new slice: avoidance returns the old one.
	ids := append(slices.DeleteFunc(slices.Clone(a.ids), func(id string) bool { return id == target }), target)
	a.ids = ids[max(0, len(ids)-maxAvoided):]
	if until := now.Add(d); until.After(a.until) {
		a.until = until
	}
}

// avoidance returns which targets the task's next run avoids: strictly until the time is over, later as a preference.
func (t *task) avoidance(now time.Time) fleet.Avoidance {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fleet.Avoidance{Targets: t.avoided.ids, IsStrict: now.Before(t.avoided.until)}
}
