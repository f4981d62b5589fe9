package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
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
