package limit

import (
	"time"

	"golang.org/x/time/rate"

	"arbutusramp/core/errs"
)

// Rules are the limits of one workspace, from configuration.
type Rules struct {
	RequestsPerS float64 // 0 is no limit
	Burst        int     // 0 counts as one second's worth
	MaxInFlight  int     // 0 is no limit
	Weight       int     // 0 counts as 1
}

func (r Rules) burst() int {
	if r.Burst > 0 {
		return r.Burst
	}
	return max(1, int(r.RequestsPerS))
}

// Share is the weight with its default.
func (r Rules) Share() int { return max(1, r.Weight) }

// Fleet is the room for online requests over all workspaces.
type Fleet struct {
	Outstanding int // requests at the targets, through all entries
	Capacity    int // what those targets take; 0 is not known
	InFlight    int // of all workspaces through this entry
	Weights     int // sum over workspaces that have requests in flight here
}

// full says that another request would have to wait.
func (f Fleet) full() bool { return f.Capacity > 0 && f.Outstanding >= f.Capacity }

// shareSlack lets a workspace go a little over its share, so that two with equal weights do
// not both get refused at exactly half.
const shareSlack = 1.1

// retryShare is when a workspace over its share is told to come back.
const retryShare = 250 * time.Millisecond

// Workspace is the state of one workspace's limits.
type Workspace struct {
	rules    Rules
	bucket   *rate.Limiter
	inFlight int
}

// NewWorkspace returns the state for rules.
func NewWorkspace(rules Rules) *Workspace {
	w := &Workspace{}
	w.Update(time.Time{}, rules)
	return w
}

// Update applies changed rules and keeps what is in flight.
func (w *Workspace) Update(now time.Time, rules Rules) {
	if w.rules == rules {
		return
	}
	w.rules = rules
	if rules.RequestsPerS <= 0 {
		w.bucket = nil
		return
	}
	if w.bucket == nil {
		w.bucket = rate.NewLimiter(rate.Limit(rules.RequestsPerS), rules.burst())
		return
	}
	w.bucket.SetLimitAt(now, rate.Limit(rules.RequestsPerS))
	w.bucket.SetBurstAt(now, rules.burst())
}

// InFlight is the number of requests begun and not ended.
func (w *Workspace) InFlight() int { return w.inFlight }

// Begin admits one request. Errors: errs.RateLimited over the rate or the limit in flight,
// errs.Overloaded when the fleet is full and the workspace is over its share.
func (w *Workspace) Begin(now time.Time, f Fleet) *errs.Error {
	if w.rules.MaxInFlight > 0 && w.inFlight >= w.rules.MaxInFlight {
		return errs.New(errs.RateLimited, "the workspace has too many requests in flight").
			WithRetry(retryShare)
	}
	if w.overShare(f) {
		return errs.New(errs.Overloaded, "the fleet is full and the workspace is over its share").
			WithRetry(retryShare)
	}
	if err := w.take(now); err != nil {
		return err
	}
	w.inFlight++
	return nil
}

// overShare compares with what this entry has in flight: other entries do the same for
// theirs, and a workspace alone here is over nobody's share.
func (w *Workspace) overShare(f Fleet) bool {
	if !f.full() || w.inFlight == 0 || f.Weights <= w.rules.Share() {
		return false
	}
	share := float64(f.InFlight) * float64(w.rules.Share()) / float64(f.Weights)
	return float64(w.inFlight) > shareSlack*share
}

func (w *Workspace) take(now time.Time) *errs.Error {
	if w.bucket == nil || w.bucket.AllowN(now, 1) {
		return nil
	}
	missing := 1 - w.bucket.TokensAt(now)
	wait := time.Duration(missing / w.rules.RequestsPerS * float64(time.Second))
	return errs.New(errs.RateLimited, "the workspace is over its rate of requests").WithRetry(wait)
}

// End gives back what Begin took.
func (w *Workspace) End() { w.inFlight-- }
