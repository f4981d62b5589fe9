package side

import (
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// orderRetry is when to come back while another order is at the target.
const orderRetry = 100 * time.Millisecond

// fence lets one order at a time to the target and none with a lower number than
// the highest seen. Without it a holder that was paused past its lease could undo, at a
// target that checks nothing, what its successor has ordered.
type fence struct {
	highest structs.Epoch
	busy    bool
	// learnt says that an entry has told the newest number since this side started. What the side
	// before it has passed on is not known here.
	learnt bool
}

// learn takes the newest number that an entry has read in the log.
func (f *fence) learn(e structs.Epoch) {
	f.learnt = true
	f.highest = max(f.highest, e)
}

// begin admits an order with number e, or says why not. Nothing was passed on then.
func (f *fence) begin(e structs.Epoch) *errs.Error {
	if !f.learnt {
		return errs.New(errs.Overloaded, "this side has started and does not know the newest fencing number yet").WithRetry(orderRetry)
	}
	if e < f.highest {
		return errs.Newf(errs.StaleFence, "order %d came after order %d", e, f.highest)
	}
	f.highest = e
	if f.busy {
		return errs.New(errs.Overloaded, "another order is at the target").WithRetry(orderRetry)
	}
	f.busy = true
	return nil
}

// end notes that the order at the target has ended.
func (f *fence) end() { f.busy = false }
