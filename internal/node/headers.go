package node

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

const (
	// invalidHeaderMetric is the name of the counter of header values that were ignored or bounded.
	invalidHeaderMetric = "headers.invalid"
	// faultQuietTime is the time without a fault after which its next occurrence is logged again.
	faultQuietTime = time.Minute
	// maxFaults bounds the faults that are distinguished. There are fewer, because names and faults are fixed.
	maxFaults = 64
)

// invalidHeaders counts header values that are not valid, and logs each fault of a header when it appears. A line for
// each request would bury all others.
type invalidHeaders struct {
	log     hclog.Logger
	counter metrics.Counter

	mu       sync.Mutex
	lastSeen map[[2]string]time.Time // by header and fault
}

// newInvalidHeaders returns an invalidHeaders that has seen no fault.
func newInvalidHeaders(log hclog.Logger, reg metrics.Registry) *invalidHeaders {
	return &invalidHeaders{log: log, counter: metrics.GetOrRegisterCounter(invalidHeaderMetric, reg), lastSeen: make(map[[2]string]time.Time)}
}

// record counts an invalid value of a header.
func (ih *invalidHeaders) record(header, fault, value string) {
	ih.counter.Inc(1)
	key, now := [2]string{header, fault}, time.Now()
	ih.mu.Lock()
	defer ih.mu.Unlock()
	last, isKnown := ih.lastSeen[key]
	if !isKnown && len(ih.lastSeen) >= maxFaults {
		return
	}
	ih.lastSeen[key] = now
	if !isKnown || now.Sub(last) >= faultQuietTime {
		ih.log.Warn("invalid header", "header", header, "fault", fault, "value", value)
	}
}
