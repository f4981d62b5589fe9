// Package choose compares the ways of choosing a target on one load: the same plan is sent
// to a fresh fleet of stand-ins for each policy.
package choose

import (
	"context"
	"fmt"
	"io"
	"time"

	corechoose "arbutusramp/core/choose"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/lab/openloop"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options of a comparison.
type Options struct {
	Shape    string // kelpie or tuulai
	Seed     uint64
	Seconds  int     // of each policy
	PerS     float64 // requests a second
	Slow     float64 // the factor by which one engine is slower
	Policies []string
	Progress io.Writer
}

// DefaultOptions is a comparison of about three minutes.
func DefaultOptions() Options {
	return Options{
		Shape: "kelpie", Seed: 1, Seconds: 15, PerS: 50, Slow: 3,
		Policies: corechoose.Policies(), Progress: io.Discard,
	}
}

// shapes are the failure domains of the users' fleets; both have 9 drafting engines.
var shapes = map[string]int{"kelpie": 3, "tuulai": 4}

const (
	engines     = 9
	awaitServe  = 30 * time.Second
	cacheBlocks = 256 // of each engine: fewer than all documents have together
)

// load is the same for all policies.
func (o *Options) load() openloop.Load {
	return openloop.Load{
		PerS: o.PerS, For: time.Duration(o.Seconds) * time.Second,
		Tokens: 30, Documents: 48, PrefixTokens: 1024, TailTokens: 64, Skew: 1.1,
		Timeout: time.Minute, Seed: o.Seed,
	}
}

// Report is the outcome of a comparison.
type Report struct {
	Shape    string   `json:"shape"`
	Seed     uint64   `json:"seed"`
	Seconds  int      `json:"seconds"`
	PerS     float64  `json:"requests_per_s"`
	Slow     float64  `json:"slow_factor"`
	Policies []Result `json:"policies"`
}

// Result is that of one policy. The ratios are to the policy "random".
type Result struct {
	Policy      string            `json:"policy"`
	Requests    int               `json:"requests"`
	P50Ms       float64           `json:"ttft_p50_ms"`
	P99Ms       float64           `json:"ttft_p99_ms"`
	CacheHits   float64           `json:"prefix_cache_hit_share"`
	CrossDomain float64           `json:"cross_domain_share"`
	SlowShare   float64           `json:"slow_target_share"`
	Errors      map[errs.Type]int `json:"errors_by_type"`
	Violations  int               `json:"violations"`
	P50Ratio    float64           `json:"ttft_p50_vs_random"`
	P99Ratio    float64           `json:"ttft_p99_vs_random"`
}

// Run compares the policies one after another. Errors: errs.BadSettings, or of a
// fleet that does not come up.
func Run(ctx context.Context, o Options) (*Report, error) {
	domains, ok := shapes[o.Shape]
	if !ok {
		return nil, errs.Newf(errs.BadSettings, "shape: %q is neither kelpie nor tuulai", o.Shape)
	}
	report := &Report{Shape: o.Shape, Seed: o.Seed, Seconds: o.Seconds, PerS: o.PerS, Slow: o.Slow}
	for _, name := range o.Policies {
		fmt.Fprintf(o.Progress, "policy %s, %d s\n", name, o.Seconds)
		r, err := o.runOne(ctx, name, domains)
		if err != nil {
			return nil, err
		}
		report.Policies = append(report.Policies, *r)
	}
	report.compare()
	return report, nil
}

func (r *Report) compare() {
	for _, base := range r.Policies {
		if base.Policy != "random" {
			continue
		}
		for i := range r.Policies {
			r.Policies[i].P50Ratio = r.Policies[i].P50Ms / base.P50Ms
			r.Policies[i].P99Ratio = r.Policies[i].P99Ms / base.P99Ms
		}
	}
}

func (o *Options) runOne(ctx context.Context, policy string, domains int) (*Result, error) {
	c, err := cluster.StartServing(ctx, awaitServe, cluster.Options{
		Domains: domains, Entries: domains, Engines: engines, Seed: o.Seed,
		Engine:        func(int) engine.Options { return engine.Options{CacheBlocks: cacheBlocks} },
		EntrySettings: func(s *settings.Entry) { s.RoutePolicy = policy },
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	c.Engines[0].Turn(func(k *engine.Knobs) { k.Slow = o.Slow })
	sender, err := openloop.NewSender(c, o.load())
	if err != nil {
		return nil, err
	}
	plan := openloop.Plan(o.load(), domains)
	answers := sender.Send(ctx, plan)
	return summarise(policy, c, plan, answers), nil
}

const (
	histMax    = 600 * 1e6 // microseconds
	histDigits = 3
)

func summarise(policy string, c *cluster.Cluster, plan []openloop.Request, answers []openloop.Answer) *Result {
	r := &Result{Policy: policy, Requests: len(plan), Errors: make(map[errs.Type]int)}
	h := hdrhistogram.New(1, histMax, histDigits)
	domainOf := make(map[structs.TargetID]structs.FailureDomain)
	for _, p := range c.EngineSides {
		domainOf[p.Target] = p.Domain
	}
	whole, cross, slow := 0, 0, 0
	for i, a := range answers {
		switch {
		case a.Violation != "":
			r.Violations++
			continue
		case a.Err != nil:
			r.Errors[a.Err.Type]++
			continue
		}
		whole++
		_ = h.RecordValue(min(histMax, a.FirstToken.Microseconds()))
		if domainOf[a.Target] != c.Entries[plan[i].Entry].Domain {
			cross++
		}
		if a.Target == cluster.EngineID(0) {
			slow++
		}
	}
	r.P50Ms = float64(h.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(h.ValueAtQuantile(99)) / 1000
	r.CrossDomain = share(cross, whole)
	r.SlowShare = share(slow, whole)
	r.CacheHits = cacheHits(c)
	return r
}

func share(part, whole int) float64 { return float64(part) / float64(max(1, whole)) }

// cacheHits is the share of prompt tokens that the engines did not have to compute.
func cacheHits(c *cluster.Cluster) float64 {
	var cached, computed int64
	for _, e := range c.Engines {
		s := e.Stats(false)
		cached += s.CachedTokens
		computed += s.PrefillTokens
	}
	return float64(cached) / float64(max(1, cached+computed))
}
