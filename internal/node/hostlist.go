package node

import (
	"context"
	"sync/atomic"

	"arbutusramp/core/platform"
)

// cachedHostList wraps a platform.HostList and keeps the hosts that were read last, so that one part of a process
// reads the list and the others use its result. It is safe for concurrent use.
type cachedHostList struct {
	platform.HostList
	lastRead atomic.Pointer[[]platform.Host]
}

// Hosts implements platform.HostList. A failed read does not change what lastHosts returns.
func (l *cachedHostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := l.HostList.Hosts(ctx)
	if err == nil {
		l.lastRead.Store(&hosts)
	}
	return hosts, err
}

// lastHosts returns the hosts of the last successful read; nil before it.
func (l *cachedHostList) lastHosts() []platform.Host {
	if hosts := l.lastRead.Load(); hosts != nil {
		return *hosts
	}
	return nil
}
