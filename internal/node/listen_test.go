package node

import (
	"net"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/internal/settings"
	"arbutusramp/standin/ownaddr"
)

// Symptom: a gateway that was to listen for peers at a free port did not start now and then, "address already in use".
// Sequence: the system chooses a port that is free for datagrams; another process has it for connections. Cause: one try. A
// port that the settings name is tried once, and nothing stays open behind a failure.
func TestAPortOfPeersThatIsTakenIsSaidAndLeftFree(t *testing.T) {
	taken, err := net.ListenPacket("udp4", ownaddr.New())
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	g := &Gateway{set: settings.Gateway{PeerAddr: taken.LocalAddr().String()}, log: hclog.NewNullLogger(), reg: metrics.NewRegistry()}
	if on, err := g.hearPeers("self", g.log); err == nil {
		on.Close()
		t.Fatal("a port that is taken was opened")
	}
	again, err := net.Listen("tcp", g.set.PeerAddr)
	if err != nil {
		t.Fatalf("the port is still held: %v", err)
	}
	again.Close()
}

// Symptom: a test that had found a port free for datagrams could not listen for connections there, "address already in use".
// Sequence: the system gives the number to an outgoing connection of somebody else; the test is given it for datagrams; it
// listens for connections at it. Cause: each outgoing connection is handed a port of the same range, for its kind alone. Whoever
// needs one number for both kinds, or a port back after closing it, must not take one from that range.
func TestAPortThatIsFreeForDatagramsMayBeTakenForConnections(t *testing.T) {
	datagrams := datagramsAtAConnectionsPort(t)
	defer datagrams.Close()
	if on, err := net.Listen("tcp", datagrams.LocalAddr().String()); !errors.Is(err, syscall.EADDRINUSE) {
		on.Close()
		t.Errorf("listening at the port of an outgoing connection: %v", err)
	}
}

// datagramsAtAConnectionsPort makes outgoing connections until the port of one is free for datagrams, and takes it.
func datagramsAtAConnectionsPort(t *testing.T) net.PacketConn {
	t.Helper()
	to, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { to.Close() })
	const tries = 20
	for range tries {
		out, dialErr := net.Dial("tcp", to.Addr().String())
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		t.Cleanup(func() { out.Close() })
		var datagrams net.PacketConn
		if datagrams, err = net.ListenPacket("udp4", out.LocalAddr().String()); err == nil {
			return datagrams
		}
	}
	t.Fatalf("no port of %d connections is free for datagrams: %v", tries, err)
	return nil
}

// Many gateways at once find a free port each.
func TestFreePortsAreFound(t *testing.T) {
	const many = 50
	for range many {
		g := &Gateway{set: settings.Gateway{PeerAddr: "127.0.0.1:0"}, log: hclog.NewNullLogger(), reg: metrics.NewRegistry()}
		on, err := g.hearPeers("self", g.log)
		if err != nil {
			t.Fatal(err)
		}
		defer on.Close()
		if g.share.Addr().String() != on.Addr().String() {
			t.Errorf("datagrams at %v, connections at %v", g.share.Addr(), on.Addr())
		}
	}
}
