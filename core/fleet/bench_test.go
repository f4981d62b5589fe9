package fleet

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
)

// fleetSizes are the numbers of targets to benchmark with: a small fleet and a large one.
var fleetSizes = []int{44, 3000}

// benchFleet returns a fleet with that many targets of one service in five failure domains.
func benchFleet(targets int) *Fleet {
	f := New(Options{Self: "self", Domain: "d1", PeerTTL: time.Hour})
	for i := range targets {
		f.Put(serving.Target{ID: fmt.Sprintf("i-%08x", i), Service: "llm", Domain: fmt.Sprintf("d%d", i%5), Slots: 7})
	}
	return f
}

// BenchmarkPickOnline measures the choice of a target, which takes place once per attempt of an online
// request.
func BenchmarkPickOnline(b *testing.B) {
	for _, targets := range fleetSizes {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f, now := benchFleet(targets), time.Now()
			for b.Loop() {
				if _, ok := f.PickOnline(now, Work{Service: "llm"}, nil); !ok {
					b.Fatal("no target was picked")
				}
			}
		})
	}
}

// learnedFleet returns benchFleet with expected times in use and known costs of all targets.
func learnedFleet(targets int, now time.Time) *Fleet {
	f := benchFleet(targets)
	f.opts.ExpectedTime = ExpectedTimeOn
	f.RecordHoldTime("llm", time.Second)
	for i := range targets {
		id := fmt.Sprintf("i-%08x", i)
		f.ObservePace(now, id, 100+i%50)
		f.ObserveRun(now, costmodel.Run{
			Service: "llm", Route: "chat", Target: id, Load: 1 + i%7, Slots: 7, FirstEvent: 50 * time.Millisecond, EventTime: time.Second, Events: 50, IsStream: true, IsComplete: true,
		})
	}
	return f
}

// BenchmarkPickOnlineByExpectedTime measures the same where targets are chosen by expected time.
func BenchmarkPickOnlineByExpectedTime(b *testing.B) {
	for _, targets := range fleetSizes {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			now := time.Now()
			f := learnedFleet(targets, now)
			for b.Loop() {
				if _, ok := f.PickOnline(now, Work{Service: "llm", Route: "chat", IsStream: true}, nil); !ok {
					b.Fatal("no target was picked")
				}
			}
		})
	}
}

// BenchmarkEstimateOfFullTargets measures the estimate for an online request, which is made once per request and, for
// the first queued one, every 10 ms, while online requests hold all slots.
func BenchmarkEstimateOfFullTargets(b *testing.B) {
	for _, targets := range fleetSizes {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			now := time.Now()
			f := learnedFleet(targets, now)
			for _, ts := range f.targets {
				ts.ownLoad.Online = ts.Slots
			}
			for b.Loop() {
				if e := f.Estimate(now, Work{Service: "llm", Route: "chat", IsStream: true}); e.StartRate == 0 {
					b.Fatal("the start rate is unknown")
				}
			}
		})
	}
}

// BenchmarkApplyReport measures applying a peer's report and computing the preemptions that follow from it,
// at a gateway with three batch items.
func BenchmarkApplyReport(b *testing.B) {
	const items = 3
	for _, targets := range fleetSizes {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			f, now := benchFleet(targets), time.Now()
			for i := range items {
				f.Begin(now, fmt.Sprintf("i-%08x", i), structs.ClassBatch)
			}
			for b.Loop() {
				f.ApplyReport(now, "peer", Report{Loads: map[string]Load{"i-00000001": {Online: 2}}})
				f.Preempt(now)
			}
		})
	}
}
