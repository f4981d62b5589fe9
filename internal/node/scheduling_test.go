package node

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"arbutusramp/internal/scheduling"
)

// Guards against an endpoint that is missing in the process, or that hides the metrics, which are served at all other
// paths of the address.
func TestSchedulingIsServedBesideTheMetrics(t *testing.T) {
	s := newSystem(t, 1)
	defer s.stopAll()
	addr := s.gateways[0].MetricsAddr()
	state, err := scheduling.Fetch(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	if len(state.Targets) != 2 || len(state.Services) != 1 || state.Services[0].Slots != 2*targetSlots {
		t.Errorf("state %+v, want two targets of one service with %d slots", state, 2*targetSlots)
	}
	for _, path := range []string{"/metrics", "/"} {
		if _, metrics := s.caller.Send(addr, http.MethodGet, path, "", ""); !strings.Contains(metrics, "scheduling.slow_targets 0\n") || !strings.Contains(metrics, "scheduling.overloaded_services 0\n") {
			t.Errorf("%s: no gauges of the scheduling in\n%s", path, metrics)
		}
	}
}
