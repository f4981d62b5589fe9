package backlog

import "time"

const (
	// firstPause is how long an item waits after the first run during which its target has failed, if the service is calm
	// but for that failure.
	firstPause = 80 * time.Millisecond
	// calmWindow is how long the service must have been calm before the item is run again. From the second such run in a
	// row on it doubles with each further one, up to maxCalmWindow: several in a row come from a burst of failures.
	calmWindow    = 250 * time.Millisecond
	maxCalmWindow = 1500 * time.Millisecond
	// restlessWait is the longest time that an item waits while its service does not become calm. It doubles in the same
	// way, up to maxRestlessWait.
	restlessWait    = 5 * time.Second
	maxRestlessWait = 20 * time.Second
)

// CrashWait says how long an item waits after a run during which its target has failed. An item is never suspected of
// having caused the failure, and is owed however often that happens. It waits because a run that begins while targets
// fail one after the other is likely to be lost as well.
type CrashWait struct {
	// Pause is for how long it waits in any case.
	Pause time.Duration
	// Calm is for how long its service must have been calm. Up to Failures targets may have failed meanwhile.
	Calm     time.Duration
	Failures int
	// Longest is after which time it runs even if its service is not calm.
	Longest time.Duration
}

// NewCrashWait returns the wait of an item after n runs in a row, at least one, during which its target has failed before
// the run got further than the one before. jitter, from 0 to 1, lengthens the wait up to twofold, so that not all items
// return at once.
func NewCrashWait(n int, jitter float64) CrashWait {
	w := CrashWait{Calm: calmWindow, Longest: restlessWait}
	for range n - 2 {
		w.Calm, w.Longest = min(2*w.Calm, maxCalmWindow), min(2*w.Longest, maxRestlessWait)
	}
	w.Calm += time.Duration(jitter * float64(w.Calm))
	w.Longest += time.Duration(jitter * float64(w.Longest))
	w.Pause = w.Calm
	if n == 1 {
		w.Pause, w.Failures = firstPause, 1 // that of its own target, which may have been the only one
	}
	return w
}

// Until returns the time from which the item may run whose last run ended at endedAt. calmAt is from when its service
// counts as calm.
func (w CrashWait) Until(endedAt, calmAt time.Time) time.Time {
	earliest, latest := endedAt.Add(w.Pause), endedAt.Add(w.Longest)
	switch {
	case calmAt.Before(earliest):
		return earliest
	case calmAt.After(latest):
		return latest
	}
	return calmAt
}
