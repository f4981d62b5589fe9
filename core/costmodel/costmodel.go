// Package costmodel predicts how long a request occupies a slot of a target, from the size of the request, what
// the requests of its route have cost so far, and the speed of the target. A gateway uses it to compute waits
// and to choose targets where the targets of a service differ in speed. It does no I/O and uses no clock:
// callers lock it and pass the time in.
package costmodel

import "time"

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
	EventTime              time.Duration // from the first to the last event
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

// Model predicts the cost of runs. Use New to create one; it is not safe for concurrent use.
type Model struct {
	servicesWithPace map[string]bool
}

// New returns a Model without observations.
func New() *Model { return &Model{servicesWithPace: make(map[string]bool)} }

// Predict returns the expected cost of a run at its target; ok is false while nothing is known of its service.
func (m *Model) Predict(now time.Time, q Query) (p Prediction, ok bool) { return Prediction{}, false }

// Slowness returns how many times longer than usual for its service work takes at a target now; 1 if unknown.
func (m *Model) Slowness(now time.Time, target string) float64 { return 1 }

// ObserveRun records a finished run.
func (m *Model) ObserveRun(now time.Time, r Run) {}

// ObservePace records the pace that a target of a service has reported, in percent: 100 is usual, 200 means that
// work takes twice as long.
func (m *Model) ObservePace(now time.Time, service, target string, percent int) {
	m.servicesWithPace[service] = true
}

// HasPace reports whether a target of the service has ever reported its pace.
func (m *Model) HasPace(service string) bool { return m.servicesWithPace[service] }

// TakeObservations returns observations that peers have not received yet, and marks them as sent.
func (m *Model) TakeObservations(now time.Time) []Observation { return nil }

// ApplyObservations adds the observations of a peer.
func (m *Model) ApplyObservations(now time.Time, list []Observation) {}

// RemoveTarget drops what is known of a target.
func (m *Model) RemoveTarget(id string) {}
