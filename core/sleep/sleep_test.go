package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsFullDuration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !For(t.Context(), time.Hour) || time.Since(start) != time.Hour {
			t.Fatalf("For returned after %v, want true after 1h", time.Since(start))
		}
	})
}

// Guards against a process that stops slowly: a wait in a loop ignores the end of its context, so the process
// stops only after its longest wait.
func TestForEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		if For(ctx, time.Hour) || time.Since(start) != time.Minute {
			t.Fatalf("For returned after %v, want false after 1m", time.Since(start))
		}
		if For(ctx, 0) {
			t.Fatal("For returned true for an ended context and no wait, want false")
		}
	})
}
