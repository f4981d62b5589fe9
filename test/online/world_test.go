// Package online_test shows what online callers are promised, under failure, with real
// entries and sides over sockets.
package online_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/test/cluster"
	"github.com/hashicorp/go-hclog"
)

// hangGuard bounds each test against hanging; nothing is asserted about time.
const hangGuard = 90 * time.Second

// world is a cluster with the network between its processes.
type world struct {
	*cluster.Cluster
	net  breakable
	http *http.Client
	ctx  context.Context
}

// startWorld starts a cluster and waits until it serves.
func startWorld(t *testing.T, o cluster.Options) *world {
	t.Helper()
	return startWorldOver(t, o, newNetwork())
}

// breakable is a network that a test can also freeze and close.
type breakable interface {
	cluster.Network
	freeze(pick func(hop) bool)
	thaw(pick func(hop) bool)
	close()
}

// slots bound how many clusters run at a time, so that parallel tests don't starve each other.
var slots = make(chan struct{}, 4)

func startWorldOver(t *testing.T, o cluster.Options, n breakable) *world {
	t.Helper()
	return startWorldFor(t, o, n, hangGuard)
}

func startWorldFor(t *testing.T, o cluster.Options, n breakable, guard time.Duration) *world {
	t.Helper()
	slots <- struct{}{}
	t.Cleanup(func() { <-slots })
	ctx, cancel := context.WithTimeout(context.Background(), guard)
	t.Cleanup(cancel)
	w := &world{net: n, http: newHTTP(), ctx: ctx}
	o.Network = n
	if testing.Verbose() {
		o.Logger = hclog.New(&hclog.LoggerOptions{Level: hclog.Warn})
	}
	var err error
	if w.Cluster, err = cluster.Start(o); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		w.net.thaw(anyHop)
		if err := w.Close(); err != nil {
			t.Error(err)
		}
		w.net.close()
	})
	if err := w.Await(ctx); err != nil {
		t.Fatal(err)
	}
	return w
}

// await polls until cond holds.
func (w *world) await(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for !cond() {
		if w.ctx.Err() != nil {
			t.Fatalf("waited in vain until %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// asks returns n requests over all entries in turn, each with a prompt of its own.
func (w *world) asks(name string, n, tokens int) []*ask {
	all := make([]*ask, n)
	for i := range all {
		id := fmt.Sprintf("%s-%d", name, i)
		all[i] = &ask{id: id, entry: w.Entries[i%len(w.Entries)], tokens: tokens, prompt: "case " + id}
	}
	return all
}

// sendAll sends asks at once and returns their replies when all have ended.
func (w *world) sendAll(asks []*ask) []reply {
	replies := make([]reply, len(asks))
	var g sync.WaitGroup
	for i, a := range asks {
		g.Go(func() { replies[i] = w.send(w.ctx, a) })
	}
	g.Wait()
	return replies
}

// background sends asks and returns what waits for the replies.
func (w *world) background(asks []*ask) func() []reply {
	done := make(chan []reply, 1)
	go func() { done <- w.sendAll(asks) }()
	return func() []reply { return <-done }
}

// ran is how often the engines have got or begun the request.
func (w *world) ran(id string) int {
	n := 0
	for _, e := range w.Engines {
		r := e.Request(id)
		n += max(r.Arrivals, r.Starts)
	}
	return n
}

// checkNotRun fails for a reply that says "not run" although a target had the request.
func (w *world) checkNotRun(t *testing.T, a *ask, r reply) {
	t.Helper()
	if r.err != nil && r.err.Ran == errs.RanNo && w.ran(a.id) > 0 {
		t.Errorf("%s was told %q and ran: %v", a.id, errs.RanNo, r)
	}
}
