// Package costmodel predicts how long a request occupies a slot of a target, from the size of the request, what
// the requests of its route have cost so far, and the speed of the target. A gateway uses it to compute waits
// and to choose targets where the targets of a service differ in speed. It does no I/O and uses no clock:
// callers lock it and pass the time in.
//
// A duration is modelled as a product: its usual value for the service (for a call: the route), a factor for the
// number of requests at the target, a factor for the size of the request, and the slowness of the target. All
// factors are held as binary logarithms, because durations vary by factors.
package costmodel

import (
	"math"
	"time"
)

// Size is what is known of a request's size before it runs. A field is 0 if the caller did not state it.
type Size struct {
	_               struct{} `cbor:",toarray"`
	PromptTokens    int
	MaxOutputTokens int
	// LengthHint is the caller's estimate of the number of output tokens. It is right at the median, but often
	// wrong by a large factor.
	LengthHint int
}

// Query identifies a run whose cost is predicted.
type Query struct {
	Service, Route, Target string
	Size                   Size
	Load, Slots            int // requests at the target, including this one, and slots of the target
}

// Prediction is the expected cost of a run that does not wait for a slot.
type Prediction struct {
	FirstEvent time.Duration // from the request to the first event of a stream, or to the whole answer of a call
	Hold       time.Duration // time for which the run holds its slot
}

// Run is what was observed of a finished run.
type Run struct {
	Service, Route, Target string
	Size                   Size
	Load, Slots            int           // requests at the target when the run began, including it, and slots
	FirstEvent             time.Duration // from the request to the first event or the whole answer
	EventTime              time.Duration // from the first to the last event; 0 if unknown
	Events                 int
	IsStream, IsComplete   bool
	HasQueued              bool // the run may have waited for a slot, so that FirstEvent contains a wait
}

// Observation summarizes what a gateway has learned about a target since its last report. Observations of
// several gateways are added in any order.
type Observation struct {
	Target string
	Runs   int
	// SpeedSum is the sum over the runs of the binary logarithm of their duration divided by the duration that is usual for
	// the service.
	SpeedSum float64
	Pace     float64       // duration of work at the target relative to its usual one, as the target has reported; 0 if it has not
	PaceAge  time.Duration // age of Pace
}

const (
	// maxTargets, maxServices, maxRoutes and maxPaceServices bound the memory of a Model. The least recently
	// used service or route is dropped when the bound is reached; targets are dropped by RemoveTarget.
	maxTargets      = 8192
	maxServices     = 64
	maxRoutes       = 1024
	maxPaceServices = 1024
	// maxUsual bounds the costs that are kept between two observed runs.
	maxUsual = 1024
	// minGaps is the number of event gaps from which a run counts. The mean of fewer gaps is dominated by a
	// single step of the target.
	minGaps = 3
	// minLevelRuns is the number of runs at other targets from which the usual duration is known well enough
	// to compare a target with it.
	minLevelRuns = 8
)

// Model predicts the cost of runs. Use New to create one; it is not safe for concurrent use.
type Model struct {
	targets          map[string]*target
	services         map[string]*service
	routes           map[routeKey]*route
	servicesWithPace map[string]bool
	usual            map[usualKey]usualCost // since the last observed run
	credit           float64                // observations that may be sent now; see TakeObservations
	lastTag          uint32                 // of the newest target
	withNews         map[string]*target     // by id: those that may have an observation that was not sent
}

// routeKey identifies a route, whose requests may go to several services.
type routeKey struct{ service, route string }

// New returns a Model without observations.
func New() *Model {
	return &Model{
		targets: make(map[string]*target), services: make(map[string]*service), routes: make(map[routeKey]*route),
		servicesWithPace: make(map[string]bool), usual: make(map[usualKey]usualCost), withNews: make(map[string]*target), credit: maxObservations,
	}
}

// PutTarget adds a target of a service, which starts with slowness 1. It has no effect on a known target of
// this service.
func (m *Model) PutTarget(service, id string) {
	switch t := m.targetOf(service, id); {
	case t == nil || t.service == service:
	case t.service == "": // known from peers only
		t.service = service
	default:
		m.RemoveTarget(id)
		m.targets[id] = m.newTarget(service)
	}
}

// targetOf returns the state of a target, which is added if it is missing; nil if there are too many.
func (m *Model) targetOf(service, id string) *target {
	t, ok := m.targets[id]
	if !ok && len(m.targets) < maxTargets {
		t = m.newTarget(service)
		m.targets[id] = t
	}
	return t
}

// newTarget returns the state of a target of which nothing is known.
func (m *Model) newTarget(service string) *target {
	m.lastTag++
	return &target{service: service, tag: m.lastTag}
}

// RemoveTarget drops what is known of a target.
func (m *Model) RemoveTarget(id string) {
	delete(m.targets, id)
	delete(m.withNews, id)
}

// Predict returns the expected cost of a run at its target; ok is false while nothing is known of its service.
func (m *Model) Predict(now time.Time, q Query) (p Prediction, ok bool) {
	key := usualKey{routeKey{q.Service, q.Route}, q.Size, occupancyClass(q.Load, q.Slots)}
	u, isKnown := m.usual[key]
	if !isKnown {
		u = m.computeUsual(now, key)
		if len(m.usual) >= maxUsual {
			clear(m.usual)
		}
		m.usual[key] = u
	}
	if !u.ok {
		return Prediction{}, false
	}
	slowness := m.Slowness(now, q.Target)
	p.FirstEvent = toDuration(u.firstEvent * slowness)
	p.Hold = p.FirstEvent + toDuration(u.eventTime*slowness)
	return p, u.isHoldKnown
}

// usualKey is what the cost of a run at a target of slowness 1 depends on.
type usualKey struct {
	route     routeKey
	size      Size
	occupancy int
}

// usualCost is the predicted cost of a run at a target of slowness 1, in seconds.
type usualCost struct {
	firstEvent, eventTime float64
	ok, isHoldKnown       bool
}

// computeUsual computes the cost that is kept in Model.usual: each request needs it for all targets of its service.
func (m *Model) computeUsual(now time.Time, key usualKey) usualCost {
	s := m.serviceOf(now, key.route.service)
	r, ok := m.routes[key.route]
	if !ok || !r.isKnown() {
		r = &s.anyRoute
	}
	if r.isCall() {
		return usualCost{firstEvent: math.Exp2(r.whole.at(key.occupancy, outputClass(key.size))), ok: true, isHoldKnown: true}
	}
	if !r.isKnown() || s.first.level.len() == 0 {
		return usualCost{}
	}
	u := usualCost{firstEvent: math.Exp2(s.first.at(key.occupancy, sizeClass(key.size.PromptTokens))), ok: true, isHoldKnown: true}
	gaps := max(0, r.output.expectedEvents(key.size)-1)
	if s.gap.level.len() == 0 {
		u.isHoldKnown = gaps < minGaps
		return u
	}
	u.eventTime = gaps * math.Exp2(s.gap.at(key.occupancy, 0))
	return u
}

// maxDuration bounds predicted durations.
const maxDuration = time.Hour

// toDuration converts a number of seconds to a duration of at most maxDuration.
func toDuration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxDuration.Seconds()) * float64(time.Second))
}

// ObserveRun records a finished run.
func (m *Model) ObserveRun(now time.Time, r Run) {
	s, t := m.serviceOf(now, r.Service), m.targetOf(r.Service, r.Target)
	if t == nil {
		return
	}
	clear(m.usual)
	m.withNews[r.Target] = t
	rt := m.routeOf(now, routeKey{r.Service, r.Route})
	class, slowness := occupancyClass(r.Load, r.Slots), t.runSlowness(now, m.median(now, r.Service))
	if gaps := r.Events - 1; r.IsStream && gaps >= minGaps && r.EventTime > 0 {
		m.observeDuration(now, s, t, &s.gap, class, 0, math.Log2(r.EventTime.Seconds()/float64(gaps)), slowness)
	}
	switch {
	case r.IsStream:
		if !r.HasQueued && r.FirstEvent > 0 {
			s.first.observe(class, sizeClass(r.Size.PromptTokens), math.Log2(r.FirstEvent.Seconds()), slowness, t.tag)
		}
		if r.IsComplete && r.Events > 0 {
			rt.output.observe(r.Size, r.Events)
			s.anyRoute.output.observe(r.Size, r.Events)
		}
	case r.IsComplete && !r.HasQueued && r.FirstEvent > 0:
		duration := math.Log2(r.FirstEvent.Seconds())
		m.observeDuration(now, s, t, &rt.whole, class, outputClass(r.Size), duration, slowness)
		s.anyRoute.whole.observe(class, outputClass(r.Size), duration, slowness, t.tag)
	}
}

// observeDuration adds the logarithm of a duration to its curve, and what it shows of the target's speed to the
// target. slowness is what is known of the target already.
func (m *Model) observeDuration(now time.Time, s *service, t *target, c *curve, class, size int, duration, slowness float64) {
	if speed, ok := c.compare(class, size, duration, t.tag); ok {
		t.observeSpeed(now, m.median(now, t.service), speed)
		s.isMedianStale = true
	}
	c.observe(class, size, duration, slowness, t.tag)
}

// serviceOf returns the state of a service, which is added if it is missing.
func (m *Model) serviceOf(now time.Time, name string) *service {
	s, ok := m.services[name]
	if !ok {
		dropOldest(m.services, maxServices, func(s *service) time.Time { return s.lastUse })
		s = &service{isMedianStale: true}
		m.services[name] = s
	}
	s.lastUse = now
	return s
}

// routeOf returns the state of a route, which is added if it is missing.
func (m *Model) routeOf(now time.Time, key routeKey) *route {
	r, ok := m.routes[key]
	if !ok {
		dropOldest(m.routes, maxRoutes, func(r *route) time.Time { return r.lastUse })
		r = &route{}
		m.routes[key] = r
	}
	r.lastUse = now
	return r
}

// dropOldest removes the entry with the oldest use if there are as many as the limit.
func dropOldest[K comparable, V any](entries map[K]V, limit int, lastUse func(V) time.Time) {
	if len(entries) < limit {
		return
	}
	var oldest K
	var oldestAt time.Time
	for k, v := range entries {
		if at := lastUse(v); oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = k, at
		}
	}
	delete(entries, oldest)
}

// HasPace reports whether a target of the service has ever reported its pace.
func (m *Model) HasPace(service string) bool { return m.servicesWithPace[service] }

// notePace records that a target of the service has reported its pace.
func (m *Model) notePace(service string) {
	if len(m.servicesWithPace) < maxPaceServices {
		m.servicesWithPace[service] = true
	}
}
