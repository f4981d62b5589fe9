package quarantine

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// probeDelays are the delays before the successive probes of a target that has broken off a request. A probe
// that shows whether the target runs is the last one. Several may be needed: a process that crashes may close
// its connections shortly before its listener, and a supervisor may accept connections until the restarted
// process responds.
var probeDelays = []time.Duration{
	10 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond,
}

// bufferedDataWindow is how long after the crash of a target this process may still read data that the target
// sent before.
const bufferedDataWindow = 50 * time.Millisecond

// probe probes a target that has broken off a request at brokenAt, and counts its crash if it does not run any
// more. If no probe shows whether it runs, only its removal from the list of targets does; see NoteTargetsGone. If
// the target has broken off further requests meanwhile, it is probed again for these, with the present time as
// brokenAt: all of them were broken off before.
func (q *Quarantine) probe(t serving.Target, brokenAt time.Time) {
	for needsProbe := true; needsProbe; brokenAt = time.Now() {
		result, observedAt := q.probeUntilConclusive(t, brokenAt)
		if result == platform.ProbeGone {
			q.confirmCrash(t.ID, "refused or another start answered")
		}
		needsProbe = q.finishProbe(t.ID, result, observedAt)
	}
}

// probeUntilConclusive probes a target that has broken off a request at brokenAt until a probe shows whether
// the target runs, all of probeDelays have passed, or the target has no suspects any more. Data that the target
// has sent more than bufferedDataWindow after brokenAt also shows that it runs; the first delay is shorter than
// that, so there can be none after it. observedAt is when the last probe began or the time after which the target
// has sent data; zero if there was no probe and no data.
func (q *Quarantine) probeUntilConclusive(t serving.Target, brokenAt time.Time) (result platform.ProbeResult, observedAt time.Time) {
	for i, delay := range probeDelays {
		sleep.For(context.Background(), delay)
		if dataSince := brokenAt.Add(bufferedDataWindow); i > 0 && q.fleet.HasActivitySince(t.ID, dataSince) {
			return platform.ProbeAlive, dataSince
		}
		if !q.hasSuspects(t.ID) {
			break
		}
		observedAt = time.Now()
		if result = q.prober.Probe(context.Background(), t); result != platform.ProbeUnknown {
			break
		}
	}
	return result, observedAt
}

// finishProbe dismisses the suspects of the target whose runs ended before observedAt, if the result is that the
// target runs. It reports whether the target has to be probed again because it has broken off other requests since.
func (q *Quarantine) finishProbe(target string, result platform.ProbeResult, observedAt time.Time) (needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if result == platform.ProbeAlive && q.suspects.dismiss(target, observedAt) {
		return true
	}
	if t, ok := q.suspects.byTarget[target]; ok {
		t.isProbing = false
	}
	return false
}
