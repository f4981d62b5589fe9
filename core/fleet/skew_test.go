package fleet

import (
	"testing"
	"time"
)

const (
	// minSkewedShare is how often first attempts must be served while nearly all of them come to one gateway, relative to
	// the same load at all gateways.
	minSkewedShare = 0.75
	// skewedShare is the share of the first attempts that come to that gateway.
	skewedShare = 0.95
	// skewSeeds is the number of seeds over which a load near the capacity is averaged.
	skewSeeds = 4
)

// skewedLoad is a load of calls by its demand, as a multiple of the capacity.
type skewedLoad struct {
	name     string
	demand   float64
	hasWave  bool
	gateways int
	waves    int // duration of the run, in periods of the wave
}

// compare returns the shares of the first attempts that are sent at once in the second half of the runs, where most of
// them come to one gateway and where they come to all.
func (l skewedLoad) compare(t *testing.T, expected bool) (skewed, even float64) {
	for seed := range uint64(skewSeeds) {
		c := callCase(l.demand)
		c.gateways, c.hasWave, c.expected, c.retriesElsewhere, c.seed = l.gateways, l.hasWave, expected, true, seed
		c.duration = time.Duration(l.waves) * (lowDuration + highDuration)
		even += simulate(c).firstSentShare(1) / skewSeeds
		c.skew = skewedShare
		skewed += simulate(c).firstSentShare(1) / skewSeeds
	}
	t.Logf("%s, by expected time %t: %.3f of the first attempts sent at once, %.3f where they come to all gateways", l.name, expected, skewed, even)
	return skewed, even
}

// check compares the load by both ways of choosing targets.
func (l skewedLoad) check(t *testing.T) {
	for _, expected := range []bool{false, true} {
		if skewed, even := l.compare(t, expected); skewed < minSkewedShare*even {
			t.Errorf("%s, by expected time %t: %.3f of the first attempts are sent at once, %.3f where they come to all gateways; want at least three quarters of that", l.name, expected, skewed, even)
		}
	}
}

// Guards against a gateway that rejects first attempts because it gets nearly all of them and takes its share of the
// capacity for that of any other gateway.
func TestFirstAttemptsAreServedWhereOneGatewayGetsMostOfThem(t *testing.T) {
	for _, load := range []skewedLoad{
		{"a square wave at 0.8 of the capacity", 0.8, true, 8, 2},
		{"a square wave at 0.8 of the capacity, 28 gateways", 0.8, true, 28, 2},
		{"a steady demand of 0.9 of the capacity", 0.9, false, 8, 2},
		{"a steady demand of the capacity", 1, false, 8, 4},
	} {
		load.check(t)
	}
}

// Guards against the same in an overload that lasts.
func TestFirstAttemptsInOverloadWhereOneGatewayGetsMostOfThem(t *testing.T) {
	for _, load := range []skewedLoad{
		{"a steady demand of 1.1 of the capacity", 1.1, false, 8, 2},
		{"a steady demand of 1.1 of the capacity, 28 gateways", 1.1, false, 28, 2},
	} {
		load.check(t)
	}
}
