package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
)

// fakeServer notes when each step of a drain came, in time since the stop.
type fakeServer struct {
	began      time.Time
	idleClosed time.Duration
	shut       time.Duration
	closed     time.Duration
	busyFor    time.Duration // requests are in flight until then
	last       time.Duration // when the last request came
}

func (f *fakeServer) SetKeepAlivesEnabled(bool) { f.idleClosed = time.Since(f.began) }

func (f *fakeServer) Shutdown(ctx context.Context) error {
	f.shut = time.Since(f.began)
	select {
	case <-time.After(f.busyFor - f.shut):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeServer) Close() error {
	f.closed = time.Since(f.began)
	return nil
}

func (f *fakeServer) inFlight() int64 {
	if time.Since(f.began) < f.busyFor {
		return 1
	}
	return 0
}

func (f *fakeServer) quietFor() time.Duration { return max(0, time.Since(f.began)-f.last) }

const testGrace = 8 * time.Second

func drainWith(f *fakeServer) time.Duration {
	f.began = time.Now()
	drain(f, f, testGrace, hclog.NewNullLogger())
	return time.Since(f.began)
}

// Symptom: a stream was cut off in the middle though its request had come six seconds after the
// signal to stop.
// Sequence: a caller kept a connection; the process went on serving on it until its end; the
// caller's next request came shortly before.
// Cause: kept connections were closed only at the very end, not between requests before it.
func TestNoRequestComesTooLateToBeAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{busyFor: 20 * time.Second, last: 20 * time.Second}
		took := drainWith(f)
		const answer = 1500 * time.Millisecond // the longest usual answer
		if f.idleClosed == 0 || f.idleClosed+answer > f.closed {
			t.Errorf("kept connections closed after %v, requests broken off after %v", f.idleClosed, f.closed)
		}
		if f.shut+answer > f.closed {
			t.Errorf("listener closed after %v, requests broken off after %v", f.shut, f.closed)
		}
		if took >= testGrace {
			t.Errorf("the stop took %v: the process was killed", took)
		}
	})
}

func TestAQuietProcessStopsEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{busyFor: 800 * time.Millisecond, last: 500 * time.Millisecond}
		if took := drainWith(f); took > testGrace/2 || took < quietStop {
			t.Errorf("the stop took %v", took)
		}
		if f.closed != 0 {
			t.Error("connections were broken off")
		}
	})
}
