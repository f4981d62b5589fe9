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

// Guards against a gateway that fails to start now and then with "address already in use" when it may listen
// for peers at any free port. The system chooses a port that is free for UDP while another process uses it
// for TCP; with a single attempt the start failed. A port that the settings name is tried once, and a failure
// leaves no socket open.
func TestPeerPortInUseFailsAndIsReleased(t *testing.T) {
	usedPort, err := net.ListenPacket("udp4", ownaddr.New())
	if err != nil {
		t.Fatal(err)
	}
	defer usedPort.Close()
	g := &Gateway{settings: settings.Gateway{PeerAddr: usedPort.LocalAddr().String()}, log: hclog.NewNullLogger(), reg: metrics.NewRegistry()}
	if ln, err := g.listenForPeers("self", g.log); err == nil {
		ln.Close()
		t.Fatal("listening for peers succeeded at a port in use, want an error")
	}
	reopened, err := net.Listen("tcp", g.settings.PeerAddr)
	if err != nil {
		t.Fatalf("the failed start left the TCP port in use: %v", err)
	}
	reopened.Close()
}

// Guards against assuming that a port that is free for UDP is free for TCP: listening there then fails now
// and then with "address already in use". The system gives each outgoing TCP connection a port of the same
// range and reserves it for TCP only. Code that needs one port for both protocols, or needs a port back after
// closing it, must not use that range.
func TestPortFreeForUDPMayBeInUseForTCP(t *testing.T) {
	datagrams := listenPacketOnConnPort(t)
	defer datagrams.Close()
	if ln, err := net.Listen("tcp", datagrams.LocalAddr().String()); !errors.Is(err, syscall.EADDRINUSE) {
		ln.Close()
		t.Errorf("listening for TCP at the port of an outgoing TCP connection: error %v, want EADDRINUSE", err)
	}
}

// listenPacketOnConnPort opens outgoing TCP connections until the port of one is free for UDP, and listens
// there.
func listenPacketOnConnPort(t *testing.T) net.PacketConn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	const tries = 20
	for range tries {
		conn, dialErr := net.Dial("tcp", listener.Addr().String())
		if dialErr != nil {
			t.Fatal(dialErr)
		}
		t.Cleanup(func() { conn.Close() })
		var datagrams net.PacketConn
		if datagrams, err = net.ListenPacket("udp4", conn.LocalAddr().String()); err == nil {
			return datagrams
		}
	}
	t.Fatalf("no port of %d TCP connections is free for UDP: %v", tries, err)
	return nil
}

// Covers many gateways in one process that each find a port that is free for both TCP and UDP.
func TestManyGatewaysFindFreePorts(t *testing.T) {
	const gatewayCount = 50
	for range gatewayCount {
		g := &Gateway{settings: settings.Gateway{PeerAddr: "127.0.0.1:0"}, log: hclog.NewNullLogger(), reg: metrics.NewRegistry()}
		ln, err := g.listenForPeers("self", g.log)
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if g.loadShare.Addr().String() != ln.Addr().String() {
			t.Errorf("peer listener: UDP at %v, TCP at %v; want the same address", g.loadShare.Addr(), ln.Addr())
		}
	}
}
