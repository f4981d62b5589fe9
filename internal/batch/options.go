// Package batch owns shards of batch jobs. It is the shell around core/jobs and
// core/shardmap: it reads and appends the shards' streams, hands items to sides,
// takes jobs from callers at any entry and passes calls on to the shard's owner.
package batch

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/confstate"
	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/settings"
)

// Options is what a Manager is made of.
type Options struct {
	Settings settings.Entry
	Log      platform.Log
	Config   confstate.Source
	// Members returns the host list as this entry knows it. It may lag.
	Members func() []platform.Host
	Logger  hclog.Logger
	Metrics metrics.Registry
	// Clock is time.Now if nil.
	Clock func() time.Time
	// PeerAddr is the address of this entry's peer listener; empty takes that of Settings.
	PeerAddr string
	// PeerKeys are the keys between own processes, the first for new calls; nil takes
	// those of Settings.
	PeerKeys func() []settings.PeerKey
	// RetiredKey says whether a peer key was valid once; nil knows none.
	RetiredKey func(id string) bool
	// Peers calls other entries; nil calls them over HTTP.
	Peers PeerCaller
	// Check counts violations of invariants; nil counts and logs them.
	Check *invariant.Checker
	// Broken switches guards off, for tests and the lab only.
	Broken jobs.Broken
	// Tuning replaces defaults; zero fields keep them.
	Tuning Tuning
}

// Tuning holds the times and bounds that are no settings of operators.
type Tuning struct {
	ProbeEvery    time.Duration // between probes of a peer
	ProbeTimeout  time.Duration // for one probe
	Lease         time.Duration // an entry that was unreachable for so long counts as gone
	ReadWait      time.Duration // one waiting read of a shard's stream
	CallTimeout   time.Duration // one call of a caller at the owner
	ItemLease     time.Duration // sides start an item only if they heard from the owner within this
	SideGrace     time.Duration // a side whose session closed may come back and report within this
	TakeoverWait  time.Duration // after the loss of an owner, for outcomes that sides hold
	OnceGrace     time.Duration // for outcomes of items that run at most once, after a takeover
	SnapshotCount int           // envelopes between snapshots
	SnapshotBytes int           // bytes of envelopes between snapshots
	UploadTTL     time.Duration // an upload that is not committed is dropped after this
	HousekeepEvery,
	RewriteEvery time.Duration
	CacheBytes int // segments' bodies kept in memory
}

func (t Tuning) withDefaults(s settings.Entry) Tuning {
	setDuration(&t.ProbeEvery, 500*time.Millisecond)
	setDuration(&t.ProbeTimeout, time.Second)
	setDuration(&t.Lease, 2*time.Second)
	setDuration(&t.ReadWait, time.Second)
	setDuration(&t.CallTimeout, 10*time.Second)
	setDuration(&t.ItemLease, 2*time.Second)
	setDuration(&t.SideGrace, 2*time.Second)
	setDuration(&t.TakeoverWait, time.Second)
	setDuration(&t.OnceGrace, 30*time.Second)
	setDuration(&t.UploadTTL, time.Hour)
	setDuration(&t.HousekeepEvery, 250*time.Millisecond)
	setDuration(&t.RewriteEvery, clamp(s.LogRetention/64, time.Second, time.Minute))
	setInt(&t.SnapshotCount, 4096)
	setInt(&t.SnapshotBytes, 64<<20)
	setInt(&t.CacheBytes, 32<<20)
	if s.LogRetention > 0 {
		t.UploadTTL = min(t.UploadTTL, s.LogRetention/4)
	}
	return t
}

func setDuration(d *time.Duration, def time.Duration) {
	if *d <= 0 {
		*d = def
	}
}

func setInt(n *int, def int) {
	if *n <= 0 {
		*n = def
	}
}

func clamp(d, lo, hi time.Duration) time.Duration { return max(lo, min(hi, d)) }

// withDefaults fills what the settings left out.
func withDefaults(s settings.Entry) settings.Entry {
	setInt(&s.Shards, 16)
	setDuration(&s.CommitEvery, 100*time.Millisecond)
	setDuration(&s.ResultsFor, 72*time.Hour)
	setDuration(&s.LogRetention, 7*24*time.Hour)
	setDuration(&s.ItemTimeout, 10*time.Minute)
	setDuration(&s.DrainTimeout, 30*time.Second)
	setInt(&s.ItemAttempts, 3)
	setInt(&s.MaxHeldBytes, 64<<20)
	setInt(&s.MaxBody, 1<<20)
	return s
}
