package mix

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// balancer is the platform's balancer before the entries: each call goes to the planned
// entry, or to the next one while that is not ready.
type balancer struct {
	fleet *fleet

	mu  sync.Mutex
	out []bool // by entry: not ready as far as the balancer knows
	ctx []context.Context
	end []context.CancelFunc
}

// balancerLag is the time that the balancer takes to see that an entry is not ready.
const balancerLag = time.Second

func newBalancer(f *fleet) *balancer {
	b := &balancer{fleet: f, out: make([]bool, len(f.entries))}
	for range f.entries {
		ctx, cancel := context.WithCancel(context.Background())
		b.ctx = append(b.ctx, ctx)
		b.end = append(b.end, cancel)
	}
	return b
}

func (b *balancer) open(c *call, try int) (door, func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := (c.Entry + try) % len(b.out)
	for range b.out {
		if !b.out[i] {
			break
		}
		i = (i + 1) % len(b.out)
	}
	return door{
		base:   "http://" + b.fleet.entries[i].addr,
		prefix: "/svc/" + string(b.fleet.shape.service),
		gone:   b.ctx[i],
	}, func() {}
}

// leave takes entry i out after the balancer's lag.
func (b *balancer) leave(i int) {
	time.AfterFunc(balancerLag, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.out[i] = true
	})
}

// kill breaks all connections to entry i now and refuses new ones; the balancer sees it after its lag.
func (b *balancer) kill(i int) {
	b.end[i]()
	b.leave(i)
}

// straight sends calls to the targets themselves, as a balancer that counts its own calls
// in flight does: the less busy of two.
type straight struct {
	engines, services []straightDoor
}

type straightDoor struct {
	base     string
	inFlight atomic.Int64
}

func newStraight(f *fleet) *straight {
	s := &straight{
		engines:  make([]straightDoor, len(f.engines)),
		services: make([]straightDoor, len(f.services)),
	}
	for i, e := range f.engines {
		s.engines[i].base = e.URL()
	}
	for i, e := range f.services {
		s.services[i].base = e.URL()
	}
	return s
}

func (s *straight) open(c *call, _ int) (door, func()) {
	among := s.engines
	if c.Kind != callStream {
		among = s.services
	}
	d := &among[rand.IntN(len(among))]
	if o := &among[rand.IntN(len(among))]; o.inFlight.Load() < d.inFlight.Load() {
		d = o
	}
	d.inFlight.Add(1)
	return door{base: d.base, gone: context.Background()}, func() { d.inFlight.Add(-1) }
}
