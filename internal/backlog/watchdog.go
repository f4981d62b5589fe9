package backlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

// watchdog cancels the run of an item whose target has stopped sending: the item can resume at another
// target, and its slot here may belong to a target that has ended.
type watchdog struct {
	run *fleetview.Run
	// hasCancelledRun reports that the watchdog has cancelled the run.
	hasCancelledRun atomic.Bool

	mu           sync.Mutex
	lastActivity time.Time
}

func newWatchdog(ctx context.Context, cancel context.CancelFunc, r *fleetview.Run) *watchdog {
	w := &watchdog{run: r, lastActivity: time.Now()}
	go w.watch(ctx, cancel)
	return w
}

func (w *watchdog) noteEvent() {
	w.mu.Lock()
	w.lastActivity = time.Now()
	w.mu.Unlock()
	w.run.NoteActivity()
}

func (w *watchdog) watch(ctx context.Context, cancel context.CancelFunc) {
	for sleep.For(ctx, watchdogInterval) {
		w.mu.Lock()
		lastActivity := w.lastActivity
		w.mu.Unlock()
		isTargetIdle := w.run.IsIdle(lastActivity)
		if isTargetIdle {
			w.run.Failed()
		}
		if isTargetIdle || time.Since(lastActivity) > max(itemIdleTimeout, 2*w.run.IdleLimit())+w.run.QueueWait() {
			w.hasCancelledRun.Store(true)
			cancel()
			return
		}
	}
}
