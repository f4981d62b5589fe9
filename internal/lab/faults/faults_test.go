package faults

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
)

// testSpan is long enough for some faults beside those of the drill.
const testSpan = 3 * time.Second

func testRun(t *testing.T, guard string) *Report {
	t.Helper()
	o := DefaultOptions()
	o.Span = testSpan
	if guard != "" {
		o.Span = 0
	}
	o.Break = guard
	r, err := Run(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(r)
	return r
}

// The drill of each run has brought about what the guards are for, so that a run without
// violations says something.
func TestPromisesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	r := testRun(t, "")
	if r.Violations > 0 {
		t.Errorf("violations %v", r.Details)
	}
	if r.Accepted == 0 || r.Accepted != r.Completed+r.Cancelled {
		t.Errorf("%d accepted, %d completed, %d cancelled", r.Accepted, r.Completed, r.Cancelled)
	}
	if r.CopiesPassed == 0 || r.StalePassed == 0 {
		t.Errorf("%d second copies and %d appends of an old epoch came about", r.CopiesPassed, r.StalePassed)
	}
}

// A check that can't fail proves nothing: with a guard off, the drill of the same seed must
// report violations.
func TestBrokenGuardsAreReported(t *testing.T) {
	for _, guard := range Breaks {
		t.Run(guard, func(t *testing.T) {
			t.Parallel()
			if r := testRun(t, guard); r.Violations == 0 || r.StaleActs == 0 {
				t.Errorf("%d violations, %d stale acts", r.Violations, r.StaleActs)
			}
		})
	}
}

func TestUnknownGuardIsRefused(t *testing.T) {
	if _, err := Run(t.Context(), Options{Break: "none"}); !errs.Is(err, errs.BadRequest) {
		t.Errorf("got %v", err)
	}
}
