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

// Guards against a request that crashes its target while it gets an answer without length or chunks: the end of the
// connection must not count as a service of the request if the target breaks off others.
func TestAnswerThatEndsWithACrashIsNotServed(t *testing.T) {
	for _, breaksOthers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
			for i := range quarantine.DefaultThreshold {
				target, beganAt := serving.Target{ID: fmt.Sprint("t", i)}, time.Now()
				time.Sleep(runDuration)
				q.NoteServedUnframed(quarantine.BrokenRun{Content: testContent("bad"), Target: target, BeganAt: beganAt}, time.Now())
				if breaksOthers {
					q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent(fmt.Sprint("other", i)), Target: target, BeganAt: beganAt, Err: errors.New("EOF")})
				}
				time.Sleep(time.Second)
				synctest.Wait()
			}
			if got := isQuarantined(q, "bad"); got != breaksOthers {
				t.Errorf("target breaks off other runs: %t; request quarantined after three answers: %t, want the same", breaksOthers, got)
			}
		})
	}
}
