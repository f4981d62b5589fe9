package mix

import (
	"arbutusramp/core/errs"
)

// check looks for violations of what must always hold.
func (o *outcome) check(f *fleet, items *feed) {
	for _, r := range o.results {
		o.checkRan(f, r)
	}
	if items != nil {
		o.checkBatch(items.counts())
	}
	if o.phase.fault != nil && o.phase.fault.planned {
		o.checkPlanned()
	}
	if o.left > 0 {
		o.checkLeft(f)
	}
}

// checkRan compares what the caller was told with what the targets have counted.
func (o *outcome) checkRan(f *fleet, r *result) {
	ran := f.ran(&r.call)
	notRun := r.failure != nil && r.failure.Ran == errs.RanNo
	switch {
	case notRun && ran > 0 && r.resends == 0:
		o.violate("call %s: refused as not run (%s), but it ran", r.call.id(), r.failure.Type)
	case r.call.Kind == callConfirm && ran > 1:
		o.violate("call %s: not idempotent, ran %d times", r.call.id(), ran)
	case r.call.Kind == callConfirm && r.failure == nil && !r.lost && ran == 0:
		o.violate("call %s: answered and never run", r.call.id())
	}
}

// ran is how often a call reached its targets.
func (f *fleet) ran(c *call) int {
	n := 0
	if c.Kind == callStream {
		for _, e := range f.engines {
			n += e.Request(c.id()).Starts
		}
		return n
	}
	for _, s := range f.services {
		n += s.Calls(c.id())
	}
	return n
}

func (o *outcome) checkBatch(t tally) {
	if t.wrong > 0 {
		o.violate("%d batch items ended with an answer that is not the engine's", t.wrong)
	}
	if t.doubled > 0 {
		o.violate("%d batch items ended twice", t.doubled)
	}
}

// checkPlanned holds a planned stop to cutting off nothing.
func (o *outcome) checkPlanned() {
	for _, kind := range []errs.Type{errs.StreamBroken, errs.SessionLost, errs.TargetFailed, errs.TargetTimeout} {
		if n := o.errors[string(kind)]; n > 0 {
			o.violate("a planned stop cut off %d calls (%s)", n, kind)
		}
	}
	if n := o.errors[connectionLost]; n > 0 {
		o.violate("a planned stop cut off %d calls", n)
	}
}

// noteLeft remembers how much the leaving target had got when it must get nothing more.
func (o *outcome) noteLeft(f *fleet) {
	o.left = f.engines[victim].Stats(false).Starts.Total
}

// checkLeft compares that with the end.
func (o *outcome) checkLeft(f *fleet) {
	now := f.engines[victim].Stats(false).Starts.Total
	if now > o.left {
		o.violate("a leaving target got %d new requests", now-o.left)
	}
}
