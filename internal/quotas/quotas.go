// Package quotas limits how many requests of each workspace the gateways admit together. A gateway uses it to
// admit or reject each request, and exchanges reports of its admissions with its peers, the other gateways.
package quotas

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/quota"
	"arbutusramp/core/workspace"
)

// Quotas holds the quotas of all workspaces and the admissions of all gateways. It puts a lock around a
// quota.Limiter and counts decisions. It is safe for concurrent use.
type Quotas struct {
	startID  string // identifies this start of the process
	admitted metrics.Counter
	rejected metrics.Counter
	refunded metrics.Counter // admitted requests whose charge was returned

	mu      sync.Mutex
	limiter *quota.Limiter
	// reportsMade is how often Report was called.
	reportsMade int
}

// maxFirstReports is how many reports after a start of the process are marked with quota.Report.IsAfterStart. A
// peer that receives such a report concludes that it has missed only few admissions of this process.
const maxFirstReports = 20

// New returns quotas without workspaces. startID identifies this start of the process in its reports. The
// metrics of the quotas are registered in reg.
func New(startID string, o quota.Options, reg metrics.Registry) *Quotas {
	q := &Quotas{
		startID: startID, limiter: quota.New(time.Now(), o),
		admitted: metrics.GetOrRegisterCounter("quota.admitted", reg),
		rejected: metrics.GetOrRegisterCounter("quota.rejected", reg),
		refunded: metrics.GetOrRegisterCounter("quota.refunded", reg),
	}
	reg.Register("quota.share_percent", metrics.NewFunctionalGauge(func() int64 { return int64(100 * q.Share()) }))
	return q
}

// SetWorkspaces replaces the quotas with those of the given workspaces.
func (q *Quotas) SetWorkspaces(workspaces []workspace.Workspace) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.SetQuotas(time.Now(), workspaces)
}

// Admit decides whether a request of a workspace is admitted. If so, it charges the quota of the workspace with
// one request.
func (q *Quotas) Admit(workspaceName string) quota.Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	decision := q.limiter.Admit(time.Now(), workspaceName)
	if decision.IsAdmitted {
		q.admitted.Inc(1)
	} else {
		q.rejected.Inc(1)
	}
	return decision
}

// Refund gives a workspace the charge of one admitted request back. It is called for a request that no target
// has run.
func (q *Quotas) Refund(workspaceName string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.Refund(time.Now(), workspaceName)
	q.refunded.Inc(1)
}

// AddPeer adds the peer at addr, which may not have sent a report yet.
func (q *Quotas) AddPeer(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.AddPeer(time.Now(), quota.PeerAddr(addr))
}

// RemovePeer removes the peer at addr, which is known to have stopped. Its share of the quotas goes to the other
// gateways.
func (q *Quotas) RemovePeer(addr string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.RemovePeer(time.Now(), quota.PeerAddr(addr))
}

// ApplyReport charges the quotas with the admissions in a report from the peer at addr.
func (q *Quotas) ApplyReport(addr string, r quota.Report) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limiter.ApplyReport(time.Now(), quota.PeerAddr(addr), r)
}

// Report returns the next report for the peers, with the admissions of this gateway that have changed recently.
func (q *Quotas) Report() quota.Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reportsMade++
	return quota.Report{StartID: q.startID, IsAfterStart: q.reportsMade <= maxFirstReports, Counts: q.limiter.Counts()}
}

// Share returns the fraction of each quota that this gateway may use, from 0 to 1. It is below 1 while peers
// that may admit requests send no reports.
func (q *Quotas) Share() float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Share(time.Now())
}

// Usage returns the limit of a workspace and how much of it is used; ok is false if the workspace has no limit.
func (q *Quotas) Usage(workspaceName string) (usage quota.Usage, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limiter.Usage(time.Now(), workspaceName)
}
