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

// largeFleet is a set of running gateways in two domains. Each gateway would have more than maxDirectReceivers
// (40) receivers without hubs, so that hubs distribute the reports. All gateways use one target with one slot.
type largeFleet struct {
	t        *testing.T
	gateways []*Sharer
	views    []*fleetview.View
	cancels  []context.CancelFunc // cancels[i] stops gateway i
	running  sync.WaitGroup       // calls of Run
}

// startLargeFleet starts 86 gateways: those with even indexes in domain d0, those with odd ones in d1.
func startLargeFleet(t *testing.T) *largeFleet {
	const domains, perDomain = 2, 43 // without hubs 43 receivers: 42 in the own domain, 1 in the other
	f := &largeFleet{t: t}
	for i := range domains * perDomain {
		f.add(fmt.Sprintf("d%d", i%domains))
	}
	for i := range f.gateways {
		f.run(i)
	}
	return f
}

// add creates a gateway in a domain, with all gateways added earlier as its peers.
func (f *largeFleet) add(domain string) {
	name := fleet.Peer(fmt.Sprintf("gateway-%d", len(f.gateways)))
	view := fleetview.New(fleet.Options{Self: name, Domain: domain, PeerTTL: PeerTTL})
	view.UpdateTargets([]serving.Target{{ID: "t", Service: "s", Slots: 1}}, nil)
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

// run starts gateway i.
func (f *largeFleet) run(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancels = append(f.cancels, cancel)
	f.running.Go(func() {
		if err := f.gateways[i].Run(ctx); err != nil {
			f.t.Errorf("gateway %d ended with error %v, want none", i, err)
		}
	})
}

// stop stops all gateways and waits until they have ended.
func (f *largeFleet) stop() {
	for _, cancel := range f.cancels {
		cancel()
	}
	f.running.Wait()
}

// awaitPeers waits until the view of gateway i contains exactly count live peers.
func (f *largeFleet) awaitPeers(i, count int) {
	for f.views[i].LivePeerCount() != count {
		time.Sleep(10 * time.Millisecond) // the test's time limit ends the loop
	}
}

// isHub reports whether gateway i selects itself as a hub of its domain.
func (f *largeFleet) isHub(i int) bool {
	s := f.gateways[i]
	s.mu.Lock()
	defer s.mu.Unlock()
	hubs, _ := fanout.Hubs(s.domainMembers(time.Now(), s.domain))
	for _, addr := range hubs {
		if addr == s.Addr() {
			return true
		}
	}
	return false
}

// Guards against gateways of a large fleet that do not receive each other's addresses or loads: at the start,
// when each has only the gateways added before it as peers, and after the loss of a hub.
func TestLargeFleetExchangesLoads(t *testing.T) {
	f := startLargeFleet(t)
	defer f.stop()
	gatewayCount := len(f.gateways)
	for i := range f.gateways {
		f.awaitPeers(i, gatewayCount-1)
	}
	firstIndex, lastIndex := 0, gatewayCount-1
	checkLoadPropagation(t, f, firstIndex)
	hubIndex := 0
	for !f.isHub(hubIndex) {
		hubIndex++
	}
	f.cancels[hubIndex]()
	if hubIndex == firstIndex {
		firstIndex++
	}
	if hubIndex == lastIndex {
		lastIndex--
	}
	f.awaitPeers(lastIndex, gatewayCount-2)
	f.awaitPeers(firstIndex, gatewayCount-2)
	checkLoadPropagation(t, f, firstIndex)
}

// checkLoadPropagation occupies the only slot through the gateway with index holder and releases it. It waits
// each time until two other gateways have received the change: the third-last and the fourth-last, which are in
// different domains.
func checkLoadPropagation(t *testing.T, f *largeFleet, holder int) {
	t.Helper()
	r, ok := f.views[holder].StartOnline(fleet.Work{Service: "s"}, nil)
	if !ok {
		t.Fatal("StartOnline found no target for an online request")
	}
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		awaitFreeSlot(t, f.views[i], false)
	}
	r.Done()
	for _, i := range []int{len(f.views) - 3, len(f.views) - 4} {
		awaitFreeSlot(t, f.views[i], true)
	}
}

// Guards against a gateway of a large fleet that sends its report to others than the two hubs of its domain,
// and against a hub that sends to more than one gateway of each other domain. The 300 peers
// are in three domains, 100 of them in that of s.
func TestLargeFleetLimitsReceivers(t *testing.T) {
	s, _ := newTestSharer(t, "self")
	defer s.conn.Close()
	now := time.Now()
	for i := range 300 {
		s.noteReport(testAddr(i), report{From: fleet.Peer(fmt.Sprint("peer-", i)), Seq: 1, Domain: newDigest(fmt.Sprint("d", i%3))})
	}
	s.domain = newDigest("d0")
	for seq := range uint64(4) {
		receivers := s.selectReceivers(now, seq)
		forwarderCount := 0
		for _, r := range receivers {
			if r.role == roleForward {
				forwarderCount++
			}
		}
		if len(receivers) != 2 || forwarderCount != 1 {
			t.Errorf("%d receivers, of which %d forward the report, want 2 and 1", len(receivers), forwarderCount)
		}
	}
	ownDomainReceivers, otherDomainReceivers := s.hubUpdateReceivers(now)
	if len(ownDomainReceivers) != 100 || len(otherDomainReceivers) != 2 {
		t.Errorf("a hub sends to %d gateways of its domain and %d of other domains, want 100 and 2", len(ownDomainReceivers), len(otherDomainReceivers))
	}
}
