package mix

import (
	"context"
	"io"
	"net"
	"net/url"
	"sync"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"

	"github.com/pkg/errors"
)

// links carry the connections between processes when a fault is to cut or pause them. Each
// pair of hosts has its own.
type links struct {
	mu    sync.Mutex
	pairs map[pair]*link
}

// pair names a direction of dialling; to is targetOf(side) for a side's target.
type pair struct{ from, to structs.HostID }

func targetOf(side structs.HostID) structs.HostID { return side + "/target" }

func newLinks() *links { return &links{pairs: make(map[pair]*link)} }

// link forwards TCP connections from its listener to one address.
type link struct {
	to string
	ln net.Listener

	mu    sync.Mutex
	open  chan struct{} // closed while bytes may pass
	dead  bool
	conns map[net.Conn]struct{}
}

func (ls *links) get(p pair, to string) (*link, error) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if l, ok := ls.pairs[p]; ok {
		return l, nil
	}
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	l := &link{to: to, ln: ln, open: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	close(l.open)
	ls.pairs[p] = l
	go l.accept()
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
	return "http://" + l.ln.Addr().String(), nil
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
		host.Addr = l.ln.Addr().String()
		out = append(out, host)
	}
	return out, nil
}

// each calls f for the links that pick picks.
func (ls *links) each(pick func(pair) bool, f func(*link)) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for p, l := range ls.pairs {
		if pick(p) {
			f(l)
		}
	}
}

func (ls *links) close() { ls.each(func(pair) bool { return true }, (*link).close) }

func (l *link) accept() {
	for {
		in, err := l.ln.Accept()
		if err != nil {
			return
		}
		go l.serve(in)
	}
}

func (l *link) serve(in net.Conn) {
	defer in.Close()
	l.wait()
	if !l.keep(in) {
		return
	}
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		l.drop(in)
		return
	}
	if !l.keep(out) {
		out.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(in, out) })
	wg.Go(func() { l.copy(out, in) })
	wg.Wait()
	l.drop(in)
	l.drop(out)
}

// copy passes bytes on while the link is open and ends both connections with the first.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	to.Close()
	from.Close()
}

// wait returns when bytes may pass.
func (l *link) wait() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

func (l *link) keep(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dead {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

func (l *link) drop(c io.Closer) {
	c.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := c.(net.Conn); ok {
		delete(l.conns, conn)
	}
}

// pause stops all bytes; connections stay open.
func (l *link) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
		l.open = make(chan struct{})
	default:
	}
}

// resume lets bytes pass again, those that waited first.
func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.open:
	default:
		close(l.open)
	}
}

// kill breaks all connections and takes no new ones.
func (l *link) kill() {
	l.mu.Lock()
	l.dead = true
	for c := range l.conns {
		c.Close()
	}
	l.mu.Unlock()
	l.resume()
}

func (l *link) close() {
	l.ln.Close()
	l.kill()
}
