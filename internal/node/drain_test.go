package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// fakeCallers notes when each step of a drain came, in time since the stop.
type fakeCallers struct {
	began      time.Time
	idleClosed time.Duration // first
	shut       time.Duration
	broken     time.Duration
	busyFor    time.Duration // requests are in flight until then
	last       time.Duration // when the last request came
}

func (f *fakeCallers) since() time.Duration { return time.Since(f.began) }

func (f *fakeCallers) closeIdle() {
	if f.idleClosed == 0 {
		f.idleClosed = f.since()
	}
}

func (f *fakeCallers) stopTaking() { f.shut = f.since() }
func (f *fakeCallers) breakOff()   { f.broken = f.since() }

func (f *fakeCallers) busy() int {
	if f.since() < f.busyFor {
		return 1
	}
	return 0
}

func (f *fakeCallers) quietFor() time.Duration { return max(0, f.since()-f.last) }

const testGrace = 8 * time.Second

func drainWith(f *fakeCallers) time.Duration {
	f.began = time.Now()
	drain(f, testGrace, hclog.NewNullLogger())
	return f.since()
}

// Symptom: a stream was cut off in the middle though its request had come six seconds after the
// signal to stop.
// Sequence: a caller kept a connection; the process went on serving on it until its end; the
// caller's next request came shortly before.
// Cause: kept connections were closed only at the very end, not between requests before it.
func TestNoRequestComesTooLateToBeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCallers{busyFor: 20 * time.Second, last: 20 * time.Second}
		took := drainWith(f)
		const answer = 1500 * time.Millisecond // the longest usual answer
		if f.idleClosed == 0 || f.idleClosed+answer > f.broken {
			t.Errorf("kept connections closed after %v, requests broken off after %v", f.idleClosed, f.broken)
		}
		if f.shut+answer > f.broken {
			t.Errorf("listener closed after %v, requests broken off after %v", f.shut, f.broken)
		}
		if took >= testGrace {
			t.Errorf("the stop took %v: the process was killed", took)
		}
	})
}

// Guards against taking a request so late that an answer which takes long is cut off by the end.
func TestARequestThatIsTakenHasHalfOfTheGraceLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCallers{busyFor: 20 * time.Second, last: 20 * time.Second}
		drainWith(f)
		if f.shut+testGrace/2 > f.broken || f.idleClosed+testGrace/2 > f.broken {
			t.Errorf("nothing is taken after %v, idle connections are closed after %v, requests broken off after %v", f.shut, f.idleClosed, f.broken)
		}
	})
}

func TestAQuietProcessStopsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeCallers{busyFor: 800 * time.Millisecond, last: 500 * time.Millisecond}
		if took := drainWith(f); took > testGrace/2 || took < quietStop {
			t.Errorf("the stop took %v", took)
		}
		if f.broken != 0 {
			t.Error("connections were broken off")
		}
	})
}
