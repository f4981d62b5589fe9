package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusramp/core/policy"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// costAwareFleet returns the fleet of a gateway with that many targets of eight slots, whose costs are predicted.
func costAwareFleet(targets int, disabled ...policy.Mechanism) *Fleet {
	off := make(policy.Disabled)
	for _, m := range disabled {
		off[m] = true
	}
	f := New(Options{Self: "self", PeerTTL: time.Hour, ExpectedTime: ExpectedTimeOn, YieldsInOverload: true, Disabled: off})
	for i := range targets {
		f.Put(serving.Target{ID: fmt.Sprintf("t%04d", i), Service: "llm", Slots: 8})
	}
	return f
}

// learn reports counts of online requests for that many steps of 50 ms, drawn by count for each target, and returns the
// time after them.
func learn(f *Fleet, now time.Time, steps int, count func(step int) int) time.Time {
	for step := range steps {
		loads := make(map[string]Load)
		for id := range f.targets {
			loads[id] = Load{Online: count(step)}
		}
		f.ApplyReport(now, "peer", Report{Loads: loads})
		now = now.Add(observeInterval)
	}
	return now
}

// pickWhenSettled returns the choice for w after the free slots have been unchanged for some time.
func pickWhenSettled(f *Fleet, now time.Time, w Work) BatchPick {
	f.PickBatchSlot(now, w)
	return f.PickBatchSlot(now.Add(4*staggerInterval), w)
}

// Guards against items that start in slots which online requests take again at once: counts of 3 and 8 alternate every
// 200 ms, so a free slot never lasts for the gain time.
func TestItemsAreDeferredWhereSlotsDoNotLast(t *testing.T) {
	alternating := func(step int) int { return []int{3, 8}[step/4%2] }
	for _, c := range []struct {
		name     string
		disabled []policy.Mechanism
		w        Work
		want     DeferReason
	}{
		{"deferred", nil, Work{Service: "llm"}, DeferredForHeadroom},
		{"urgent items are deferred below their own threshold", nil, Work{Service: "llm", IsUrgent: true}, DeferredForHeadroom},
		{"not while the mechanism is disabled", []policy.Mechanism{policy.DemandForecast}, Work{Service: "llm"}, NotDeferred},
	} {
		f := costAwareFleet(10, c.disabled...)
		now := learn(f, start, 92, alternating)
		p := pickWhenSettled(f, now, c.w)
		if p.Deferral != c.want || p.IsPicked != (c.want == NotDeferred) {
			t.Errorf("%s: picked %t, deferral %v with probability %.2f; want deferral %v", c.name, p.IsPicked, p.Deferral, p.Probability, c.want)
		}
	}
}

// Guards against idle slots at a steady demand: where the counts stay, items start, and the last free slot is used.
func TestItemsStartAtSteadyDemand(t *testing.T) {
	f := costAwareFleet(10)
	now := learn(f, start, 100, func(int) int { return 7 })
	if p := pickWhenSettled(f, now, Work{Service: "llm"}); !p.IsPicked || p.Probability < minPatientProbability {
		t.Errorf("picked %t with probability %.2f, want a start with probability 1", p.IsPicked, p.Probability)
	}
}

// Guards against several gateways that start an item in the same slot when the free slots of many targets begin to
// last at the same time: the gateway second in turn leaves a single slot to the first for staggerInterval.
func TestStartsAreStaggeredFromWhenSlotsBeginToLast(t *testing.T) {
	f := costAwareFleet(1)
	now := learn(f, start, 100, func(int) int { return 7 })
	f.SetDemand(Demand{Items: 1, StartKey: 2})
	f.ApplyReport(now, "first", Report{Demand: Demand{Items: 1, StartKey: 1}})
	for after, want := range map[time.Duration]bool{0: false, staggerInterval: false, 2 * staggerInterval: true} {
		g := *f
		g.targets["t0000"].lasting = lastingSlots{}
		g.PickBatchSlot(now, Work{Service: "llm"})
		if p := g.PickBatchSlot(now.Add(after), Work{Service: "llm"}); p.IsPicked != want {
			t.Errorf("after %v: picked %t, want %t", after, p.IsPicked, want)
		}
	}
}

// Guards against batch items that take slots while online requests are rejected: all gateways defer them for the mean
// hold time after the last report, except urgent ones on a small share of the slots.
func TestBatchYieldsInOverload(t *testing.T) {
	const holdTime = 700 * time.Millisecond
	f, peer := costAwareFleet(4), costAwareFleet(4)
	f.RecordHoldTime("llm", holdTime)
	peer.RecordHoldTime("llm", holdTime)
	if !f.NoteOverload(start, "llm") || f.NoteOverload(start, "llm") {
		t.Error("want the first overload to be reported at once, and further ones with the regular report")
	}
	peer.ApplyReport(start, "self", f.Report(start))
	for name, g := range map[string]*Fleet{"gateway": f, "peer": peer} {
		if p := pickWhenSettled(g, start, Work{Service: "llm"}); p.Deferral != DeferredForOverload {
			t.Errorf("%s: deferral %v with %v, want one for the overload", name, p.Deferral, p.Choice)
		}
		started := 0
		for range 8 {
			if p := pickWhenSettled(g, start, Work{Service: "llm", IsUrgent: true}); p.IsPicked {
				g.Begin(start, p.Target.ID, structs.ClassBatch)
				started++
			}
		}
		if started != int(4*8*maxUrgentShare) {
			t.Errorf("%s: %d urgent items started, want %g of 32 slots", name, started, maxUrgentShare)
		}
		if p := pickWhenSettled(g, start.Add(holdTime+time.Millisecond), Work{Service: "llm"}); !p.IsPicked {
			t.Errorf("%s: %v after the mean hold time, want a start", name, p.Deferral)
		}
	}
	if list := f.Report(start.Add(overloadReportTime)).Overloaded; len(list) != 1 {
		t.Errorf("%v reported after %v, want the service in each report until then", list, overloadReportTime)
	}
	if list := f.Report(start.Add(overloadReportTime + 1)).Overloaded; len(list) != 0 {
		t.Errorf("%v reported after the report time, want none", list)
	}
}

// Guards against a changed decision, or a changed report, for services whose costs are not predicted or with the mechanism
// disabled.
func TestOverloadHasNoEffectElsewhere(t *testing.T) {
	for name, f := range map[string]*Fleet{"not predicted": testFleet("self", 1), "disabled": costAwareFleet(1, policy.YieldInOverload)} {
		f.NoteOverload(start, "llm")
		f.ApplyReport(start, "peer", Report{Overloaded: []string{"llm"}})
		if p := pickWhenSettled(f, start, Work{Service: "llm"}); !p.IsPicked || f.Report(start).Overloaded != nil || len(f.TakeOverloadChanges(start)) != 0 {
			t.Errorf("%s: picked %t with deferral %v, want a start and no overload", name, p.IsPicked, p.Deferral)
		}
	}
}

// Guards against an overload that is logged more or less than once at its begin and its end.
func TestOverloadChangesAreReturnedOnce(t *testing.T) {
	f := costAwareFleet(1)
	f.ApplyReport(start, "peer", Report{Overloaded: []string{"llm"}})
	var got []bool
	for step := range 30 {
		for _, c := range f.TakeOverloadChanges(start.Add(time.Duration(step) * 100 * time.Millisecond)) {
			got = append(got, c.IsOverloaded)
		}
	}
	if len(got) != 2 || !got[0] || got[1] || len(f.overloads) != 0 {
		t.Errorf("changes %v and %d overloads left, want one begin, one end and none left", got, len(f.overloads))
	}
}

// BenchmarkObserveDemand measures an observation of the demand, which takes place at most every 50 ms.
func BenchmarkObserveDemand(b *testing.B) {
	for _, targets := range fleetSizes {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f, now := costAwareFleet(targets), start
			for b.Loop() {
				now = now.Add(observeInterval)
				f.observeDemand(now)
			}
		})
	}
}

// BenchmarkPickBatchSlot measures the choice of a target for a batch item with and without the forecast.
func BenchmarkPickBatchSlot(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, targets := range fleetSizes {
		for name, off := range map[string]policy.Mechanism{"forecast": "", "present": policy.DemandForecast} {
			b.Run(fmt.Sprint(targets, name), func(b *testing.B) {
				f := costAwareFleet(targets, off)
				now := learn(f, start, 60, func(int) int { return int(math.Abs(3 + 2*rng.NormFloat64())) })
				for b.Loop() {
					f.PickBatchSlot(now, Work{Service: "llm"})
				}
			})
		}
	}
}
