package overhead

import (
	"context"
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/internal/telemetry"
)

// Rate is what an entry carried under a closed loop of calls.
type Rate struct {
	Connections int     `json:"connections"`
	Seconds     float64 `json:"seconds"`
	Calls       int64   `json:"calls"`
	// Refused counts calls that were refused without having run and were sent again later: a
	// target that starts cold takes few calls at a time at first.
	Refused   int64     `json:"refused"`
	CallsPerS float64   `json:"calls_per_s"`
	Latency   Quantiles `json:"latency"`
	// EntryCores and SideCores are processor time used a second; 0 if not read.
	EntryCores float64 `json:"entry_cores"`
	SideCores  float64 `json:"side_cores"`
	// LoadCores is what the measuring process itself used.
	LoadCores float64 `json:"load_cores"`
	// CallsPerEntryCore is CallsPerS by EntryCores.
	CallsPerEntryCore float64 `json:"calls_per_s_per_entry_core"`
}

// cpuTimes are processor times so far, microseconds.
type cpuTimes struct{ entry, side, load int64 }

func measureRate(ctx context.Context, o Options) (*Rate, error) {
	before, err := readTimes(o)
	if err != nil {
		return nil, err
	}
	start := time.Now()
	done, hist, err := load(ctx, o)
	if err != nil {
		return nil, err
	}
	seconds := time.Since(start).Seconds()
	after, err := readTimes(o)
	if err != nil {
		return nil, err
	}
	r := &Rate{
		Connections: o.Connections,
		Seconds:     seconds,
		Calls:       done.calls,
		Refused:     done.refused,
		CallsPerS:   float64(done.calls) / seconds,
		Latency:     quantiles(hist),
		EntryCores:  cores(before.entry, after.entry, seconds),
		SideCores:   cores(before.side, after.side, seconds),
		LoadCores:   cores(before.load, after.load, seconds),
	}
	if r.EntryCores > 0 {
		r.CallsPerEntryCore = r.CallsPerS / r.EntryCores
	}
	return r, nil
}

func cores(before, after int64, seconds float64) float64 {
	return float64(after-before) / 1e6 / seconds
}

// counts are the calls of a load.
type counts struct{ calls, refused int64 }

// load keeps one call in flight on each connection until the duration is over.
func load(ctx context.Context, o Options) (counts, *hdrhistogram.Histogram, error) {
	workers := make([]worker, o.Connections)
	end := time.Now().Add(o.Duration)
	g, ctx := errgroup.WithContext(ctx)
	for i := range workers {
		w := &workers[i]
		g.Go(func() error { return w.run(ctx, o, end) })
	}
	err := g.Wait()
	var sum counts
	all := newHistogram()
	for _, w := range workers {
		sum.calls += w.counts.calls
		sum.refused += w.counts.refused
		all.Merge(w.hist)
	}
	return sum, all, err
}

// worker is one connection of a load.
type worker struct {
	counts counts
	hist   *hdrhistogram.Histogram
}

// refusalPause is waited after a refusal.
const refusalPause = 50 * time.Millisecond

func (w *worker) run(ctx context.Context, o Options, end time.Time) error {
	w.hist = newHistogram()
	p := newProbe(o.Through, o)
	defer p.close()
	for ctx.Err() == nil && time.Now().Before(end) {
		err := timed(p, w.hist)
		switch {
		case err == nil:
			w.counts.calls++
		case errs.Is(err, errs.Overloaded):
			w.counts.refused++
			time.Sleep(refusalPause)
		default:
			return err
		}
	}
	return nil
}

func readTimes(o Options) (cpuTimes, error) {
	t := cpuTimes{load: telemetry.CPUMicros()}
	var err error
	if t.entry, err = readCPU(o.EntryStatus); err != nil {
		return t, err
	}
	t.side, err = readCPU(o.SideStatus)
	return t, err
}

// readCPU asks a process for its processor time; 0 for an empty URL.
func readCPU(status string) (int64, error) {
	if status == "" {
		return 0, nil
	}
	_, body, err := fasthttp.Get(nil, status+telemetry.MetricsPath)
	if err != nil {
		return 0, errs.Newf(errs.TargetFailed, "%s: %v", status, err)
	}
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return 0, errs.Newf(errs.BadFrame, "%s: %v", status, err)
	}
	var cpu struct {
		Value int64 `json:"value"`
	}
	if err := json.Unmarshal(all[telemetry.CPUMetric], &cpu); err != nil {
		return 0, errs.Newf(errs.NotFound, "%s has no metric %s", status, telemetry.CPUMetric)
	}
	return cpu.Value, nil
}
