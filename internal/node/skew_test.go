package node

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"arbutusramp/internal/settings"
	"arbutusramp/platform/wiretest"
)

// isSkewLoadRun enables TestOneGatewayGetsMostNewConnectionsUnderLoad, whose result depends on the speed of the machine.
// core/fleet checks the same decisions with a simulated clock.
var isSkewLoadRun = flag.Bool("skew.load", false, "run the load of which most comes to one gateway through sockets")

// newSkewSystem returns a system of gateways before two targets that work on 8 calls of 100 ms at once, 160 a second.
func newSkewSystem(t *testing.T, gateways int) *system {
	s := newSystemWithoutTargets(t, wiretest.Routes)
	s.changeSettings = func(g *settings.Gateway) { g.ExpectedTime = "on" }
	for i := range 2 {
		s.startSlottedTarget(fmt.Sprintf("i-%d", i))
	}
	s.startGateways(gateways)
	return s
}

// Guards against a gateway that does not take the connections of nearly all callers.
func TestOneGatewayGetsMostNewConnections(t *testing.T) {
	const callers = 300
	s := newSkewSystem(t, 3)
	defer s.stopAll()
	var calls sync.WaitGroup
	var mu sync.Mutex
	unread := 0
	for i := range callers {
		calls.Go(func() {
			caller := wiretest.NewCaller(callTimeout, 0) // each request on a new connection
			status, _ := caller.Send(s.gateways[0].CallerAddr(), http.MethodPost, "/call/x", fmt.Sprint("c-", i), "x")
			mu.Lock()
			defer mu.Unlock()
			if status == 0 {
				unread++
			}
		})
	}
	calls.Wait()
	if unread > 0 {
		t.Errorf("%d of %d requests on new connections got no answer", unread, callers)
	}
}

// Guards against a gateway that rejects first attempts because nearly all callers come to it.
func TestOneGatewayGetsMostNewConnectionsUnderLoad(t *testing.T) {
	if !*isSkewLoadRun {
		t.Skip("run by hand with -skew.load")
	}
	const (
		gateways = 6
		phase    = 6 * time.Second
		rate     = 168.0 // calls per second, 1.05 of the capacity
		minShare = 0.75  // of the first attempts that were served before
	)
	s := newSkewSystem(t, gateways)
	defer s.stopAll()
	rng := rand.New(rand.NewPCG(1, 1))
	var calls sync.WaitGroup
	var mu sync.Mutex
	var sent, served [2]int
	began := time.Now()
	for n, next := 0, began; next.Sub(began) < 2*phase; n++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		half := min(1, int(next.Sub(began)/phase))
		i := rng.IntN(gateways)
		if half == 1 && rng.Float64() < 0.95 {
			i = 0
		}
		calls.Go(func() {
			caller := wiretest.NewCaller(callTimeout, 0)
			status, _ := caller.Send(s.gateways[i].CallerAddr(), http.MethodPost, "/call/x", fmt.Sprint("c-", n), "x")
			mu.Lock()
			sent[half]++
			if status == http.StatusOK {
				served[half]++
			}
			mu.Unlock()
			if status == http.StatusServiceUnavailable {
				time.Sleep(300 * time.Millisecond)
				retry := wiretest.NewCaller(callTimeout, 0).WithTimeout(callTimeout - time.Second)
				retry.Send(s.gateways[(i+1+n%(gateways-1))%gateways].CallerAddr(), http.MethodPost, "/call/x", fmt.Sprint("r-", n), "x")
			}
		})
	}
	calls.Wait()
	before, after := float64(served[0])/float64(sent[0]), float64(served[1])/float64(sent[1])
	t.Logf("%.3f of %d first attempts served before, %.3f of %d while nearly all come to one gateway", before, sent[0], after, sent[1])
	if after < minShare*before {
		t.Errorf("%.3f of the first attempts are served while nearly all come to one gateway, %.3f before; want at least three quarters", after, before)
	}
}
