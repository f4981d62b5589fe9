// Package freshness decides for how long a gateway may use its copy of the operator's configuration, of which
// the platform's store may hold a newer version. Gateways use it so that a revoked API key is not accepted
// for longer than a bound. It is a state machine without I/O or clock.
//
// Only an answer of the store is proof that the copy is current: a read that began at some time and found no
// later version shows that the copy contains every change confirmed before that time. A peer's report of its
// own proof is not used: such a message can stay in a buffer while the receiving host is suspended, and would
// then count as just as recent as when it was sent.
package freshness

import "time"

// clockDrift is how much faster one host's clock may run than another's: 500 ppm of adjustment and 100 ppm of
// error for each of the two.
const clockDrift = 0.0012

// Proof records when the gateway's copy of the configuration was last shown to be the newest version. Times
// are durations since the start of the host, with the time for which it was suspended, so that a proof
// expires during a suspension. It is not safe for concurrent use.
type Proof struct {
	bound       time.Duration // how long a confirmation is valid; 0 for ever
	readStart   time.Duration // start of the latest read that confirmed the copy
	isConfirmed bool          // a read has confirmed the copy
}

// New returns a proof without a confirmation. Each confirmation is valid for bound; with a bound of 0 the
// first one is valid for ever.
func New(bound time.Duration) Proof { return Proof{bound: bound} }

// Confirm records that a read of the store which began at readStart has shown the copy to be the newest
// version. Reads may end in another order than they began.
func (p *Proof) Confirm(readStart time.Duration) {
	if !p.isConfirmed || readStart > p.readStart {
		p.readStart, p.isConfirmed = readStart, true
	}
}

// Age is the time since the start of the latest read that confirmed the copy; ok is false before the first
// confirmation.
func (p *Proof) Age(now time.Duration) (age time.Duration, ok bool) {
	return now - p.readStart, p.isConfirmed
}

// IsFresh reports whether the copy may be used: a confirmation is still valid.
func (p *Proof) IsFresh(now time.Duration) bool {
	return p.isConfirmed && (p.bound == 0 || now-p.readStart < p.effectiveBound())
}

// IsExpiring reports whether half of the bound has passed without a confirmation; never with a bound of 0. A
// load balancer needs the other half to send callers to other hosts.
func (p *Proof) IsExpiring(now time.Duration) bool {
	return p.bound > 0 && (!p.isConfirmed || now-p.readStart >= p.bound/2)
}

// effectiveBound is the bound less the largest difference that two hosts' clocks can develop within it.
func (p *Proof) effectiveBound() time.Duration {
	return p.bound - time.Duration(clockDrift*float64(p.bound))
}
