package online_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
	"arbutusramp/test/cluster"
)

// traffic sends streams one after another from several callers until it is stopped.
type traffic struct {
	w       *world
	entries func(caller int) *cluster.Process
	stop    chan struct{}
	g       sync.WaitGroup

	mu      sync.Mutex
	asks    []*ask
	replies []reply
}

const trafficCallers = 16

// startTraffic keeps trafficCallers streams of that many tokens going. entries says
// through which entry a caller goes now.
func (w *world) startTraffic(name string, tokens int, entries func(caller int) *cluster.Process) *traffic {
	tr := &traffic{w: w, entries: entries, stop: make(chan struct{})}
	for i := range trafficCallers {
		tr.g.Go(func() { tr.caller(name, i, tokens) })
	}
	return tr
}

func (tr *traffic) caller(name string, i, tokens int) {
	for n := 0; ; n++ {
		select {
		case <-tr.stop:
			return
		default:
		}
		a := &ask{id: fmt.Sprintf("%s-%d-%d", name, i, n), entry: tr.entries(i), tokens: tokens}
		a.prompt = "case " + a.id
		r := tr.w.sendUntilTaken(a)
		tr.mu.Lock()
		tr.asks, tr.replies = append(tr.asks, a), append(tr.replies, r)
		tr.mu.Unlock()
	}
}

// sendUntilTaken comes back, as a refused caller is told, while the targets that are left are full.
func (w *world) sendUntilTaken(a *ask) reply {
	for {
		r := w.send(w.ctx, a)
		if !refusedForLoad(r) || r.err.Type != errs.Overloaded || w.ctx.Err() != nil {
			return r
		}
		time.Sleep(time.Duration(r.err.RetryAfterMs) * time.Millisecond)
	}
}

// count is how many streams have ended.
func (tr *traffic) count() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.replies)
}

// awaitMore waits until n more streams have ended.
func (tr *traffic) awaitMore(t *testing.T, n int) {
	t.Helper()
	from := tr.count()
	tr.w.await(t, "traffic goes on", func() bool { return tr.count() >= from+n })
}

// starts is how often engines have begun the request.
func (w *world) starts(id string) (n int) {
	for _, e := range w.Engines {
		n += e.Request(id).Starts
	}
	return n
}

// end is endMoved that also fails for a stream whose first run was cut off.
func (tr *traffic) end(t *testing.T) {
	t.Helper()
	tr.endMoved(t)
	for _, a := range tr.asks {
		if n := tr.w.starts(a.id); n != 1 {
			t.Errorf("%s was started %d times: its first run was cut off", a.id, n)
		}
	}
}

// endMoved stops the traffic and fails for each stream that is not whole.
func (tr *traffic) endMoved(t *testing.T) {
	t.Helper()
	close(tr.stop)
	tr.g.Wait()
	for i, r := range tr.replies {
		r.check(t, tr.asks[i])
		if !r.whole {
			t.Errorf("%s: %v", tr.asks[i].id, r)
		}
	}
	t.Logf("%d streams", len(tr.replies))
}

// anyEntry spreads callers over all entries.
func (w *world) anyEntry(caller int) *cluster.Process { return w.Entries[caller%len(w.Entries)] }

func ready(p *cluster.Process) bool {
	addr := ""
	if p.Entry != nil {
		addr = p.Entry.StatusAddr()
	} else {
		addr = p.Side.StatusAddr()
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := newHTTP().Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startStopped starts a cluster whose host list lags far behind.
func startStopped(t *testing.T, lag time.Duration) *world {
	t.Helper()
	return startWorld(t, cluster.Options{
		Domains: 2, Entries: 2, Engines: 3, HostListLag: lag,
		EntrySettings: func(s *settings.Entry) { s.RetryShare = 1 },
	})
}

const longLag = 10 * time.Second

func arrivals(w *world, engine int) int64 { return w.Engines[engine].Stats(false).Arrivals.Total }

// Symptom: the restart of a side cuts off answers, or its target gets work until the platform takes it away.
// Events: a side is stopped as planned among 16 callers with streams of 300 tokens; the host list shows it as
// live for 10 s more.
// Cause: entries that learn of leaving targets from the host list only.
func TestPlannedStopOfASideCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := startStopped(t, longLag)
	tr := w.startTraffic("side-stop", 300, w.anyEntry)
	w.await(t, "streams run at the side", func() bool { return gauge(w.EngineSides[0], "side.online_in_flight") > 2 })
	w.EngineSides[0].Stop()
	w.await(t, "the side drains", func() bool { return !ready(w.EngineSides[0]) })
	tr.awaitMore(t, trafficCallers) // what the side had let through before is at the engine by now
	had := arrivals(w, 0)
	tr.awaitMore(t, 2*trafficCallers)
	if got := arrivals(w, 0); got != had {
		t.Errorf("the leaving target got %d requests more", got-had)
	}
	tr.end(t)
	if err := w.EngineSides[0].Wait(); err != nil {
		t.Error(err)
	}
}

// Symptom: the restart of an entry cuts off answers.
// Events: an entry is stopped as planned among callers with streams of 1000 tokens, longer than its grace. The balancer before it
// sends new requests until it sees that the entry is not ready, and to the other entry from then on.
// Cause: an entry that closes its listener or its sessions before its last answer is out.
func TestPlannedStopOfAnEntryCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := startStopped(t, 0)
	balancer := func(caller int) *cluster.Process {
		if e := w.anyEntry(caller); ready(e) {
			return e
		}
		return w.Entries[1]
	}
	tr := w.startTraffic("entry-stop", 1000, balancer)
	w.await(t, "streams run through the entry", func() bool { return counter(w.Entries[0], "entry.requests") >= trafficCallers/2 })
	w.Entries[0].Stop()
	w.await(t, "the entry has ended", func() bool {
		select {
		case <-w.Entries[0].Done():
			return true
		default:
			return false
		}
	})
	if err := w.Entries[0].Wait(); err != nil {
		t.Error(err)
	}
	tr.awaitMore(t, trafficCallers)
	tr.end(t)
}

// Symptom: an engine that the platform takes away loses answers.
// Events: the host list shows the host as leaving; once the entries have read that, nothing new reaches
// the engine, what it has ends, and engine and side go.
// Cause: an entry that drops the session of a leaving host, or goes on sending to it.
func TestPlannedStopOfATargetCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := startStopped(t, 0)
	tr := w.startTraffic("target-stop", 300, w.anyEntry)
	w.await(t, "streams run at the engine", func() bool { return w.Engines[0].Stats(false).Running > 2 })
	if err := w.Leaving(w.EngineSides[0]); err != nil {
		t.Fatal(err)
	}
	w.await(t, "the engine has ended what it had", func() bool {
		s := w.Engines[0].Stats(false)
		return s.Running+s.Waiting == 0
	})
	had := arrivals(w, 0)
	tr.awaitMore(t, 2*trafficCallers)
	if got := arrivals(w, 0); got != had {
		t.Errorf("the leaving target got %d requests more", got-had)
	}
	w.EngineSides[0].Stop()
	if err := w.EngineSides[0].Wait(); err != nil {
		t.Error(err)
	}
	if err := w.Engines[0].Close(); err != nil {
		t.Error(err)
	}
	tr.awaitMore(t, trafficCallers)
	tr.end(t)
}

// Symptom: a rolling restart of the system is an outage.
// Events: every side and every entry is stopped as planned and replaced, one after another,
// under callers with streams of 300 tokens.
// Cause: any of the above, or a replacement that is not found at its new address.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	t.Parallel()
	w := startStopped(t, 0)
	var mu sync.Mutex
	out := -1 // index of the entry that the balancer leaves out
	balancer := func(caller int) *cluster.Process {
		mu.Lock()
		defer mu.Unlock()
		i := caller % len(w.Entries)
		if i == out {
			i = (i + 1) % len(w.Entries)
		}
		return w.Entries[i]
	}
	tr := w.startTraffic("rolling", 100, balancer)
	restart := func(p *cluster.Process) {
		p.Stop()
		if err := p.Wait(); err != nil {
			t.Error(err)
		}
		if err := p.Replace(false); err != nil {
			t.Fatal(err)
		}
		if err := w.Await(w.ctx); err != nil {
			t.Fatal(err)
		}
		tr.awaitMore(t, trafficCallers)
	}
	for _, p := range w.EngineSides {
		restart(p)
	}
	for i, p := range w.Entries {
		mu.Lock()
		out = i
		mu.Unlock()
		restart(p)
		mu.Lock()
		out = -1
		mu.Unlock()
	}
	tr.end(t)
}
