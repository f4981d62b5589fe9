// Package fleetview keeps a gateway's view of the fleet under one lock for all who use it: the
// online path, the batch workers, the list of targets and the peers' reports.
package fleetview

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// View is a fleet.Fleet with a lock, and the batch runs that it can preempted.
type View struct {
	mu    sync.Mutex
	fleet *fleet.Fleet
	runs  map[string][]*Run // batch runs of this process by target id, oldest first
	// live are all runs of this process by target id, also those that were preempted and are not over yet.
	live map[string]map[*Run]struct{}

	// changed gets a token when this process's own loads have changed.
	changed chan struct{}
	// freed gets a token when a batch item may find room.
	freed chan struct{}
}

// Run is one request at a target.
type Run struct {
	Target serving.Target
	// Choice is what spoke for the target.
	Choice fleet.Choice

	view    *View
	began   time.Time
	event   time.Time // of the last event; zero before the first
	class   structs.Class
	rank    int    // of batch runs
	preempt func() // of batch runs
	over    bool
	// whenEnded is called when the target's start is known to be over; see WhenEnded.
	whenEnded func()
	ended     bool
}

// New returns a view of an empty fleet.
func New(o fleet.Options) *View {
	return &View{
		fleet:   fleet.New(o),
		runs:    make(map[string][]*Run),
		live:    make(map[string]map[*Run]struct{}),
		changed: make(chan struct{}, 1),
		freed:   make(chan struct{}, 1),
	}
}

// Changed gets a token after changes of this process's own loads.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Freed gets a token when there may be room for a batch item that there was not before.
func (v *View) Freed() <-chan struct{} { return v.freed }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// StartOnline chooses a target for an online request and counts it there. It cuts off batch runs
// of this process whose slots are needed for it.
func (v *View) StartOnline(service string, tried []string) (*Run, bool) {
	v.mu.Lock()
	now := time.Now()
	c, ok := v.fleet.PickOnline(now, service, tried)
	if !ok {
		v.mu.Unlock()
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, began: now, class: structs.ClassOnline}
	v.begin(now, r)
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.changed)
	preemptAll(victims)
	return r, true
}

// StartBatch chooses a target for a batch item, if one has room. preempt is called, once at most,
// when the run must give up its slot; it must not block. Of those at one target the runs of the highest rank
// give theirs up first; see serving.Route.
func (v *View) StartBatch(service string, rank int, tried []string, preempt func()) (*Run, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	c, ok := v.fleet.PickBatch(now, service, tried)
	if !ok {
		return nil, false
	}
	r := &Run{Target: c.Target, Choice: c, view: v, began: now, class: structs.ClassBatch, rank: rank, preempt: preempt}
	v.begin(now, r)
	v.runs[c.Target.ID] = append(v.runs[c.Target.ID], r)
	signal(v.changed)
	return r, true
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

// Ended tells the runs at targets whose starts are over.
//
// What goes wrong without it: a target crashes and starts again under its name, behind a cut or without closing its
// connections. It is noticed as streams that stand still until the target's silence has lasted too long for
// its new start, which works for others meanwhile.
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

// Heard notes that the run's target has sent something.
func (r *Run) Heard() {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.Heard(time.Now(), r.Target.ID)
}

// Event notes an event of the run's stream, for what is known of how its service answers.
func (r *Run) Event() {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.fleet.Heard(now, r.Target.ID)
	switch {
	case !r.event.IsZero():
		v.fleet.NextEvent(r.Target.Service, now.Sub(r.event))
	case !r.Choice.Waits():
		v.fleet.FirstEvent(r.Target.Service, now.Sub(r.began))
	}
	r.event = now
}

// Silence is how long a working target of the run's service may send nothing.
func (r *Run) Silence() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.Silence(r.Target.Service)
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

// Silent says whether the target has sent nothing to this process since a request was sent to it
// at that time, for longer than a working one ever takes.
func (r *Run) Silent(sent time.Time) bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.SilentSince(time.Now(), sent, r.Target.ID)
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

// Prospect is what an online request of a service that comes now may expect.
func (v *View) Prospect(service string) fleet.Prospect {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Prospect(time.Now(), service)
}

// Hear takes in a peer's report.
func (v *View) Hear(from fleet.Peer, report fleet.Report) {
	v.mu.Lock()
	now := time.Now()
	v.fleet.Hear(now, from, report)
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.freed)
	preemptAll(victims)
}

// Report returns what this process has at targets and wants to start.
func (v *View) Report() fleet.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Report(time.Now())
}

// SetWant notes which batch items this process would like to start.
func (v *View) SetWant(w fleet.Want) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetWant(w)
}

// SetContact notes that the store has answered this process now.
func (v *View) SetContact() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fleet.SetContact(time.Now())
}

// StoreDownForAll says that no live peer has reached the store since this process last did.
func (v *View) StoreDownForAll() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.StoreDownForAll(time.Now())
}

// Put adds or changes targets and removes others.
func (v *View) Put(present []serving.Target, gone []string) {
	v.mu.Lock()
	now := time.Now()
	for _, t := range present {
		v.fleet.Put(t)
	}
	for _, id := range gone {
		v.fleet.Remove(id)
	}
	victims := v.victims(now)
	v.mu.Unlock()
	signal(v.freed)
	preemptAll(victims)
}

// Targets returns the targets of the list.
func (v *View) Targets() []serving.Target {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fleet.Targets()
}

// Drop marks a target as gone at once: another one answers at its address.
func (v *View) Drop(id string) { v.Put(nil, []string{id}) }

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
