package node

import (
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Symptom: a comparison of policies shows no difference between them.
// Events: the settings name a policy for choosing targets; every entry uses the default.
// Cause: the setting is read and not passed on.
func TestTheChoiceOfTargetsIsThatOfTheSettings(t *testing.T) {
	s := settings.DefaultEntry()
	s.RoutePolicy = "no such policy"
	if _, err := NewEntry(s, hclog.NewNullLogger(), metrics.NewRegistry()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("an entry with an unknown policy: %v", err)
	}
}
