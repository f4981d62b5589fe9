// Package sleep waits for a duration or until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It reports whether ctx is still active, and returns early if ctx ends.
func For(ctx context.Context, d time.Duration) bool { return Or(ctx, d, nil) }

// Or waits as For does, and also returns early, with true, when interrupt receives a value or is closed. A
// nil interrupt never ends the wait.
func Or(ctx context.Context, d time.Duration, interrupt <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-interrupt:
		return true
	case <-ctx.Done():
		return false
	}
}
