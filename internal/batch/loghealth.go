package batch

import (
	"sync"
	"time"

	"arbutusramp/core/errs"
)

// logHealth is what the last calls have said of the log service.
type logHealth struct {
	mu        sync.Mutex
	downSince time.Time // zero while it answers
	lastUp    time.Time
}

// note takes in the error, or nil, of a call of the log service.
func (h *logHealth) note(now time.Time, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || errs.Is(err, errs.LogBusy) || errs.Is(err, errs.LogTrimmed) {
		h.downSince = time.Time{}
		h.lastUp = now
		return
	}
	if errs.Is(err, errs.LogDown) && h.downSince.IsZero() {
		h.downSince = now
	}
}

func (h *logHealth) down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.downSince.IsZero()
}

// downFor returns for how long the log service has not answered.
func (h *logHealth) downFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.downSince.IsZero() {
		return 0
	}
	return now.Sub(h.downSince)
}

// up says whether the log service has answered within the last d. An entry that does not
// call it knows nothing: then neither up nor down holds.
func (h *logHealth) up(now time.Time, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.downSince.IsZero() && now.Sub(h.lastUp) <= d
}

const (
	retryLeast = 2 * time.Second
	retryMost  = time.Minute
)

// refusal returns the error for a call that needs the log service, nil while it
// answers. The time to come back grows with the outage.
func (h *logHealth) refusal(now time.Time) *errs.Error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.downSince.IsZero() {
		return nil
	}
	retry := clamp(now.Sub(h.downSince)/2, retryLeast, retryMost)
	return errs.New(errs.LogDown, "the log service is down; nothing was accepted").WithRetry(retry)
}
