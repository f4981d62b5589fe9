package online_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"arbutusramp/standin/engine"
	"arbutusramp/test/cluster"
)

const killTokens = 200

// killStep is a moment in the life of requests at which their side is killed.
type killStep struct {
	name string
	// limit is the concurrency limit of the sides; 0 leaves their own.
	limit int
	// arm prepares the fault before the requests are sent.
	arm func(w *world)
	// reached waits for the moment after they were sent; nil waits for tokenOf.
	reached func(t *testing.T, w *world, asks []*ask)
}

func killSteps() []killStep {
	return []killStep{
		{
			name: "before open",
			arm:  func(w *world) { w.net.freeze(of(w.EngineSides[0].ID)) },
			reached: func(t *testing.T, w *world, asks []*ask) {
				w.await(t, "the entry has all requests", func() bool { return entryRequests(w) >= int64(len(asks)) })
			},
		},
		{
			name:  "queued",
			limit: 2,
			arm:   hangAll,
			reached: func(t *testing.T, w *world, _ []*ask) {
				w.await(t, "requests wait at the side", func() bool { return gauge(w.EngineSides[0], "side.online_queued") >= 4 })
				for _, e := range w.Engines[1:] {
					e.Turn(func(k *engine.Knobs) { k.Hang = false })
				}
			},
		},
		{
			name: "handed over",
			arm:  hangEngine,
			reached: func(t *testing.T, w *world, _ []*ask) {
				w.await(t, "the engine has requests", func() bool { return w.Engines[0].Stats(false).Arrivals.Total >= 4 })
			},
		},
		{name: "first token"},
		{name: "mid-stream"},
		{name: "before the end"},
	}
}

// tokenOf is the token at which a step by tokens is reached.
var tokenOf = map[string]int{"first token": 1, "mid-stream": killTokens / 2, "before the end": killTokens}

func hangEngine(w *world) {
	w.Engines[0].Turn(func(k *engine.Knobs) { k.Hang = true })
}

// hangAll has the engines look alike, so that requests queue at all of them.
func hangAll(w *world) {
	for _, e := range w.Engines {
		e.Turn(func(k *engine.Knobs) { k.Hang = true })
	}
}

func gauge(p *cluster.Process, name string) int64 {
	g, ok := p.Metrics.Get(name).(interface{ Value() int64 })
	if !ok {
		return -1
	}
	return g.Value()
}

func counter(p *cluster.Process, name string) int64 {
	c, ok := p.Metrics.Get(name).(interface{ Count() int64 })
	if !ok {
		return -1
	}
	return c.Count()
}

func entryRequests(w *world) (n int64) {
	for _, e := range w.Entries {
		n += counter(e, "entry.requests")
	}
	return n
}

// once returns a function that closes c when it is called first.
func once(c chan struct{}) func() {
	var o sync.Once
	return func() { o.Do(func() { close(c) }) }
}

// Symptom: a caller is told "not run", sends its request again, and it runs twice.
// Events: the side of a request is killed at each step of its life: before it gets the request, while
// the request waits in its queue, while the engine has it, at the first token, in mid-stream and
// just before the end. No other target is there.
// Cause: an entry that takes the loss of a session for a refusal. The engine's own counts
// by request id tell what ran.
func TestNotRunIsTrueWhenTheSideIsKilled(t *testing.T) {
	t.Parallel()
	for _, step := range killSteps() {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			w, asks, replies := killAt(t, step, 1)
			for i, r := range replies {
				r.check(t, asks[i])
				w.checkNotRun(t, asks[i], r)
				if !r.whole && r.err == nil {
					t.Errorf("%s: %v: neither whole nor a typed error", asks[i].id, r)
				}
			}
		})
	}
}

// Symptom: a caller gets half an answer, or an answer with a hole or a doubled part, after a
// side has died.
// Events: as above, with a second target that is well.
// Cause: an attempt on another target that starts over, or at a position that the caller has
// not reached.
func TestStreamsGoOnElsewhereWhenTheSideIsKilled(t *testing.T) {
	t.Parallel()
	for _, step := range killSteps() {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			w, asks, replies := killAt(t, step, 2)
			moved := 0
			for i, r := range replies {
				r.check(t, asks[i])
				if !r.whole && !refusedForLoad(r) {
					t.Errorf("%s: %v", asks[i].id, r)
				}
				if w.Engines[0].Request(asks[i].id).Arrivals > 0 && w.Engines[1].Request(asks[i].id).Arrivals > 0 {
					moved++
				}
			}
			if step.name == "mid-stream" && moved == 0 {
				t.Error("no stream has moved, so nothing was shown")
			}
		})
	}
}

// refusedForLoad is an answer that was given up on before its first token, with when to come
// back: the target that is left need not have room for all at once.
func refusedForLoad(r reply) bool {
	return r.tokens == 0 && r.err != nil && r.err.RetryAfterMs > 0
}

// killAt sends 24 streams, kills the side of the first engine at step, and returns what came.
func killAt(t *testing.T, step killStep, engines int) (*world, []*ask, []reply) {
	w := startWorld(t, cluster.Options{
		Entries: 1, Engines: engines,
		EntrySettings: func(s *settings.Entry) { s.RetryShare = 1 },
		SideSettings: func(s *settings.Side) {
			if step.limit > 0 {
				s.MaxLimit = step.limit
			}
		},
	})
	asks := w.asks("kill", 24, killTokens)
	reached := make(chan struct{})
	if step.arm != nil {
		step.arm(w)
	}
	if n, ok := tokenOf[step.name]; ok {
		signal := once(reached)
		for _, a := range asks {
			a.onToken = func(got int) {
				if got == n {
					signal()
				}
			}
		}
	}
	wait := w.background(asks)
	if step.reached != nil {
		step.reached(t, w, asks)
	} else {
		<-reached
	}
	w.EngineSides[0].Kill()
	return w, asks, wait()
}

// Symptom: a call of a plain service that may not be repeated runs although its caller was told that
// it had not.
// Events: the side is killed while calls wait in its queue, and while the service works on them.
// Cause: as above, or a retry of a call that may have had its effect.
func TestServiceCallsAreNotRepeatedWhenTheSideIsKilled(t *testing.T) {
	t.Parallel()
	w := startWorld(t, cluster.Options{
		Entries: 1, Services: 2, ServiceLatency: 20 * time.Millisecond,
		EntrySettings: func(s *settings.Entry) { s.RetryShare = 1 },
		SideSettings:  func(s *settings.Side) { s.MaxLimit = 4 },
	})
	const calls = 200
	replies := make([]reply, calls)
	var g sync.WaitGroup
	for i := range calls {
		g.Go(func() { replies[i] = w.post(w.Entries[0], callID(i), "") })
	}
	w.await(t, "calls run and wait", func() bool {
		return w.Services[0].Stats(false).ByRequest.Total >= 8 && gauge(w.ServiceSides[0], "side.online_queued") >= 8
	})
	w.ServiceSides[0].Kill()
	g.Wait()
	unknown := 0
	for i, r := range replies {
		ran := w.Services[0].Calls(callID(i)) + w.Services[1].Calls(callID(i))
		if ran > 1 {
			t.Errorf("%s ran %d times", callID(i), ran)
		}
		if r.err != nil && r.err.Ran == errs.RanNo && ran > 0 {
			t.Errorf("%s was told that it had not run: %v", callID(i), r)
		}
		if r.err == nil && ran != 1 {
			t.Errorf("%s ran %d times and got %v", callID(i), ran, r)
		}
		if r.err != nil && r.err.Ran == errs.RanUnknown {
			unknown++
		}
	}
	if unknown == 0 {
		t.Error("no call was lost with its outcome unknown, so nothing was shown")
	}
}

func callID(i int) string { return fmt.Sprintf("call-%d", i) }

// post calls the plain service by a method that may not be repeated.
func (w *world) post(entry *cluster.Process, id, key string) reply {
	body := []byte("slot of " + id)
	req := w.request(w.ctx, entry, http.MethodPost, "/svc/"+string(cluster.Service)+"/confirm", body)
	req.Header.Set("X-Request-Id", id)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return w.call(req, string(body))
}
