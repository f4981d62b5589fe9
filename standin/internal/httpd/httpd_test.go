package httpd

import (
	"errors"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func get(client *fasthttp.Client, url string) error {
	status, _, err := client.Get(nil, url)
	if err == nil && status != fasthttp.StatusOK {
		return errors.New(fasthttp.StatusMessage(status))
	}
	return err
}

func client() *fasthttp.Client {
	return &fasthttp.Client{MaxIdemponentCallAttempts: 1}
}

func startTest(t *testing.T, h fasthttp.RequestHandler) *Server {
	t.Helper()
	s := New()
	if err := s.Start("127.0.0.1:0", h); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func TestRefuseLetsRequestsEndAndComesBack(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	s := startTest(t, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/slow" {
			entered <- struct{}{}
			<-release
		}
	})
	idle := client()
	if err := get(idle, s.URL()); err != nil {
		t.Fatal(err)
	}
	slow := make(chan error)
	go func() { slow <- get(client(), s.URL()+"/slow") }()
	<-entered
	s.Refuse()
	if err := get(client(), s.URL()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a new connection: %v", err)
	}
	if err := get(idle, s.URL()); err == nil {
		t.Error("an idle connection carried a request")
	}
	close(release)
	if err := <-slow; err != nil {
		t.Errorf("the request being served: %v", err)
	}
	for range 2 {
		if err := s.Accept(); err != nil {
			t.Fatal(err)
		}
	}
	if err := get(client(), s.URL()); err != nil {
		t.Errorf("after coming back: %v", err)
	}
}

func TestDropCutsRequests(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	s := startTest(t, func(*fasthttp.RequestCtx) {
		entered <- struct{}{}
		<-release
	})
	slow := make(chan error)
	go func() { slow <- get(client(), s.URL()) }()
	<-entered
	s.Drop()
	if err := <-slow; err == nil {
		t.Error("a request outlived the drop")
	}
}

// Symptom: a target that a test has taken away for an hour answers. Events: a short fault is followed
// by a long one before it ends. Cause: the end of the short one brings the listener back.
func TestAShortFaultDoesNotEndALongerOne(t *testing.T) {
	s := startTest(t, func(*fasthttp.RequestCtx) {})
	s.RefuseFor(time.Millisecond)
	s.DropFor(time.Hour)
	s.RefuseFor(time.Millisecond)
	time.Sleep(20 * time.Millisecond)
	if err := get(client(), s.URL()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v", err)
	}
	if err := s.Accept(); err != nil {
		t.Error(err)
	}
	if err := get(client(), s.URL()); err != nil {
		t.Errorf("after Accept: %v", err)
	}
}

func TestKnobsOfTheListener(t *testing.T) {
	s := startTest(t, func(*fasthttp.RequestCtx) {})
	refused := func() bool { return errors.Is(get(client(), s.URL()), syscall.ECONNREFUSED) }
	for _, path := range []string{"/knobs/refuse?ms=200", "/knobs/drop?ms=200"} {
		if err := get(client(), s.URL()+path); err != nil {
			t.Fatal(err)
		}
		waitFor(t, refused)
		waitFor(t, func() bool { return get(client(), s.URL()) == nil })
	}
	if err := get(client(), s.URL()+"/knobs/refuse?ms=3600000"); err != nil {
		t.Fatal(err)
	}
	waitFor(t, refused)
}

func waitFor(t *testing.T, cond func() bool) {
	t.Helper()
	for range 5000 {
		if cond() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("it never came")
}

func TestCloseEndsWaitingHandlersAndStaysClosed(t *testing.T) {
	var s *Server
	s = startTest(t, func(*fasthttp.RequestCtx) { <-s.Done() })
	s.RefuseFor(time.Millisecond)
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	if err := s.Accept(); err != nil {
		t.Error(err)
	}
	if err := get(client(), s.URL()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a closed server: %v", err)
	}
	if err := New().Start("256.0.0.1:0", nil); err == nil {
		t.Error("an address that is none was taken")
	}
}
