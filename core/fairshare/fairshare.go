// Package fairshare divides the capacity of a service between workspaces by weighted max-min fairness while the
// demand exceeds it. Work is measured as the time for which requests hold slots, over a sliding window and over all
// gateways. It does no I/O and uses no clock: callers lock it and pass the time in.
package fairshare

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// ID is the digest of a workspace's name. RestID stands for all workspaces that a report does not list.
type ID uint32

// RestID is the ID under which a report sums the workspaces that it does not list.
const RestID ID = 0

// IDOf returns the ID of a workspace.
func IDOf(workspace string) ID { return max(1, ID(xxhash.Sum64String(workspace))) }

// Usage is the work of a workspace at a service over the window, in slots: seconds of work per second.
type Usage struct {
	Service   string
	Workspace ID
	Offered   float64 // requested by online callers, including rejected requests
	Served    float64 // sent to targets, including runs of batch items
}

// Options are the settings of a Ledger.
type Options struct {
	Window time.Duration
	// Weights are the weights of workspaces by name; 1 for others.
	Weights map[string]float64
}

// Decision is a workspace's position in the division of a service's capacity, in slots.
type Decision struct {
	// IsOverShare is set if the workspace requests more than its share while the work offered by all workspaces
	// exceeds the capacity. It is never set for the only workspace that requests work.
	IsOverShare bool
	// IsUsedUp is set if the work of the workspace that was sent to targets in the window has reached its share.
	IsUsedUp bool
	Share    float64 // max-min share; while all work fits the capacity, what the other workspaces leave
	Use      float64 // work sent to targets
	Offered  float64 // work requested
	Lent     float64 // use above the weighted equal share, lent by others
	Capacity float64 // of the targets, as passed to Decide
	// InputAge is the age of the oldest usage of a peer that the decision is based on; 0 without peers.
	InputAge time.Duration
}

// Ledger measures the work of workspaces. Use New to create one; it is not safe for concurrent use.
type Ledger struct {
	opts     Options
	weights  map[ID]float64
	services map[string]*service
	peers    map[string]*peerUsage
	demands  []demand // reused by division
	// lastReport is when Report last returned a list; zero before the first.
	lastReport time.Time
}

// Bounds of the memory of a Ledger. Work beyond them is not measured, so that it counts as within its share.
const (
	maxServices   = 64
	maxWorkspaces = 16384 // of a service
)

// usedUpTolerance is how far the use of a workspace may exceed its share before it counts as used up. Reports of
// peers are up to 200 ms old, and thinning keeps the use close to the share; without a tolerance every second
// request that thinning admits would be rejected.
const usedUpTolerance = 0.1

// defaultWindow is the window of an Options without one.
const defaultWindow = 2 * time.Second

// New returns an empty Ledger.
func New(o Options) *Ledger {
	if o.Window <= 0 {
		o.Window = defaultWindow
	}
	l := &Ledger{opts: o, weights: make(map[ID]float64, len(o.Weights)), services: make(map[string]*service), peers: make(map[string]*peerUsage)}
	for name, weight := range o.Weights {
		l.weights[IDOf(name)] = weight
	}
	return l
}

// weight returns the weight of a workspace.
func (l *Ledger) weight(id ID) float64 {
	if w, ok := l.weights[id]; ok {
		return w
	}
	return 1
}

// Offer records work that a caller of a workspace has requested, whether it is admitted or not.
func (l *Ledger) Offer(now time.Time, service, workspace string, work time.Duration) {
	if s, a := l.account(now, service, workspace); a != nil {
		a.advance(s.bucketOf(now))
		a.offered.add(a.bucket, work)
	}
}

// Serve records work of a workspace that is sent to a target.
func (l *Ledger) Serve(now time.Time, service, workspace string, work time.Duration) {
	if s, a := l.account(now, service, workspace); a != nil {
		a.advance(s.bucketOf(now))
		a.served.add(a.bucket, work)
	}
}

// Refund takes back work that Serve has recorded at a time and that was not done. Work that has left the window is not
// taken back from later work.
func (l *Ledger) Refund(now, servedAt time.Time, service, workspace string, work time.Duration) {
	s, a := l.account(now, service, workspace)
	if a == nil {
		return
	}
	a.advance(s.bucketOf(now))
	if bucket := s.bucketOf(servedAt); a.bucket-bucket < bucketCount {
		a.served.takeBack(bucket, work)
	}
}

// Decide returns the position of a workspace at a service whose targets have capacity slots.
func (l *Ledger) Decide(now time.Time, service, workspace string, capacity float64) Decision {
	s, ok := l.services[service]
	if !ok || capacity <= 0 {
		return Decision{Share: capacity, Capacity: capacity}
	}
	return l.decide(now, s, IDOf(workspace), capacity)
}

// decide returns the position of a workspace at a service.
func (l *Ledger) decide(now time.Time, s *service, id ID, capacity float64) Decision {
	div := l.division(now, s, capacity)
	u := s.usage(now, id)
	weight := l.weight(id)
	d := Decision{Use: u.Served, Offered: u.Offered, Capacity: capacity, Lent: max(0, u.Served-weight*capacity/max(weight, div.weights))}
	if !div.oldestInput.IsZero() {
		d.InputAge = now.Sub(div.oldestInput)
	}
	if !div.isOverloaded {
		d.Share = max(u.Offered, capacity-div.offered+u.Offered)
		return d
	}
	d.Share = weight * div.level
	d.IsOverShare = u.Offered > d.Share && div.members > 1
	d.IsUsedUp = u.Served >= d.Share*(1+usedUpTolerance)
	return d
}
