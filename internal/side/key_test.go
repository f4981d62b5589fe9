package side

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func keyed(body string) structs.Open {
	return structs.Open{Method: "POST", Path: "/book", Body: []byte(body), NonIdempotent: true, Key: "k", Workspace: "w"}
}

func booked(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
	return platform.ServiceAnswer{Status: 201, Body: []byte("booked")}, nil
}

// Symptom: two advisers call the same person. The client sends again through another
// entry, because the first answer was lost; it must get that answer and nothing may run.
func TestResentKeyGetsTheFirstAnswer(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = booked
		b.open(1, keyed("a"))
		other := &fakeLink{host: "e2"}
		b.opened(other)
		o := keyed("a")
		o.Credit = 100
		b.frame(other, &structs.Frame{Stream: 1, Open: &o})
		synctest.Wait()
		a := other.answer(1)
		if a.head == nil || a.head.Status != 201 || len(a.data) != 1 || a.data[0] != "booked" || !a.end.Replayed || a.end.Parts != 1 {
			t.Fatalf("replay %+v, end %+v", a, a.end)
		}
		b.open(2, keyed("b"))
		wantEnd(t, b.entry.answer(2), errs.KeyReused, errs.RanNo)
		if b.target.runs() != 1 {
			t.Fatalf("%d runs", b.target.runs())
		}
	})
}

// Symptom: as above; the entry dies while the call runs. The call goes on, for its
// effect can't be taken back, and its answer waits for the resend.
func TestKeyedCallOutlivesItsSession(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(ctx context.Context, c platform.ServiceCall) (platform.ServiceAnswer, error) {
			time.Sleep(time.Second)
			if ctx.Err() != nil {
				return platform.ServiceAnswer{}, errs.New(errs.Cancelled, "x")
			}
			return booked(ctx, c)
		}
		b.open(1, keyed("a"))
		b.closed(b.entry, errs.New(errs.SessionLost, "cut"))
		other := &fakeLink{host: "e2"}
		b.entry = other
		b.opened(other)
		b.open(1, keyed("a"))
		wantEnd(t, other.answer(1), errs.KeyInProgress, errs.RanNo)
		time.Sleep(2 * time.Second)
		b.open(2, keyed("a"))
		if a := other.answer(2); a.end == nil || a.end.Err != nil || !a.end.Replayed || len(a.data) != 1 || b.target.runs() != 1 || b.active.Load() != 0 {
			t.Fatalf("%+v after %d runs, %d streams", a.end, b.target.runs(), b.active.Load())
		}
	})
}

func TestKeyMayRunAfterNotRun(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{}, errs.New(errs.TargetFailed, "refused").WithRan(errs.RanNo)
		}
		b.open(1, keyed("a"))
		wantEnd(t, b.entry.answer(1), errs.TargetFailed, errs.RanNo)
		b.target.call = booked
		b.open(2, keyed("a"))
		if a := b.entry.answer(2); a.end == nil || a.end.Err != nil || a.end.Replayed {
			t.Fatalf("end %+v", a.end)
		}
	})
}

// Symptom: as above; the target was cut off in the middle, so that nobody knows
// whether the effect happened. The key must not run again.
func TestKeyWithUnknownOutcomeDoesNotRunAgain(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{}, errs.New(errs.TargetFailed, "connection reset")
		}
		b.open(1, keyed("a"))
		b.target.call = booked
		b.open(2, keyed("a"))
		wantEnd(t, b.entry.answer(2), errs.TargetFailed, errs.RanUnknown)
		if b.target.runs() != 1 {
			t.Fatalf("%d runs", b.target.runs())
		}
	})
}

type fixedConfig struct {
	state *confstate.State
	err   error
}

func (c *fixedConfig) Apply(*structs.ConfigMsg) (*confstate.State, error) { return c.state, c.err }

func (b *bench) configure(port *fixedConfig, s *confstate.State, err error) {
	port.state, port.err = s, err
	b.config.port = port
	b.send(structs.Frame{Config: &structs.ConfigMsg{To: 1}})
}

func TestKeyOfAnotherHomeIsRefused(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = booked
		targets := map[structs.TargetID]confstate.Target{}
		for _, id := range []structs.TargetID{"t", "u", "v"} {
			targets[id] = confstate.Target{ID: id, Kind: structs.KindService, Service: "svc"}
		}
		b.configure(&fixedConfig{}, &confstate.State{Version: 1, Targets: targets}, nil)
		ran := 0
		for i := range 30 {
			o := keyed("a")
			o.Key = string(rune('a' + i))
			b.open(uint64(i+1), o)
			a := b.entry.answer(uint64(i + 1))
			if a.end.Err == nil {
				ran++
				continue
			}
			wantEnd(t, a, errs.KeyUnverifiable, errs.RanUnknown)
		}
		if ran == 0 || ran == 30 || b.target.runs() != ran {
			t.Fatalf("%d of 30 ran, %d runs", ran, b.target.runs())
		}
	})
}

// Symptom: a setting that operators had changed is back. An entry that lags sent
// an older configuration after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		port := &fixedConfig{}
		b.configure(port, &confstate.State{Version: 9}, nil)
		b.configure(port, &confstate.State{Version: 7}, nil)
		if v := b.config.version(); v != 9 {
			t.Fatalf("version %d", v)
		}
	})
}

// Symptom: a side stays at an old version, or asks every entry for the same records. All
// entries announce a version that it lacks; it asks one, and another one later if no answer comes.
func TestMissingConfigurationIsAskedForOnceAtATime(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		port := &fixedConfig{}
		b.configure(port, &confstate.State{Version: 9}, nil)
		port.state, port.err = nil, errs.New(errs.LogTrimmed, "a gap")
		asks := func() []structs.Frame {
			return b.entry.frames(func(f *structs.Frame) bool { return f.Config != nil && f.Config.Ask })
		}
		for range 3 {
			b.send(structs.Frame{Config: &structs.ConfigMsg{To: 12}})
		}
		if a := asks(); len(a) != 1 || a[0].Config.From != 9 {
			t.Fatalf("asks %+v", a)
		}
		time.Sleep(3 * askAgain)
		if a := asks(); len(a) < 3 {
			t.Fatalf("asked %d times without an answer", len(a))
		}
		port.state, port.err = &confstate.State{Version: 12}, nil
		b.send(structs.Frame{Config: &structs.ConfigMsg{From: 9, To: 12}})
		before := len(asks())
		time.Sleep(5 * askAgain)
		if n := len(asks()); n != before || b.config.version() != 12 {
			t.Fatalf("asked %d times more; version %d", n-before, b.config.version())
		}
		port.state, port.err = nil, errs.New(errs.BadFrame, "unreadable")
		b.send(structs.Frame{Config: &structs.ConfigMsg{To: 13}})
		if n := len(asks()); n != before {
			t.Fatal("asked for what can't be read")
		}
	})
}
