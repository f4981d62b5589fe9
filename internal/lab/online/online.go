// Package online measures what the system does with more online requests than its targets
// can serve: how many attempts reach the targets for each request, with and without the
// retry budget, and how soon a refused caller is told.
package online

import (
	"context"
	"fmt"
	"io"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/openloop"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rcrowley/go-metrics"
)

// Options of a measurement.
type Options struct {
	Overload float64 // arrivals as a multiple of what the engines can serve
	Seed     uint64
	Seconds  int // of each phase
	Progress io.Writer
}

// DefaultOptions is a measurement of about a minute.
func DefaultOptions() Options {
	return Options{Overload: 2, Seed: 1, Seconds: 15, Progress: io.Discard}
}

const (
	domains    = 3
	engines    = 6
	slots      = 8 // sequences in an engine's running batch
	tokens     = 30
	promptSize = 256 // tokens
	timeout    = 10 * time.Second
	awaitServe = 30 * time.Second
	// unbounded is a retry share that no traffic reaches.
	unbounded  = 1000
	histMax    = 600 * 1e6 // microseconds
	histDigits = 3
)

func engineModel(int) engine.Options { return engine.Options{MaxRunning: slots} }

// capacity is the requests a second that all engines together complete.
func capacity() float64 {
	return engines * engineModel(0).RequestsPerS(slots, promptSize, tokens)
}

// Report is the outcome of a measurement.
type Report struct {
	Overload  float64 `json:"overload"`
	Seed      uint64  `json:"seed"`
	Seconds   int     `json:"seconds"`
	CapacityS float64 `json:"capacity_requests_per_s"`
	Phases    []Phase `json:"phases"`
}

// Phase is one load with one retry share.
type Phase struct {
	Name          string            `json:"name"`
	Requests      int               `json:"requests"`
	Whole         int               `json:"whole"`
	Attempts      int64             `json:"attempts_at_sides"`
	Retries       int64             `json:"retries"`
	Denied        int64             `json:"retries_denied"`
	Amplification float64           `json:"amplification"`
	RefusedP50Ms  float64           `json:"refused_p50_ms"`
	RefusedP99Ms  float64           `json:"refused_p99_ms"`
	TTFTP99Ms     float64           `json:"ttft_p99_ms"`
	NoRetryAfter  int               `json:"refusals_without_retry_after"`
	Errors        map[errs.Type]int `json:"errors_by_type"`
	Violations    int               `json:"violations"`
}

// Run sends the same load with the default retry budget and without any. Errors: of a
// fleet that does not come up.
func Run(ctx context.Context, o Options) (*Report, error) {
	r := &Report{Overload: o.Overload, Seed: o.Seed, Seconds: o.Seconds, CapacityS: capacity()}
	phases := []struct {
		name  string
		share float64
	}{
		{"with budget", settings.DefaultEntry().RetryShare},
		{"without budget", unbounded},
	}
	for _, p := range phases {
		fmt.Fprintf(o.Progress, "%s, %d s\n", p.name, o.Seconds)
		phase, err := o.run(ctx, p.share)
		if err != nil {
			return nil, err
		}
		phase.Name = p.name
		r.Phases = append(r.Phases, *phase)
	}
	return r, nil
}

func (o *Options) run(ctx context.Context, share float64) (*Phase, error) {
	c, err := cluster.StartServing(ctx, awaitServe, cluster.Options{
		Domains: domains, Entries: domains, Engines: engines, Engine: engineModel, Seed: o.Seed,
		EntrySettings: func(s *settings.Entry) { s.RetryShare = share },
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	load := openloop.Load{
		PerS: o.Overload * capacity(), For: time.Duration(o.Seconds) * time.Second,
		Tokens: tokens, Documents: 1 << 16, PrefixTokens: promptSize / 2, TailTokens: promptSize / 2,
		Skew: 1.01, Timeout: timeout, Seed: o.Seed,
	}
	sender, err := openloop.NewSender(c, load)
	if err != nil {
		return nil, err
	}
	answers := sender.Send(ctx, openloop.Plan(load, domains))
	return summarise(c, answers), nil
}

func summarise(c *cluster.Cluster, answers []openloop.Answer) *Phase {
	p := &Phase{Requests: len(answers), Errors: make(map[errs.Type]int)}
	refused := hdrhistogram.New(1, histMax, histDigits)
	first := hdrhistogram.New(1, histMax, histDigits)
	for _, a := range answers {
		switch {
		case a.Violation != "":
			p.Violations++
		case a.Err == nil:
			p.Whole++
			record(first, a.FirstToken)
		default:
			p.Errors[a.Err.Type]++
			if a.Err.Ran == errs.RanNo {
				record(refused, a.Ended)
			}
			if a.Err.RetryAfterMs == 0 {
				p.NoRetryAfter++
			}
		}
	}
	for _, s := range c.EngineSides {
		p.Attempts += count(s.Metrics, "side.started") + count(s.Metrics, "side.refused")
	}
	for _, e := range c.Entries {
		p.Retries += count(e.Metrics, "entry.retries")
		p.Denied += count(e.Metrics, "entry.retries_denied")
	}
	p.Amplification = float64(p.Attempts) / float64(max(1, p.Requests))
	p.RefusedP50Ms = ms(refused, 50)
	p.RefusedP99Ms = ms(refused, 99)
	p.TTFTP99Ms = ms(first, 99)
	return p
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(1, min(histMax, d.Microseconds())))
}

func ms(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }

func count(r metrics.Registry, name string) int64 {
	if c, ok := r.Get(name).(metrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%.1f times the capacity of %.0f requests/s, seed %d, %d s each\n", r.Overload, r.CapacityS, r.Seed, r.Seconds)
	fmt.Fprintf(w, "%-15s %8s %8s %9s %8s %8s %6s %12s %12s %12s %s\n", "", "requests", "whole", "attempts", "retries",
		"denied", "ampl.", "refused p50", "refused p99", "ttft p99 ms", "errors")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%-15s %8d %8d %9d %8d %8d %6.2f %12.1f %12.1f %12.0f %v\n", p.Name, p.Requests, p.Whole, p.Attempts,
			p.Retries, p.Denied, p.Amplification, p.RefusedP50Ms, p.RefusedP99Ms, p.TTFTP99Ms, p.Errors)
	}
}
