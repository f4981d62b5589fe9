package config

import (
	"testing"
	"time"
)

// A short run with replaced processes and a log outage: nothing goes back, nothing differs.
func TestShortRun(t *testing.T) {
	r, err := Run(t.Context(), Options{
		Followers:  12,
		Domains:    2,
		Changes:    10,
		Duration:   4 * time.Second,
		Idle:       time.Second,
		Workspaces: 50,
		Restarts:   3,
		LogOutage:  time.Second,
		Seed:       1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if r.Violations != 0 || r.VersionRegressions != 0 {
		t.Errorf("report %+v", r)
	}
	if r.Confirmed == 0 || r.Restarts != 3 || r.BytesIdle == 0 || r.CPUShare == 0 || r.InForceP99 == 0 {
		t.Errorf("the run shows nothing: %+v", r)
	}
}
