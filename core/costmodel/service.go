package costmodel

import (
	"math/bits"
	"time"
)

// service is what is known of the requests of a service, apart from the slowness of its targets.
type service struct {
	first    curve // time to the first event of a stream, by number of prompt tokens
	gap      curve // time between two events
	anyRoute route // all routes, for those of which nothing is known
	lastUse  time.Time

	median        float64 // of the speeds of the targets; see Model.median
	medianAt      time.Time
	isMedianStale bool
}

// route is what is known of the requests of a route to one service.
type route struct {
	output  output
	whole   curve // duration of a call, by number of output tokens
	lastUse time.Time
}

// isCall reports whether more calls than streams of the route were observed.
func (r *route) isCall() bool { return r.whole.level.total > r.output.events.total }

// isKnown reports whether a whole answer of the route was observed.
func (r *route) isKnown() bool { return r.whole.level.total > 0 || r.output.events.total > 0 }

// curve is the usual duration of something, as a binary logarithm of seconds, and its dependence on the number of
// requests at the target and on the size of the request.
type curve struct {
	level     window
	occupancy effects
	size      effects
}

// at returns the usual duration for an occupancy class and a size class.
func (c *curve) at(class, size int) float64 {
	return c.level.median() + c.occupancy.at(class) + c.size.at(size)
}

// compare returns the difference of a duration at a target from the usual one at other targets; ok is false while
// too few runs at others are known. With the target's own runs in the level, a gateway that uses mainly one
// target would take its duration for the usual one.
func (c *curve) compare(class, size int, duration float64, tag uint32) (difference float64, ok bool) {
	level, n := c.level.medianWithout(tag)
	return duration - level - c.occupancy.at(class) - c.size.at(size), n >= minLevelRuns
}

// observe adds a duration at a target of the given slowness. What slowness and classes do not explain changes the
// level and the effects of the classes.
func (c *curve) observe(class, size int, duration, slowness float64, tag uint32) {
	if c.level.len() > 0 {
		residual := duration - slowness - c.at(class, size)
		c.occupancy.adjust(class, residual)
		c.size.adjust(size, residual)
	}
	c.level.add(duration-slowness-c.occupancy.at(class)-c.size.at(size), tag)
}

// classCount is the number of classes that effects can hold.
const classCount = 16

// effects holds the effect of each class on a duration, as a binary logarithm.
type effects struct {
	values [classCount]float64
	runs   [classCount]int
}

const (
	// effectPrior is the number of runs without effect that a class starts with.
	effectPrior = 4
	// minEffectWeight is the weight of a run after many.
	minEffectWeight = 0.02
	// maxResidual bounds the influence of one run: a factor of 2.8.
	maxResidual = 1.5
)

// at returns the effect of a class; that of the nearest class if none of its own runs was observed.
func (e *effects) at(class int) float64 {
	for distance := range classCount {
		if lower := class - distance; lower >= 0 && e.runs[lower] > 0 {
			return e.values[lower]
		}
		if upper := class + distance; upper < classCount && e.runs[upper] > 0 {
			return e.values[upper]
		}
	}
	return 0
}

// adjust changes the effect of a class by a part of the residual of a run.
func (e *effects) adjust(class int, residual float64) {
	if e.runs[class] == 0 {
		e.values[class] = e.at(class)
	}
	e.runs[class]++
	weight := max(minEffectWeight, 1/float64(effectPrior+e.runs[class]))
	e.values[class] += weight * clip(residual, maxResidual)
}

// clip limits x to a distance from 0.
func clip(x, limit float64) float64 { return max(-limit, min(limit, x)) }

// occupancyClasses is the number of classes by the share of a target's slots that are taken.
const occupancyClasses = 4

// occupancyClass returns the class of a number of requests at a target, 0 for the lowest. Requests beyond the
// slots wait and have no effect on those that run.
func occupancyClass(load, slots int) int {
	if slots <= 0 {
		return 0
	}
	return max(0, min(occupancyClasses-1, (load*occupancyClasses-1)/slots))
}

// sizeClass returns the class of a number of tokens: 0 if unknown, else one for each factor of two.
func sizeClass(tokens int) int { return min(classCount-1, bits.Len(uint(max(0, tokens)))) }

// outputClass returns the class of the number of output tokens that the caller has stated.
func outputClass(s Size) int {
	if s.LengthHint <= 0 {
		return sizeClass(s.MaxOutputTokens)
	}
	return sizeClass(s.boundedHint())
}

// boundedHint returns the length hint, which is at most the maximum number of output tokens if that is stated.
func (s Size) boundedHint() int {
	if s.MaxOutputTokens > 0 {
		return min(s.LengthHint, s.MaxOutputTokens)
	}
	return s.LengthHint
}
