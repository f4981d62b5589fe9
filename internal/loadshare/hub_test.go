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

// largeFleet are gateways of several domains that are too many to tell each other all by themselves.
type largeFleet struct {
	t      *testing.T
	shares []*Share
	views  []*fleetview.View
	stops  []context.CancelFunc
	over   sync.WaitGroup
}

func startLargeFleet(t *testing.T) *largeFleet {
	const domains, each = 2, 43 // more than maxDirect receivers for each
	f := &largeFleet{t: t}
	for i := range domains * each {
		f.add(fmt.Sprintf("d%d", i%domains))
	}
	for i := range f.shares {
		f.run(i)
	}
	return f
}

// add makes a gateway that knows the listed ones before it.
func (f *largeFleet) add(domain string) {
	name := fleet.Peer(fmt.Sprintf("gateway-%d", len(f.shares)))
	view := fleetview.New(fleet.Options{Self: name, Domain: domain, PeerTTL: PeerTTL})
	view.Put([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
	o := testOptions(name, view)
	o.Domain = domain
	s, err := New(o)
	if err != nil {
		f.t.Fatal(err)
	}
	for i, other := range f.shares {
		s.AddPeer(other.Addr().String(), fmt.Sprintf("d%d", i%2), 0)
	}
	f.shares, f.views = append(f.shares, s), append(f.views, view)
}

func (f *largeFleet) run(i int) {
	ctx, stop := context.WithCancel(context.Background())
	f.stops = append(f.stops, stop)
	f.over.Go(func() {
		if err := f.shares[i].Run(ctx); err != nil {
			f.t.Errorf("gateway %d: %v", i, err)
		}
	})
}

func (f *largeFleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.over.Wait()
}

// awaitPeers waits until a gateway knows that many others.
func (f *largeFleet) awaitPeers(i, n int) {
	for f.views[i].Peers() != n {
		time.Sleep(10 * time.Millisecond) // the test's own time limit ends this
	}
}

// isHub says whether others have gateway i pass their reports on.
func (f *largeFleet) isHub(i int) bool {
	s := f.shares[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	hubs, _ := fanout.Hubs(s.members(time.Now(), s.domain))
	for _, h := range hubs {
		if h == s.Addr() {
			return true
		}
	}
	return false
}

// Guards against gateways of a large fleet that do not know each other, or each other's loads: at the start, when each knows only those
// listed before it, and once a hub is gone.
func TestGatewaysOfALargeFleetHearOfEachOthersLoads(t *testing.T) {
	f := startLargeFleet(t)
	defer f.stop()
	all := len(f.shares)
	for i := range f.shares {
		f.awaitPeers(i, all-1)
	}
	first, last := 0, all-1
	checkLoads(t, f, first)
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
	checkLoads(t, f, first)
}

// checkLoads has a gateway take the only slot and give it back, and waits until the last one of each domain knows.
func checkLoads(t *testing.T, f *largeFleet, holder int) {
	t.Helper()
	r, ok := f.views[holder].StartOnline("s", nil)
	if !ok {
		t.Fatal("no target")
	}
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		await(t, f.views[i], false)
	}
	r.Done()
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		await(t, f.views[i], true)
	}
}

// Guards against reports whose number grows with the fleet.
func TestAGatewayOfALargeFleetTellsFew(t *testing.T) {
	s, _ := newShare(t, "self")
	defer s.conn.Close()
	now := time.Now()
	for i := range 300 {
		s.heard(addrOf(i), report{From: fleet.Peer(fmt.Sprint("peer-", i)), Seq: 1, Domain: digestOf(fmt.Sprint("d", i%3))})
	}
	s.domain = digestOf("d0")
	for n := range uint64(4) {
		list := s.receivers(now, n)
		passing := 0
		for _, r := range list {
			if r.role == rolePassOn {
				passing++
			}
		}
		if len(list) != 2 || passing != 1 {
			t.Errorf("%d receivers, of which %d pass the report on", len(list), passing)
		}
	}
	inside, across := s.hubReceivers(now)
	if len(inside) != 100 || len(across) != 2 {
		t.Errorf("a hub tells %d gateways of its domain and %d of others", len(inside), len(across))
	}
}
