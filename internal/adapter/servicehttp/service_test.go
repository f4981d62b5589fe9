package servicehttp_test

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/servicehttp"
	"arbutusramp/standin/ownaddr"
	"arbutusramp/standin/service"
)

func start(t testing.TB, o service.Options) (*service.Server, platform.Service) {
	t.Helper()
	s, err := service.Start(ownaddr.New(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, servicehttp.New(s.URL(), servicehttp.Options{})
}

func post(id string) platform.ServiceCall {
	return platform.ServiceCall{
		Request: structs.RequestID(id),
		Method:  "POST",
		Path:    "/cases/7?full=1",
		Headers: []structs.Header{{Name: "Idempotency-Key", Value: "key-" + id}, {Name: "Content-Type", Value: "text/x"}},
		Body:    []byte("body of " + id),
	}
}

func wantError(t *testing.T, err error, kind errs.Type, ran errs.Ran) {
	t.Helper()
	if !errs.Is(err, kind) || errs.As(err).Ran != ran {
		t.Errorf("got %v (%s), want %s (%s)", err, errs.As(err).Ran, kind, ran)
	}
}

func TestCallIsEchoedAndCounted(t *testing.T) {
	s, svc := start(t, service.Options{})
	for range 2 {
		a, err := svc.Call(t.Context(), post("a"))
		if err != nil || a.Status != 200 || string(a.Body) != "body of a" {
			t.Fatalf("%+v, %v", a, err)
		}
		got := map[string]string{}
		for _, h := range a.Headers {
			got[h.Name] = h.Value
		}
		if got["X-Echo-Path"] != "/cases/7?full=1" || got["Content-Type"] != "text/x" || len(got) != 2 {
			t.Errorf("headers: %v", got)
		}
	}
	head := platform.ServiceCall{Request: "h", Method: "HEAD", Path: "/"}
	for range 2 {
		if a, err := svc.Call(t.Context(), head); err != nil || a.Status != 200 {
			t.Errorf("%+v, %v", a, err)
		}
	}
	if s.Calls("a") != 2 || s.KeyCalls("key-a") != 2 || s.Calls("h") != 2 {
		t.Errorf("%+v", s.Stats(true))
	}
}

// Symptom: a doubled letter. Events: the service does the work, then its connection
// closes without an answer. Cause: a client library that sends such a request again.
func TestLostAnswerIsUnknownAndNotRepeated(t *testing.T) {
	s, svc := start(t, service.Options{})
	for _, method := range []string{"POST", "GET", "PUT"} {
		s.Turn(func(k *service.Knobs) { k.LoseAnswerShare = 0 })
		if _, err := svc.Call(t.Context(), post("warm")); err != nil {
			t.Fatal(err)
		}
		s.Turn(func(k *service.Knobs) { k.LoseAnswerShare = 1 })
		c := post(method)
		c.Method = method
		_, err := svc.Call(t.Context(), c)
		wantError(t, err, errs.TargetFailed, errs.RanUnknown)
		if got := s.Calls(method); got != 1 {
			t.Errorf("%s ran %d times", method, got)
		}
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s, svc := start(t, service.Options{})
	s.Refuse(time.Hour)
	_, err := svc.Call(t.Context(), post("a"))
	wantError(t, err, errs.TargetFailed, errs.RanNo)
	if got := s.Calls("a"); got != 0 {
		t.Errorf("it ran %d times", got)
	}
}

func TestHangingServiceEndsWithTheContext(t *testing.T) {
	s, svc := start(t, service.Options{})
	s.Turn(func(k *service.Knobs) { k.Hang = true })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := svc.Call(ctx, post("a"))
	wantError(t, err, errs.TargetTimeout, errs.RanUnknown)
	bounded := servicehttp.New(s.URL(), servicehttp.Options{Timeout: 20 * time.Millisecond})
	_, err = bounded.Call(t.Context(), post("a"))
	wantError(t, err, errs.TargetTimeout, errs.RanUnknown)
	if got := s.Calls("a"); got != 0 {
		t.Errorf("it ran %d times", got)
	}
}

func TestHeadersOfOneConnectionStayThere(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	got := make(chan *fasthttp.RequestHeader, 1)
	go func() {
		_ = fasthttp.Serve(ln, func(ctx *fasthttp.RequestCtx) {
			h := &fasthttp.RequestHeader{}
			ctx.Request.Header.CopyTo(h)
			got <- h
		})
	}()
	c := post("a")
	c.Headers = []structs.Header{
		{Name: "connection", Value: "close"}, {Name: "Host", Value: "other"}, {Name: "Upgrade", Value: "x"},
		{Name: "Accept", Value: "one"}, {Name: "Accept", Value: "two"}, {Name: "X-Request-Id", Value: "forged"},
	}
	svc := servicehttp.New("http://"+ln.Addr().String(), servicehttp.Options{})
	if _, err := svc.Call(t.Context(), c); err != nil {
		t.Fatal(err)
	}
	h := <-got
	if h.ConnectionClose() || string(h.Host()) != ln.Addr().String() || len(h.Peek("Upgrade")) != 0 {
		t.Errorf("headers of the caller's connection came through:\n%s", h.String())
	}
	if len(h.PeekAll("Accept")) != 2 || len(h.PeekAll("X-Request-Id")) != 1 || string(h.Peek("X-Request-Id")) != "a" {
		t.Errorf("headers:\n%s", h.String())
	}
}

func BenchmarkCall(b *testing.B) {
	_, svc := start(b, service.Options{})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for i := 0; pb.Next(); i++ {
			if _, err := svc.Call(ctx, post(strconv.Itoa(i))); err != nil {
				b.Error(err)
			}
		}
	})
}
