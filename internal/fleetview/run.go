package fleetview

import (
	"cmp"
	"slices"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Run is one request that a target serves.
type Run struct {
	Target serving.Target
	// Choice says why the target was picked.
	Choice fleet.Choice

	view         *View
	startedAt    time.Time
	firstEventAt time.Time // zero before the first event
	lastEventAt  time.Time // zero before the first event
	class        structs.Class
	rank         int    // of batch runs; see serving.Route
	preempt      func() // of batch runs
	isDone       bool
	// onTargetEnd is called when the start of the target is known to be over; see WhenEnded.
	onTargetEnd    func()
	hasTargetEnded bool
}

// addRun counts a run at its target. The caller holds v.mu.
func (v *View) addRun(now time.Time, r *Run) {
	v.fleet.Begin(now, r.Target.ID, r.class)
	if v.active[r.Target.ID] == nil {
		v.active[r.Target.ID] = make(map[*Run]struct{})
	}
	v.active[r.Target.ID][r] = struct{}{}
}

// removeRun drops a run from the active ones. The caller holds v.mu.
func (v *View) removeRun(r *Run) {
	delete(v.active[r.Target.ID], r)
	if len(v.active[r.Target.ID]) == 0 {
		delete(v.active, r.Target.ID)
	}
}

// WhenEnded sets a callback, called at most once, for when the start of the target that serves the run is
// known to be over and no answer can arrive. f must not block.
func (r *Run) WhenEnded(f func()) {
	r.view.mu.Lock()
	r.onTargetEnd = f
	ended := r.hasTargetEnded
	r.view.mu.Unlock()
	if ended {
		f()
	}
}

// Began returns when the run started.
func (r *Run) Began() time.Time { return r.startedAt }

// HasEnded reports whether the start of the target that serves the run is known to be over.
func (r *Run) HasEnded() bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.hasTargetEnded
}

// Ended calls the WhenEnded callbacks of the runs at targets whose starts are over. A crash behind a
// network partition closes no connection, and activity of the next start of the target resets the idle time
// by which the runs would detect the loss.
func (v *View) Ended(ids []string) {
	var callbacks []func()
	v.mu.Lock()
	for _, id := range ids {
		for r := range v.active[id] {
			if !r.hasTargetEnded && r.onTargetEnd != nil {
				callbacks = append(callbacks, r.onTargetEnd)
			}
			r.hasTargetEnded = true
		}
	}
	v.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// Done counts the run as finished. It may be called more than once.
func (r *Run) Done() {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.isDone {
		return
	}
	r.isDone = true
	v.fleet.End(time.Now(), r.Target.ID, r.class)
	v.removeRun(r)
	v.removePreemptible(r)
	signal(v.loadsChanged)
	signal(v.roomFreed)
}

// NoteActivity records that the target of the run has sent data.
func (r *Run) NoteActivity() {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.NoteActivity(time.Now(), r.Target.ID)
}

// Event records an event of the run's stream in the response times of its service. It returns how long ago
// the first event arrived.
func (r *Run) Event() (sinceFirst time.Duration) {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.fleet.NoteActivity(now, r.Target.ID)
	switch {
	case !r.firstEventAt.IsZero():
		v.fleet.NextEvent(r.Target.Service, now.Sub(r.lastEventAt))
	case !r.Choice.Waits():
		v.fleet.FirstEvent(r.Target.Service, now.Sub(r.startedAt))
	}
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	}
	r.lastEventAt = now
	return now.Sub(r.firstEventAt)
}

// AnsweredFor returns how long ago the first event of the run arrived; 0 before it.
func (r *Run) AnsweredFor() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(r.firstEventAt)
}

// Times returns, for a finished run, how long the first event took and how long ago the last event arrived.
// Both are the time since the start of the run if it produced no event.
func (r *Run) Times() (first, sinceLast time.Duration) {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.firstEventAt.IsZero() {
		elapsed := time.Since(r.startedAt)
		return elapsed, elapsed
	}
	return r.firstEventAt.Sub(r.startedAt), time.Since(r.lastEventAt)
}

// IdleLimit returns how long a working target of the run's service may send nothing.
func (r *Run) IdleLimit() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.IdleLimit(r.Target.Service)
}

// Failed records that the target has failed the run. It reports whether the target became suspect by that.
func (r *Run) Failed() bool {
	v := r.view
	v.mu.Lock()
	now := time.Now()
	suspect := v.fleet.Failed(now, r.Target.ID)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	if suspect {
		signal(v.loadsChanged)
	}
	preemptAll(victims)
	return suspect
}

// IsIdle reports whether the target has sent nothing to this process since sent, when a request was sent to
// it, for longer than a working target takes.
func (r *Run) IsIdle(sent time.Time) bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.IsIdleSince(time.Now(), sent, r.Target.ID)
}

// QueueWait returns how long the run may have to wait for a slot at its target.
func (r *Run) QueueWait() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.QueueWait(r.Target.ID)
}

// Held records that the run has received its complete answer. The time counts towards how long requests of
// the service hold a slot, unless the run may have waited for one.
func (r *Run) Held() {
	if r.Choice.Waits() {
		return
	}
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.Held(r.Target.Service, time.Since(r.startedAt))
}

// takeVictims removes the runs that must be preempted from the preemptible ones and returns them: the least
// urgent first, and of these the youngest, since the oldest are closest to completion. Each still counts in
// the loads until it is done. The caller holds v.mu.
func (v *View) takeVictims(now time.Time) []*Run {
	var list []*Run
	for id, n := range v.fleet.Preempt(now) {
		runs := v.preemptible[id]
		// Runs that were preempted before and are not done yet still count in the loads.
		preempting := v.countPreempting(id)
		n = min(n-preempting, len(runs))
		if n <= 0 {
			continue
		}
		slices.SortStableFunc(runs, func(a, b *Run) int { return cmp.Compare(a.rank, b.rank) })
		list = append(list, runs[len(runs)-n:]...)
		v.preemptible[id] = runs[:len(runs)-n]
	}
	return list
}

// countPreempting returns the number of batch runs at a target that were preempted and are not done yet.
// The caller holds v.mu.
func (v *View) countPreempting(id string) int {
	return v.fleet.OwnAt(id).Batch - len(v.preemptible[id])
}

func preemptAll(runs []*Run) {
	for _, r := range runs {
		r.preempt()
	}
}

// removePreemptible drops a run from the preemptible ones. The caller holds v.mu.
func (v *View) removePreemptible(r *Run) {
	list := v.preemptible[r.Target.ID]
	for i, other := range list {
		if other == r {
			v.preemptible[r.Target.ID] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
