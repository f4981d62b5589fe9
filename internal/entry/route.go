package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/errs"
)

// scratch is the working memory of one choice.
type scratch struct {
	rng      *rand.Rand
	view     choose.View
	targets  []*target // beside view.Candidates
	retired  []int     // in view.Candidates
	decision choose.Decision
}

var scratches = sync.Pool{New: func() any {
	return &scratch{rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
}}

// look fills s with the targets that could take the request.
func (s *scratch) look(g *group, now time.Time, prefixes []uint64) {
	s.view.Candidates = s.view.Candidates[:0]
	s.targets = s.targets[:0]
	if g == nil {
		return
	}
	for _, t := range g.targets {
		s.view.Candidates = append(s.view.Candidates, choose.Candidate{})
		c := &s.view.Candidates[len(s.view.Candidates)-1]
		if !t.look(c, now, prefixes) {
			s.view.Candidates = s.view.Candidates[:len(s.view.Candidates)-1]
			continue
		}
		s.targets = append(s.targets, t)
	}
}

// room sums what the targets have and what they take, for the fair shares. It
// gives no capacity while one target's limit is not known.
func (s *scratch) room() (outstanding, capacity int) {
	for i := range s.view.Candidates {
		c := &s.view.Candidates[i]
		if c.Limit == 0 {
			return 0, 0
		}
		if c.Leaving || c.Unhealthy || c.Health != choose.Well {
			continue
		}
		outstanding += c.Outstanding()
		capacity += c.Limit
	}
	return outstanding, capacity
}

func (e *Entry) group(c *classified) *group {
	x := e.pool.index.Load()
	if c.generate != nil {
		return x.models[c.generate.Model]
	}
	return x.services[c.service]
}

func (c *classified) prefixes() []uint64 {
	if c.generate == nil {
		return nil
	}
	return c.generate.Prefixes
}

// route chooses a target and claims it. Losing a race for it (a probe, a session that has just
// ended) counts as tried.
func (c *call) route(s *scratch) (*target, claimed, *errs.Error) {
	now := c.e.now()
	r := choose.Request{
		Service:  c.req.service,
		Domain:   c.e.set.Host.Domain,
		Tried:    c.tried,
		TimeLeft: c.deadline.Sub(now),
		MayProbe: !c.req.nonIdempotent && c.attempt == 0,
		Prefixes: c.req.prefixes(),
		Begun:    c.progress.next > 0,
	}
	if c.req.generate != nil {
		r.Model = c.req.generate.Model
	}
	for {
		if err := c.e.policy.Choose(s.rng, &r, &s.view, &s.decision); err != nil {
			return nil, claimed{}, err
		}
		t := s.targets[s.decision.Index]
		if got := t.claim(now, c.req.prefixes()); got.session != nil {
			c.e.rec.routed(c, s)
			return t, got, nil
		}
		r.Tried = append(r.Tried, t.id)
	}
}

// routeHome claims the one target that a keyed non-idempotent call may go to.
// It fails closed: another target could not know whether the call has run.
func (c *call) routeHome(s *scratch) (*target, claimed, *errs.Error) {
	now := c.e.now()
	id, err := c.e.homeByKey(c, now)
	if err != nil {
		return nil, claimed{}, err
	}
	for _, t := range s.targets {
		if t.id != id {
			continue
		}
		if got := t.claimHome(); got.session != nil {
			c.e.rec.routedHome(c, id)
			return t, got, nil
		}
	}
	return nil, claimed{}, errs.Newf(errs.KeyUnverifiable,
		"target %s, which knows whether the key was used, is not reachable", id).WithRetry(retryHome)
}

const retryHome = time.Second

// report tells the target's health how an attempt ended.
func (e *Entry) report(g *group, t *target, o choose.Outcome) {
	f := g.fleet()
	if o.Bad(f) {
		// Two targets that are judged at once would each count the other as well, and
		// more than half could be ejected.
		e.pool.ejecting.Lock()
		defer e.pool.ejecting.Unlock()
		f = g.fleet()
	}
	now := e.now()
	t.mu.Lock()
	was := t.health.State(now)
	t.health.Report(now, o, f, rand.Float64())
	is := t.health.State(now)
	t.mu.Unlock()
	if was == is {
		return
	}
	t.ejected.Store(is != choose.Well)
	e.log.Warn("target health changed", "target", t.id, "was", was, "is", is)
}
