// Package sleep provides waits that end early with a context, and timers that do not crash the race detector in
// tests that use testing/synctest.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends. If d is zero or negative, it returns
// at once, and reports whether ctx has not ended.
func For(ctx context.Context, d time.Duration) bool { return ForOrSignal(ctx, d, nil) }

// ForOrSignal waits like For, and also returns true as soon as a value arrives on signal or signal is closed. A
// nil signal never ends the wait.
func ForOrSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-signal:
		return true
	case <-ctx.Done():
		return false
	}
}
