package shed

import (
	"fmt"
	"testing"
	"time"
)

// Guards against callers that are rejected on their second attempt and give up. That happens when the first
// requests after the start of a process are second attempts, and their shorter remaining time is taken for
// the timeout of first attempts.
func TestCallerTimeoutRequiresMinSamples(t *testing.T) {
	timeouts := NewCallerTimeouts()
	for i := range minSamples - 1 {
		if got := timeouts.Observe("r", 4*time.Second); got != 0 {
			t.Fatalf("after %d callers the estimated timeout is %v, want 0", i+1, got)
		}
	}
	for range minSamples {
		timeouts.Observe("r", 5*time.Second)
	}
	if got := timeouts.Observe("r", time.Second); got != 5*time.Second {
		t.Errorf("after a caller with 1s left the estimated timeout is %v, want 5s", got)
	}
	if got := timeouts.Observe("other", 5*time.Second); got != 0 {
		t.Errorf("the estimated timeout for a route with a single request is %v, want 0", got)
	}
}

func TestRouteCountIsBounded(t *testing.T) {
	timeouts := NewCallerTimeouts()
	for i := range 2*maxRoutes + 1 {
		timeouts.Observe(fmt.Sprint(i), time.Second)
	}
	if len(timeouts.routes) > maxRoutes {
		t.Errorf("%d routes have samples, want at most 4096", len(timeouts.routes))
	}
}

// Guards against an estimate that one caller with a timeout of a minute raises for all callers of a route.
// Every other request would then count as a second attempt, and in an overload only first attempts are
// rejected with a time to retry after.
func TestOneLongTimeoutIsIgnored(t *testing.T) {
	timeouts := NewCallerTimeouts()
	for range 3 * minSamples {
		timeouts.Observe("r", 5*time.Second)
	}
	timeouts.Observe("r", time.Minute)
	if got := timeouts.Observe("r", 5*time.Second); got != 5*time.Second {
		t.Errorf("after one caller with a timeout of 1m the estimated timeout is %v, want 5s", got)
	}
	for range 2 * maxSamples {
		timeouts.Observe("r", 8*time.Second)
	}
	if got := timeouts.Observe("r", 5*time.Second); got != 8*time.Second {
		t.Errorf("after the callers' timeout has grown to 8s the estimated timeout is %v, want 8s", got)
	}
}
