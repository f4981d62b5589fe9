package node

import (
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Guards against a route policy that is read from the settings but not passed to the entry: every entry would use
// the default, and a comparison of policies would show no difference.
func TestRoutePolicyOfSettingsIsUsed(t *testing.T) {
	s := settings.DefaultEntry()
	s.RoutePolicy = "no such policy"
	if _, err := NewEntry(s, hclog.NewNullLogger(), metrics.NewRegistry()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("new entry with an unknown route policy: error %v, want type bad_settings", err)
	}
}
