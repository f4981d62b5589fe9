package follow

import (
	"cmp"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/internal/settings"
)

// Options are what a Follower is made of.
type Options struct {
	Self    settings.Entry
	Log     platform.Log
	Members func() []platform.Host // the host list as last read
	Logger  hclog.Logger
	Metrics metrics.Registry
	Clock   func() time.Time // nil for time.Now
	// PeerKeys are the keys between own processes, the first for new questions;
	// nil takes those of Self.
	PeerKeys func() []settings.PeerKey
	// RetiredKey says whether a peer key was valid once; nil knows none.
	RetiredKey func(id string) bool
	// Fetcher asks other entries; nil asks over HTTP.
	Fetcher Fetcher
	// Check counts violations of invariants; nil counts and logs them.
	Check *invariant.Checker
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Logger = cmp.Or(o.Logger, hclog.NewNullLogger())
	o.Metrics = cmp.Or(o.Metrics, metrics.NewRegistry())
	if o.PeerKeys == nil {
		keys := o.Self.PeerKeys
		o.PeerKeys = func() []settings.PeerKey { return keys }
	}
	return o
}

// stats are the metrics of a Follower.
type stats struct {
	version     metrics.Gauge
	regressions metrics.Counter
	polls       metrics.Counter
	failures    metrics.Counter
	stale       metrics.Gauge
}

func newStats(reg metrics.Registry) stats {
	return stats{
		version:     metrics.GetOrRegisterGauge("config.version", reg),
		regressions: metrics.GetOrRegisterCounter("config.version_regressions", reg),
		polls:       metrics.GetOrRegisterCounter("config.polls", reg),
		failures:    metrics.GetOrRegisterCounter("config.poll_failures", reg),
		stale:       metrics.GetOrRegisterGauge("config.stale", reg),
	}
}
