package tcpprobe

import (
	"context"
	"net"
	"testing"
)

func TestIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	if IsRefused(t.Context(), addr) {
		t.Error("refused while a process listens")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !IsRefused(t.Context(), addr) {
		t.Error("not refused after it has ended")
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if IsRefused(ended, addr) {
		t.Error("refused without time to find out")
	}
}
