package mix

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histMin    = 1         // microseconds
	histMax    = 600 * 1e6 // microseconds
	histDigits = 3
)

// latencies is a histogram that many callers record into.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	return &latencies{h: hdrhistogram.New(histMin, histMax, histDigits)}
}

// record takes in d; what is over the histogram's range counts as its highest value.
func (l *latencies) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	us := max(histMin, min(histMax, d.Microseconds()))
	_ = l.h.RecordValue(us)
}

// ms is the quantile q (0..100) in milliseconds.
func (l *latencies) ms(q float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(l.h.ValueAtQuantile(q)) / 1000
}
