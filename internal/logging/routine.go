package logging

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/time/rate"
)

const (
	// routinePerS bounds each kind of routine line of a process: with 20 requests a second as
	// usual nothing is left out, in a flood the log stays below 100 KB a second.
	routinePerS  = 200
	routineBurst = 400
)

// Routine writes lines about what went well, which may be many, at a bounded rate. Lines about
// failures don't go through it.
type Routine struct {
	log   hclog.Logger
	limit *rate.Limiter

	mu      sync.Mutex
	leftOut int64
}

// NewRoutine returns a Routine for one kind of line.
func NewRoutine(log hclog.Logger) *Routine {
	return &Routine{log: log, limit: rate.NewLimiter(routinePerS, routineBurst)}
}

// Info writes a line, or leaves it out; the next one that is written says how many were.
func (r *Routine) Info(now time.Time, msg string, args ...any) {
	if !r.limit.AllowN(now, 1) {
		r.mu.Lock()
		r.leftOut++
		r.mu.Unlock()
		return
	}
	r.mu.Lock()
	n := r.leftOut
	r.leftOut = 0
	r.mu.Unlock()
	if n > 0 {
		args = append(args, "left_out", n)
	}
	r.log.Info(msg, args...)
}
