package mix

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// callKind says what a planned call does.
type callKind uint8

const (
	// callStream is a streamed chat completion.
	callStream callKind = iota
	// callLookup is an idempotent call of the plain service.
	callLookup
	// callConfirm is a non-idempotent call of the plain service, with a key.
	callConfirm
)

// call is one planned online call. The plan is made before the load starts, so that a slow
// answer does not hold back the next arrival.
type call struct {
	Index  int
	At     time.Duration // since the start of the phase
	Kind   callKind
	Entry  int // which entry the balancer gives it to
	Prompt string
	Max    int // tokens to generate
}

// plan returns the calls of one phase, in order of time.
func plan(s shape, seed uint64, length time.Duration) []call {
	r := rand.New(rand.NewPCG(seed, planStream))
	var calls []call
	for at := range arrivals(r, s.load, length) {
		c := call{Index: len(calls), At: at, Entry: r.IntN(s.entries)}
		s.load.fill(r, &c)
		calls = append(calls, c)
	}
	return calls
}

// planStream and itemStream keep the random sequences of the plan and of the batch items apart.
const (
	planStream = 1
	itemStream = 2
)

// arrivals yields the times of a Poisson process whose rate switches between
// quiet and burst.
func arrivals(r *rand.Rand, l load, length time.Duration) func(func(time.Duration) bool) {
	return func(yield func(time.Duration) bool) {
		at, burst := 0.0, false
		turn := l.quietFor.Seconds()
		for at < length.Seconds() {
			next := at + r.ExpFloat64()/l.rate(burst)
			if next >= turn {
				at = turn
				burst = !burst
				turn += l.stay(r, burst)
				continue
			}
			at = next
			if at < length.Seconds() && !yield(time.Duration(at*float64(time.Second))) {
				return
			}
		}
	}
}

// load is the online load of a shape. Sizes are in tokens.
type load struct {
	quietPerS, burstPerS float64       // arrivals a second in the whole fleet
	quietFor, burstFor   time.Duration // mean length of either
	serviceShare         float64       // share of calls that go to the plain service
	confirmShare         float64       // share of those that are not idempotent
	prompt, answer       sizes
}

func (l load) rate(burst bool) float64 {
	if burst {
		return l.burstPerS
	}
	return l.quietPerS
}

// stay draws how long quiet or burst lasts: half fixed, half exponential, so
// that no phase is all of one kind.
func (l load) stay(r *rand.Rand, burst bool) float64 {
	mean := l.quietFor
	if burst {
		mean = l.burstFor
	}
	return mean.Seconds() * (1 + r.ExpFloat64()) / 2
}

// fill draws what a call asks.
func (l load) fill(r *rand.Rand, c *call) {
	prompt, answer := l.prompt.draw(r), l.answer.draw(r)
	kind := r.Float64()
	confirm := r.Float64() < l.confirmShare
	c.Prompt = words(r, prompt)
	c.Max = answer
	switch {
	case kind >= l.serviceShare:
		c.Kind = callStream
	case confirm:
		c.Kind = callConfirm
	default:
		c.Kind = callLookup
	}
}

// sizes is a log-normal distribution of token counts, cut off at both ends.
type sizes struct {
	median, spread float64
	least, most    int
}

func (s sizes) draw(r *rand.Rand) int {
	v := s.median * math.Exp(s.spread*r.NormFloat64())
	return max(s.least, min(s.most, int(v)))
}

// words returns a prompt of n tokens, at 4 bytes a token, that no other call has.
func words(r *rand.Rand, n int) string {
	const wordBytes = 8
	var b strings.Builder
	b.Grow(n * bytesPerToken)
	for b.Len()+wordBytes <= n*bytesPerToken {
		w := strconv.FormatUint(r.Uint64()|1<<63, 36)
		b.WriteString(w[:wordBytes-1])
		b.WriteByte(' ')
	}
	return b.String()
}

const bytesPerToken = 4
