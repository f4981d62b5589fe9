package node

import (
	"context"
	"sync/atomic"

	"arbutusramp/core/platform"
)

// members is a host list that keeps what it read last, so that the parts of one process share one
// reader.
type members struct {
	platform.HostList
	last atomic.Pointer[[]platform.Host]
}

// Hosts implements platform.HostList.
func (m *members) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := m.HostList.Hosts(ctx)
	if err == nil {
		m.last.Store(&hosts)
	}
	return hosts, err
}

// known returns the list as last read; nil before.
func (m *members) known() []platform.Host {
	if hosts := m.last.Load(); hosts != nil {
		return *hosts
	}
	return nil
}
