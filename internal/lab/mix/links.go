package mix

import (
	"context"
	"net/url"
	"sync"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/relay"

	"github.com/pkg/errors"
)

// links carry the connections between processes when a fault is to cut or pause them. Each
// pair of hosts has its own.
type links struct {
	mu    sync.Mutex
	pairs map[pair]*relay.Relay
}

// pair names a direction of dialling; to is targetOf(side) for a side's target.
type pair struct{ from, to structs.HostID }

func targetOf(side structs.HostID) structs.HostID { return side + "/target" }

func newLinks() *links { return &links{pairs: make(map[pair]*relay.Relay)} }

func (ls *links) get(p pair, to string) (*relay.Relay, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.pairs[p]; ok {
		return l, nil
	}
	l, err := relay.New(to)
	if err != nil {
		return nil, err
	}
	ls.pairs[p] = l
	return l, nil
}

// targetURL returns the URL under which side reaches its target at base.
func (ls *links) targetURL(side structs.HostID, base string) (string, error) {
	u, err := url.Parse(base)
	if err != nil {
		return "", errors.WithStack(err)
	}
	l, err := ls.get(pair{side, targetOf(side)}, u.Host)
	if err != nil {
		return "", err
	}
	return "http://" + l.Addr(), nil
}

// hostsOf returns the host list as an entry sees it: each side behind its link.
func (ls *links) hostsOf(entry structs.HostID, h platform.HostList) platform.HostList {
	return &linkedHosts{links: ls, entry: entry, next: h}
}

type linkedHosts struct {
	links *links
	entry structs.HostID
	next  platform.HostList
}

// Hosts implements platform.HostList.
func (h *linkedHosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	hosts, err := h.next.Hosts(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]platform.Host, 0, len(hosts))
	for _, host := range hosts {
		l, err := h.links.get(pair{h.entry, host.ID}, host.Addr)
		if err != nil {
			return nil, err
		}
		host.Addr = l.Addr()
		out = append(out, host)
	}
	return out, nil
}

// each calls f for the links that pick picks.
func (ls *links) each(pick func(pair) bool, f func(*relay.Relay)) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for p, l := range ls.pairs {
		if pick(p) {
			f(l)
		}
	}
}

func (ls *links) close() { ls.each(func(pair) bool { return true }, (*relay.Relay).Close) }

// kill breaks all connections and takes no new ones.
func kill(l *relay.Relay) { l.Turn(func(s *relay.State) { *s = relay.State{Dead: true} }) }

// pause stops all bytes; connections stay open.
func pause(l *relay.Relay) { l.Turn(func(s *relay.State) { s.Frozen = true }) }

// resume lets bytes pass again, those that waited first.
func resume(l *relay.Relay) { l.Turn(func(s *relay.State) { s.Frozen = false }) }
