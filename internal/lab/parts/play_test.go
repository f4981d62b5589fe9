package parts

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
)

const (
	// maxLate is how many deadly requests may reach targets later than allowed, minBegun the share of the sound requests
	// afterwards that must not be rejected.
	maxLate  = 3
	minBegun = 0.5
)

// Guards against a way of finding deadly parts by which too many of their requests reach targets, or by which sound
// requests that share other parts are rejected.
func TestDeadlyPartsAreFoundAndSoundRequestsServed(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(*Options)
	}{
		{"middle part", func(*Options) {}},
		{"first part", func(o *Options) { o.IsFirstDeadly = true }},
		{"few sound requests", func(o *Options) { o.Sound = 1 }},
		{"one first part, few sound requests", func(o *Options) { o.Sound, o.Firsts = 4, 1 }},
		{"cold route", func(o *Options) { o.BadFrom, o.SoundFrom, o.Firsts = 0, 2*time.Second, 1 }},
		{"two deadly parts", func(o *Options) { o.DeadlyParts = 2 }},
		{"two deadly parts on a cold route", func(o *Options) { o.DeadlyParts, o.Sound, o.Firsts, o.BadFrom = 2, 2, 1, 0 }},
		{"targets lost for another reason", func(o *Options) { o.Lose, o.LoseShare = 4*time.Second, 0.34 }},
		{"young gateways", func(o *Options) { o.Restart = 5 * time.Second }},
		{"28 gateways, lost reports", func(o *Options) {
			o.Gateways, o.Targets, o.Sound, o.Bad, o.Loss, o.Duration = 28, 30, 80, 20, 0.1, 16*time.Second
		}},
	} {
		o := DefaultOptions()
		test.change(&o)
		r, err := Run(o, []Way{Explanation})
		if err != nil {
			t.Fatal(err)
		}
		got := r.Ways[0]
		t.Logf("%s: %+v", test.name, got)
		if got.Late > maxLate || got.LateSound == 0 || float64(got.LateSound-got.LateRejected) < minBegun*float64(got.LateSound) {
			t.Errorf("%s: %d deadly requests reach targets late, %d of %d later sound requests are rejected; want at most 3 and half", test.name, got.Late, got.LateRejected, got.LateSound)
		}
		if again, err := Run(o, []Way{Explanation}); err != nil || again.Ways[0] != got {
			t.Errorf("%s: the same seed gives %+v, error %v; want %+v", test.name, again.Ways[0], err, got)
		}
	}
	if _, err := Run(Options{}, Ways()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("options of no fleet: error %v, want errs.BadSettings", err)
	}
}

// Guards against requests that are rejected where targets are lost for another reason and no part is deadly.
func TestLostTargetsRejectNoRequests(t *testing.T) {
	for _, share := range []float64{0.34, 1} {
		o := DefaultOptions()
		o.DeadlyParts, o.Lose, o.LoseShare = 0, 6*time.Second, share
		r, err := Run(o, []Way{Explanation, Nothing})
		if err != nil {
			t.Fatal(err)
		}
		if r.Ways[0].Rejected > r.Ways[1].Rejected {
			t.Errorf("share of targets lost %.2f: %d sound requests rejected, %d without knowledge of parts; want no more", share, r.Ways[0].Rejected, r.Ways[1].Rejected)
		}
	}
}
