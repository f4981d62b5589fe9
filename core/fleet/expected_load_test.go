package fleet

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// loadSeeds is the number of seeds that the simulations are run with where a test sums over seeds.
var loadSeeds = flag.Uint64("fleet.seeds", 1, "number of seeds of simulated loads")

// unevenCase is a demand of streams that alternates between two levels, at 28 gateways before 40 targets of which a
// third is 2.4 times slower. demand is its mean as a share of the capacity.
func unevenCase(demand float64) loadCase {
	c := loadCase{
		gateways: 28, slots: 8, slowness: make([]float64, 40), firstEvent: 57 * ms, hold: 950 * ms, sizeSpread: 0.5, goal: 300 * ms, hasWave: true, isStream: true,
		duration: lowDuration + highDuration, callerTimeout: 5 * time.Second, reportDelay: 5 * ms, domains: 5, seed: 1,
	}
	for i := range c.slowness {
		c.slowness[i] = 1
		if i%3 == 2 {
			c.slowness[i] = 2.4
		}
		c.rate += demand * float64(c.slots) / (c.slowness[i] * c.hold.Seconds())
	}
	return c
}

// callCase is a demand of calls of 100 ms with a goal of 300 ms at three gateways before two targets of eight slots, as
// a multiple of their capacity of 160 calls per second.
func callCase(demand float64) loadCase {
	return loadCase{
		gateways: 3, slots: 8, slowness: []float64{1, 1}, hold: 100 * ms, sizeSpread: 0.1, goal: 300 * ms, rate: 160 * demand, hasAdmission: true,
		duration: 10 * time.Second, callerTimeout: 5 * time.Second, reportDelay: 5 * ms, seed: 1,
	}
}

// simulateSeeds returns the sum of the results of the case with some seeds.
func simulateSeeds(c loadCase, seeds uint64) loadResult {
	var sum loadResult
	for c.seed = range seeds {
		r := simulate(c)
		sum.requests, sum.sent, sum.inGoal, sum.lateAnswers = sum.requests+r.requests, sum.sent+r.sent, sum.inGoal+r.inGoal, sum.lateAnswers+r.lateAnswers
		sum.queued, sum.queuedLate, sum.retries, sum.rejected = sum.queued+r.queued, sum.queuedLate+r.queuedLate, sum.retries+r.retries, sum.rejected+r.rejected
		sum.longestQueue, sum.otherDomain = max(sum.longestQueue, r.longestQueue), sum.otherDomain+r.otherDomain
	}
	return sum
}

// choosers are the compared methods of choosing a target by expected time; nil is the one that PickOnline uses.
var choosers = []struct {
	name string
	pick func(*rand.Rand) func(f *Fleet, now time.Time, w Work) Choice
}{
	{"weighted by expected time and free slots", nil},
	{"earliest", func(*rand.Rand) func(*Fleet, time.Time, Work) Choice { return pickEarliest }},
	{"earliest of eight random", pickEarliestOf(8)},
}

func pickEarliest(f *Fleet, now time.Time, w Work) Choice {
	list, _ := f.onlineCandidates(now, w, nil)
	_, best := f.expectAll(now, w, list)
	return f.choice(best.candidate, "")
}

func pickEarliestOf(d int) func(*rand.Rand) func(*Fleet, time.Time, Work) Choice {
	return func(rng *rand.Rand) func(*Fleet, time.Time, Work) Choice {
		return func(f *Fleet, now time.Time, w Work) Choice {
			list, _ := f.onlineCandidates(now, w, nil)
			sortByID(list)
			rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
			_, best := f.expectAll(now, w, list[:d])
			return f.choice(best.candidate, "")
		}
	}
}

// Guards against herding: gateways that all choose the earliest target send it more requests between two reports than
// it has free slots.
func TestGatewaysDoNotChooseTheSameTarget(t *testing.T) {
	becomeFast := func(s *loadSim) { s.targets["t0"].slowness = 0.25 }
	for _, load := range []struct {
		name   string
		demand float64
		delay  time.Duration
		change func(*loadSim)
	}{
		{"half of the capacity, reports after 25 ms", 0.5, 25 * ms, nil},
		{"0.62 of the capacity, a target becomes fast", 0.62, 5 * ms, becomeFast},
	} {
		c := unevenCase(load.demand)
		c.reportDelay, c.change = load.delay, load.change
		t.Logf("%s, by load: %v", load.name, simulate(c))
		c.expected = true
		var results []loadResult
		for _, m := range choosers {
			c.pick = nil
			if m.pick != nil {
				c.pick = m.pick(rand.New(rand.NewPCG(1, 1)))
			}
			r := simulate(c)
			t.Logf("%s, %s: %v", load.name, m.name, r)
			results = append(results, r)
		}
		if kept, earliest := results[0], results[1]; kept.lateShare() > earliest.lateShare() || 3*kept.longestQueue > 2*earliest.longestQueue {
			t.Errorf("%s: share of late first events %.3f, longest queue %d; all gateways choosing the earliest target: %.3f, %d; want less, and at most two thirds of the queue", load.name, kept.lateShare(), kept.longestQueue, earliest.lateShare(), earliest.longestQueue)
		}
	}
}

// Guards against late first events at targets of different speed: by load alone, slow targets fill up like fast ones.
func TestUnevenTargetsUnderASquareWave(t *testing.T) {
	for _, demand := range []float64{0.55, 0.62, 0.8} {
		c := unevenCase(demand)
		c.hasAdmission = true
		byLoad := simulateSeeds(c, *loadSeeds)
		c.expected = true
		byTime := simulateSeeds(c, *loadSeeds)
		t.Logf("%.2f of the capacity\nby load: %v\nby time: %v", demand, byLoad, byTime)
		if byTime.lateShare() >= byLoad.lateShare() {
			t.Errorf("at %.2f of the capacity the share of late first events is %.3f, by load alone %.3f; want less", demand, byTime.lateShare(), byLoad.lateShare())
		}
	}
}

// Guards against goodput collapse: with twice the calls that can be served, admission that ignores the duration of a call
// spends most of the capacity on late answers.
func TestCallsAtTwiceTheCapacity(t *testing.T) {
	goodput := func(r loadResult, c loadCase) float64 { return float64(r.inGoal) / (160 * c.duration.Seconds()) }
	for _, demand := range []float64{1.2, 2} {
		c := callCase(demand)
		byLoad := goodput(simulate(c), c)
		c.expected = true
		r := simulate(c)
		t.Logf("demand %.1f: %.3f of the capacity in goal, by load alone %.3f; %v", demand, goodput(r, c), byLoad, r)
		if got := goodput(r, c); got < 0.7 || got < byLoad {
			t.Errorf("demand %.1f: %.3f of the capacity in goal, by load alone %.3f; want at least 0.7 and no less than that", demand, got, byLoad)
		}
	}
}

// Guards against a stampede of rejected callers that retry when the targets are as full as before: a caller that retries at
// the given time finds a place.
func TestRejectedCallersFindAPlace(t *testing.T) {
	wave := callCase(0.8)
	wave.hasWave = true
	for _, load := range []struct {
		name string
		load loadCase
		want float64
	}{
		{"a square wave of calls at 0.8 of the capacity", wave, 0.95},
		{"a steady demand of 1.2 of the capacity", callCase(1.2), 0.8},
	} {
		byLoad := simulate(load.load)
		load.load.expected = true
		r := simulate(load.load)
		share := func(r loadResult) float64 { return float64(r.returnedInGoal) / float64(max(1, r.returned)) }
		t.Logf("%s: %d second attempts, %.3f of them in goal; by load alone %d, %.3f\nby load: %v\nby time: %v", load.name, r.returned, share(r), byLoad.returned, share(byLoad), byLoad, r)
		if got := share(r); got < load.want || got <= share(byLoad) {
			t.Errorf("%s: %.3f of the second attempts are in goal, by load alone %.3f; want at least %.2f and more than that", load.name, got, share(byLoad), load.want)
		}
	}
}
