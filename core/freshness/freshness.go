// Package freshness decides for how long a copy of the configuration may be used. It is a state machine
// without I/O or clock.
//
// Only an answer of the store is proof: a read that began at some time and found no later version shows that
// every change confirmed before that time is known. A peer's report of its own proof is not used: such a
// message can stay in a buffer while the receiving host is suspended, and would then count as just as recent
// as when it was sent.
package freshness

import "time"

// clockDrift is how much faster one host's clock may run than another's: 500 ppm of adjustment and 100 ppm of
// error for each of the two.
const clockDrift = 0.0012

// Proof tracks when the configuration was last shown to be the newest. Times are durations since the host's
// start that include suspension, so that a host that was suspended relies on nothing from before. It is not
// safe for concurrent use.
type Proof struct {
	bound       time.Duration
	readStart   time.Duration
	isConfirmed bool
}

// New returns a proof that holds for bound after each confirmation; with 0 it holds for ever after the first
// one.
func New(bound time.Duration) Proof { return Proof{bound: bound} }

// Confirm records that a read which began at that time has returned the newest configuration.
func (p *Proof) Confirm(readStart time.Duration) {
	if !p.isConfirmed || readStart > p.readStart {
		p.readStart, p.isConfirmed = readStart, true
	}
}

// Age is how long ago the configuration was known to be the newest; ok is false before the first
// confirmation.
func (p *Proof) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - p.readStart, p.isConfirmed
}

// Holds reports whether the configuration may be used.
func (p *Proof) Holds(now time.Duration) bool {
	return p.isConfirmed && (p.bound == 0 || now-p.readStart < p.effectiveBound())
}

// IsFailing reports whether half of the bound has passed without a confirmation. A load balancer needs the
// other half to send callers to other hosts.
func (p *Proof) IsFailing(now time.Duration) bool {
	return p.bound > 0 && (!p.isConfirmed || now-p.readStart >= p.bound/2)
}

// effectiveBound is the bound less the possible difference between the clocks of two hosts over that time.
func (p *Proof) effectiveBound() time.Duration {
	return p.bound - time.Duration(clockDrift*float64(p.bound))
}
