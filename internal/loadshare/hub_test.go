package loadshare

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/internal/fleetview"
)

// largeFleet is a set of gateways in several domains, with more receivers than a gateway sends to directly.
type largeFleet struct {
	t        *testing.T
	gateways []*Share
	views    []*fleetview.View
	stops    []context.CancelFunc
	running  sync.WaitGroup
}

func startLargeFleet(t *testing.T) *largeFleet {
	const domains, each = 2, 43 // more than maxDirectReceivers receivers for each
	f := &largeFleet{t: t}
	for i := range domains * each {
		f.add(fmt.Sprintf("d%d", i%domains))
	}
	for i := range f.gateways {
		f.run(i)
	}
	return f
}

// add creates a gateway that has the gateways before it in its list.
func (f *largeFleet) add(domain string) {
	name := fleet.Peer(fmt.Sprintf("gateway-%d", len(f.gateways)))
	view := fleetview.New(fleet.Options{Self: name, Domain: domain, PeerTTL: PeerTTL})
	view.Put([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	o := testOptions(name, view)
	o.Domain = domain
	s, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	for i, other := range f.gateways {
		s.AddPeer(other.Addr().String(), fmt.Sprintf("d%d", i%2), 0)
	}
	f.gateways, f.views = append(f.gateways, s), append(f.views, view)
}

func (f *largeFleet) run(i int) {
	ctx, stop := context.WithCancel(context.Background())
	f.stops = append(f.stops, stop)
	f.running.Go(func() {
		if err := f.gateways[i].Run(ctx); err != nil {
			f.t.Errorf("gateway %d: %v", i, err)
		}
	})
}

func (f *largeFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.running.Wait()
}

// awaitPeers waits until gateway i has exactly n peers.
func (f *largeFleet) awaitPeers(i, n int) {
	for f.views[i].Peers() != n {
		time.Sleep(10 * time.Millisecond) // the test's time limit ends the loop
	}
}

// isHub reports whether gateway i is a hub of its domain.
func (f *largeFleet) isHub(i int) bool {
	s := f.gateways[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	hubs, _ := fanout.Hubs(s.domainMembers(time.Now(), s.domain))
	for _, h := range hubs {
		if h == s.Addr() {
			return true
		}
	}
	return false
}

// Guards against gateways of a large fleet that do not learn of each other or of each other's loads: at the
// start, when each has only the gateways listed before it, and after the loss of a hub.
func TestLargeFleetExchangesLoads(t *testing.T) {
	f := startLargeFleet(t)
	defer f.stop()
	all := len(f.gateways)
	for i := range f.gateways {
		f.awaitPeers(i, all-1)
	}
	first, last := 0, all-1
	checkLoadPropagation(t, f, first)
	hub := 0
	for !f.isHub(hub) {
		hub++
	}
	f.stops[hub]()
	if hub == first {
		first++
	}
	if hub == last {
		last--
	}
	f.awaitPeers(last, all-2)
	f.awaitPeers(first, all-2)
	checkLoadPropagation(t, f, first)
}

// checkLoadPropagation takes the only slot at a gateway and releases it, and waits each time until a late
// gateway of each domain has received the change.
func checkLoadPropagation(t *testing.T, f *largeFleet, holder int) {
	t.Helper()
	r, ok := f.views[holder].StartOnline("s", nil)
	if !ok {
		t.Fatal("no target")
	}
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		awaitRoom(t, f.views[i], false)
	}
	r.Done()
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		awaitRoom(t, f.views[i], true)
	}
}

// Guards against a number of receivers that grows with the fleet.
func TestLargeFleetLimitsReceivers(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	now := time.Now()
	for i := range 300 {
		s.noteReport(testAddr(i), report{From: fleet.Peer(fmt.Sprint("peer-", i)), Seq: 1, Domain: newDigest(fmt.Sprint("d", i%3))})
	}
	s.domain = newDigest("d0")
	for n := range uint64(4) {
		list := s.selectReceivers(now, n)
		forwarding := 0
		for _, r := range list {
			if r.role == roleForward {
				forwarding++
			}
		}
		if len(list) != 2 || forwarding != 1 {
			t.Errorf("%d receivers, of which %d forward the report", len(list), forwarding)
		}
	}
	inDomain, otherDomains := s.hubUpdateReceivers(now)
	if len(inDomain) != 100 || len(otherDomains) != 2 {
		t.Errorf("a hub sends to %d gateways of its domain and %d of other domains", len(inDomain), len(otherDomains))
	}
}
