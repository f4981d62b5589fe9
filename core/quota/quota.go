// Package quota limits the requests of workspaces across all gateways. It does no I/O; callers lock it and
// pass the time in.
//
// Each gateway keeps a whole token bucket for every workspace. It takes out of it what it admits itself and
// what its peers report to have admitted. No request waits for another process. The report of an admission
// arrives some milliseconds late; what peers admit in the meantime is a debt of the bucket, which is repaid
// before anything else is admitted.
//
// A gateway that receives no reports from some of its peers has no count of what they admit. It then uses
// only the share of each bucket that belongs to itself and to the peers whose reports it receives, so that
// all sides of a partition together stay within one bucket.
package quota

import (
	"time"

	"arbutusramp/core/workspace"
)

const (
	// headroomShare is the share of the tolerated excess that buckets hold in addition to the burst. Buckets
	// of gateways and the clock of a caller never agree exactly, and that must not cause a request within the
	// limit to be rejected. The rest of the excess is left for admissions that peers have not received yet.
	headroomShare = 0.08
	// initialShare is how full a bucket is while earlier admissions are unknown: after the start of this
	// process, or when a workspace gets its first limit.
	initialShare = 0.6
	// peerSilenceLimit is how long after its last report a peer counts as silent. Peers report at least five
	// times a second. A peer whose report was lost counts as silent for a moment, and its share of the
	// buckets is unavailable for as long.
	peerSilenceLimit = 230 * time.Millisecond
	// reportRepeats is how many consecutive reports carry a changed count, because datagrams can be lost.
	reportRepeats = 3
)

// Options are the limits of the decisions.
type Options struct {
	// Window is the time over which an excess is tolerated.
	Window time.Duration
	// Excess is the tolerated excess as a share of what the quota allows in a window, 0 to 1.
	Excess float64
	// Slack is the tolerated excess in requests, in addition to Excess.
	Slack float64
	// ClaimTTL is how long a silent peer keeps its share of the buckets. After that it has stopped, or may
	// not admit requests any more.
	ClaimTTL time.Duration
}

// headroom is how many tokens the bucket of a quota holds beyond its burst.
func (o Options) headroom(q workspace.Quota) float64 {
	allowed := q.PerSecond*o.Window.Seconds() + q.Burst
	return headroomShare * (o.Excess*allowed + o.Slack)
}

// Ledger holds the buckets of one gateway. It is not safe for concurrent use.
type Ledger struct {
	opts    Options
	buckets map[string]*bucket
	peers   map[Peer]*peer
	// share is the share of each bucket that this gateway may use; see updateShare.
	share      float64
	nextExpiry time.Time // before it no peer can become silent
	startedAt  time.Time
	// hasRunningPeers reports that peers were admitting requests before this process started.
	hasRunningPeers bool
	// hasQuotas reports that SetQuotas has been called before.
	hasQuotas bool
}

// New returns a ledger without workspaces for a gateway that starts now.
func New(now time.Time, o Options) *Ledger {
	return &Ledger{opts: o, startedAt: now, buckets: make(map[string]*bucket), peers: make(map[Peer]*peer), share: 1}
}

// bucket is the state of one workspace.
type bucket struct {
	quota       workspace.Quota
	headroom    float64
	tokens      float64 // negative while more has been admitted than was allowed
	reserve     float64 // set aside for silent peers
	refilledAt  time.Time
	admitted    int64 // by this gateway since its start, less refunds
	reportsLeft int   // number of reports that must still carry admitted
}

// SetQuotas applies the quotas of a configuration. Debts remain; earlier admissions count under a new quota.
func (l *Ledger) SetQuotas(now time.Time, list []workspace.Workspace) {
	limited := make(map[string]bool, len(list))
	for _, w := range list {
		if _, ok := limited[w.Name]; ok {
			continue // listed twice: the first entry is used
		}
		limited[w.Name] = w.Quota.IsLimited()
		if limited[w.Name] {
			l.setQuota(now, w.Name, w.Quota)
		}
	}
	l.hasQuotas = true
	for name := range l.buckets {
		if !limited[name] {
			delete(l.buckets, name)
		}
	}
}

func (l *Ledger) setQuota(now time.Time, name string, q workspace.Quota) {
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{refilledAt: now}
		l.buckets[name] = b
	}
	b.refill(now, l.share)
	b.quota = q
	b.headroom = l.opts.headroom(q)
	if !ok {
		b.tokens = initialShare * b.capacity(l.share)
	}
	if !ok && l.hasRunningPeers && !l.hasQuotas {
		b.tokens = min(b.tokens, 1)
	}
	b.tokens = min(b.tokens, b.capacity(l.share))
	b.reserve = min(b.reserve, (1-l.share)*(q.Burst+b.headroom))
}

// capacity is how many tokens the bucket holds at a share. It is at least one: otherwise a workspace with a
// small quota would get nothing at a gateway that receives no reports.
func (b *bucket) capacity(share float64) float64 {
	return max(1, share*(b.quota.Burst+b.headroom))
}

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

// rebalance moves tokens between this gateway's part and the reserve when its share changes.
func (b *bucket) rebalance(from, to float64) {
	switch {
	case to < from && b.tokens > 0:
		reserved := b.tokens * (1 - to/from)
		b.tokens -= reserved
		b.reserve += reserved
	case to > from:
		returned := b.reserve * (to - from) / (1 - from)
		b.reserve -= returned
		b.tokens += returned
	}
	b.tokens = min(b.tokens, b.capacity(to))
}

// Decision is the outcome for one request.
type Decision struct {
	IsAdmitted bool
	// RetryAfter is when a request that is not admitted would be allowed.
	RetryAfter time.Duration
	// Tokens is what the bucket held before the request; 0 without a limit.
	Tokens float64
	// Share is the share of the bucket that this gateway may use.
	Share float64
	// IsNearLimit reports that few tokens were left: the workspace's request rate is above its quota in the
	// long run.
	IsNearLimit bool
}

// nearLimitShare is how full the bucket of a workspace near its limit is at most.
const nearLimitShare = 0.25

// Admit takes a token for one request of a workspace. Workspaces without a limit are always admitted.
func (l *Ledger) Admit(now time.Time, name string) Decision {
	b, ok := l.buckets[name]
	if !ok {
		return Decision{IsAdmitted: true, Share: 1}
	}
	l.updateShare(now)
	b.refill(now, l.share)
	d := Decision{IsAdmitted: b.tokens >= 1, Tokens: b.tokens, Share: l.share, IsNearLimit: b.tokens < nearLimitShare*b.capacity(l.share)}
	if !d.IsAdmitted {
		d.RetryAfter = time.Duration((1 - b.tokens) / (l.share * b.quota.PerSecond) * float64(time.Second))
		return d
	}
	b.take(1)
	return d
}

// Refund returns the token of a request that no target has run.
func (l *Ledger) Refund(now time.Time, name string) {
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

// Usage is the state of one workspace's bucket, for gauges and commands.
type Usage struct {
	Quota    workspace.Quota
	Tokens   float64
	Admitted int64 // by this gateway since its start
}

// Usage returns the state of a bucket; ok is false without a limit.
func (l *Ledger) Usage(now time.Time, name string) (u Usage, ok bool) {
	b, ok := l.buckets[name]
	if !ok {
		return Usage{}, false
	}
	b.refill(now, l.share)
	return Usage{Quota: b.quota, Tokens: b.tokens, Admitted: b.admitted}, true
}
