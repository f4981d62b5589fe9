package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

// Guards against records that wait for the next regular report to peers, in which time other gateways send on what
// crashes targets, because more are due than one report holds.
func TestFurtherReportsAreRequestedUntilNoRecordIsDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{result: platform.ProbeGone}
		q := newTestQuarantine(f)
		for i := range 2 * maxRecordsPerReport {
			breakOffAndWait(q, fmt.Sprint("body ", i), fmt.Sprint("t", i))
		}
		sent := 0
		for isRequested := true; isRequested; {
			before := 0
			f.set(func() { before = f.reports })
			sent += len(q.DueForPeers())
			f.set(func() { isRequested = f.reports > before })
		}
		if want := q.registry.Len(); sent != want {
			t.Errorf("%d records sent in the requested reports, want all %d", sent, want)
		}
		time.Sleep(suspicionTTL)
	})
}

// Guards against a request that crashes a second target before the crash of its first one counts: its next attempt
// must wait for the probe of the first target, but not for a target that answers no probe.
func TestNextAttemptWaitsForVerdict(t *testing.T) {
	for name, test := range map[string]struct {
		result      platform.ProbeResult
		wantCrashes int
	}{"crashed": {platform.ProbeGone, 1}, "no answer": {platform.ProbeUnknown, 0}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newTestQuarantine(&testFleet{result: test.result})
				c, began := testContent("body"), time.Now()
				q.NoteBrokenOff(quarantine.BrokenRun{Content: c, Target: serving.Target{ID: "t"}, BeganAt: began, Err: errors.New("EOF")})
				if err := q.AdmitRequest(c); err != nil || time.Since(began) > maxVerdictWait {
					t.Errorf("next attempt: error %v after %v, want none after at most 60 ms", err, time.Since(began))
				}
				q.mu.Lock()
				n := q.registry.CrashCount(c.Fingerprint())
				q.mu.Unlock()
				if n != test.wantCrashes {
					t.Errorf("%d crashes counted when the next attempt is sent, want %d", n, test.wantCrashes)
				}
				time.Sleep(suspicionTTL) // until the last probe is over
			})
		})
	}
}
