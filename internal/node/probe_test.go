package node

import (
	"testing"
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
	if got := probeEngine(t.Context(), e, began); got != platform.ProbeAlive {
		t.Errorf("%v before the crash", got)
	}
	server.Crash()
	for _, err := e.Load(t.Context()); err != nil; _, err = e.Load(t.Context()) {
		time.Sleep(time.Millisecond)
	}
	if got := probeEngine(t.Context(), e, began); got != platform.ProbeGone {
		t.Errorf("%v once the engine is back", got)
	}
	if got := probeEngine(t.Context(), e, time.Now()); got != platform.ProbeAlive {
		t.Errorf("%v for a run at the next start", got)
	}
}
