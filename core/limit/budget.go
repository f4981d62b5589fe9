// Package limit holds the limits of an entry: request rates and fair shares of
// workspaces, and the retry budget. All are state machines with `now` passed in;
// callers lock them.
package limit

import "time"

const (
	windowSlots = 10
	slotLength  = time.Second
	// freeRetries a window are allowed whatever the traffic, so that a
	// quiet entry can retry at all.
	freeRetries = 3
)

// Budget bounds retries to a share of first tries over a sliding window of 10 s. Without it
// an overloaded fleet gets each refused request several times and never recovers.
type Budget struct {
	Share float64 // retries per first try, 0..1

	slots [windowSlots]slot
	head  int64 // number of the newest slot since 1970
}

type slot struct{ tries, retries int }

// Try counts a first try.
func (b *Budget) Try(now time.Time) {
	b.advance(now)
	b.slots[b.head%windowSlots].tries++
}

// Retry counts a retry and reports true if the budget allows one now.
func (b *Budget) Retry(now time.Time) bool {
	b.advance(now)
	tries, retries := b.sum()
	if float64(retries+1) > freeRetries+b.Share*float64(tries) {
		return false
	}
	b.slots[b.head%windowSlots].retries++
	return true
}

func (b *Budget) sum() (tries, retries int) {
	for _, s := range b.slots {
		tries += s.tries
		retries += s.retries
	}
	return tries, retries
}

// advance clears slots that time has passed over. A clock that steps back
// counts into the newest slot.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(slotLength)
	if n-b.head > windowSlots {
		b.slots = [windowSlots]slot{}
		b.head = n
		return
	}
	for b.head < n {
		b.head++
		b.slots[b.head%windowSlots] = slot{}
	}
}
