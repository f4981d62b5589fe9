package admit

import (
	"math"
	"time"
)

// floor follows what the first token of online requests would take without any
// batch: the measured time less the time that batch streams added to the steps between.
type floor struct {
	ring   [floorRing]float64 // seconds
	n      int
	cached float64
	stale  int
	prompt float64 // smoothed prompt tokens of online requests
	lately float64 // smoothed seconds of the last first tokens, as measured
}

const (
	floorRing = 512
	floorMin  = 32 // samples before the floor is known
	// floorDeviations puts the protected tail at the 99th percentile.
	floorDeviations = 2.33
	floorEvery      = 16   // samples between two computations of the quantile
	floorSmooth     = 64.0 // samples over which the size of prompts is smoothed
	latelySmooth    = 8.0  // first tokens over which their time is smoothed
)

// observe takes in the first token of a request with prompt tokens, and what it would
// have taken alone, in seconds.
func (f *floor) observe(took time.Duration, alone float64, prompt int) {
	f.prompt += (float64(prompt) - f.prompt) / min(float64(f.n+1), floorSmooth)
	f.lately += (took.Seconds() - f.lately) / min(float64(f.n+1), latelySmooth)
	f.ring[f.n%floorRing] = alone
	f.n++
	f.stale++
}

// known reports whether there are enough samples.
func (f *floor) known() bool { return f.n >= floorMin }

// high is the tail of the floor, in seconds, by a log-normal fit: the few
// samples of one engine hold too few of the tail to count them.
func (f *floor) high() float64 {
	if f.cached > 0 && f.stale < floorEvery {
		return f.cached
	}
	var mean, square float64
	n := float64(min(f.n, floorRing))
	for _, v := range f.ring[:min(f.n, floorRing)] {
		l := math.Log(max(v, 1e-4))
		mean += l / n
		square += l * l / n
	}
	f.cached = math.Exp(mean + floorDeviations*math.Sqrt(max(0, square-mean*mean)))
	f.stale = 0
	return f.cached
}

// peak follows the highest online load of the recent past; it falls off by the
// time constant that is passed in.
type peak struct {
	level float64
	at    time.Time
}

// observe takes in the online load now.
func (p *peak) observe(now time.Time, n int, hold time.Duration) {
	p.level = max(float64(n), p.value(now, hold))
	p.at = now
}

// value is the level that the load is taken to have now.
func (p *peak) value(now time.Time, hold time.Duration) float64 {
	if hold <= 0 {
		return 0
	}
	return p.level * math.Exp(-now.Sub(p.at).Seconds()/hold.Seconds())
}

// usual is the mean online load over a longer time.
type usual struct {
	mean float64
	last int
	at   time.Time
}

// usualOver is the time constant of the mean.
const usualOver = 20 * time.Second

// observe takes in that the load is n from now on.
func (u *usual) observe(now time.Time, n int) {
	u.mean = u.value(now)
	u.last = n
	u.at = now
}

// value is the mean now.
func (u *usual) value(now time.Time) float64 {
	keep := math.Exp(-now.Sub(u.at).Seconds() / usualOver.Seconds())
	return u.mean*keep + float64(u.last)*(1-keep)
}

// arrivals follows the rate of online arrivals over a short time.
type arrivals struct {
	rate float64 // a second
	at   time.Time
}

// rateOver is the time constant of the rate. It is short against a burst and long
// enough that a single arrival is not taken for one.
const rateOver = 300 * time.Millisecond

// observe takes in one arrival.
func (a *arrivals) observe(now time.Time) {
	a.rate = a.value(now) + 1/rateOver.Seconds()
	a.at = now
}

// value is the rate now.
func (a *arrivals) value(now time.Time) float64 {
	return a.rate * math.Exp(-now.Sub(a.at).Seconds()/rateOver.Seconds())
}
