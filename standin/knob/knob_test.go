package knob

import (
	"testing"

	"github.com/valyala/fasthttp"
)

type testKnobs struct {
	Faults
	Size int `json:"size"`
}

func serve(s *Set[testKnobs], method, body string) (int, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetBodyString(body)
	s.Serve(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestKnobsOverHTTP(t *testing.T) {
	s := NewSet(testKnobs{Size: 3})
	if status, body := serve(s, "POST", `{"hang":true,"delay_ms":7}`); status != 200 {
		t.Errorf("%d %s", status, body)
	}
	if got := s.Get(); !got.Hang || got.DelayMs != 7 || got.Size != 3 {
		t.Errorf("%+v", got)
	}
	before := s.Get()
	for _, bad := range []string{`{"hung":true}`, `{"size":"big"}`, `{"size":9,"x":1}`, `[`} {
		if status, _ := serve(s, "POST", bad); status != 400 {
			t.Errorf("%s: %d", bad, status)
		}
	}
	if s.Get() != before {
		t.Errorf("a refused change took effect: %+v", s.Get())
	}
	want := `{"outage":false,"hang":true,"delay_ms":7,"lose_answer_share":0,"size":3}`
	if _, body := serve(s, "GET", ""); body != want {
		t.Errorf("got %s", body)
	}
}

func TestHoldEndsAtATurnOrWhenDone(t *testing.T) {
	s := NewSet(testKnobs{Size: 1})
	held := func(k testKnobs) bool { return k.Size == 1 }
	done := make(chan struct{})
	result := make(chan bool)
	go func() { result <- s.Hold(done, held) }()
	s.Turn(func(k *testKnobs) { k.DelayMs = 1 })
	s.Turn(func(k *testKnobs) { k.Size = 2 })
	if !<-result {
		t.Error("the hold did not end by the turn")
	}
	s.Turn(func(k *testKnobs) { k.Size = 1 })
	close(done)
	if s.Hold(done, held) {
		t.Error("the hold did not end by done")
	}
}

func TestLoseAnswerShareIsMetBySeed(t *testing.T) {
	count := func(seed uint64) (n int) {
		s := NewFaultSet(NewSet(testKnobs{}), func(k testKnobs) Faults { return k.Faults }, seed, nil)
		for range 10_000 {
			if s.Hit(0.2) {
				n++
			}
		}
		return n
	}
	if n := count(1); n < 1900 || n > 2100 || n != count(1) || n == count(2) {
		t.Errorf("hit %d times with seed 1, %d with seed 2", n, count(2))
	}
}

func TestOutageHasNoEffect(t *testing.T) {
	s := NewFaultSet(NewSet(testKnobs{}), func(k testKnobs) Faults { return k.Faults }, 1, make(chan struct{}))
	effects := 0
	h := s.Wrap(func(*fasthttp.RequestCtx) { effects++ })
	var ctx fasthttp.RequestCtx
	h(&ctx)
	s.Turn(func(k *testKnobs) { k.Outage = true })
	h(&ctx)
	if effects != 1 || ctx.Response.StatusCode() != 503 {
		t.Errorf("%d effects, status %d", effects, ctx.Response.StatusCode())
	}
	s.Turn(func(k *testKnobs) { *k = testKnobs{Faults: Faults{DelayMs: 1}} })
	h(&ctx)
	if effects != 2 {
		t.Errorf("%d effects after the outage", effects)
	}
}
