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
	Offered   float64 // requested, including rejected requests
	Served    float64 // sent to targets
}

// Options are the settings of a Ledger.
type Options struct {
	Window time.Duration
	// Weights are the weights of workspaces by name; 1 for others.
	Weights map[string]float64
}

// Decision is a workspace's position in the division of a service's capacity, in slots.
type Decision struct {
	IsOverShare bool    // the workspace has used its share, while others want theirs
	Share       float64 // max-min share
	Use         float64 // work sent to targets
	Offered     float64 // work requested
	Lent        float64 // use above the weighted equal share, lent by others
}

// Ledger measures the work of workspaces. Use New to create one; it is not safe for concurrent use.
type Ledger struct{ opts Options }

// New returns an empty Ledger.
func New(o Options) *Ledger { return &Ledger{opts: o} }

// Offer records work that a caller of a workspace has requested, whether it is admitted or not.
func (l *Ledger) Offer(now time.Time, service, workspace string, work time.Duration) {}

// Serve records work of a workspace that is sent to a target.
func (l *Ledger) Serve(now time.Time, service, workspace string, work time.Duration) {}

// Decide returns the position of a workspace at a service whose targets have capacity slots.
func (l *Ledger) Decide(now time.Time, service, workspace string, capacity float64) Decision {
	return Decision{Share: capacity}
}

// Report returns the usage of the workspaces with the most work at this gateway and the sum of the others.
func (l *Ledger) Report(now time.Time) []Usage { return nil }

// ApplyReport replaces the usage that a peer has reported.
func (l *Ledger) ApplyReport(now time.Time, peer string, list []Usage) {}

// ExpirePeer drops the usage of a peer.
func (l *Ledger) ExpirePeer(peer string) {}
