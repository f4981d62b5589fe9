package tcpprobe

import (
	"context"
	"net"
	"testing"

	"arbutusramp/core/platform"
)

func TestProbe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if got := Probe(t.Context(), addr); got != platform.ProbeAccepted {
		t.Errorf("%v while a process listens", got)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if got := Probe(t.Context(), addr); got != platform.ProbeRefused {
		t.Errorf("%v after it has ended", got)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if got := Probe(ended, addr); got != platform.ProbeUnknown {
		t.Errorf("%v without time to find out", got)
	}
}
