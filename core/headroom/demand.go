package headroom

import (
	"math"
	"time"
)

const (
	// binTime is the resolution of the demand's history, and bins its length.
	binTime = 100 * time.Millisecond
	bins    = int64(windowTime / binTime)
	// analyzeInterval is the shortest time between two searches for a period.
	analyzeInterval = time.Second
	// minPeriod and maxPeriod bound the periods that are searched for, in bins. maxPeriod leaves at least two
	// periods in the window.
	minPeriod, maxPeriod = 10, 120
	// minCorrelation is the autocorrelation at which a period counts as found. The estimate is the biased one,
	// which falls with the lag, so that a lag covered by few samples needs a clearer repetition.
	minCorrelation = 0.5
	// minTroughDepth is how far the autocorrelation must fall before the peak at the period. Demand that drifts
	// slowly has a high autocorrelation at all short lags and no trough.
	minTroughDepth = 0.5
	// harmonicShare is the share of the highest peak that a peak at a shorter lag must reach to be taken as the
	// period instead: multiples of a period repeat the demand as well.
	harmonicShare = 0.75
	// minDispersion is the variance of the demand relative to its mean below which no period is searched for.
	// Independent arrivals at a constant rate have 1.
	minDispersion = 2
	// maxForecastPeriods is how many past periods a forecast averages.
	maxForecastPeriods = 3
	// trendSwingShare is the share of the swing by which the forecast must change for the demand to count as rising or
	// falling.
	trendSwingShare = 0.1
	// trendNoise is how many standard deviations of independent arrivals the demand must have changed within
	// trendBins to count as rising or falling without a forecast.
	trendNoise = 1.0
	trendBins  = 3
	// levelBins is the number of bins of the level.
	levelBins = int64(time.Second / binTime)
)

// demand is the history of the online requests of a service, in bins of binTime, with its period.
type demand struct {
	start       time.Time // of bin 0
	values      [bins]float64
	first, last int64   // first bin in the window and current bin
	sum         float64 // of the samples in the current bin
	samples     int
	analyzedAt  time.Time
	mean, swing float64
	period      float64 // in bins; 0 if the demand is not periodic
}

// add records the number of online requests. Bins without a sample repeat the one before.
func (d *demand) add(now time.Time, online float64) {
	if d.samples == 0 {
		d.start, d.analyzedAt = now, now
	}
	bin := max(d.last, int64(now.Sub(d.start)/binTime))
	for d.last < bin {
		previous := d.current()
		d.last++
		d.values[d.last%bins] = previous
		d.sum, d.samples = 0, 0
	}
	d.first = max(d.first, d.last-bins+1)
	d.sum += online
	d.samples++
	d.values[d.last%bins] = d.sum / float64(d.samples)
	if now.Sub(d.analyzedAt) >= analyzeInterval {
		d.analyzedAt = now
		d.analyze()
	}
}

// current returns the value of the current bin.
func (d *demand) current() float64 { return d.values[d.last%bins] }

// level returns the mean of the last second.
func (d *demand) level() float64 {
	first := max(d.first, d.last-levelBins+1)
	sum := 0.0
	for i := first; i <= d.last; i++ {
		sum += d.values[i%bins]
	}
	return sum / float64(d.last-first+1)
}

// at returns the value at a position between two bins of the window.
func (d *demand) at(position float64) float64 {
	floor := math.Floor(position)
	i := int64(floor)
	a, b := d.values[i%bins], d.values[min(i+1, d.last)%bins]
	return a + (position-floor)*(b-a)
}

// analyze computes the mean, the swing and the period from the completed bins of the window.
func (d *demand) analyze() {
	n := int(d.last - d.first)
	var deviations [bins]float64
	sum := 0.0
	for i := range n {
		deviations[i] = d.values[(d.first+int64(i))%bins]
		sum += deviations[i]
	}
	d.mean, d.period = sum/float64(max(1, n)), 0
	var above, below, variance float64
	countAbove := 0
	for i := range n {
		deviations[i] -= d.mean
		variance += deviations[i] * deviations[i]
		if deviations[i] > 0 {
			above += deviations[i]
			countAbove++
		} else {
			below -= deviations[i]
		}
	}
	d.swing = above/float64(max(1, countAbove)) + below/float64(max(1, n-countAbove))
	if n == 0 || variance/float64(n) < minDispersion*d.mean {
		return
	}
	d.period = findPeriod(deviations[:n], variance)
}

// findPeriod returns the period of a series in bins, or 0 if it has none. deviations are the values minus their
// mean, and variance is the sum of their squares.
func findPeriod(deviations []float64, variance float64) float64 {
	longest := min(maxPeriod, len(deviations)/2)
	if variance <= 0 || longest <= minPeriod {
		return 0
	}
	var correlation [maxPeriod + 1]float64
	for lag := 1; lag <= longest; lag++ {
		correlation[lag] = correlationAt(deviations, lag) / variance
	}
	best, trough := 0, 1.0
	var peaks []int
	for lag := 1; lag < longest; lag++ {
		c := correlation[lag]
		trough = min(trough, c)
		if lag < minPeriod || c < minCorrelation || c-trough < minTroughDepth || c < correlation[lag-1] || c < correlation[lag+1] {
			continue
		}
		peaks = append(peaks, lag)
		if best == 0 || c > correlation[best] {
			best = lag
		}
	}
	for _, lag := range peaks {
		if correlation[lag] >= harmonicShare*correlation[best] {
			return refine(correlation[lag-1], correlation[lag], correlation[lag+1], lag)
		}
	}
	return 0
}

// correlationAt returns the sum of the products of values that are lag bins apart.
func correlationAt(deviations []float64, lag int) float64 {
	sum := 0.0
	for i, v := range deviations[lag:] {
		sum += v * deviations[i]
	}
	return sum
}

// refine returns the position of the maximum of a parabola through a peak and its neighbours.
func refine(before, peak, after float64, lag int) float64 {
	curvature := before - 2*peak + after
	if curvature >= 0 {
		return float64(lag)
	}
	return float64(lag) + 0.5*(before-after)/curvature
}

// forecast returns the expected demand after a time: the mean of the values that lie whole periods before it, or the
// level if the demand is not periodic.
func (d *demand) forecast(now time.Time, ahead time.Duration) (online float64, isPeriodic bool) {
	if d.period == 0 {
		return d.level(), false
	}
	position := float64(now.Sub(d.start)+ahead)/float64(binTime) - 0.5 // a bin's value belongs to its middle
	sum, periods := 0.0, 0
	// The first multiple of the period that leads back into the window is computed: callers may state deadlines of years.
	for k := max(1, math.Floor((position-float64(d.last))/d.period)+1); periods < maxForecastPeriods; k++ {
		p := position - k*d.period
		if p < float64(d.first) {
			break
		}
		if p >= float64(d.last) {
			continue // by rounding
		}
		sum += d.at(p)
		periods++
	}
	if periods == 0 {
		return d.level(), false
	}
	return sum / float64(periods), true
}

// trend is the direction of the demand.
type trend uint8

const (
	steady trend = iota
	rising
	falling
	trends
)

// trend returns the direction of the demand within the time ahead by the forecast, or its direction in the last trendBins.
// A rise in either takes precedence.
func (d *demand) trend(now time.Time, ahead time.Duration) trend {
	var rise, fall float64 // by the forecast
	if d.period > 0 {
		base, _ := d.forecast(now, 0)
		for step := binTime; step <= ahead; step += binTime {
			later, _ := d.forecast(now, step)
			rise, fall = max(rise, later-base), max(fall, base-later)
		}
	}
	change, noise := 0.0, math.Inf(1)
	if d.last-d.first >= trendBins {
		before := d.values[(d.last-trendBins)%bins]
		change, noise = d.current()-before, trendNoise*math.Sqrt(max(1, before))
	}
	switch limit := trendSwingShare * d.swing; {
	case d.period > 0 && rise > limit || change > noise:
		return rising
	case d.period > 0 && fall > limit || change < -noise:
		return falling
	}
	return steady
}
