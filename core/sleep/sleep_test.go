package sleep

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

func TestForWaitsTheWholeTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		if !For(t.Context(), time.Hour) || time.Since(start) != time.Hour {
			t.Fatalf("waited %v", time.Since(start))
		}
	})
}

// Symptom: a process that is told to stop takes as long as its longest pause. Events: a loop
// waits, its context ends. Cause: the wait does not look at the context.
func TestForEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		start := time.Now()
		if For(ctx, time.Hour) || time.Since(start) != time.Minute {
			t.Fatalf("waited %v", time.Since(start))
		}
		if For(ctx, 0) {
			t.Fatal("a context that has ended is said to hold")
		}
	})
}
