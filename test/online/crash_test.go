package online_test

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/standin/engine"
	"arbutusramp/standin/logsvc"
	"arbutusramp/test/cluster"
)

// maxCrashes is how many engines may crash under repeats of one request: three, and three more until all entries know.
const maxCrashes = 6

// callerPause is the time between two repeats of a request.
const callerPause = 150 * time.Millisecond

// Guards against sending a request to one engine after the other although they crash under it, when its caller repeats it at all
// entries under other ids.
func TestARepeatedRequestThatCrashesEnginesIsSentNoMore(t *testing.T) {
	t.Parallel()
	const engines, repeats = 6, 24
	w := startWorld(t, cluster.Options{
		Engines: engines, Entries: 2,
		Engine: func(int) engine.Options { return engine.Options{RestartTime: 100 * time.Millisecond} },
	})
	crashes := 0
	for i := range repeats {
		a := &ask{id: fmt.Sprintf("crash-%d", i), entry: w.Entries[i%len(w.Entries)], tokens: 5, prompt: `"poison":"crash"`}
		w.send(w.ctx, a)
		time.Sleep(callerPause)
		for _, e := range w.Engines {
			crashes += e.Request(a.id).Starts
		}
	}
	if crashes < 3 || crashes > maxCrashes {
		t.Errorf("%d crashes, want 3 to %d", crashes, maxCrashes)
	}
	w.await(t, "another request is served", func() bool {
		return w.send(w.ctx, w.asks("other", 1, 5)[0]).whole
	})
}

// Guards against entries that each count for themselves the engines that have crashed under a request, while the log service is away.
func TestEntriesShareCrashesWhileTheLogIsAway(t *testing.T) {
	t.Parallel()
	const engines, entries, repeats = 6, 5, 30
	w := startWorld(t, cluster.Options{
		Engines: engines, Entries: entries,
		Engine: func(int) engine.Options { return engine.Options{RestartTime: 100 * time.Millisecond} },
	})
	w.Log.Turn(func(k *logsvc.Knobs) { k.Outage = true })
	crashes := 0
	for i := range repeats {
		a := &ask{id: fmt.Sprintf("crash-%d", i), entry: w.Entries[i%len(w.Entries)], tokens: 5, prompt: `"poison":"crash"`}
		w.send(w.ctx, a)
		time.Sleep(callerPause)
		for _, e := range w.Engines {
			crashes += e.Request(a.id).Starts
		}
	}
	if crashes < 3 || crashes > maxCrashes {
		t.Errorf("%d crashes, want 3 to %d", crashes, maxCrashes)
	}
}
