package choose

import (
	"testing"
	"time"
)

var (
	start   = time.Unix(1_700_000_000, 0)
	nine    = FleetView{Median: 30 * time.Millisecond, Total: 9}
	failure = Outcome{Failed: true}
	answer  = Outcome{FirstByte: 30 * time.Millisecond}
)

func reportAll(h *Health, n int, o Outcome, f FleetView) {
	for range n {
		h.Report(start, o, f, 0.5)
	}
}

// Symptom: every request that a hanging target gets waits until its timeout.
// Sequence: a target accepts and never answers; its side still calls it well.
// Cause: only the side's word was believed.
func TestHangingTargetIsEjectedAndProbedOnce(t *testing.T) {
	var h Health
	reportAll(&h, failuresToEject-1, failure, nine)
	if h.State(start) != Well {
		t.Fatal("ejected too soon")
	}
	reportAll(&h, 1, failure, nine)
	if h.State(start) != Ejected {
		t.Fatal("not ejected")
	}
	back := start.Add(ejectBase)
	if h.State(back) != Probing || !h.BeginProbe(back) || h.BeginProbe(back) {
		t.Fatal("want exactly one probe after the ejection")
	}
	h.Report(back, answer, nine, 0.5)
	if h.State(back) != Well {
		t.Error("a good probe did not bring it back")
	}
}

func TestFailedProbesLengthenTheEjection(t *testing.T) {
	var h Health
	reportAll(&h, failuresToEject, failure, nine)
	now, last := start, time.Duration(0)
	for range 12 {
		from := now
		for h.State(now) == Ejected {
			now = now.Add(10 * time.Millisecond)
		}
		d := now.Sub(from)
		if d < last || d > 2*ejectMax {
			t.Fatalf("ejected for %v after %v", d, last)
		}
		last = d
		h.BeginProbe(now)
		h.Report(now, failure, nine, 0.5)
	}
	if last < ejectMax/2 {
		t.Errorf("longest ejection %v", last)
	}
}

// Symptom: a target that was ejected comes back well while it still hangs.
// Sequence: answers to requests from before the ejection arrive late.
// Cause: any outcome was taken for the probe's.
func TestLateOutcomesDontEndAnEjection(t *testing.T) {
	var h Health
	reportAll(&h, failuresToEject, failure, nine)
	reportAll(&h, 10, answer, nine)
	if h.State(start) != Ejected {
		t.Error("a late answer ended the ejection")
	}
}

// Symptom: the tail of latency follows one slow target.
// Sequence: a target answers ten times slower than its peers, without any error.
// Cause: only failures were counted.
func TestSlowTargetIsEjected(t *testing.T) {
	var h Health
	reportAll(&h, slowToEject, Outcome{FirstByte: 300 * time.Millisecond}, nine)
	if h.State(start) != Ejected {
		t.Error("not ejected")
	}
}

func TestSlownessSharedByAllEjectsNone(t *testing.T) {
	var h Health
	reportAll(&h, 10*slowToEject, Outcome{FirstByte: 300 * time.Millisecond}, FleetView{Median: 280 * time.Millisecond, Total: 9})
	if h.State(start) != Well {
		t.Error("ejected although its peers are as slow")
	}
}

// Symptom: an overload becomes an outage.
// Sequence: all targets fail for a while for one shared cause.
// Cause: each was ejected by itself until none was left.
func TestAtMostHalfIsEjected(t *testing.T) {
	for total := 1; total <= 9; total++ {
		hs := make([]Health, total)
		for range 3 * failuresToEject {
			for i := range hs {
				f := FleetView{Total: total}
				for j := range hs {
					if hs[j].State(start) != Well {
						f.Ejected++
					}
				}
				hs[i].Report(start, failure, f, 0.5)
			}
		}
		ejected := 0
		for i := range hs {
			if hs[i].State(start) != Well {
				ejected++
			}
		}
		if ejected != total/2 {
			t.Errorf("%d of %d ejected, want %d", ejected, total, total/2)
		}
	}
}

func TestPrefixSetForgetsTheOldest(t *testing.T) {
	var s PrefixSet
	s.Add([]uint64{1, 2, 3})
	if n := s.Match([]uint64{1, 2, 9}); n != 2 {
		t.Errorf("matched %d blocks, want 2", n)
	}
	for h := range uint64(MaxPrefixes) {
		s.Add([]uint64{100 + h})
	}
	if n := s.Match([]uint64{1, 2, 3}); n != 0 || len(s.has) != MaxPrefixes {
		t.Errorf("matched %d blocks of %d kept", n, len(s.has))
	}
}
