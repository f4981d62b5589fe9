package backlog

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

// guard ends the run of an item whose target has fallen silent: the item can go on elsewhere, and
// its slot here may belong to a target that no longer lives.
type guard struct {
	run *fleetview.Run
	// hasEnded says that the guard has ended the run.
	hasEnded atomic.Bool

	mu   sync.Mutex
	last time.Time // of the last event
}

func newGuard(ctx context.Context, cancel context.CancelFunc, r *fleetview.Run) *guard {
	g := &guard{run: r, last: time.Now()}
	go g.watch(ctx, cancel)
	return g
}

func (g *guard) noteEvent() {
	g.mu.Lock()
	g.last = time.Now()
	g.mu.Unlock()
	g.run.NoteActivity()
}

func (g *guard) watch(ctx context.Context, cancel context.CancelFunc) {
	for sleep.For(ctx, silencePollInterval) {
		g.mu.Lock()
		last := g.last
		g.mu.Unlock()
		isTargetIdle := g.run.IsIdle(last)
		if isTargetIdle {
			g.run.Failed()
		}
		if isTargetIdle || time.Since(last) > max(itemIdleTimeout, 2*g.run.IdleLimit())+g.run.QueueWait() {
			g.hasEnded.Store(true)
			cancel()
			return
		}
	}
}
