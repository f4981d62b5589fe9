package side

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// orderTimeout bounds one order at the target; loading weights takes long.
const orderTimeout = 10 * time.Minute

// orders passes orders on to the target, through its fence.
type orders struct {
	s  *Side
	mu sync.Mutex
	f  fence
}

func (o *orders) receive(p *peer, m *structs.Order) {
	if err := o.admit(p, m); err != nil {
		o.s.log.Info("order refused", "target", o.s.target.ID, "entry", p.host, "fence", m.Fence, "type", err.Type, "why", err.Detail)
		answerOrder(p, m, err)
		return
	}
	go o.run(p, m)
}

func answerOrder(p *peer, m *structs.Order, err *errs.Error) {
	p.send(&structs.Frame{OrderDone: &structs.OrderDone{ID: m.ID, Err: err}})
}

func (o *orders) admit(p *peer, m *structs.Order) *errs.Error {
	if o.s.o.Engine == nil {
		return errs.Newf(errs.BadRequest, "target %q takes no orders", o.s.target.ID)
	}
	if o.s.draining.Load() {
		return drainingErr()
	}
	o.ask(p)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.f.begin(m.Fence)
}

// ask asks an entry for the newest fencing number, until one has told it.
func (o *orders) ask(p *peer) {
	o.mu.Lock()
	learnt := o.f.learnt
	o.mu.Unlock()
	if !learnt && o.s.o.Engine != nil {
		p.send(&structs.Frame{Fence: &structs.Fence{Ask: true}})
	}
}

// learn takes an entry's answer.
func (o *orders) learn(p *peer, m *structs.Fence) {
	if m.Ask {
		return
	}
	o.mu.Lock()
	first := !o.f.learnt
	o.f.learn(m.Highest)
	o.mu.Unlock()
	if first {
		o.s.log.Info("newest fencing number learnt", "entry", p.host, "fence", m.Highest)
	}
}

func (o *orders) run(p *peer, m *structs.Order) {
	err := o.pass(p, m)
	o.mu.Lock()
	o.f.end()
	o.mu.Unlock()
	o.s.log.Info("order passed on", "target", o.s.target.ID, "fence", m.Fence, "op", m.Op, "model", m.Model, "error", err)
	answerOrder(p, m, errs.As(err))
}

// pass hands the order over. After a pause of this process a newer holder may
// have been served elsewhere, so the sender must have been heard of just now.
func (o *orders) pass(p *peer, m *structs.Order) error {
	if !fresh(p, time.Now()) {
		return errs.New(errs.SessionLost, "the sender was not heard of lately").WithRan(errs.RanNo)
	}
	ctx, cancel := context.WithTimeout(o.s.base, orderTimeout)
	defer cancel()
	return o.s.o.Engine.Order(ctx, platform.Order{
		Fence:   m.Fence,
		Op:      platform.OrderOp(m.Op),
		Model:   m.Model,
		Version: m.Version,
		Adapter: m.Adapter,
		Role:    m.Role,
	})
}

// freshFor is how long ago an entry may have been heard of at most when something
// is started in its name.
const freshFor = 2 * time.Second

func fresh(p *peer, now time.Time) bool {
	return p != nil && now.Sub(p.conn.Heard()) <= freshFor
}
