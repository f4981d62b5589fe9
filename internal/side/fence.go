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
}

// begin admits an order with number e, or says why not. Nothing was passed on then.
func (f *fence) begin(e structs.Epoch) *errs.Error {
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
