// Package quotas keeps the quotas of workspaces under one lock. The request path, the reports of peers and
// the configuration share them.
package quotas

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/quota"
	"arbutusramp/core/workspace"
)

// Quotas is a quota.Ledger with a lock. It is safe for concurrent use.
type Quotas struct {
	startID  string // identifies this start of the process
	admitted metrics.Counter
	rejected metrics.Counter
	refunded metrics.Counter

	mu     sync.Mutex
	ledger *quota.Ledger
	// reportsMade is the number of reports that Report has returned.
	reportsMade int
}

// maxFirstReports is how many reports of a start count as its first ones: a peer that receives one of them
// has missed only few admissions.
const maxFirstReports = 20

// New returns quotas without workspaces. startID identifies the start of the process.
func New(startID string, o quota.Options, reg metrics.Registry) *Quotas {
	q := &Quotas{
		startID: startID, ledger: quota.New(time.Now(), o),
		admitted: metrics.GetOrRegisterCounter("quota.admitted", reg),
		rejected: metrics.GetOrRegisterCounter("quota.rejected", reg),
		refunded: metrics.GetOrRegisterCounter("quota.refunded", reg),
	}
	reg.Register("quota.share_percent", metrics.NewFunctionalGauge(func() int64 { return int64(100 * q.Share()) }))
	return q
}

// SetWorkspaces puts the quotas of a configuration in force.
func (q *Quotas) SetWorkspaces(list []workspace.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetQuotas(time.Now(), list)
}

// Admit decides whether a request of a workspace is admitted, and charges its quota if so.
func (q *Quotas) Admit(name string) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.ledger.Admit(time.Now(), name)
	if d.IsAdmitted {
		q.admitted.Inc(1)
	} else {
		q.rejected.Inc(1)
	}
	return d
}

// Refund returns the charge of a request that no target has run.
func (q *Quotas) Refund(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Refund(time.Now(), name)
	q.refunded.Inc(1)
}

// AddPeer adds a peer, by address, that has not reported yet.
func (q *Quotas) AddPeer(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.AddPeer(time.Now(), quota.Peer(addr))
}

// Forget removes a peer that is known to have stopped.
func (q *Quotas) Forget(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Forget(time.Now(), quota.Peer(addr))
}

// Apply applies the report of the peer at addr.
func (q *Quotas) Apply(addr string, r quota.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.Apply(time.Now(), quota.Peer(addr), r)
}

// Report returns the next report of this gateway to its peers.
func (q *Quotas) Report() quota.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportsMade++
	return quota.Report{Start: q.startID, IsFirst: q.reportsMade <= maxFirstReports, Counts: q.ledger.Counts()}
}

// Share returns the fraction of the quotas that this gateway may use, from 0 to 1.
func (q *Quotas) Share() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Share(time.Now())
}

// Usage returns the state of the quota of a workspace; ok is false if it has no limit.
func (q *Quotas) Usage(name string) (u quota.Usage, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ledger.Usage(time.Now(), name)
}
