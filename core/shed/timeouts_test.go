package shed

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that are rejected on their second attempt and give up. That happens when the first
// callers after the start of a process are second attempts, and their shorter remaining time is taken for the
// timeout of first attempts.
func TestCallerTimeoutRequiresMinSamples(t *testing.T) {
	p := NewCallerTimeouts()
	for i := range minSamples - 1 {
		if got := p.Note("r", 4*time.Second); got != 0 {
			t.Fatalf("after %d callers: %v", i+1, got)
		}
	}
	for range minSamples {
		p.Note("r", 5*time.Second)
	}
	if got := p.Note("r", time.Second); got != 5*time.Second {
		t.Errorf("after one with a shorter time: %v", got)
	}
	if got := p.Note("other", 5*time.Second); got != 0 {
		t.Errorf("another route: %v", got)
	}
}

func TestRouteCountIsBounded(t *testing.T) {
	p := NewCallerTimeouts()
	for i := range 2*maxRoutes + 1 {
		p.Note(fmt.Sprint(i), time.Second)
	}
	if len(p.routes) > maxRoutes {
		t.Errorf("%d routes are tracked", len(p.routes))
	}
}

// Guards against an overload in which no caller gets a retry time. That happens when one caller reports a
// timeout of a minute and the longest reported time is taken for that of all: every other request then looks
// like a second attempt.
func TestOneLongTimeoutIsIgnored(t *testing.T) {
	p := NewCallerTimeouts()
	for range 3 * minSamples {
		p.Note("r", 5*time.Second)
	}
	p.Note("r", time.Minute)
	if got := p.Note("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("%v", got)
	}
	for range 2 * maxSamples {
		p.Note("r", 8*time.Second)
	}
	if got := p.Note("r", 5*time.Second); got != 8*time.Second {
		t.Errorf("after all callers have a longer timeout: %v", got)
	}
}
