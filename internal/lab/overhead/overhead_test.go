package overhead

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
)

func TestEmbedded(t *testing.T) {
	o := DefaultOptions()
	o.Pairs = 50
	o.Connections = 2
	o.Duration = 50 * time.Millisecond
	r, err := RunEmbedded(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	if r.Latency.Calls != 50 || r.Latency.Direct.P50 <= 0 || r.Latency.Through.P50 <= 0 {
		t.Errorf("latency %+v", r.Latency)
	}
	if r.Rate.Calls == 0 || r.Rate.LoadCores <= 0 {
		t.Errorf("rate %+v", r.Rate)
	}
}

func TestRefusalIsNotMeasured(t *testing.T) {
	if _, err := Run(t.Context(), Options{}); !errs.Is(err, errs.BadRequest) {
		t.Errorf("without URLs: %v", err)
	}
}
