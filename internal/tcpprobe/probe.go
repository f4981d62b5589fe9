// Package tcpprobe tells whether a host refuses connections to an address. It tells a process that has ended from one that is cut off.
package tcpprobe

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// IsRefused connects to an address (IP:port), sends nothing, and reports whether its host lives and no process listens there.
func IsRefused(ctx context.Context, addr string) bool {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = conn.Close() // nothing was sent on it
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
