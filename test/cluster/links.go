package cluster

import (
	"io"
	"net"
	"sync"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Hop is a way from one host to a listener of another.
type Hop struct {
	From, To structs.HostID
	Addr     string
}

// Of picks the hops from or to host.
func Of(host structs.HostID) func(Hop) bool {
	return func(h Hop) bool { return h.From == host || h.To == host }
}

// Between picks the hops between a and b, both ways.
func Between(a, b structs.HostID) func(Hop) bool {
	return func(h Hop) bool { return h.From == a && h.To == b || h.From == b && h.To == a }
}

// Links is a Network of relays that can be reset, cut and frozen. It is safe for
// concurrent use.
type Links struct {
	mu     sync.Mutex
	dead   map[structs.HostID]bool
	links  map[Hop]*link
	last   int
	cuts   map[int]func(Hop) bool
	frozen map[int]func(Hop) bool
}

// NewLinks returns a network without faults.
func NewLinks() *Links {
	return &Links{
		dead:   make(map[structs.HostID]bool),
		links:  make(map[Hop]*link),
		cuts:   make(map[int]func(Hop) bool),
		frozen: make(map[int]func(Hop) bool),
	}
}

// Via implements Network. Error: errs.BadSettings.
func (n *Links) Via(from, to structs.HostID, addr string) (string, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := Hop{from, to, addr}
	l, ok := n.links[h]
	if !ok {
		ln, err := net.Listen("tcp", loopback)
		if err != nil {
			return "", errs.Newf(errs.BadSettings, "relay: %v", err)
		}
		l = &link{ln: ln, to: addr, conns: make(map[net.Conn]struct{})}
		n.links[h] = l
		go l.accept()
	}
	l.gone = false
	n.turnLocked(h, l)
	return l.ln.Addr().String(), nil
}

// Kill implements Network.
func (n *Links) Kill(host structs.HostID) { n.change(func() { n.dead[host] = true }) }

// Revive implements Network.
func (n *Links) Revive(host structs.HostID) { n.change(func() { delete(n.dead, host) }) }

// Ended lets no connection through to the listeners that host had: another program may get their
// ports. They are reached again once Via is asked for them.
func (n *Links) Ended(host structs.HostID) {
	n.change(func() {
		for h, l := range n.links {
			l.gone = l.gone || h.To == host
		}
	})
}

// Cut resets the connections of the hops that pick picks and lets no new ones through until
// the function that it returns is called.
func (n *Links) Cut(pick func(Hop) bool) (mend func()) { return n.add(n.cuts, pick) }

// Freeze holds back every byte of the hops that pick picks; their connections stay open. The
// function that it returns lets the bytes through, those that were held back first.
func (n *Links) Freeze(pick func(Hop) bool) (thaw func()) { return n.add(n.frozen, pick) }

func (n *Links) add(to map[int]func(Hop) bool, pick func(Hop) bool) (undo func()) {
	var id int
	n.change(func() {
		n.last++
		id = n.last
		to[id] = pick
	})
	return func() { n.change(func() { delete(to, id) }) }
}

// Close ends all relays.
func (n *Links) Close() {
	n.change(func() {
		clear(n.cuts)
		clear(n.frozen)
	})
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.ln.Close()
		l.turn(true, false)
	}
}

// change changes what is broken and tells the links.
func (n *Links) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	for h, l := range n.links {
		n.turnLocked(h, l)
	}
}

func (n *Links) turnLocked(h Hop, l *link) {
	dead := l.gone || n.dead[h.From] || n.dead[h.To] || picked(n.cuts, h)
	l.turn(dead, picked(n.frozen, h))
}

func picked(picks map[int]func(Hop) bool, h Hop) bool {
	for _, pick := range picks {
		if pick(h) {
			return true
		}
	}
	return false
}

// link forwards the connections of one hop.
type link struct {
	ln   net.Listener
	to   string
	gone bool // the listener that it leads to has gone with its process; Links.mu guards it

	mu     sync.Mutex
	dead   bool
	frozen chan struct{} // nil, or closed when it thaws
	conns  map[net.Conn]struct{}
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

const copyBytes = 32 << 10

// copy forwards until one of the connections ends. An end in order is passed on behind the bytes
// before it: what a process sent before it closed arrives. Any other end resets both.
func (l *link) copy(to, from net.Conn) {
	buf := make([]byte, copyBytes)
	for {
		n, err := from.Read(buf)
		l.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
				return
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

// keep notes c and says whether the link takes it.
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

func (l *link) turn(dead, frozen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dead = dead
	if dead {
		for c := range l.conns {
			reset(c)
		}
	}
	switch {
	case frozen && l.frozen == nil:
		l.frozen = make(chan struct{})
	case !frozen && l.frozen != nil:
		close(l.frozen)
		l.frozen = nil
	}
}
