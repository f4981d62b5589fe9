package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/standin/engine"
)

// Guards against taking an engine that is back from a crash, before anybody has asked for it, for the start that has crashed.
func TestAnEngineThatIsBackIsAnotherStart(t *testing.T) {
	server, err := engine.Start("127.0.0.1:0", engine.Options{RestartTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	e := enginehttp.New(server.URL(), enginehttp.Options{})
	began := time.Now()
	if got := known(t, e, began.Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("%v before the crash", got)
	}
	server.Crash()
	for _, err := e.Load(t.Context()); err != nil; _, err = e.Load(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	if got := known(t, e, began); got != platform.ProbeGone {
		t.Errorf("%v once the engine is back", got)
	}
	if got := known(t, e, time.Now().Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("%v for a run at the next start", got)
	}
}

// known asks an engine for the start that had a run until that is known; the test's own time limit ends it.
func known(t *testing.T, e platform.Engine, since time.Time) platform.ProbeResult {
	for {
		if got := probeEngine(t.Context(), e, since); got != platform.ProbeUnknown {
			return got
		}
		time.Sleep(time.Millisecond)
	}
}

// slowEngine tells its load after waits before and after it looks how long it has run.
type slowEngine struct {
	platform.Engine
	started       time.Time
	before, after time.Duration
}

func (e slowEngine) Load(context.Context) (platform.EngineLoad, error) {
	time.Sleep(e.before)
	load := platform.EngineLoad{UptimeMs: time.Since(e.started).Milliseconds()}
	time.Sleep(e.after)
	return load, nil
}

// Guards against taking a later start of an engine for the one that had a run, because its answer was long on its way.
func TestALateAnswerOfALaterStartDoesNotShowThatTheRunsStartLives(t *testing.T) {
	const late = time.Second
	for name, c := range map[string]struct {
		started       time.Duration // after the run began
		before, after time.Duration
		want          platform.ProbeResult
	}{
		"the start of the run":               {-time.Minute, 0, 0, platform.ProbeAlive},
		"the start of the run, late":         {-time.Minute, late, late, platform.ProbeAlive},
		"a later start":                      {200 * time.Millisecond, 0, 0, platform.ProbeGone},
		"a later start, late":                {200 * time.Millisecond, late, 0, platform.ProbeUnknown},
		"a later start, back before it asks": {200 * time.Millisecond, 0, late, platform.ProbeGone},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			time.Sleep(300 * time.Millisecond)
			e := slowEngine{started: began.Add(c.started), before: c.before, after: c.after}
			if got := probeEngine(t.Context(), e, began); got != c.want {
				t.Errorf("%s: %v, want %v", name, got, c.want)
			}
		})
	}
}
