package costmodel

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxObservations is the largest number of observations in one report.
	maxObservations = 8
	// creditPerReport is the mean number of observations in a report, and minCredit the number from which they are
	// sent. The first observation in a report takes up to 23 bytes, another one 12, and a report without them
	// 32 to 111: so the reports grow by less than a quarter.
	creditPerReport = 0.5
	minCredit       = 2
	// maxRuns is the largest number of runs in one observation.
	maxRuns = 255
	// minPaceNews is the difference between the known effect of a pace and the one that peers know, as a
	// binary logarithm, from which they are told.
	minPaceNews = 0.3
	// paceNewsFactor is how many runs a change of pace by a factor of two is worth.
	paceNewsFactor = 4
)

// TakeObservations returns observations that peers have not received yet, and marks them as sent. It returns at
// most maxObservations, those with most news first, and in the mean over many calls at most creditPerReport. Others
// are kept and summed up until a later call.
func (m *Model) TakeObservations(now time.Time) []Observation {
	m.credit = min(maxObservations, m.credit+creditPerReport)
	if len(m.withNews) == 0 || m.credit < minCredit {
		return nil
	}
	type candidate struct {
		id   string
		t    *target
		news float64
	}
	var list []candidate
	for id, t := range m.withNews {
		news := t.news(now)
		if news == 0 {
			delete(m.withNews, id) // without an observation the known and the sent pace only come closer
			continue
		}
		list = append(list, candidate{id, t, news})
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.news, a.news), cmp.Compare(a.id, b.id)) })
	count := min(len(list), int(m.credit))
	m.credit -= float64(count)
	var observations []Observation
	for _, c := range list[:count] {
		observations = append(observations, c.t.takeObservation(now, c.id))
		delete(m.withNews, c.id)
	}
	return observations
}

// news returns how much peers have not been told of the target, in runs; 0 for nothing that they need.
func (t *target) news(now time.Time) float64 {
	news := float64(t.newRuns)
	if change := t.unsharedPace(now); change >= minPaceNews {
		news += paceNewsFactor * change
	}
	return news
}

// unsharedPace returns the difference between the effect of the pace and the one that peers compute.
func (t *target) unsharedPace(now time.Time) float64 {
	if !t.isOwnPace {
		return 0
	}
	return math.Abs(t.paceEffect(now, t.pace, t.paceAt) - t.paceEffect(now, t.sharedPace, t.sharedAt))
}

// takeObservation returns what peers have not been told of the target, and marks it as sent.
func (t *target) takeObservation(now time.Time, id string) Observation {
	o := Observation{Target: id, Runs: min(maxRuns, t.newRuns)}
	if t.newRuns > 0 {
		o.SpeedSum = t.newSpeedSum * float64(o.Runs) / float64(t.newRuns)
	}
	t.newRuns, t.newSpeedSum = 0, 0
	if t.isOwnPace && now.Sub(t.paceAt) < paceDecay {
		o.Pace, o.PaceAge = math.Exp2(t.pace), max(0, now.Sub(t.paceAt))
		t.sharedPace, t.sharedAt = t.pace, t.paceAt
	}
	return o
}

// ApplyObservations adds the observations of a peer.
func (m *Model) ApplyObservations(now time.Time, list []Observation) {
	for _, o := range list {
		t := m.targetOf("", o.Target)
		if t == nil || math.IsNaN(o.SpeedSum) || math.IsNaN(o.Pace) {
			continue
		}
		t.apply(now, m.median(now, t.service), o)
		if o.Pace > 0 && t.service != "" {
			m.notePace(t.service)
		}
		if s, ok := m.services[t.service]; ok {
			s.isMedianStale = true
		}
	}
}

// apply adds an observation of a peer.
func (t *target) apply(now time.Time, median float64, o Observation) {
	runs := max(0, min(maxRuns, o.Runs))
	if runs > 0 {
		t.current = currentSlowness{}
		t.speed.add(now, median, clip(o.SpeedSum, maxSlowness*float64(runs)), runs)
		t.runs += runs
	}
	if o.Pace <= 0 {
		return
	}
	pace := math.Log2(max(minPacePercent, min(maxPacePercent, 100*o.Pace)) / 100)
	if runs > 0 {
		t.usualPace.add(now, 0, pace*float64(runs), runs)
	}
	if at := now.Add(-max(0, o.PaceAge)); t.setPace(at, pace, false) {
		t.sharedPace, t.sharedAt = pace, at
	}
}

// TargetSummary is what is known of a target, for operators.
type TargetSummary struct {
	ID, Service string
	Slowness    float64       // as returned by Model.Slowness
	Pace        float64       // part of Slowness that follows from the reported pace
	Age         time.Duration // since the last observed run of any gateway; 0 if Runs is 0
	Runs        int           // of all gateways
}

// Targets returns what is known of all targets, in the order of their ids.
func (m *Model) Targets(now time.Time) []TargetSummary {
	list := make([]TargetSummary, 0, len(m.targets))
	for id, t := range m.targets {
		s := TargetSummary{ID: id, Service: t.service, Slowness: m.Slowness(now, id), Pace: m.Pace(now, id), Runs: t.runs}
		if t.runs > 0 {
			s.Age = max(0, now.Sub(t.speed.at))
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b TargetSummary) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
