package origins

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/origin"
	"arbutusramp/core/serving"
)

// delay is how long a datagram is under way.
const delay = time.Millisecond

// network connects registries.
type network struct {
	registries map[netip.AddrPort]*Registry

	mu     sync.Mutex
	lost   int              // number of datagrams that get lost from now on
	dead   []netip.AddrPort // peers that count as live and answer nothing
	unseen []netip.AddrPort // peers that nobody knows yet
}

// set changes the faults of the network.
func (n *network) set(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

// isDelivered reports whether a datagram to a registry arrives.
func (n *network) isDelivered(to netip.AddrPort) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lost > 0 {
		n.lost--
		return false
	}
	return !slices.Contains(n.dead, to)
}

// endpoint is the Transport of one registry.
type endpoint struct {
	net  *network
	addr netip.AddrPort
}

// LivePeers implements Transport.
func (e endpoint) LivePeers() (addrs []netip.AddrPort, isKnown bool) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	for addr := range e.net.registries {
		if addr != e.addr && !slices.Contains(e.net.unseen, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs, true
}

// SendMessage implements Transport.
func (e endpoint) SendMessage(payload []byte, to netip.AddrPort) {
	if !e.net.isDelivered(to) {
		return
	}
	go func() {
		time.Sleep(delay)
		e.net.registries[to].HandleMessage(payload, e.addr)
	}()
}

// withNetwork runs f in virtual time with registries that are connected.
func withNetwork(t *testing.T, count int, f func(net *network, addrs []netip.AddrPort)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		net := &network{registries: make(map[netip.AddrPort]*Registry)}
		var addrs []netip.AddrPort
		for i := range count {
			addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
			r := New(hclog.NewNullLogger(), metrics.NewRegistry())
			r.SetTransport(endpoint{net, addr})
			net.registries[addr] = r
			addrs = append(addrs, addr)
			go func() { _ = r.Run(ctx) }() // returns nil when ctx ends
		}
		f(net, addrs)
		cancel()
		synctest.Wait()
	})
}

var testRecord = origin.Record{Key: 7, Origin: serving.Origin{Service: "llm", Version: "v1"}}

// Guards against a stream whose origin is not found although a peer knows it: at any gateway, while datagrams get lost or
// some of the peers that are asked have stopped.
func TestOriginIsFoundAtAnyGateway(t *testing.T) {
	withNetwork(t, 20, func(net *network, addrs []netip.AddrPort) {
		net.registries[addrs[0]].Announce(testRecord)
		time.Sleep(announceDelay + 2*delay)
		net.set(func() { net.dead = addrs[:1] })
		for _, addr := range addrs[1:] {
			net.set(func() { net.lost = origin.AskedCount }) // the first question to each peer is lost
			o, _, ok := net.registries[addr].Find(context.Background(), testRecord.Key)
			if !ok || o != testRecord.Origin {
				t.Errorf("origin at %s: %+v, %v; want %+v", addr, o, ok, testRecord.Origin)
			}
			net.set(func() { net.lost = 0 })
		}
	})
}

// Guards against a caller that waits for long, or for ever, for an origin that nobody knows: all peers answer at once, or
// some do not answer.
func TestUnknownOriginIsToldInTime(t *testing.T) {
	withNetwork(t, 5, func(net *network, addrs []netip.AddrPort) {
		for _, c := range []struct {
			dead   []netip.AddrPort
			within time.Duration
		}{{nil, 2 * delay}, {addrs[1:], findTimeout}} {
			net.set(func() { net.dead = c.dead })
			began := time.Now()
			_, source, ok := net.registries[addrs[0]].Find(context.Background(), testRecord.Key)
			if took := time.Since(began); ok || source != origin.SourceNone || took > c.within {
				t.Errorf("%d peers are dead: found %v, source %s after %v; want nothing within %v", len(c.dead), ok, source, took, c.within)
			}
		}
	})
}

// Guards against an origin that only its own gateway has, because its peers were not live yet when the stream began, and
// against announcements that are repeated for ever.
func TestRecordsWaitForPeers(t *testing.T) {
	withNetwork(t, 3, func(net *network, addrs []netip.AddrPort) {
		net.set(func() { net.unseen = addrs })
		net.registries[addrs[0]].Announce(testRecord)
		time.Sleep(retryFor / 2)
		net.set(func() { net.unseen = nil })
		time.Sleep(2 * retryInterval)
		for _, addr := range addrs {
			if _, ok := net.registries[addr].get(testRecord.Key); !ok {
				t.Errorf("%s has no record after its peers have become live", addr)
			}
		}
		time.Sleep(retryFor)
		if pending := net.registries[addrs[0]].takePending(); len(pending) != 0 {
			t.Errorf("%d records still wait for peers after %v", len(pending), retryFor)
		}
	})
}

// Guards against an origin that stays certain at some gateways after it has become uncertain at others that are asked.
func TestUncertainOriginIsNotTold(t *testing.T) {
	withNetwork(t, 9, func(net *network, addrs []netip.AddrPort) {
		net.registries[addrs[0]].Announce(testRecord)
		time.Sleep(time.Second)
		net.registries[addrs[0]].Announce(origin.Record{Key: testRecord.Key, IsUncertain: true})
		time.Sleep(time.Second)
		for _, addr := range addrs {
			if _, source, ok := net.registries[addr].Find(context.Background(), testRecord.Key); ok || source != origin.SourceUncertain {
				t.Errorf("%s: found %v, source %s; want an uncertain origin", addr, ok, source)
			}
		}
	})
}
