package fleetview

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// Run is one request or batch item that this gateway has sent to a target. It counts in the load of the
// target until Done is called.
type Run struct {
	// Target is the target that serves the run.
	Target serving.Target
	// Choice is the target as picked, with its load at that time.
	Choice fleet.Choice
	// Work is what was sent.
	Work fleet.Work

	view         *View
	startedAt    time.Time
	firstEventAt time.Time // zero before the first event
	lastEventAt  time.Time // zero before the first event
	class        structs.Class
	rank         int    // of a batch run: its urgency, 0 the most urgent
	preempt      func() // of a batch run: makes it release its slot
	isDone       bool
	// unsavedEvents and eventsLeft are of a batch run; see RecordProgress.
	unsavedEvents, eventsLeft atomic.Int64
	// onTargetEnd is called when the target is known to have restarted; see OnTargetEnd.
	onTargetEnd    func()
	hasTargetEnded bool
	// hasVersionChanged is set when the entry of the target has got another version since the run began.
	hasVersionChanged  atomic.Bool
	hasRecordedSilence atomic.Bool
	cost               runCost
	// lastingProbability is that with which the slot of a batch run was expected to last; valid if hasLasting is set.
	lastingProbability float64
	hasLasting         bool
	// sharedWork is the time in a slot that was counted for the workspace when the run began.
	sharedWork time.Duration
}

// addRun adds a run to the load of its target and to the active runs. The caller holds v.mu.
func (v *View) addRun(now time.Time, r *Run) {
	v.fleet.Begin(now, r.Target.ID, r.class)
	v.recordServed(now, r)
	if v.active[r.Target.ID] == nil {
		v.active[r.Target.ID] = make(map[*Run]struct{})
	}
	v.active[r.Target.ID][r] = struct{}{}
}

// removeRun removes a run from the active runs, but not from the load of its target. The caller holds v.mu.
func (v *View) removeRun(r *Run) {
	delete(v.active[r.Target.ID], r)
	if len(v.active[r.Target.ID]) == 0 {
		delete(v.active, r.Target.ID)
	}
}

// OnTargetEnd sets the function that is called, at most once, when the target of the run is known to have
// restarted, so that no answer can arrive. If that is known already, f is called at once. f must not block.
func (r *Run) OnTargetEnd(f func()) {
	r.view.mu.Lock()
	r.onTargetEnd = f
	hasTargetEnded := r.hasTargetEnded
	r.view.mu.Unlock()
	if hasTargetEnded {
		f()
	}
}

// StartedAt returns when the run started.
func (r *Run) StartedAt() time.Time { return r.startedAt }

// HasTargetEnded reports whether the target of the run is known to have restarted since the run began.
func (r *Run) HasTargetEnded() bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.hasTargetEnded
}

// HasVersionChanged reports whether the entry of the run's target has got another version under the same id since the
// run began. The version of what the target sends in this run is then not known for certain.
func (r *Run) HasVersionChanged() bool { return r.hasVersionChanged.Load() }

// EndTargets calls the OnTargetEnd functions of all runs at the targets with these ids, which are known to have
// restarted. An id names one start of a target: the restarted target has another id. Without this call such
// a run could last forever: a crash behind a network partition closes no connection, and data from the
// restarted target resets the idle time by which the run would detect the crash.
func (v *View) EndTargets(ids []string) {
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

// Done removes the run from the load of its target. Calls after the first have no effect.
func (r *Run) Done() {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.isDone {
		return
	}
	r.isDone = true
	now := time.Now()
	r.recordAfterSilence(now)
	v.fleet.End(now, r.Target.ID, r.class)
	v.correctServed(now, r)
	v.removeRun(r)
	v.removePreemptible(r)
	signal(v.loadsChanged)
	signal(v.slotFreed)
}

// RecordProgress records how many events a batch run has gained since the last saved one, and how many it is expected to
// gain yet. Both decide which runs are preempted.
func (r *Run) RecordProgress(unsavedEvents, eventsLeft int) {
	r.unsavedEvents.Store(int64(unsavedEvents))
	r.eventsLeft.Store(int64(eventsLeft))
}

// preemptionLoss returns how much is lost by preempting the run: the events since the last saved one, relative to
// the events that are left, because a run that is nearly complete soon releases its slot anyway. It is -1 before the
// first event. The caller holds the lock of the view.
func (r *Run) preemptionLoss() float64 {
	if r.firstEventAt.IsZero() {
		return -1
	}
	return float64(1+r.unsavedEvents.Load()) / float64(1+max(0, r.eventsLeft.Load()))
}

// RecordActivity records that the target of the run has just sent data to this process.
func (r *Run) RecordActivity() {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.RecordActivity(time.Now(), r.Target.ID)
}

// RecordEvent records that an event of the run's stream has just arrived, and adds the time it took to the
// response times of the service; the first event is left out there if the run may have waited for a slot.
// RecordEvent returns how long ago the first event of the run arrived, 0 for the first event.
func (r *Run) RecordEvent() (sinceFirst time.Duration) {
	v := r.view
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.fleet.RecordActivity(now, r.Target.ID)
	switch {
	case !r.firstEventAt.IsZero():
		v.fleet.RecordEventGap(r.Target.Service, now.Sub(r.lastEventAt))
	case !r.Choice.IsQueued():
		v.fleet.RecordFirstEvent(r.Work, now.Sub(r.startedAt))
	}
	r.recordAfterSilence(now)
	r.cost.addEvent(now.Sub(r.lastEventAt))
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	}
	r.lastEventAt = now
	return now.Sub(r.firstEventAt)
}

// SinceFirstEvent returns how long ago the first event of the run arrived, 0 if none has arrived.
func (r *Run) SinceFirstEvent() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.firstEventAt.IsZero() {
		return 0
	}
	return time.Since(r.firstEventAt)
}

// EventTimes returns how long after the start of the run its first event arrived, and how long ago its last
// event arrived. Both are the time since the start of the run if no event has arrived.
func (r *Run) EventTimes() (first, sinceLast time.Duration) {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	if r.firstEventAt.IsZero() {
		elapsed := time.Since(r.startedAt)
		return elapsed, elapsed
	}
	return r.firstEventAt.Sub(r.startedAt), time.Since(r.lastEventAt)
}

// recordAfterSilence records whether it has helped that the run before was ended for its silence: this one is answered now, or
// ends without an answer. The caller holds the lock of the view.
func (r *Run) recordAfterSilence(now time.Time) {
	elapsed := now.Sub(r.startedAt)
	if !r.view.fleet.IsSlowItself(r.Work) || r.Choice.IsQueued() || r.hasAnswered() {
		return
	}
	// A caller that gives up often ends a run before it was silent for as long as the one before.
	if r.isDone && elapsed < min(r.Work.SilentFor, r.view.fleet.UsualSilenceLimit(r.Work.Service)) {
		return
	}
	r.view.fleet.RecordRunAfterSilence(now, r.Work.Service, !r.isDone && elapsed < r.Work.SilentFor)
}

// hasAnswered reports whether the first event, or the whole answer of a call, has arrived. The caller holds the lock of the
// view.
func (r *Run) hasAnswered() bool { return !r.firstEventAt.IsZero() || r.cost.whole > 0 }

// Patient returns for how long the run may be silent where limit is usual; see fleet.Fleet.Patient.
func (r *Run) Patient(limit time.Duration) time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.Patient(time.Now(), r.Work, limit)
}

// IdleLimit returns how long a working target may send no data during the run.
func (r *Run) IdleLimit() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.SilenceLimit(time.Now(), r.Work) + r.view.readingAt(r.Target.ID)
}

// readingAt returns how long a target reads the long prompts that this process has sent to it. It may send nothing to anybody
// meanwhile. The caller holds v.mu.
func (v *View) readingAt(target string) (reading time.Duration) {
	for r := range v.active[target] {
		if r.firstEventAt.IsZero() {
			reading += v.fleet.ReadingTime(r.Work)
		}
	}
	return min(fleet.MaxReadingTime, reading)
}

// RecordSilence records that the target has sent nothing for too long during the run, which is a failure of the target; see
// RecordFailure. It is none if an earlier run of the work was silent as well: that is probably slow by itself. One run shows one
// failure, for however long it goes on.
func (r *Run) RecordSilence() bool {
	if r.view.fleet.IsSlowItself(r.Work) || r.hasRecordedSilence.Swap(true) {
		return false
	}
	return r.RecordFailure()
}

// RecordFailure records that the run has failed at its target. It reports whether this failure made the target
// suspect, that is, avoided by later requests.
func (r *Run) RecordFailure() bool {
	v := r.view
	v.mu.Lock()
	now := time.Now()
	isSuspect := v.fleet.RecordFailure(now, r.Target.ID)
	victims := v.takeVictims(now)
	v.mu.Unlock()
	if isSuspect {
		signal(v.loadsChanged)
	}
	preemptAll(victims)
	return isSuspect
}

// HasTargetFailed reports whether the target is known to have restarted since the run began, or is listed and has failed
// since then.
func (r *Run) HasTargetFailed() bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.hasTargetEnded || r.view.fleet.HasFailedSince(r.Target.ID, r.startedAt)
}

// IsIdle reports whether the target has sent no data to this process since sentAt, the time when a request was
// sent to it, for so long that it has probably failed.
func (r *Run) IsIdle(sentAt time.Time) bool {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	now := time.Now()
	f := r.view.fleet
	return f.IsSilentSince(now, sentAt, r.Target.ID, f.SilenceLimit(now, r.Work), r.view.readingAt(r.Target.ID))
}

// MaxQueueWait returns the longest time that the run may have to wait for a slot at its target, computed from the
// loads that this process knows.
func (r *Run) MaxQueueWait() time.Duration {
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	return r.view.fleet.QueueWait(time.Now(), r.Target.ID)
}

// RecordHoldTime records that the run has received its complete answer. The duration of the run counts towards
// the mean time that requests of its service hold a slot, unless the run may have waited for a slot.
func (r *Run) RecordHoldTime() {
	if r.Choice.IsQueued() {
		return
	}
	r.view.mu.Lock()
	defer r.view.mu.Unlock()
	r.view.fleet.RecordHoldTime(r.Target.Service, time.Since(r.startedAt))
}

// takeVictims removes the runs that must be preempted from v.preemptible and returns them. At each target it
// chooses the least urgent runs, and among equally urgent ones those that lose least if the costs of the service
// are predicted (see preemptionLoss), and otherwise the youngest, since the oldest are closest to completion. Of
// runs that lose the same the youngest are chosen. A chosen run counts in the load of its target until it is done.
// The caller holds v.mu.
func (v *View) takeVictims(now time.Time) []*Run {
	var victims []*Run
	for id, n := range v.fleet.Preempt(now) {
		runs := v.preemptible[id]
		// Runs that an earlier call has chosen and that are not done yet release a slot each.
		preempting := v.countPreempting(id)
		n = min(n-preempting, len(runs))
		if n <= 0 {
			continue
		}
		isByLoss := v.fleet.IsCostAware(runs[0].Target.Service)
		slices.SortStableFunc(runs, func(a, b *Run) int {
			if order := cmp.Compare(a.rank, b.rank); order != 0 || !isByLoss {
				return order
			}
			return cmp.Or(cmp.Compare(b.preemptionLoss(), a.preemptionLoss()), a.startedAt.Compare(b.startedAt))
		})
		victims = append(victims, runs[len(runs)-n:]...)
		v.preemptible[id] = runs[:len(runs)-n]
	}
	return victims
}

// countPreempting returns how many batch runs at the target with this id are preempted but not done yet.
// The caller holds v.mu.
func (v *View) countPreempting(id string) int {
	return v.fleet.OwnLoadAt(id).Batch - len(v.preemptible[id])
}

// preemptAll calls the preempt function of each run. The caller does not hold v.mu.
func preemptAll(runs []*Run) {
	for _, r := range runs {
		r.preempt()
	}
}

// removePreemptible removes a run from v.preemptible if it is there. The caller holds v.mu.
func (v *View) removePreemptible(r *Run) {
	runs := v.preemptible[r.Target.ID]
	for i, other := range runs {
		if other == r {
			v.preemptible[r.Target.ID] = append(runs[:i:i], runs[i+1:]...)
			return
		}
	}
}
