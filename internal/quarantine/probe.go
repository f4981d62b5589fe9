package quarantine

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// probeDelays are the delays before each probe of a target that has broken off a request, until a probe is
// conclusive. A process that crashes may close its connections shortly before its listener, and a supervisor
// may accept connections until the restarted process responds.
var probeDelays = []time.Duration{
	10 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond,
}

// bufferedDataWindow is how long after a target's crash data that it sent before may still be read.
const bufferedDataWindow = 50 * time.Millisecond

// probe determines whether a target that has broken off requests still runs. If no probe is conclusive, the
// list of targets decides: see TargetsGone.
func (q *Quarantine) probe(t serving.Target, brokenAt time.Time) {
	for needsProbe := true; needsProbe; brokenAt = time.Now() {
		result, probedAt := q.probeUntilConclusive(t, brokenAt)
		if result == platform.ProbeGone {
			q.confirmCrash(t.ID, "refused or another start answered")
		}
		needsProbe = q.finishProbe(t.ID, result, probedAt)
	}
}

// probeUntilConclusive probes a target that has broken off a request at brokenAt until a probe is conclusive
// or all delays have passed. probedAt is when the last probe began, or the time after which the target sent
// data.
func (q *Quarantine) probeUntilConclusive(t serving.Target, brokenAt time.Time) (result platform.ProbeResult, probedAt time.Time) {
	for i, delay := range probeDelays {
		sleep.For(context.Background(), delay)
		if after := brokenAt.Add(bufferedDataWindow); i > 0 && q.fleet.HeardSince(t.ID, after) {
			return platform.ProbeAlive, after
		}
		if !q.hasSuspects(t.ID) {
			break
		}
		probedAt = time.Now()
		if result = q.prober.Probe(context.Background(), t); result != platform.ProbeUnknown {
			break
		}
	}
	return result, probedAt
}

// finishProbe applies the result of a probe. It reports whether the target has to be probed again because of
// requests that it has broken off meanwhile.
func (q *Quarantine) finishProbe(target string, result platform.ProbeResult, probedAt time.Time) (needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if result == platform.ProbeAlive && q.suspects.dismiss(target, probedAt) {
		return true
	}
	if t, ok := q.suspects.byTarget[target]; ok {
		t.isProbing = false
	}
	return false
}
