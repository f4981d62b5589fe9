package inbound

import (
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
)

// Guards against uploads that go on although their requests can't be served any more, and against ones that are ended although they
// can.
func TestBodiesOfRequestsThatCannotBeServedAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var isStopping atomic.Bool
		b := startServer(t, 64<<20, func(w http.ResponseWriter, r *http.Request) {
			check := func() error {
				if isStopping.Load() && r.URL.Path == "/slow" {
					return errs.New(errs.Draining, "the process stops")
				}
				return nil
			}
			if _, err := ReadBody(w, r, BodyLimits{MaxBytes: testLimits.MaxBodyBytes, Until: time.Now().Add(time.Minute), Check: check}); err != nil {
				w.WriteHeader(errs.Lookup(errs.As(err).Type).Status)
			}
		})
		defer b.listener.Close()
		slow, fast := b.dial(), b.dial()
		slow.send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		fast.send("POST /fast HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		b.listener.CheckBodies()
		if slow.status() != 0 || fast.status() != 0 {
			t.Errorf("status %d and %d before the stop, want no answers", slow.status(), fast.status())
		}
		isStopping.Store(true)
		b.listener.CheckBodies()
		if slow.status() != http.StatusServiceUnavailable || fast.status() != 0 {
			t.Errorf("status %d and %d after its begin, want 503 and no answer", slow.status(), fast.status())
		}
		if fast.send("cd"); fast.status() != http.StatusOK {
			t.Errorf("status %d for the request that can be served, want 200", fast.status())
		}
	})
}

// Guards against requests whose heads or bodies still arrive at the end of a process, and that end without an answer.
func TestEndOfReadsAnswersUnreadRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := startServer(t, 64<<20, echo)
		defer b.listener.Close()
		head, body, idle := b.dial(), b.dial(), b.dial()
		head.send("POST / HTTP/1.1\r\nHost:")
		body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab")
		b.listener.EndReads(errs.New(errs.Draining, "the process stops"))
		if head.status() != http.StatusServiceUnavailable || body.status() != http.StatusServiceUnavailable || idle.status() != 0 {
			t.Errorf("status %d in the head, %d in the body, %d without a request; want 503, 503 and no answer", head.status(), body.status(), idle.status())
		}
	})
}
