package fleetview

import (
	"cmp"
	"slices"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Run is one request at a target.
type Run struct {
	Target serving.Target
	// Choice is what spoke for the target.
	Choice fleet.Choice

	view    *View
	began   time.Time
	first   time.Time // of the first event; zero before it
	event   time.Time // of the last event
	class   structs.Class
	rank    int    // of batch runs
	preempt func() // of batch runs
	over    bool
	// whenEnded is called when the target's start is known to be over; see WhenEnded.
	whenEnded func()
	ended     bool
}

// begin counts a run at its target. The caller holds the lock.
func (v *View) begin(now time.Time, r *Run) {
	v.fleet.Begin(now, r.Target.ID, r.class)
	if v.live[r.Target.ID] == nil {
		v.live[r.Target.ID] = make(map[*Run]struct{})
	}
	v.live[r.Target.ID][r] = struct{}{}
}

// end drops a run from those that are live. The caller holds the lock.
func (v *View) end(r *Run) {
	delete(v.live[r.Target.ID], r)
	if len(v.live[r.Target.ID]) == 0 {
		delete(v.live, r.Target.ID)
	}
}

// WhenEnded sets what is called, once at most, when the start of the target that has the run is known to be over: no
// answer will come. It must not block.
func (r *Run) WhenEnded(f func()) {
	r.view.mu.Lock()
	r.whenEnded = f
	ended := r.ended
	r.view.mu.Unlock()
	if ended {
		f()
	}
}

// Began is when the run began.
func (r *Run) Began() time.Time { return r.began }

// HasEnded says whether the start of the target that has the run is known to be over.
func (r *Run) HasEnded() bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.ended
}

// Ended tells the runs at targets whose starts are over. A crash behind a cut closes no connection, and the next start of the
// target breaks the silence by which the runs would notice.
func (v *View) Ended(ids []string) {
	var calls []func()
	v.mu.Lock()
	for _, id := range ids {
		for r := range v.live[id] {
			if !r.ended && r.whenEnded != nil {
				calls = append(calls, r.whenEnded)
			}
			r.ended = true
		}
	}
	v.mu.Unlock()
	for _, f := range calls {
		f()
	}
}

// Done counts the run as over. It may be called more than once.
func (r *Run) Done() {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.over {
		return
	}
	r.over = true
	v.fleet.End(time.Now(), r.Target.ID, r.class)
	v.end(r)
	v.forget(r)
	signal(v.changed)
	signal(v.freed)
}

// NoteActivity notes that the run's target has sent something.
func (r *Run) NoteActivity() {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.NoteActivity(time.Now(), r.Target.ID)
}

// Event notes an event of the run's stream, for what is known of how its service answers. It reports how long ago the first one was.
func (r *Run) Event() (sinceFirst time.Duration) {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.fleet.NoteActivity(now, r.Target.ID)
	switch {
	case !r.first.IsZero():
		v.fleet.NextEvent(r.Target.Service, now.Sub(r.event))
	case !r.Choice.Waits():
		v.fleet.FirstEvent(r.Target.Service, now.Sub(r.began))
	}
	if r.first.IsZero() {
		r.first = now
	}
	r.event = now
	return now.Sub(r.first)
}

// AnsweredFor is how long ago the run's first event came; 0 before it.
func (r *Run) AnsweredFor() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.first.IsZero() {
		return 0
	}
	return time.Since(r.first)
}

// Times says, of a run that is over, how long it took until its first event and how long ago its last one was; both are the whole run
// if it has made none.
func (r *Run) Times() (first, sinceLast time.Duration) {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.first.IsZero() {
		whole := time.Since(r.began)
		return whole, whole
	}
	return r.first.Sub(r.began), time.Since(r.event)
}

// IdleLimit is how long a working target of the run's service may send nothing.
func (r *Run) IdleLimit() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.IdleLimit(r.Target.Service)
}

// Failed notes that the target has failed the run. It reports whether that made it suspect.
func (r *Run) Failed() bool {
	v := r.view
	v.mu.Lock()
	now := time.Now()
	suspect := v.fleet.Failed(now, r.Target.ID)
	victims := v.victims(now)
	v.mu.Unlock()
	if suspect {
		signal(v.changed)
	}
	preemptAll(victims)
	return suspect
}

// IsIdle says whether the target has sent nothing to this process since a request was sent to it
// at that time, for longer than a working one ever takes.
func (r *Run) IsIdle(sent time.Time) bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.IsIdleSince(time.Now(), sent, r.Target.ID)
}

// QueueWait is how long the run may have to wait for a slot at its target.
func (r *Run) QueueWait() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.QueueWait(r.Target.ID)
}

// Held notes that the run has had its whole answer, for what is known of how long requests hold a slot.
func (r *Run) Held() {
	if r.Choice.Waits() {
		return
	}
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.Held(r.Target.Service, time.Since(r.began))
}

// victims takes the runs that must be preempted out of the list: the least urgent first, of these the youngest, since the
// oldest are nearest to their end. Each still counts until it is over.
func (v *View) victims(now time.Time) []*Run {
	var list []*Run
	for id, n := range v.fleet.Preempt(now) {
		runs := v.runs[id]
		// Runs that were preempted before and are not over yet still count in the loads.
		ending := v.ending(id)
		n = min(n-ending, len(runs))
		if n <= 0 {
			continue
		}
		slices.SortStableFunc(runs, func(a, b *Run) int { return cmp.Compare(a.rank, b.rank) })
		list = append(list, runs[len(runs)-n:]...)
		v.runs[id] = runs[:len(runs)-n]
	}
	return list
}

// ending is the number of batch runs at a target that were preempted and are not over yet.
func (v *View) ending(id string) int {
	return v.fleet.OwnAt(id).Batch - len(v.runs[id])
}

func preemptAll(runs []*Run) {
	for _, r := range runs {
		r.preempt()
	}
}

// forget drops a run from the list of those that can be preempted.
func (v *View) forget(r *Run) {
	list := v.runs[r.Target.ID]
	for i, other := range list {
		if other == r {
			v.runs[r.Target.ID] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}
