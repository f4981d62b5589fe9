package fleet

import (
	"bytes"
	"strings"
	"testing"

	"arbutusramp/core/policy"
)

func quiet(string, policy.Mechanism) {}

// What the mechanisms are for must show where they are for it: in overloads of very different fleets.
func TestMechanismsAreWorthSomething(t *testing.T) {
	shapes := Shapes()[1:2]
	rows, err := Ablate(shapes, []policy.Mechanism{policy.Preemption, policy.PeerLoads, policy.StaggeredStarts}, 1, 2, quiet)
	if err != nil {
		t.Fatal(err)
	}
	on := rows[0]
	for _, r := range rows[1:] {
		switch r.Off {
		case policy.Preemption, policy.PeerLoads:
			if r.Streams.Mean > on.Streams.Mean-0.03 {
				t.Errorf("%s: %.3f of the streams in time without it, %.3f with it", r.Off, r.Streams.Mean, on.Streams.Mean)
			}
		case policy.StaggeredStarts:
			if r.Cut.Mean < 1.2*on.Cut.Mean {
				t.Errorf("%s: %.0f runs cut without it, %.0f with it", r.Off, r.Cut.Mean, on.Cut.Mean)
			}
		}
	}
}

// Fleets that nobody has chosen: no mechanism may do harm there, and most callers must be served in time.
func TestDrawnFleetsAreServed(t *testing.T) {
	const harm = 0.03
	shapes := DrawShapes(7, 4)
	off := []policy.Mechanism{policy.RetryLater, policy.QueueRetries}
	rows, err := Ablate(shapes, off, 1, 4, quiet)
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(rows); i += 1 + len(off) {
		on := rows[i]
		if on.Streams.Mean < 0.7 || on.Items.Mean < 0.7 {
			t.Errorf("%s: %.3f of the streams and %.3f of the items in time", on.Shape, on.Streams.Mean, on.Items.Mean)
		}
		for _, r := range rows[i+1 : i+1+len(off)] {
			if r.Streams.Mean > on.Streams.Mean+harm {
				t.Errorf("%s: %.3f of the streams in time without %s, %.3f with it", r.Shape, r.Streams.Mean, r.Off, on.Streams.Mean)
			}
		}
	}
}

func TestAnAblationIsPrintedAndRepeats(t *testing.T) {
	var texts [2]bytes.Buffer
	for i := range texts {
		shapes := DrawShapes(3, 1)
		shapes[0].Options.Seconds = 5
		rows, err := Ablate(shapes, []policy.Mechanism{policy.StaggeredStarts}, 2, 2, quiet)
		if err != nil {
			t.Fatal(err)
		}
		if err := PrintAblation(&texts[i], rows); err != nil {
			t.Fatal(err)
		}
	}
	if texts[0].String() != texts[1].String() || strings.Count(texts[0].String(), "\n") != 3 {
		t.Errorf("%s\n%s", texts[0].String(), texts[1].String())
	}
}
