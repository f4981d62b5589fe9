package online_test

import (
	"net"
	"sync"

	"arbutusramp/core/structs"
)

// network carries the cluster's connections over links that can be reset and frozen.
type network struct {
	mu    sync.Mutex
	dead  map[structs.HostID]bool
	links map[hop]*link
}

// hop is a way from one host to a listener of another.
type hop struct {
	from, to structs.HostID
	addr     string
}

func newNetwork() *network {
	return &network{dead: make(map[structs.HostID]bool), links: make(map[hop]*link)}
}

// Via implements cluster.Network.
func (n *network) Via(from, to structs.HostID, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := hop{from, to, addr}
	l, ok := n.links[h]
	if !ok {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		l = newLink(ln, addr)
		n.links[h] = l
		l.setDead(n.dead[from] || n.dead[to])
		go l.accept()
	}
	return l.ln.Addr().String(), nil
}

// Kill implements cluster.Network.
func (n *network) Kill(host structs.HostID) { n.setDead(host, true) }

// Revive implements cluster.Network.
func (n *network) Revive(host structs.HostID) { n.setDead(host, false) }

func (n *network) setDead(host structs.HostID, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = dead
	for h, l := range n.links {
		if h.from == host || h.to == host {
			l.setDead(n.dead[h.from] || n.dead[h.to])
		}
	}
}

// freeze holds back every byte of the hops that pick picks; their connections stay open.
func (n *network) freeze(pick func(hop) bool) { n.each(pick, (*link).freeze) }

// thaw lets the bytes through, those that were held back first.
func (n *network) thaw(pick func(hop) bool) { n.each(pick, (*link).thaw) }

func (n *network) each(pick func(hop) bool, f func(*link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for h, l := range n.links {
		if pick(h) {
			f(l)
		}
	}
}

func (n *network) close() {
	n.each(anyHop, (*link).thaw)
	n.each(anyHop, func(l *link) { l.ln.Close() })
}

func anyHop(hop) bool { return true }

// of picks the hops from or to host.
func of(host structs.HostID) func(hop) bool {
	return func(h hop) bool { return h.from == host || h.to == host }
}

// link forwards the connections of one hop.
type link struct {
	ln net.Listener
	to string

	mu     sync.Mutex
	dead   bool
	frozen chan struct{} // nil, or closed by thaw
	conns  map[net.Conn]struct{}
}

func newLink(ln net.Listener, to string) *link {
	return &link{ln: ln, to: to, conns: make(map[net.Conn]struct{})}
}

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
	defer l.drop(in)
	if !l.keep(in) {
		return
	}
	l.wait()
	out, err := net.Dial("tcp", l.to)
	if err != nil {
		return
	}
	defer l.drop(out)
	if !l.keep(out) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.copy(out, in) })
	both.Go(func() { l.copy(in, out) })
	both.Wait()
}

// copy forwards until one of the connections ends, then resets both.
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
			l.drop(to)
			l.drop(from)
			return
		}
	}
}

func (l *link) wait() {
	l.mu.Lock()
	frozen := l.frozen
	l.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
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

func (l *link) drop(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	reset(c)
}

// reset closes c as the loss of its host does: unread bytes are thrown away.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (l *link) setDead(dead bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = dead
	if !dead {
		return
	}
	for c := range l.conns {
		reset(c)
	}
}

func (l *link) freeze() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen == nil {
		l.frozen = make(chan struct{})
	}
}

func (l *link) thaw() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen != nil {
		close(l.frozen)
		l.frozen = nil
	}
}
