// Package headroom learns from the online requests at the targets of a service how long free slots stay free,
// and forecasts the demand. Gateways use it to start batch items only where they can make progress before
// online requests need the slot. It does no I/O and uses no clock: callers lock it and pass the time in.
package headroom

import "time"

// Count is the number of online requests of all gateways at a target.
type Count struct {
	Target        string
	Online, Slots int
}

// Options are the settings of a Learner.
type Options struct {
	// GainTime is the time after its start within which a batch item has gained its first events.
	GainTime time.Duration
}

// Learner learns the demand of services. Use New to create one; it is not safe for concurrent use.
type Learner struct{ opts Options }

// New returns a Learner without observations.
func New(o Options) *Learner { return &Learner{opts: o} }

// Observe records the online requests at all targets of a service.
func (l *Learner) Observe(now time.Time, service string, counts []Count) {}

// Lasts returns the probability that a slot taken by a batch item that starts now stays available for
// Options.GainTime at a target with the given numbers of online requests, batch items and slots, without the new item. It is 1 while
// nothing is known.
func (l *Learner) Lasts(now time.Time, service string, online, batch, slots int) float64 { return 1 }

// Forecast returns the expected number of online requests at all targets of a service after a time.
// isPeriodic reports whether the forecast follows a period found in the demand.
func (l *Learner) Forecast(now time.Time, service string, ahead time.Duration) (online float64, isPeriodic bool) {
	return 0, false
}

// Summary describes the demand of a service for operators.
type Summary struct {
	Online float64       `json:"online"` // current number of online requests at all targets
	Mean   float64       `json:"mean"`
	Swing  float64       `json:"swing"`     // difference between the high and the low level
	Period time.Duration `json:"period_ns"` // 0 if the demand is not periodic
}

// Summary returns the demand of a service.
func (l *Learner) Summary(service string) Summary { return Summary{} }
