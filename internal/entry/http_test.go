package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

func TestRefusalsAreTyped(t *testing.T) {
	e := newTestEntry(t, testState())
	connect(e, "a", 0, func(f *fakeSide, s uint64, _ *structs.Open) { f.answer(s, "ok") })
	with := func(r request, name, value string) request {
		r.headers = map[string]string{name: value}
		return r
	}
	get := request{method: "GET", uri: "/svc/lookup/x", key: testKey}
	body := func(b string) request {
		return request{method: "POST", uri: "/v1/chat/completions", key: testKey, body: b}
	}
	cases := []struct {
		name   string
		r      request
		status int
		want   errs.Type
		says   string
	}{
		{"no key", request{method: "GET", uri: "/v1/models"}, 401, errs.Unauthenticated, "no key"},
		{"wrong key", request{method: "GET", uri: "/v1/models", key: "nobody"}, 401, errs.Unauthenticated, "not known"},
		{"revoked key", request{method: "GET", uri: "/v1/models", key: revokedKey}, 401, errs.Unauthenticated, "revoked"},
		{"broken JSON", body(`{"model":`), 400, errs.BadRequest, "JSON"},
		{"no model", body(`{"messages":[]}`), 400, errs.BadRequest, "model"},
		{"no messages", body(`{"model":"draft"}`), 400, errs.BadRequest, "messages"},
		{"null messages", body(`{"model":"draft","messages":null}`), 400, errs.BadRequest, "messages"},
		{"max_tokens", body(`{"model":"draft","messages":[],"max_tokens":0}`), 400, errs.BadRequest, "max_tokens"},
		{"unknown model", body(`{"model":"none","messages":[]}`), 404, errs.UnknownModel, "none"},
		{"unknown service", request{method: "GET", uri: "/svc/none/x", key: testKey}, 404, errs.UnknownService, "none"},
		{"unknown path", request{method: "GET", uri: "/other", key: testKey}, 404, errs.NotFound, "path"},
		{"job path without jobs", request{method: "GET", uri: "/v1/batches", key: testKey}, 404, errs.NotFound, "path"},
		{"priority", with(get, "X-Priority", "urgent"), 400, errs.BadRequest, "X-Priority"},
		{"timeout", with(get, "X-Request-Timeout", "-1"), 400, errs.BadRequest, "X-Request-Timeout"},
		{"key", with(get, "Idempotency-Key", "a b"), 400, errs.BadRequest, "Idempotency-Key"},
		{"key issued", with(get, "Idempotency-Issued", "now"), 400, errs.BadRequest, "Idempotency-Issued"},
	}
	for _, c := range cases {
		resp, body := do(e, c.r)
		err := problemOf(t, body)
		if resp.StatusCode() != c.status || err.Type != c.want || err.Ran != errs.RanNo || !strings.Contains(err.Detail, c.says) {
			t.Errorf("%s: status %d, %+v", c.name, resp.StatusCode(), err)
		}
		if len(resp.Header.Peek("X-Request-Id")) == 0 {
			t.Errorf("%s: no X-Request-Id", c.name)
		}
	}
	if n := e.inFlight.Load(); n != 0 {
		t.Errorf("%d requests left in flight", n)
	}
}

func TestServiceCallIsPassedOnUnchanged(t *testing.T) {
	e := newTestEntry(t, testState())
	a := connect(e, "a", 0, func(f *fakeSide, s uint64, _ *structs.Open) {
		f.session.frame(&structs.Frame{Stream: s, Head: &structs.Head{Status: 418, Headers: []structs.Header{{Name: "X-Case", Value: "7"}}}})
		f.data(s, 0, "one ")
		f.data(s, 1, "two")
		f.end(s, 2, nil)
	})
	resp, body := do(e, request{method: "PUT", uri: "/svc/lookup/case/7?full=1", key: testKey, body: "hello",
		headers: map[string]string{"X-Trace": "t", "X-Request-Id": "r1", "X-Request-Timeout": "5000"}})
	if resp.StatusCode() != 418 || body != "one two" || string(resp.Header.Peek("X-Case")) != "7" {
		t.Errorf("status %d, body %q", resp.StatusCode(), body)
	}
	if string(resp.Header.Peek("X-Target")) != "a" || string(resp.Header.Peek("X-Request-Id")) != "r1" {
		t.Errorf("headers %v", resp.Header.String())
	}
	o := a.opens[0]
	if o.Method != "PUT" || o.Path != "/case/7?full=1" || string(o.Body) != "hello" || o.Request != "r1" || o.TimeoutMs > 5000 {
		t.Errorf("opened with %+v", o)
	}
	for _, h := range o.Headers {
		if strings.EqualFold(h.Name, "Authorization") {
			t.Error("the caller's key was passed on to the service")
		}
	}
}

func TestModelsAreListed(t *testing.T) {
	state := testState()
	state.Models["old"] = confstate.Model{ID: "old", Retired: true}
	e := newTestEntry(t, state)
	connect(e, "a", 0, nil)
	_, body := do(e, request{method: "GET", uri: "/v1/models", key: testKey})
	if want := `{"object":"list","data":[{"id":"draft","object":"model","targets":1}]}`; body != want {
		t.Errorf("got %s, want %s", body, want)
	}
}

// Symptom: an answer is cut off by a planned stop when it takes longer than the grace.
// Sequence: the entry is told to stop; one request goes on for a while.
// Cause: the stop waited for a time and not for the requests.
func TestDrainWaitsForRequestsAndNoLongerThanItsTimeout(t *testing.T) {
	for _, takes := range []time.Duration{5 * time.Second, time.Hour} {
		synctest.Test(t, func(t *testing.T) {
			e := newTestEntry(t, testState())
			e.inFlight.Add(1)
			sleep.AfterFunc(takes, func() { e.inFlight.Add(-1) })
			ctx, cancel := context.WithTimeout(t.Context(), e.set.DrainTimeout)
			defer cancel()
			begin := time.Now()
			e.drain(ctx)
			want := min(takes, e.set.DrainTimeout)
			if took := time.Since(begin); took < want || took > want+drainPoll {
				t.Errorf("a request of %v: stopped after %v, want %v", takes, took, want)
			}
		})
	}
}

type noHosts struct{}

func (noHosts) Hosts(context.Context) ([]platform.Host, error) { return nil, nil }

// Symptom: a planned stop cuts off answers, or the balancer sends on to an entry that is gone.
// Sequence: the entry is told to stop while a request waits for its target.
// Cause: the listeners were closed, or Run returned, before requests in flight had ended.
func TestPlannedStopFinishesWhatIsInFlight(t *testing.T) {
	e := newTestEntry(t, testState())
	e.pool.hosts = noHosts{}
	e.pool.set.HostListEvery = time.Hour
	e.set.DrainTimeout = time.Second
	got := make(chan uint64, 1)
	a := connect(e, "a", 0, func(_ *fakeSide, s uint64, _ *structs.Open) { got <- s })
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- e.Run(ctx) }()
	answers := make(chan string, 1)
	go func() { answers <- httpGet(t, "http://"+e.CallerAddr()+"/svc/lookup/x") }()
	stream := <-got
	stop()
	for httpGet(t, "http://"+e.StatusAddr()+"/readyz") != "503 draining\n" && !t.Failed() {
		continue // Run sees the stop in its own time
	}
	select {
	case err := <-ended:
		t.Fatalf("stopped with a request in flight: %v", err)
	case late := <-answers:
		t.Fatalf("answered before the target: %s", late)
	default:
	}
	a.answer(stream, "whole")
	if body := <-answers; body != "200 whole" {
		t.Errorf("got %q", body)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", e.CallerAddr()); err == nil {
		c.Close()
		t.Error("still listening after the stop")
	}
}

func httpGet(t *testing.T, url string) string {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Error(err)
		return ""
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.Status[:3] + " " + string(body)
}

// Symptom: a caller with a valid key is told that its key is not known, and gives up.
// Sequence: an entry has just started and has not read the configuration yet; a caller's
// request reaches it before the balancer knows that it is not ready.
// Cause: no configuration taken for a configuration without keys.
func TestEntryWithoutConfigurationRefusesNobodysKey(t *testing.T) {
	e := newTestEntry(t, &confstate.State{})
	resp, body := do(e, request{method: "GET", uri: "/v1/models", key: testKey})
	err := problemOf(t, body)
	if err.Type != errs.NoTarget || err.Ran != errs.RanNo || err.RetryAfterMs == 0 {
		t.Errorf("status %d, %+v", resp.StatusCode(), err)
	}
}
