package knob

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Faults are the knobs that request-and-answer stand-ins have in common.
type Faults struct {
	// Outage answers 503 at once, with no effect.
	Outage bool `json:"outage"`
	// Hang accepts requests and never answers them; they have no effect. When it is
	// turned off, the connections that hang are closed.
	Hang bool `json:"hang"`
	// DelayMs is waited before each effect, in milliseconds.
	DelayMs int64 `json:"delay_ms"`
	// LoseAnswerShare is the share of requests (0..1) that take effect and
	// whose connection is then closed without an answer.
	LoseAnswerShare float64 `json:"lose_answer_share"`
}

// FaultSet is a set of knobs T of which Faults are a part.
type FaultSet[T any] struct {
	*Set[T]
	faults func(T) Faults
	done   <-chan struct{}
	dice   *dice
}

// NewFaultSet returns a FaultSet. Random choices come from seed. Requests that hang
// end when done is closed.
func NewFaultSet[T any](set *Set[T], faults func(T) Faults, seed uint64, done <-chan struct{}) *FaultSet[T] {
	return &FaultSet[T]{Set: set, faults: faults, done: done, dice: newDice(seed)}
}

// Wrap returns h with the faults applied around it.
func (s *FaultSet[T]) Wrap(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		f := s.faults(s.Get())
		if f.Outage {
			ctx.Error("outage", fasthttp.StatusServiceUnavailable)
			return
		}
		if f.Hang {
			s.Hold(s.done, func(v T) bool { return s.faults(v).Hang })
			CloseUnanswered(ctx)
			return
		}
		if f.DelayMs > 0 && !s.sleep(time.Duration(f.DelayMs)*time.Millisecond) {
			CloseUnanswered(ctx)
			return
		}
		h(ctx)
		if s.dice.hit(f.LoseAnswerShare) {
			CloseUnanswered(ctx)
		}
	}
}

func (s *FaultSet[T]) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-s.done:
		return false
	}
}

// Hit makes a random choice that is true for that share (0..1) of calls.
func (s *FaultSet[T]) Hit(share float64) bool { return s.dice.hit(share) }

// CloseUnanswered closes the connection, so that the caller gets no answer.
func CloseUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	ctx.SetConnectionClose()
	_ = ctx.Conn().Close()
}

// dice makes random choices that are the same for the same seed and order of calls.
type dice struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newDice(seed uint64) *dice {
	return &dice{rng: rand.New(rand.NewPCG(seed, seed))}
}

func (d *dice) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64() < share
}
