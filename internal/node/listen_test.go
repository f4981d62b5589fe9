package node

import (
	"net"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/internal/settings"
)

// Symptom: a gateway that was to listen for peers at a free port did not start now and then, "address already in use".
// Sequence: the system chooses a port that is free for datagrams; another process has it for connections. Cause: one try. A
// port that the settings name is tried once, and nothing stays open behind a failure.
func TestAPortOfPeersThatIsTakenIsSaidAndLeftFree(t *testing.T) {
	taken, err := net.ListenPacket("udp4", "127.0.0.1:0")
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
