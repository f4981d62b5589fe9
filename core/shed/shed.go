// Package shed decides which requests are told to come back while there are more of them than the targets can
// answer in time.
//
// What goes wrong without it: engines take requests in the order of arrival, so in an overload of a few seconds every
// request waits in their queues until the overload is over, and all are late. It is noticed as a first_ms of the
// streams that rises to seconds for all at once. With it the queue stays as short as a request may wait and still be
// in time: those that are admitted are answered in time, the others hear at once when to come back, and are
// not sent away again when they do.
package shed

import "time"

const (
	// waitShare is how much of its goal a request may wait for a slot: the rest is for reading its prompt, 50 to
	// 70 ms of 300.
	waitShare = 0.75
	// LeftShare bounds the time to come back: callers honour one of up to what they still wait, divided by this.
	LeftShare = 3
	// soonest is the shortest time to come back: about as long as a stream holds its slot; sooner the targets are as full as
	// before. The longer it is, the more requests are in time and the later are the others: see docs/PLATFORM.md.
	soonest = time.Second
)

// Request is what decides on a request.
type Request struct {
	Wait time.Duration // expected until a slot is free for it
	Goal time.Duration // an answer after that is late; 0 is no goal
	Left time.Duration // what its caller still waits; 0 is not known
	Full time.Duration // what callers of its route wait when they first come; 0 is not known
}

// ComeBack says when the caller of a request should come back; 0 admits the request. A caller that has less time than callers have at
// first was here before, or has been elsewhere: it is not sent away.
func ComeBack(r Request) time.Duration {
	inTime := time.Duration(waitShare * float64(r.Goal))
	if r.Goal == 0 || r.Wait <= inTime {
		return 0
	}
	if r.Full == 0 || r.Left < r.Full {
		return 0
	}
	after := max(r.Wait, soonest)
	if after > r.Left/LeftShare {
		return 0
	}
	return after
}
