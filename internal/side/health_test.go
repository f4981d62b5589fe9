package side

import (
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Symptom: a target that answers probes and hangs on requests gets a request to hang
// on each second. The penalty grows with each failure in a row, and only those.
func TestPenaltyGrowsWithFailuresOfRequestsOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	var h health
	for _, want := range []time.Duration{1, 2, 4, 8, 16, 30, 30} {
		h.failed(now)
		if got := h.until.Sub(now); got != want*time.Second || !h.bad {
			t.Fatalf("penalty %v, want %v s", got, want)
		}
		if h.wantsProbe(h.until.Add(-1)) || !h.wantsProbe(h.until) {
			t.Fatal("probed at the wrong time")
		}
		now = h.until
		h.probed(now, true)
	}
	h.failed(now)
	now = h.until
	for range 5 {
		h.probed(now, false)
		if got := h.until.Sub(now); got != minPenalty || !h.bad {
			t.Fatalf("a failed probe costs %v", got)
		}
	}
	h.answered()
	h.failed(now)
	if got := h.until.Sub(now); got != minPenalty {
		t.Fatalf("penalty %v after an answer", got)
	}
}

// Symptom: requests go to a target that is down until the first few have failed there.
func TestUnreachableEngineIsUnhealthyBeforeAnyRequest(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.failLoad(errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo))
		time.Sleep(time.Second)
		synctest.Wait()
		loads := b.entry.frames(func(f *structs.Frame) bool { return f.Load != nil })
		if !loads[len(loads)-1].Load.Unhealthy {
			t.Fatal("entries were not told")
		}
		b.target.failLoad(nil)
		time.Sleep(minPenalty + 2*watchEvery)
		synctest.Wait()
		loads = b.entry.frames(func(f *structs.Frame) bool { return f.Load != nil })
		if last := loads[len(loads)-1].Load; last.Unhealthy || len(last.Loaded) != 1 {
			t.Fatalf("load %+v", last)
		}
	})
}
