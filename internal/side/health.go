package side

import (
	"time"
)

const (
	// minPenalty is how long a target that hung or failed is counted as
	// unhealthy before a probe may clear it.
	minPenalty = time.Second
	// maxPenalty bounds it, however often the target fails again.
	maxPenalty = 30 * time.Second
)

// health decides whether the target counts as healthy. A target that answers
// probes and yet hangs on requests would be cleared and tried again at once;
// the penalty doubles with each failure in a row, so that it costs few requests.
type health struct {
	failures int
	until    time.Time // no probe clears the target earlier
	bad      bool
}

// failed notes that the target hung, refused the connection or died.
func (h *health) failed(now time.Time) {
	h.failures++
	penalty := minPenalty << min(h.failures-1, 5)
	h.until = now.Add(min(penalty, maxPenalty))
	h.bad = true
}

// answered notes that the target answered a request.
func (h *health) answered() {
	h.failures = 0
	h.bad = false
}

// wantsProbe says that the target is unhealthy and the penalty is over.
func (h *health) wantsProbe(now time.Time) bool {
	return h.bad && !now.Before(h.until)
}

// probed notes a probe's outcome; a target without probes counts as passed, so that
// the next request tells. A failed probe harms nobody and does not raise the penalty: a
// target that was down for long is taken back soon after it is up.
func (h *health) probed(now time.Time, ok bool) {
	if !ok {
		h.until = now.Add(minPenalty)
		return
	}
	h.bad = false
}

// unreachable notes that a report could not be had because nothing listens.
func (h *health) unreachable(now time.Time) {
	if !h.bad {
		h.bad = true
		h.until = now.Add(minPenalty)
	}
}
