package backlog

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

// watchdog cancels a run of an item if its target stops sending. The item can then resume at another target.
// The end of the run also releases its slot, which may belong to a target that has ended.
type watchdog struct {
	run *fleetview.Run

	mu           sync.Mutex
	lastActivity time.Time // of the last answer or event of the run; at first the start of the watchdog
	// cancelledAfter is for how long the run was silent when the watchdog cancelled it; 0 if it has not.
	cancelledAfter time.Duration
}

// newWatchdog starts a watchdog of run r, which ends with ctx. cancel cancels the run.
func newWatchdog(ctx context.Context, cancel context.CancelFunc, r *fleetview.Run) *watchdog {
	w := &watchdog{run: r, lastActivity: time.Now()}
	go w.watch(ctx, cancel)
	return w
}

// noteEvent records that the target has just sent an answer or an event of the run.
func (w *watchdog) noteEvent() {
	w.mu.Lock()
	w.lastActivity = time.Now()
	w.mu.Unlock()
	w.run.RecordActivity()
}

// hasCancelledRun reports whether the watchdog has cancelled the run.
func (w *watchdog) hasCancelledRun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cancelledAfter > 0
}

// silentFor returns the time since the last activity of a run that was cancelled because its target seemed to have failed: for
// the silence of this run or of others there. It is 0 for others, also if the target has in fact ended.
func (w *watchdog) silentFor(ctx context.Context) time.Duration {
	isForFailure := w.hasCancelledRun() || w.run.HasTargetFailed()
	if ctx.Err() == nil || !isForFailure || w.run.HasTargetEnded() {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// An event may arrive in the moment in which the run is cancelled. The run was silent all the same.
	return max(w.cancelledAfter, time.Since(w.lastActivity))
}

// watch cancels the run once the target has sent nothing on any stream for too long, which also counts as a
// failure of the target, or nothing of this run for longer than itemIdleTimeout allows. It returns then or
// when ctx ends.
func (w *watchdog) watch(ctx context.Context, cancel context.CancelFunc) {
	for sleep.For(ctx, watchdogInterval) {
		w.mu.Lock()
		lastActivity := w.lastActivity
		w.mu.Unlock()
		isTargetIdle := w.run.IsIdle(lastActivity)
		if isTargetIdle {
			w.run.RecordSilence()
		}
		silentFor := time.Since(lastActivity)
		if isTargetIdle || silentFor > max(itemIdleTimeout, 2*w.run.IdleLimit())+w.run.MaxQueueWait() {
			w.mu.Lock()
			w.cancelledAfter = silentFor
			w.mu.Unlock()
			cancel()
			return
		}
	}
}
