// Package tcpprobe tells whether a process listens at an address. It tells a process that has ended from one whose connection was
// lost.
package tcpprobe

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
)

// Probe connects to an address (IP:port) and sends nothing.
func Probe(ctx context.Context, addr string) platform.ProbeResult {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent on it
		return platform.ProbeAccepted
	case errors.Is(err, syscall.ECONNREFUSED):
		return platform.ProbeRefused
	}
	return platform.ProbeUnknown
}
