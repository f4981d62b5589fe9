package origins

import (
	"fmt"
	"testing"

	"arbutusramp/core/errs"
)

// Guards against a way of knowing the origins of streams that joins two versions, or by which fewer than half of the
// resumed streams go on, in small and larger fleets, with single gateways lost and with a third of them at once.
func TestKeepersKeepStreamsAtTheirVersion(t *testing.T) {
	for _, gateways := range []int{2, 8, 28} {
		for _, share := range []float64{0, 0.33} {
			t.Run(fmt.Sprintf("%d gateways, %.2f lost", gateways, share), func(t *testing.T) {
				o := DefaultOptions()
				o.Gateways, o.KillShare, o.Seconds = gateways, share, 60
				r, err := Run(o, []Way{Keepers, AnyVersion})
				if err != nil {
					t.Fatal(err)
				}
				keepers, other := r.Ways[0], r.Ways[1]
				if keepers.Mixed != 0 || 2*keepers.WentOn < keepers.Resumed || keepers.Resumed < 20 {
					t.Errorf("%+v: want none mixed and half of them going on", keepers)
				}
				if other.Mixed == 0 {
					t.Errorf("%+v: nothing is mixed without any knowledge, so that the model shows nothing", other)
				}
				again, err := Run(o, []Way{Keepers})
				if err != nil || again.Ways[0] != keepers {
					t.Errorf("the same seed gives %+v, error %v; want %+v", again.Ways[0], err, keepers)
				}
			})
		}
	}
	if _, err := Run(Options{Gateways: 1}, Ways()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("options of no fleet: error %v, want errs.BadSettings", err)
	}
}
