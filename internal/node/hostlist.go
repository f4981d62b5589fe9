package node

import (
	"context"
	"sync/atomic"

	"arbutusramp/core/platform"
)

// cachedHostList is a host list that keeps the last list that was read, so that the parts of one process
// share one reader. It is safe for concurrent use.
type cachedHostList struct {
	platform.HostList
	lastRead atomic.Pointer[[]platform.Host]
}

// Hosts implements platform.HostList. A failed read keeps the last list.
func (l *cachedHostList) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := l.HostList.Hosts(ctx)
	if err == nil {
		l.lastRead.Store(&hosts)
	}
	return hosts, err
}

// lastHosts returns the list as last read; nil before the first read.
func (l *cachedHostList) lastHosts() []platform.Host {
	if hosts := l.lastRead.Load(); hosts != nil {
		return *hosts
	}
	return nil
}
