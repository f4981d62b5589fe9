package enginehttp_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/adapter/enginehttp"
)

// slowAdmission is an engine that is asked to cancel a request before it has admitted it.
type slowAdmission struct {
	arrived, asked, done chan struct{}

	mu                  sync.Mutex
	admitted, cancelled bool
}

func (e *slowAdmission) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/engine/cancel" {
		e.cancel(w)
		return
	}
	close(e.arrived)
	select {
	case <-e.asked:
	case <-e.done:
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admitted = true
}

func (e *slowAdmission) cancel(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitted {
		e.cancelled = true
		_, _ = fmt.Fprint(w, `{"cancelled":1}`)
		return
	}
	select {
	case <-e.asked:
	default:
		close(e.asked)
	}
	_, _ = fmt.Fprint(w, `{"cancelled":0}`)
}

// Symptom: an item of a cancelled job starts at the engine 10 us after the cancel was
// answered. Events: the request is on its way when its stream is cancelled; the
// engine gets the cancel first, finds nothing to cancel, and then admits the request.
// Cause: the stream was reported as ended without the engine's word for it.
func TestStreamHasEndedOnlyOnceTheEngineSaysSo(t *testing.T) {
	e := &slowAdmission{arrived: make(chan struct{}), asked: make(chan struct{}), done: make(chan struct{})}
	srv := httptest.NewServer(e)
	defer srv.Close()
	defer close(e.done)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-e.arrived
		cancel()
	}()
	_, err := collect(ctx, enginehttp.New(srv.URL, enginehttp.Options{}), call("a", `{"prompt":"x"}`))
	if !errs.Is(err, errs.Cancelled) {
		t.Errorf("ended with %v", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.cancelled {
		t.Error("the stream was reported as ended while the engine could still admit it")
	}
}
