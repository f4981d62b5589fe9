package overhead

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, nanoseconds.
const (
	minNanos   = 1_000
	maxNanos   = 60_000_000_000
	histDigits = 3
)

// warmUp calls open connections and fill pools before anything is counted.
const warmUp = 200

// Quantiles of one way to call, microseconds.
type Quantiles struct {
	P50 float64 `json:"p50_us"`
	P99 float64 `json:"p99_us"`
}

// Latency compares calls directly and through entry and side, one at a time.
type Latency struct {
	Calls   int       `json:"calls"` // of each way
	Direct  Quantiles `json:"direct"`
	Through Quantiles `json:"through"`
	// Added is Through less Direct, quantile by quantile.
	Added Quantiles `json:"added"`
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minNanos, maxNanos, histDigits)
}

// measureLatency alternates the two ways, so that what else the machine does falls on
// both alike.
func measureLatency(ctx context.Context, o Options) (Latency, error) {
	directly := o
	directly.Key = ""
	direct, through := newProbe(o.Direct, directly), newProbe(o.Through, o)
	defer direct.close()
	defer through.close()
	for range warmUp {
		if err := pair(direct, through, newHistogram(), newHistogram()); err != nil {
			return Latency{}, err
		}
	}
	directHist, throughHist := newHistogram(), newHistogram()
	for range o.Pairs {
		if err := ctx.Err(); err != nil {
			return Latency{}, err
		}
		if err := pair(direct, through, directHist, throughHist); err != nil {
			return Latency{}, err
		}
	}
	l := Latency{Calls: o.Pairs, Direct: quantiles(directHist), Through: quantiles(throughHist)}
	l.Added = Quantiles{P50: l.Through.P50 - l.Direct.P50, P99: l.Through.P99 - l.Direct.P99}
	return l, nil
}

func pair(direct, through *probe, directHist, throughHist *hdrhistogram.Histogram) error {
	if err := timed(direct, directHist); err != nil {
		return err
	}
	return timed(through, throughHist)
}

func timed(p *probe, h *hdrhistogram.Histogram) error {
	start := time.Now()
	if err := p.call(); err != nil {
		return err
	}
	return h.RecordValue(min(max(int64(time.Since(start)), minNanos), maxNanos))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	return Quantiles{P50: micros(h.ValueAtQuantile(50)), P99: micros(h.ValueAtQuantile(99))}
}

func micros(nanos int64) float64 { return float64(nanos) / float64(time.Microsecond) }
