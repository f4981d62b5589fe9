package fleet

import (
	"slices"
	"time"
)

const (
	// calmShare is the share of a service's targets that may have failed within a time in which the service still counts
	// as calm. In a large fleet some target has always just failed.
	calmShare = 0.02
	// maxFailures bounds the failures that are kept of one service.
	maxFailures = 256
)

// FailureLog holds when healthy targets of one service have failed. The zero value is empty. It is not safe for concurrent
// use.
type FailureLog struct {
	times []time.Time // the newest failures, oldest first
}

// Add records that a healthy target has failed.
func (l *FailureLog) Add(now time.Time) {
	if len(l.times) >= maxFailures {
		l.times = slices.Delete(l.times, 0, 1)
	}
	l.times = append(l.times, now)
}

// CalmAt returns the time from which the service, which has that many targets, counts as calm unless more of them fail:
// no more than calmShare of them, or the given number of failures, fall within the window before it. It is zero if the
// service has been calm since the log began.
func (l *FailureLog) CalmAt(targets int, window time.Duration, failures int) time.Time {
	tolerated := max(failures, int(calmShare*float64(targets)))
	if tolerated >= len(l.times) {
		return time.Time{}
	}
	return l.times[len(l.times)-1-tolerated].Add(window)
}

// noteFailed records that a healthy target of a service has failed.
func (f *Fleet) noteFailed(now time.Time, service string) {
	log, ok := f.failures[service]
	if !ok {
		log = &FailureLog{}
		f.failures[service] = log
	}
	log.Add(now)
}

// CalmAt returns the time from which a service counts as calm unless more of its targets fail; see FailureLog.CalmAt. The
// failures are those that this gateway and its peers have found.
func (f *Fleet) CalmAt(service string, window time.Duration, failures int) time.Time {
	log, ok := f.failures[service]
	if !ok {
		return time.Time{}
	}
	return log.CalmAt(len(f.observed.get(f.targets, service)), window, failures)
}

// HasFailedSince reports whether a failure has made a listed target suspect at the time since or later. What the target has
// sent before it failed may arrive afterwards and make it healthy again.
func (f *Fleet) HasFailedSince(id string, since time.Time) bool {
	ts, ok := f.targets[id]
	return ok && !ts.health.lastFailed.Before(since)
}
