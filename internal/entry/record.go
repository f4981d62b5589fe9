package entry

import (
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// recorder keeps the entry's metrics and writes its decision log.
type recorder struct {
	log         hclog.Logger
	now         func() time.Time
	requests    metrics.Counter
	done        metrics.Counter
	retries     metrics.Counter
	retryDenied metrics.Counter
	resumes     metrics.Counter
	keyRefusals metrics.Counter
	firstByte   metrics.Timer
	total       metrics.Timer
	errors      map[errs.Type]metrics.Counter
}

func newRecorder(r metrics.Registry, log hclog.Logger, now func() time.Time) *recorder {
	rec := &recorder{
		log:         log,
		now:         now,
		requests:    metrics.GetOrRegisterCounter("entry.requests", r),
		done:        metrics.GetOrRegisterCounter("entry.done", r),
		retries:     metrics.GetOrRegisterCounter("entry.retries", r),
		retryDenied: metrics.GetOrRegisterCounter("entry.retries_denied", r),
		resumes:     metrics.GetOrRegisterCounter("entry.resumes", r),
		keyRefusals: metrics.GetOrRegisterCounter("entry.key_refusals", r),
		firstByte:   metrics.GetOrRegisterTimer("entry.first_byte", r),
		total:       metrics.GetOrRegisterTimer("entry.total", r),
		errors:      make(map[errs.Type]metrics.Counter),
	}
	for t := range errs.Types() {
		rec.errors[t] = metrics.GetOrRegisterCounter("entry.errors."+string(t), r)
	}
	return rec
}

// routed writes the decision log line of one choice.
func (r *recorder) routed(c *call, s *scratch) {
	if !r.log.IsInfo() {
		return
	}
	d := &s.decision
	r.log.Info("route", "request", c.in.id, "workspace", c.in.workspace, "attempt", c.attempt,
		"target", s.targets[d.Index].id, "why", d.Why, "cost_us", int(d.Kept[d.Picked].Cost),
		"runners_up", runnersUp(s), "out", droppedOut(s))
}

// notRetried writes why no target was left for another try: the caller gets the error of the try before.
func (r *recorder) notRetried(c *call, s *scratch, err *errs.Error) {
	r.log.Info("no target for a retry", "request", c.in.id, "error", err, "out", droppedOut(s))
}

func runnersUp(s *scratch) string {
	var b strings.Builder
	for i, k := range s.decision.Kept {
		if i == s.decision.Picked {
			continue
		}
		fmt.Fprintf(&b, "%s=%d ", s.view.Candidates[k.Index].Target, int(k.Cost))
	}
	return strings.TrimSuffix(b.String(), " ")
}

func droppedOut(s *scratch) string {
	var b strings.Builder
	for _, d := range s.decision.Dropped {
		fmt.Fprintf(&b, "%s: %s; ", s.view.Candidates[d.Index].Target, d.Reason)
	}
	return strings.TrimSuffix(b.String(), "; ")
}

func (r *recorder) routedHome(c *call, id structs.TargetID) {
	if !r.log.IsInfo() {
		return
	}
	r.log.Info("route", "request", c.in.id, "workspace", c.in.workspace, "attempt", c.attempt,
		"target", id, "why", "home of its key")
}

func (r *recorder) retrying(c *call, err *errs.Error) {
	if c.progress.next > 0 {
		r.resumes.Inc(1)
	}
	r.log.Info("retry", "request", c.in.id, "attempt", c.attempt, "failed", c.target.id, "error", err, "ran", err.Ran, "position", c.progress.next)
}

// ended counts a call that has ended, with err nil after a whole answer.
func (r *recorder) ended(c *call, err *errs.Error) {
	r.total.Update(r.now().Sub(c.in.start))
	if err == nil {
		r.done.Inc(1)
		r.firstByte.Update(c.firstByte)
		return
	}
	r.failed(c.in.id, err)
}

// failed counts and logs a request that was refused or has failed.
func (r *recorder) failed(id structs.RequestID, err *errs.Error) {
	if n, ok := r.errors[err.Type]; ok {
		n.Inc(1)
	}
	if r.log.IsInfo() {
		r.log.Info("failed", "request", id, "type", err.Type, "ran", err.Ran, "message", err.Detail)
	}
}
