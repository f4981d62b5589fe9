// Package quota limits the rate of each workspace's online requests across all gateways. Each gateway uses it
// to admit or reject requests. It does no I/O; callers lock it and pass the time in.
//
// Each gateway keeps a whole token bucket for every workspace with a quota. It takes a token from it for each
// request that it admits itself and for each one that its peers report to have admitted. No request waits for
// another process. The report of an admission arrives some milliseconds late; what peers admit in the
// meantime becomes a debt of the bucket, which is repaid before any further request is admitted.
//
// A gateway that receives no reports from some of its peers has no count of what they admit. It then uses
// only the share of each bucket that belongs to itself and to the peers whose reports it receives, so that
// all sides of a network partition together stay within one bucket.
package quota

import (
	"time"

	"arbutusramp/core/workspace"
)

const (
	// headroomShare is the share of the tolerated excess (Options) that a bucket holds beyond its burst.
	// Without it, a caller that keeps exactly to its quota could be rejected, because buckets of gateways
	// differ slightly and its clock differs from theirs. The rest of the excess covers admissions that have
	// not been reported yet.
	headroomShare = 0.08
	// initialFill is the fill level of a new bucket, 0 to 1. It is below 1 because earlier admissions are
	// unknown: after the start of this process, or when a workspace gets its first quota.
	initialFill = 0.6
	// peerSilenceLimit is how long after its last report a peer counts as silent. Peers report at least five
	// times a second. A peer whose report was lost counts as silent until the next one arrives, and its share
	// of the buckets is unavailable for as long.
	peerSilenceLimit = 230 * time.Millisecond
	// reportRepeats is how many consecutive reports contain a changed count, because datagrams can be lost.
	reportRepeats = 3
)

// Options are the settings of a Limiter.
type Options struct {
	// Window is the length of the period for which MaxExcessShare and MaxExcessRequests bound the requests
	// beyond the quota.
	Window time.Duration
	// MaxExcessShare is how many requests beyond the quota are tolerated in a window, as a share of what the
	// quota allows in it, 0 to 1.
	MaxExcessShare float64
	// MaxExcessRequests is how many more requests beyond the quota are tolerated in a window, in addition to
	// MaxExcessShare.
	MaxExcessRequests float64
	// PeerShareTTL is how long after its last report a peer keeps its share of the buckets. It must be long
	// enough that a peer silent for this time has stopped, or has lost the proof (package freshness) that it
	// needs to admit requests.
	PeerShareTTL time.Duration
}

// headroom is how many tokens the bucket of a quota holds beyond its burst.
func (o Options) headroom(q workspace.Quota) float64 {
	allowed := q.PerSecond*o.Window.Seconds() + q.Burst
	return headroomShare * (o.MaxExcessShare*allowed + o.MaxExcessRequests)
}

// Limiter limits the requests of workspaces at one gateway. It holds a bucket for each workspace with a quota,
// and is not safe for concurrent use.
type Limiter struct {
	opts    Options
	buckets map[string]*bucket // by name of the workspace
	peers   map[PeerAddr]*peer
	// share is the share of each bucket that this gateway may use, 0 to 1; see updateShare.
	share      float64
	nextExpiry time.Time // no peer becomes silent or expires before it
	startedAt  time.Time
	// hasRunningPeers is set if peers were admitting requests before this process started.
	hasRunningPeers bool
	// areQuotasSet is set if SetQuotas has been called, even if no workspace has a quota.
	areQuotasSet bool
}

// New returns a Limiter without workspaces for a gateway that starts now.
func New(now time.Time, o Options) *Limiter {
	return &Limiter{opts: o, startedAt: now, buckets: make(map[string]*bucket), peers: make(map[PeerAddr]*peer), share: 1}
}

// bucket is the token bucket of one workspace at this gateway.
type bucket struct {
	quota       workspace.Quota
	headroom    float64 // tokens that the bucket can hold beyond the burst
	tokens      float64 // negative while peers have admitted more than it held
	reserve     float64 // tokens set aside for silent peers
	refilledAt  time.Time
	admitted    int64 // by this gateway since its start, less refunds
	reportsLeft int   // number of reports that must still contain admitted
}

// SetQuotas applies the quotas of a configuration. A bucket with a changed quota keeps its tokens, or its
// debt, up to its new capacity. Buckets of workspaces without a quota are dropped.
func (l *Limiter) SetQuotas(now time.Time, workspaces []workspace.Workspace) {
	limited := make(map[string]bool, len(workspaces))
	for _, w := range workspaces {
		if _, ok := limited[w.Name]; ok {
			continue // listed twice: the first entry is used
		}
		limited[w.Name] = w.Quota.IsLimited()
		if limited[w.Name] {
			l.setQuota(now, w.Name, w.Quota)
		}
	}
	l.areQuotasSet = true
	for name := range l.buckets {
		if !limited[name] {
			delete(l.buckets, name)
		}
	}
}

// setQuota applies the quota of the workspace called name.
func (l *Limiter) setQuota(now time.Time, name string, q workspace.Quota) {
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{refilledAt: now}
		l.buckets[name] = b
	}
	b.refill(now, l.share)
	b.quota = q
	b.headroom = l.opts.headroom(q)
	if !ok {
		b.tokens = initialFill * b.capacity(l.share)
	}
	if !ok && l.hasRunningPeers && !l.areQuotasSet {
		// Peers may use all tokens that they have left, an unknown number; see capInitialTokens.
		b.tokens = min(b.tokens, 1)
	}
	b.tokens = min(b.tokens, b.capacity(l.share))
	b.reserve = min(b.reserve, (1-l.share)*(q.Burst+b.headroom))
}

// capacity is how many tokens the bucket can hold for a gateway that may use share of it. It is at least one:
// otherwise a workspace with a small quota would get nothing at a gateway that receives no reports.
func (b *bucket) capacity(share float64) float64 {
	return max(1, share*(b.quota.Burst+b.headroom))
}

// refill adds the tokens earned since the last refill: share of them to tokens, the rest to reserve.
func (b *bucket) refill(now time.Time, share float64) {
	elapsed := now.Sub(b.refilledAt).Seconds()
	if elapsed <= 0 {
		return
	}
	earned := elapsed * b.quota.PerSecond
	b.tokens = min(b.capacity(share), b.tokens+share*earned)
	b.reserve = min((1-share)*(b.quota.Burst+b.headroom), b.reserve+(1-share)*earned)
	b.refilledAt = now
}

// rebalance moves tokens between tokens and reserve when this gateway's share changes.
func (b *bucket) rebalance(oldShare, newShare float64) {
	switch {
	case newShare < oldShare && b.tokens > 0:
		reserved := b.tokens * (1 - newShare/oldShare)
		b.tokens -= reserved
		b.reserve += reserved
	case newShare > oldShare:
		returned := b.reserve * (newShare - oldShare) / (1 - oldShare)
		b.reserve -= returned
		b.tokens += returned
	}
	b.tokens = min(b.tokens, b.capacity(newShare))
}

// Decision is the decision on one request, with the state of the bucket that it is based on.
type Decision struct {
	IsAdmitted bool
	// RetryAfter is how long until a request that is not admitted now can be admitted; 0 if it is admitted.
	RetryAfter time.Duration
	// Tokens is how many tokens the bucket held before the request; 0 without a quota.
	Tokens float64
	// Share is the share of the bucket that this gateway may use, 0 to 1.
	Share float64
	// IsNearLimit is set if the bucket was less than nearLimitFill full before the request: the workspace's
	// request rate is above its quota in the long run.
	IsNearLimit bool
}

// nearLimitFill is the fill level of a bucket, 0 to 1, below which its workspace counts as near its limit.
const nearLimitFill = 0.25

// Admit decides on one request of the workspace called name, and takes a token if it is admitted. Requests of
// workspaces without a quota are always admitted.
func (l *Limiter) Admit(now time.Time, name string) Decision {
	b, ok := l.buckets[name]
	if !ok {
		return Decision{IsAdmitted: true, Share: 1}
	}
	l.updateShare(now)
	b.refill(now, l.share)
	d := Decision{IsAdmitted: b.tokens >= 1, Tokens: b.tokens, Share: l.share, IsNearLimit: b.tokens < nearLimitFill*b.capacity(l.share)}
	if !d.IsAdmitted {
		d.RetryAfter = time.Duration((1 - b.tokens) / (l.share * b.quota.PerSecond) * float64(time.Second))
		return d
	}
	b.take(1)
	return d
}

// Refund returns the token of an admitted request that no target has run.
func (l *Limiter) Refund(now time.Time, name string) {
	if b, ok := l.buckets[name]; ok {
		b.refill(now, l.share)
		b.take(-1)
		b.tokens = min(b.tokens, b.capacity(l.share))
	}
}

// take removes the tokens of n admissions of this gateway from the bucket; a negative n returns them.
func (b *bucket) take(n int64) {
	b.tokens -= float64(n)
	b.admitted += n
	b.reportsLeft = reportRepeats
}

// Usage is the state of one workspace's bucket, as shown in metrics and by commands.
type Usage struct {
	Quota    workspace.Quota
	Tokens   float64 // negative for a debt
	Admitted int64   // requests admitted by this gateway since its start, less refunds
}

// Usage returns the state of the bucket of the workspace called name; ok is false without a quota.
func (l *Limiter) Usage(now time.Time, name string) (u Usage, ok bool) {
	b, ok := l.buckets[name]
	if !ok {
		return Usage{}, false
	}
	b.refill(now, l.share)
	return Usage{Quota: b.quota, Tokens: b.tokens, Admitted: b.admitted}, true
}
