// Package sleep waits for a while, unless a context ends first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still holds.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
