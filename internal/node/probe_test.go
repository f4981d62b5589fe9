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

// Guards against reporting a crashed engine as alive because it has restarted before the probe.
func TestRestartedEngineIsAnotherInstance(t *testing.T) {
	server, err := engine.Start("127.0.0.1:0", engine.Options{RestartTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	e := enginehttp.New(server.URL(), enginehttp.Options{})
	began := time.Now()
	if got := probeUntilKnown(t, e, began.Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("%v before the crash", got)
	}
	server.Crash()
	for _, err := e.Load(t.Context()); err != nil; _, err = e.Load(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	if got := probeUntilKnown(t, e, began); got != platform.ProbeGone {
		t.Errorf("%v after the restart", got)
	}
	if got := probeUntilKnown(t, e, time.Now().Add(time.Second)); got != platform.ProbeAlive {
		t.Errorf("%v for a run at the new instance", got)
	}
}

// probeUntilKnown probes an engine until the result is not ProbeUnknown, bounded by the timeout of the test.
func probeUntilKnown(t *testing.T, e platform.Engine, since time.Time) platform.ProbeResult {
	for {
		if got := probeEngine(t.Context(), e, since); got != platform.ProbeUnknown {
			return got
		}
		time.Sleep(time.Millisecond)
	}
}

// slowEngine delays its load report before and after it determines its uptime.
type slowEngine struct {
	platform.Engine
	started                 time.Time
	delayBefore, delayAfter time.Duration
}

func (e slowEngine) Load(context.Context) (platform.EngineLoad, error) {
	time.Sleep(e.delayBefore)
	load := platform.EngineLoad{UptimeMs: time.Since(e.started).Milliseconds()}
	time.Sleep(e.delayAfter)
	return load, nil
}

// Guards against reporting a restarted engine as alive because its answer arrives late.
func TestLateAnswerOfRestartedEngineIsNotAlive(t *testing.T) {
	const late = time.Second
	for name, c := range map[string]struct {
		started                 time.Duration // relative to the start of the run
		delayBefore, delayAfter time.Duration
		want                    platform.ProbeResult
	}{
		"same instance":                    {-time.Minute, 0, 0, platform.ProbeAlive},
		"same instance, late answer":       {-time.Minute, late, late, platform.ProbeAlive},
		"restarted":                        {200 * time.Millisecond, 0, 0, platform.ProbeGone},
		"restarted, late report of uptime": {200 * time.Millisecond, late, 0, platform.ProbeUnknown},
		"restarted, late answer":           {200 * time.Millisecond, 0, late, platform.ProbeGone},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			time.Sleep(300 * time.Millisecond)
			e := slowEngine{started: began.Add(c.started), delayBefore: c.delayBefore, delayAfter: c.delayAfter}
			if got := probeEngine(t.Context(), e, began); got != c.want {
				t.Errorf("%s: %v, want %v", name, got, c.want)
			}
		})
	}
}
