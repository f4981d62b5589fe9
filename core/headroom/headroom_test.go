package headroom

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	targets  = 40
	slots    = 8
	gainTime = 400 * time.Millisecond
	holdTime = 700 * time.Millisecond
	step     = 50 * time.Millisecond
)

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// squareWave is the rate of arrivals relative to their mean: 0.38 for 3.8 s and 1.84 for 2.8 s.
func squareWave(at time.Duration) float64 {
	if at%(6600*time.Millisecond) < 3800*time.Millisecond {
		return 0.38
	}
	return 1.84
}

func constant(time.Duration) float64 { return 1 }

// simulation holds the online requests at the targets. Each holds a slot for holdTime on average.
type simulation struct {
	rng    *rand.Rand
	rate   func(at time.Duration) float64
	mean   float64 // of the online requests at all targets
	at     time.Duration
	counts []Count
}

func newSimulation(seed uint64, mean float64, rate func(time.Duration) float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), rate: rate, mean: mean}
	for i := range targets {
		s.counts = append(s.counts, Count{Target: fmt.Sprint(i), Slots: slots})
	}
	return s
}

// run observes the simulation for a time and returns the time after it.
func (s *simulation) run(l *Learner, d time.Duration) time.Time {
	const substeps = 10
	for end := s.at + d; s.at < end; s.at += step {
		for i := range s.counts {
			s.counts[i].Peak = s.counts[i].Online
		}
		for range substeps {
			s.advance(step / substeps)
		}
		l.Observe(start.Add(s.at), "llm", s.counts)
	}
	return start.Add(s.at - step)
}

// advance ends requests, and adds arrivals at the targets with the fewest.
func (s *simulation) advance(d time.Duration) {
	share := d.Seconds() / holdTime.Seconds()
	for i := range s.counts {
		for range s.counts[i].Online {
			if s.rng.Float64() < share {
				s.counts[i].Online--
			}
		}
	}
	arrivals := s.mean * s.rate(s.at) * share
	for arrivals > 0 {
		if s.rng.Float64() < arrivals {
			c := &s.counts[s.rng.IntN(targets)]
			for range 2 {
				if other := &s.counts[s.rng.IntN(targets)]; other.Online < c.Online {
					c = other
				}
			}
			c.Online++
			c.Peak = max(c.Peak, c.Online)
		}
		arrivals--
	}
}

// Guards against a period that is missed, or taken as one of its multiples, in a square wave with random arrivals, and
// against starts just before the high phase.
func TestSquareWaveIsForecast(t *testing.T) {
	for seed := range uint64(5) {
		s, l := newSimulation(seed, 0.5*targets*slots, squareWave), New(Options{GainTime: gainTime})
		now := s.run(l, 40*time.Second) // 0.4 s into a low phase
		got := l.Summary("llm")
		if math.Abs(got.Period.Seconds()-6.6) > 0.15 {
			t.Errorf("seed %d: period %v, want 6.6 s", seed, got.Period)
		}
		low, _ := l.Forecast(now, "llm", 3*time.Second)
		high, isPeriodic := l.Forecast(now, "llm", 5500*time.Millisecond)
		if !isPeriodic || low > 0.6*got.Mean || high < 1.4*got.Mean {
			t.Errorf("seed %d: forecast %.0f in the low and %.0f in the high phase, periodic %t; want about 0.4 and 1.7 of %.0f", seed, low, high, isPeriodic, got.Mean)
		}
		now = s.run(l, 2*time.Second)
		inLow := l.Lasts(now, "llm", 3, 3, slots)
		now = s.run(l, 1400*time.Millisecond) // 0.1 s before the high phase
		beforeEdge := l.Lasts(now, "llm", 3, 3, slots)
		if inLow < 0.8 || beforeEdge > inLow-0.1 || !l.Summary("llm").IsRising {
			t.Errorf("seed %d: a slot lasts with probability %.2f in the low phase and %.2f ahead of the high phase, want 0.8 or more and less", seed, inLow, beforeEdge)
		}
	}
}

// Guards against a period found in demand that has none: steady arrivals, and levels that change at random times.
func TestAperiodicDemandFallsBackToTheLevel(t *testing.T) {
	periodic, checks := 0, 0
	for seed := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, 2))
		level, until := 1.0, time.Duration(0)
		random := func(at time.Duration) float64 {
			if at >= until {
				level, until = 0.3+1.4*rng.Float64(), at+time.Duration((0.5+7*rng.ExpFloat64())*float64(time.Second))
			}
			return level
		}
		for name, rate := range map[string]func(time.Duration) float64{"constant": constant, "random": random} {
			s, l := newSimulation(seed, 0.5*targets*slots, rate), New(Options{GainTime: gainTime})
			for range 10 {
				now := s.run(l, 10*time.Second)
				got, isPeriodic := l.Forecast(now, "llm", 3*time.Second)
				checks++
				if isPeriodic {
					periodic++
					if name == "constant" {
						t.Errorf("seed %d: period %v found in demand at a constant rate", seed, l.Summary("llm").Period)
					}
					continue
				}
				if name == "constant" && math.Abs(got-s.mean) > 0.25*s.mean {
					t.Errorf("seed %d: forecast %.0f, want the level of about %.0f", seed, got, s.mean)
				}
			}
		}
	}
	if periodic > checks/10 {
		t.Errorf("a period was found in %d of %d checks of demand without one", periodic, checks)
	}
}

// Guards against idle slots at a steady demand, where free slots last, and against starts in the last slot beside many
// requests, where they don't.
func TestSteadyDemandLeavesItsFreeSlots(t *testing.T) {
	s, l := newSimulation(1, 0.4*targets*slots, constant), New(Options{GainTime: gainTime})
	now := s.run(l, 20*time.Second)
	if p := l.Lasts(now, "llm", 3, 0, slots); p < 0.9 {
		t.Errorf("a slot beside 3 requests of 8 slots lasts with probability %.2f, want 0.9 or more", p)
	}
	if p := l.Lasts(now, "llm", 3, 4, slots); p > 0.5 {
		t.Errorf("the last slot beside 3 requests and 4 items lasts with probability %.2f, want less than 0.5", p)
	}
	if p := l.Lasts(now, "llm", 4, 4, slots); p != 0 {
		t.Errorf("probability %.2f without a free slot, want 0", p)
	}
}

// Guards against decisions by old data: after an outage of the reports nothing is periodic, and later nothing is known.
func TestOldDataIsNotUsed(t *testing.T) {
	s, l := newSimulation(1, 0.9*targets*slots, squareWave), New(Options{GainTime: gainTime})
	now := s.run(l, 40*time.Second)
	if _, isPeriodic := l.Forecast(now.Add(2*maxObservationAge), "llm", 0); isPeriodic {
		t.Error("a forecast from old observations is periodic, want the level")
	}
	if p := l.Lasts(now.Add(windowTime+time.Second), "llm", 6, 1, slots); p != 1 {
		t.Errorf("probability %.2f after the window, want 1 as for an unknown service", p)
	}
}

// Guards against memory that grows with the services and the targets.
func TestLearnerIsBounded(t *testing.T) {
	l := New(Options{GainTime: gainTime})
	counts := make([]Count, 3000)
	for i := range counts {
		counts[i] = Count{Target: fmt.Sprint(i), Online: i % 20, Slots: 1 + i%4}
	}
	for i := range 100 {
		for j := range 12 {
			l.Observe(start.Add(time.Duration(i+j)*time.Second), fmt.Sprint(i), counts)
		}
	}
	if len(l.services) > maxServices {
		t.Errorf("%d services, want %d at most", len(l.services), maxServices)
	}
	for name, s := range l.services {
		if len(s.watches.list) > maxWatches {
			t.Errorf("%s: %d targets are watched, want %d at most", name, len(s.watches.list), maxWatches)
		}
	}
}

// Guards against services of many targets of which some are never observed.
func TestManyTargetsAreWatchedInTurn(t *testing.T) {
	l, seen := New(Options{GainTime: gainTime}), make(map[string]bool)
	counts := make([]Count, 3*maxWatches+7)
	for i := range counts {
		counts[i] = Count{Target: fmt.Sprint(i), Slots: slots}
	}
	for i := range 6 * turnGainTimes * int(gainTime/step) {
		l.Observe(start.Add(time.Duration(i)*step), "llm", counts)
		for _, w := range l.services["llm"].watches.list {
			seen[w.target] = true
		}
	}
	if len(seen) != len(counts) {
		t.Errorf("%d of %d targets were watched", len(seen), len(counts))
	}
}

// BenchmarkObserve measures an observation of 3,000 targets; every twentieth searches for a period.
func BenchmarkObserve(b *testing.B) {
	l, counts, now := New(Options{GainTime: gainTime}), make([]Count, 3000), start
	for i := range counts {
		counts[i] = Count{Target: fmt.Sprint(i), Slots: slots}
	}
	for b.Loop() {
		now = now.Add(step)
		l.Observe(now, "llm", counts)
	}
}

// BenchmarkFindPeriod measures the search for a period, which takes place at most once a second.
func BenchmarkFindPeriod(b *testing.B) {
	var deviations [bins]float64
	variance := 0.0
	for i := range deviations {
		deviations[i] = squareWave(time.Duration(i)*binTime) - 1
		variance += deviations[i] * deviations[i]
	}
	for b.Loop() {
		findPeriod(deviations[:], variance)
	}
}

// Guards against a forecast whose time grows with the distance: callers state deadlines of years, and each rejected
// request takes up to 200 forecasts under a lock.
func TestFarForecastsTakeNoLonger(t *testing.T) {
	s, l := newSimulation(1, 0.5*targets*slots, squareWave), New(Options{GainTime: gainTime})
	now := s.run(l, 40*time.Second)
	const year = 365 * 24 * time.Hour
	for i := range 10_000 {
		online, isPeriodic := l.Forecast(now, "llm", 250*year+time.Duration(i)*time.Millisecond)
		if !isPeriodic || online < 0 || online > targets*slots {
			t.Fatalf("forecast %v, periodic %t, want a number of online requests from 0 to %d", online, isPeriodic, targets*slots)
		}
	}
}
