package node

import (
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Guards against a route policy in the settings that is read but not passed on: every entry would use the
// default, and a comparison of policies would show no difference.
func TestRoutePolicyOfSettingsIsUsed(t *testing.T) {
	s := settings.DefaultEntry()
	s.RoutePolicy = "no such policy"
	if _, err := NewEntry(s, hclog.NewNullLogger(), metrics.NewRegistry()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("an entry with an unknown policy: %v", err)
	}
}
