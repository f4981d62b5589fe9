package logging

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

const (
	// routinePerS bounds each kind of routine line of a process: with 20 requests a second as
	// usual nothing is left out, in a flood the log stays below 100 KB a second.
	routinePerS  = 200
	routineBurst = 400
	// tracePerS bounds each kind of line of requests that were sent more than once, or of which a send did not run. Of
	// these an investigation needs each one, and outside of overload all are written. In an overload rejections
	// multiply: at 20 us and up to 2.2 KB a line, as measured, a kind takes 2% of a core and 2.2 MB a second at most.
	tracePerS  = 1000
	traceBurst = 2000
)

// Routine writes lines about what went well, which may be many, at a bounded rate. Lines about
// failures don't go through it.
type Routine struct {
	log   hclog.Logger
	limit *rate.Limiter
	total metrics.Counter // lines left out since the start; nil if it is not counted

	mu        sync.Mutex // guards leftOut and leftSince
	leftOut   int64      // lines left out since the last one that was written
	leftSince time.Time  // when the first of them was left out
}

// NewRoutine returns a Routine for one kind of line.
func NewRoutine(log hclog.Logger) *Routine {
	return &Routine{log: log, limit: rate.NewLimiter(routinePerS, routineBurst)}
}

// NewTrace returns a Routine with the larger bound, for one kind of line that an investigation of a request needs.
func NewTrace(log hclog.Logger) *Routine {
	return &Routine{log: log, limit: rate.NewLimiter(tracePerS, traceBurst)}
}

// CountIn makes r count the lines that it leaves out, and returns r. It must be called before the first line.
func (r *Routine) CountIn(c metrics.Counter) *Routine {
	r.total = c
	return r
}

// Info writes a line, or leaves it out; the next one that is written says how many were, and since when.
func (r *Routine) Info(now time.Time, msg string, args ...any) {
	if !r.limit.AllowN(now, 1) {
		r.leaveOut(now)
		return
	}
	r.mu.Lock()
	n, since := r.leftOut, r.leftSince
	r.leftOut = 0
	r.mu.Unlock()
	if n > 0 {
		args = append(args, "left_out", n, "left_out_since", since.Format(timeFormat))
	}
	r.log.Info(msg, args...)
}

// leaveOut counts a line that is left out at now.
func (r *Routine) leaveOut(now time.Time) {
	if r.total != nil {
		r.total.Inc(1)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leftOut == 0 {
		r.leftSince = now
	}
	r.leftOut++
}
