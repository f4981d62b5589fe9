// Package sleep waits for a while, unless a context ends first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still holds.
func For(ctx context.Context, d time.Duration) bool { return Or(ctx, d, nil) }

// Or waits as For does; a value on wake ends the wait too.
func Or(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-wake:
		return true
	case <-ctx.Done():
		return false
	}
}
