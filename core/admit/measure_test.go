package admit

import (
	"math"
	"testing"
	"time"
)

// fakeEngine gives tokens to all running requests of a machine at the pace of a step model.
type fakeEngine struct {
	t       *testing.T
	m       *Machine
	now     time.Time
	places  int
	running []ID
	waiting []ID
	fresh   map[ID]bool
}

const (
	fakeBase      = 20 * time.Millisecond
	fakePerStream = 500 * time.Microsecond
	fakePerToken  = 50 * time.Microsecond
	fakePrompt    = 100
)

func (e *fakeEngine) act(as []Action) {
	for _, a := range as {
		switch a.Kind {
		case Start:
			e.waiting = append(e.waiting, a.ID)
		case Preempt:
			e.stop(a.ID)
		}
	}
}

// stop ends a request at the engine.
func (e *fakeEngine) stop(id ID) {
	for _, q := range []*[]ID{&e.running, &e.waiting} {
		for i, r := range *q {
			if r == id {
				*q = append((*q)[:i:i], (*q)[i+1:]...)
				break
			}
		}
	}
	e.act(e.m.Ended(e.now, id, Stopped))
}

// step runs one step of the engine.
func (e *fakeEngine) step() {
	fresh := 0
	for len(e.waiting) > 0 && len(e.running) < e.places {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
		fresh++
	}
	n := len(e.running)
	e.now = e.now.Add(fakeBase + time.Duration(n)*fakePerStream + time.Duration(fresh*fakePrompt)*fakePerToken)
	for _, id := range append([]ID(nil), e.running...) {
		if !e.fresh[id] {
			e.fresh[id] = true
			e.act(e.m.FirstToken(e.now, id))
			continue
		}
		e.act(e.m.Token(e.now, id))
	}
}

func newFakeEngine(t *testing.T, cfg Config, places int) *fakeEngine {
	return &fakeEngine{t: t, m: New(cfg, t0), now: t0, places: places, fresh: make(map[ID]bool)}
}

// feed keeps as many batch requests queued as the policy asks for while steps run, and ends
// one request every few steps.
func (e *fakeEngine) feed(steps int) {
	next := ID(1000)
	for i := range steps {
		for e.m.BatchRoom(e.now) > 0 {
			next++
			e.act(e.m.Arrive(e.now, batch(next)))
		}
		e.step()
		if i%3 == 0 && len(e.running) > 1 {
			id := e.running[0]
			e.running = e.running[1:]
			e.act(e.m.Ended(e.now, id, Finished))
		}
	}
}

// Symptom: online requests wait inside the engine, where no priority holds.
// Sequence: batch fills an engine that serves 24 at a time and admits all it is sent.
// Cause: the limit is a setting, or grows past what the engine serves.
func TestLimitIsFoundFromSteps(t *testing.T) {
	const places = 24
	e := newFakeEngine(t, Config{Headroom: 0}, places)
	e.feed(600)
	if got := e.m.Load(e.now).Limit; got < places || got > places+1 {
		t.Errorf("limit %d, want %d or one more as a probe", got, places)
	}
}

// Symptom: harm is misjudged, too much batch or too little is given to the engine.
// Sequence: steps of known length. Cause: the step model does not follow them.
func TestStepModelFollowsTheEngine(t *testing.T) {
	e := newFakeEngine(t, Config{Headroom: 0}, 32)
	e.feed(600)
	got := e.m.model.step(20, fakePrompt)
	want := (fakeBase + 20*fakePerStream + fakePrompt*fakePerToken).Seconds()
	if math.Abs(got-want) > 0.1*want {
		t.Errorf("a step of 20 streams and %d prompt tokens is predicted at %.1f ms, want %.1f",
			fakePrompt, got*1000, want*1000)
	}
}

// Symptom: after a pause of the host any load looks harmless. Sequence: a step that took 20 s.
// Cause: the pause is learned as a step time.
func TestPauseIsNotLearned(t *testing.T) {
	e := newFakeEngine(t, Config{Headroom: 0}, 32)
	e.feed(300)
	before := e.m.model.step(20, 0)
	e.now = e.now.Add(20 * time.Second)
	e.feed(5 * fitEvery)
	if after := e.m.model.step(20, 0); after > 1.2*before {
		t.Errorf("a step was predicted at %.1f ms before the pause and at %.1f after", before*1000, after*1000)
	}
}

// Symptom: batch waits inside the engine while a burst is served. Sequence: batch fills the engine, a
// burst of online requests comes. Cause: batch gives way one for one only.
func TestBurstDisplacesMoreThanItsPlaces(t *testing.T) {
	const places, burst = 32, 8
	const most = places - burst - burst/2
	e := newFakeEngine(t, Config{Headroom: 1}, places)
	e.feed(300)
	e.m.policy.stretch = 1e6 // no first token is at risk by itself
	for id := range ID(burst) {
		e.act(e.m.Arrive(e.now, online(id+1)))
	}
	if got := e.m.besideBurst(e.now); got > most {
		t.Errorf("%d batch streams may run beside a burst of %d, want no more than %d", got, burst, most)
	}
	if got := e.m.inFlight.activeBatch(); got > most {
		t.Errorf("%d batch streams run beside a burst of %d", got, burst)
	}
}

// Symptom: idle capacity is left unused after a burst. Sequence: a burst preempts batch and ends.
// Cause: headroom is not given back by rule.
func TestHeadroomIsGivenBack(t *testing.T) {
	e := newFakeEngine(t, Config{Headroom: 1}, 32)
	e.feed(300)
	for id := range ID(8) {
		e.act(e.m.Arrive(e.now, online(id+1)))
	}
	for id := range ID(8) {
		e.stop(id + 1)
	}
	during := e.m.inFlight.activeBatch()
	e.feed(200)
	if after := e.m.inFlight.activeBatch(); after < 30 || during >= after {
		t.Errorf("%d batch streams right after the burst, %d later, want 30 or more of 32", during, after)
	}
}
