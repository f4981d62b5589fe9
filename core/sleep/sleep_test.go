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
			t.Fatalf("waited %v", time.Since(start))
		}
	})
}

// Guards against a process that takes as long as its longest pause to stop, because a wait in a loop
// ignores the end of its context.
func TestForEndsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		if For(ctx, time.Hour) || time.Since(start) != time.Minute {
			t.Fatalf("waited %v", time.Since(start))
		}
		if For(ctx, 0) {
			t.Fatal("an ended context is reported as active")
		}
	})
}
