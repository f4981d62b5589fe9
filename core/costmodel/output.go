package costmodel

import "math"

// output is what is known of the number of events of a route's streams. All values are binary logarithms.
type output struct {
	events  window // events of a stream
	perMax  window // events per token of the stated maximum
	perHint window // events per hinted token
}

// observe adds the number of events of a complete stream.
func (o *output) observe(s Size, events int) {
	n := math.Log2(float64(events))
	o.events.add(n, 0)
	if s.MaxOutputTokens > 0 {
		o.perMax.add(n-math.Log2(float64(s.MaxOutputTokens)), 0)
	}
	if s.LengthHint > 0 {
		o.perHint.add(n-math.Log2(float64(s.boundedHint())), 0)
	}
}

const (
	// minRatios is the number of streams from which the ratio of events to stated tokens is used.
	minRatios = 3
	// minFarShare is the assumed share of hints that are far off while fewer were observed.
	minFarShare = 0.05
	// farOffRange is the range over which hints that are far off are assumed to be spread evenly: factors
	// from a thousandth to a thousand.
	farOffRange = 20
)

// expectedEvents returns the expected number of events of a stream. It combines the usual number of the route, the
// number by the stated maximum and the number by the hint. A hint counts the less, the more often hints of
// the route were far off and the less likely the number is that it leads to. The result is within a factor of two
// of the numbers that were observed, whatever the caller states.
func (o *output) expectedEvents(s Size) float64 {
	least, largest := o.events.bounds()
	return math.Exp2(max(least-farOff, min(largest+farOff, o.logEvents(s))))
}

// logEvents returns the estimate of expectedEvents as a binary logarithm, without its bounds.
func (o *output) logEvents(s Size) float64 {
	expected, variance := o.events.median(), o.events.variance()
	if s.MaxOutputTokens > 0 && o.perMax.len() >= minRatios {
		byMax := math.Log2(float64(s.MaxOutputTokens)) + o.perMax.median()
		expected, variance = combine(expected, variance, byMax, o.perMax.variance())
	}
	if s.LengthHint <= 0 || o.perHint.len() < minRatios {
		return expected
	}
	byHint := math.Log2(float64(s.boundedHint())) + o.perHint.median()
	farShare := max(minFarShare, o.perHint.farShare())
	// The variance of the combined estimate is smaller than that of a single stream around it.
	streamVariance := o.events.variance()
	near := (1 - farShare) * normalDensity(byHint-expected, streamVariance+o.perHint.variance())
	trust := near / (near + farShare/farOffRange)
	withHint, _ := combine(expected, variance, byHint, o.perHint.variance())
	return trust*withHint + (1-trust)*expected
}

// combine returns the mean of two estimates, weighted by the inverse of their variances, and the smaller of the
// variances: the estimates are not independent.
func combine(a, varianceA, b, varianceB float64) (mean, variance float64) {
	return (a*varianceB + b*varianceA) / (varianceA + varianceB), min(varianceA, varianceB)
}

// normalDensity returns the density of a normal distribution at a distance from its mean.
func normalDensity(distance, variance float64) float64 {
	return math.Exp(-distance*distance/(2*variance)) / math.Sqrt(2*math.Pi*variance)
}
