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

// Guards against reporting that an engine has been running since before its crash, because it has restarted before
// the probe.
func TestRestartedEngineIsAnotherInstance(t *testing.T) {
	server, err := engine.Start("127.0.0.1:0", engine.Options{RestartTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	e := enginehttp.New(server.URL(), enginehttp.Options{})
	began := time.Now()
	if got := probeUntilKnown(t, e, began.Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("probe before the crash: %v, want ProbeAlive", got)
	}
	server.Crash()
	for _, err := e.Load(t.Context()); err != nil; _, err = e.Load(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	if got := probeUntilKnown(t, e, began); got != platform.ProbeGone {
		t.Errorf("probe after the restart, for a run before it: %v, want ProbeGone", got)
	}
	if got := probeUntilKnown(t, e, time.Now().Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("probe for a run at the new instance: %v, want ProbeAlive", got)
	}
}

// probeUntilKnown repeats probeEngine until the result is not ProbeUnknown; only the timeout of the test ends it
// otherwise.
func probeUntilKnown(t *testing.T, e platform.Engine, since time.Time) platform.ProbeResult {
	for {
		if got := probeEngine(t.Context(), e, since); got != platform.ProbeUnknown {
			return got
		}
		time.Sleep(time.Millisecond)
	}
}

// slowEngine is an engine that waits before and after it determines the uptime for its load report.
type slowEngine struct {
	platform.Engine
	startedAt               time.Time
	delayBefore, delayAfter time.Duration
}

func (e slowEngine) Load(context.Context) (platform.EngineLoad, error) {
	time.Sleep(e.delayBefore)
	load := platform.EngineLoad{UptimeMs: time.Since(e.startedAt).Milliseconds()}
	time.Sleep(e.delayAfter)
	return load, nil
}

// Guards against reporting that a restarted engine has been running all the time, because its answer arrives late.
func TestLateAnswerOfRestartedEngineIsNotAlive(t *testing.T) {
	const delay = time.Second
	for name, c := range map[string]struct {
		startOffset             time.Duration // start of the engine relative to the start of the run
		delayBefore, delayAfter time.Duration
		want                    platform.ProbeResult
	}{
		"same instance":                    {-time.Minute, 0, 0, platform.ProbeAlive},
		"same instance, late answer":       {-time.Minute, delay, delay, platform.ProbeAlive},
		"restarted":                        {200 * time.Millisecond, 0, 0, platform.ProbeGone},
		"restarted, late report of uptime": {200 * time.Millisecond, delay, 0, platform.ProbeUnknown},
		"restarted, late answer":           {200 * time.Millisecond, 0, delay, platform.ProbeGone},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			time.Sleep(300 * time.Millisecond)
			e := slowEngine{startedAt: began.Add(c.startOffset), delayBefore: c.delayBefore, delayAfter: c.delayAfter}
			if got := probeEngine(t.Context(), e, began); got != c.want {
				t.Errorf("%s: probe result %v, want %v", name, got, c.want)
			}
		})
	}
}
