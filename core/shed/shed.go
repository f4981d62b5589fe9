// Package shed decides what becomes of requests while there are more of them than the targets can answer in time.
//
// What goes wrong without it: engines take requests in the order of arrival, so in an overload of a few seconds every
// request waits in their queues until the overload is over, and all are late. It is noticed as a first_ms of the
// streams that rises to seconds for all at once. With it the queues at the engines stay as short as a request may wait and
// still be in time: those that are admitted are answered in time. Of the others, those who come for the first time hear
// at once when to come back. Those who were sent away before can't be sent away again: they are held at the gateway, and
// go on as soon as there is room that nobody needs who can still be in time. Who can't be served while its caller stays hears that
// at once, too.
package shed

import (
	"time"

	"arbutusramp/core/policy"
)

const (
	// waitShare is how much of its goal a request may wait for a slot: the rest is for reading its prompt, 50 to
	// 70 ms of 300.
	waitShare = 0.75
	// LeftShare bounds the time to come back: callers honour one of up to what they still wait, divided by this.
	LeftShare = 3
	// awayHolds is the shortest time to come back, in times that a request holds its slot: sooner the targets are as
	// full as before.
	awayHolds = 1.5
	// heldWaitShare is how much of the wait that is allowed to requests in time is allowed to held ones.
	heldWaitShare = 0.34
	// stayShare is how much of the time that its caller stays a request is held at most. Then it is sent whatever the queues
	// are, so that nobody waits for nothing in an overload that lasts: it must still get its first event.
	stayShare = 0.75
	// leastRate bounds how few held requests are expected to go on, as a share of the gateway's pace: with none an overload that
	// has passed would still be taken for one.
	leastRate = 0.1
	// rateWeight is the weight of a new observation in the mean of the time between two held requests that go on.
	rateWeight = 0.2
)

// Request is what decides on a request.
type Request struct {
	Wait   time.Duration // expected until a slot is free for it
	Hold   time.Duration // how long requests hold a slot; 0 is not known
	Pace   float64       // requests a second that this gateway may start; 0 is not known
	Goal   time.Duration // an answer after that is late; 0 is no goal
	Left   time.Duration // what its caller still waits; 0 is not known
	Full   time.Duration // what callers of its route wait when they first come; 0 is not known
	Stay   time.Duration // how long its caller waits without a sign of an answer; 0 is as long as Left
	Behind int           // ranks of requests for the same targets that are more urgent
}

// inTime is how long the request may wait for a slot and still be in time. Less urgent requests leave the queue to others.
func (r Request) inTime() time.Duration {
	return time.Duration(waitShare * float64(r.Goal) / float64(1+r.Behind))
}

// first says that the caller comes for the first time. One that has less time than callers have at first was here before, or has
// been elsewhere.
func (r Request) first() bool { return r.Full > 0 && r.Left >= r.Full }

// stays is how long the request may be held.
func (r Request) stays() time.Duration {
	stay := r.Stay
	if stay == 0 || r.Left > 0 && r.Left < stay {
		stay = r.Left
	}
	return time.Duration(stayShare * float64(stay))
}

// away is when its caller should come back: once a slot is expected to be free, not sooner than engines have become free, and no
// later than callers honour. Times of callers who came one after the other are as far apart as these were.
func (r Request) away() time.Duration {
	return min(r.Left/LeftShare, max(r.Wait, time.Duration(awayHolds*float64(r.Hold))))
}

// Verdict is what becomes of a request.
type Verdict uint8

const (
	// Send passes it on to a target.
	Send Verdict = iota
	// ComeBack tells its caller when to come back.
	ComeBack
	// Hold keeps it until there is room.
	Hold
	// Refuse tells its caller that it can't be served.
	Refuse
)

// String implements fmt.Stringer.
func (v Verdict) String() string { return [...]string{"send", "come back", "hold", "refuse"}[v] }

// Decision is the verdict on a request that has come.
type Decision struct {
	Verdict Verdict
	After   time.Duration // with ComeBack
	Ticket  *Ticket       // with Hold
}

// Ticket is a held request.
type Ticket struct{ until time.Time }

// Door decides on the requests of one service at one gateway. It does no I/O and is not safe for concurrent use.
type Door struct {
	// Off are the mechanisms that are switched off.
	Off policy.Off

	held   []*Ticket     // in the order of arrival
	gap    time.Duration // mean time between two held requests that go on; 0 is not known
	wentOn time.Time     // when the last one went on, or the first of those that are held came
}

// Arrive decides on a request that has just come.
func (d *Door) Arrive(now time.Time, r Request) Decision {
	switch {
	case r.Goal == 0 || r.Wait <= r.inTime():
		return Decision{Verdict: Send}
	case r.first() && d.Off.Allows(policy.ComeBack):
		return Decision{Verdict: ComeBack, After: r.away()}
	case r.first() || !d.Off.Allows(policy.Hold):
		return Decision{Verdict: Send}
	case len(d.held) >= d.limit(now, r):
		return Decision{Verdict: Refuse}
	}
	t := &Ticket{until: now.Add(r.stays())}
	if len(d.held) == 0 {
		d.wentOn = now
	}
	d.held = append(d.held, t)
	return Decision{Verdict: Hold, Ticket: t}
}

// limit is how many requests may be held: as many as are expected to go on while their callers stay.
func (d *Door) limit(now time.Time, r Request) int {
	return max(1, int(d.rate(now, r.Pace)*r.stays().Seconds()))
}

// rate is how many held requests a second are expected to go on.
func (d *Door) rate(now time.Time, pace float64) float64 {
	gap := d.gap
	if len(d.held) > 0 {
		gap = max(gap, now.Sub(d.wentOn))
	}
	if gap <= 0 {
		return pace
	}
	return max(1/gap.Seconds(), leastRate*pace)
}

// Look decides anew on a held request: Send or Hold.
func (d *Door) Look(now time.Time, t *Ticket, r Request) Verdict {
	if !now.Before(t.until) {
		return Send // its caller is about to leave: the engine's queue is the last chance
	}
	if !d.First(t) {
		return Hold
	}
	if float64(r.Wait) <= heldWaitShare*float64(r.inTime()) {
		return Send
	}
	return Hold
}

// First says whether a held request is the first in the order of arrival.
func (d *Door) First(t *Ticket) bool { return len(d.held) > 0 && d.held[0] == t }

// Over says whether a held request has been held for as long as its caller stays.
func (t *Ticket) Over(now time.Time) bool { return !now.Before(t.until) }

// Leave takes out a held request that goes on, or whose caller has left. One that goes on without room tells nothing of how
// many may be held.
func (d *Door) Leave(now time.Time, t *Ticket, goesOn bool) {
	for i, other := range d.held {
		if other == t {
			d.held = append(d.held[:i:i], d.held[i+1:]...)
			break
		}
	}
	if !goesOn || t.Over(now) {
		return
	}
	gap := now.Sub(d.wentOn)
	d.wentOn = now
	if d.gap == 0 {
		d.gap = gap
		return
	}
	d.gap += time.Duration(rateWeight * float64(gap-d.gap))
}
