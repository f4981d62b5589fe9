package quarantine

import (
	"context"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
)

// probeDelays are the pauses before each probe of a target that has broken off a request, until one shows something. A process that
// crashes may close its connections a moment before its listener, and a supervisor may accept connections until the next start answers.
var probeDelays = []time.Duration{
	10 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond,
}

// bufferedFor is how long after its crash something that a target has sent may still be read.
const bufferedFor = 50 * time.Millisecond

// probe finds out whether a target that has broken off requests still runs. If that can't be told, its entry on the list
// decides.
func (q *Quarantine) probe(t serving.Target, broken time.Time) {
	for needsProbe := true; needsProbe; broken = time.Now() {
		result, asked := q.ask(t, broken)
		if result == platform.ProbeGone {
			q.confirm(t.ID, "refused or another start answered")
		}
		needsProbe = q.endProbe(t.ID, result, asked)
	}
}

// ask probes a target that has broken off a request at a time until that shows something. It returns when the last probe began.
func (q *Quarantine) ask(t serving.Target, broken time.Time) (result platform.ProbeResult, asked time.Time) {
	for i, delay := range probeDelays {
		sleep.For(context.Background(), delay)
		if after := broken.Add(bufferedFor); i > 0 && q.fleet.HeardSince(t.ID, after) {
			return platform.ProbeAlive, after
		}
		if !q.hasSuspects(t.ID) {
			break
		}
		asked = time.Now()
		if result = q.prober.Probe(context.Background(), t); result != platform.ProbeUnknown {
			break
		}
	}
	return result, asked
}

// endProbe notes what a probe has shown. It reports whether the target has to be probed again, for what it has broken off meanwhile.
func (q *Quarantine) endProbe(target string, result platform.ProbeResult, asked time.Time) (needsProbe bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if result == platform.ProbeAlive && q.suspects.dismiss(target, asked) {
		return true
	}
	if t, ok := q.suspects.byTarget[target]; ok {
		t.isProbing = false
	}
	return false
}
