package batch

import (
	"slices"
	"sync"

	"arbutusramp/core/structs"
)

// Send passes a frame to a side without blocking.
type Send = func(*structs.Frame) error

// sideTable keeps the sides with a session to this entry and the room that their
// targets have offered.
type sideTable struct {
	mu    sync.Mutex
	sends map[structs.HostID]Send
	pulls map[structs.TargetID]*pull
	next  int // where the next round over pulls starts
}

// pull is the newest offer of a target.
type pull struct {
	side structs.HostID
	send Send
	structs.Pull
}

func (t *sideTable) init() {
	t.sends = make(map[structs.HostID]Send)
	t.pulls = make(map[structs.TargetID]*pull)
}

func (t *sideTable) open(side structs.HostID, send Send) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends[side] = send
}

func (t *sideTable) close(side structs.HostID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sends, side)
	for id, p := range t.pulls {
		if p.side == side {
			delete(t.pulls, id)
		}
	}
}

// send passes f to side and says whether it has a session.
func (t *sideTable) send(side structs.HostID, f *structs.Frame) bool {
	t.mu.Lock()
	send := t.sends[side]
	t.mu.Unlock()
	return send != nil && send(f) == nil
}

// sendAll passes f to every side with a session.
func (t *sideTable) sendAll(f *structs.Frame) {
	t.mu.Lock()
	sends := make([]Send, 0, len(t.sends))
	for _, send := range t.sends {
		sends = append(sends, send)
	}
	t.mu.Unlock()
	for _, send := range sends {
		_ = send(f)
	}
}

func (t *sideTable) isOpen(side structs.HostID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sends[side] != nil
}

func (t *sideTable) offer(side structs.HostID, send Send, p *structs.Pull) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sends[side] = send
	if p.Room <= 0 {
		delete(t.pulls, p.Target)
		return
	}
	t.pulls[p.Target] = &pull{side: side, send: send, Pull: *p}
}

// withRoom returns copies of the offers, in an order that rotates from call to call.
func (t *sideTable) withRoom() []pull {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]pull, 0, len(t.pulls))
	for _, p := range t.pulls {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b pull) int {
		if a.Target < b.Target {
			return -1
		}
		return 1
	})
	if len(out) > 1 {
		t.next = (t.next + 1) % len(out)
		out = append(out[t.next:], out[:t.next]...)
	}
	return out
}

// used takes n off the room of target.
func (t *sideTable) used(target structs.TargetID, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pulls[target]
	if p == nil {
		return
	}
	if p.Room -= n; p.Room <= 0 {
		delete(t.pulls, target)
	}
}

// SideOpened notes that side has a session with this entry.
func (m *Manager) SideOpened(side structs.HostID, send Send) {
	m.sides.open(side, send)
	for _, s := range m.owned() {
		s.mu.Lock()
		s.stopRecent(func(f *structs.Frame) { _ = send(f) })
		s.mu.Unlock()
	}
}

// SideClosed notes that the session of side has ended: its items are handed out
// again unless it comes back and reports.
func (m *Manager) SideClosed(side structs.HostID) {
	m.sides.close(side)
	now := m.now()
	for _, s := range m.owned() {
		s.mu.Lock()
		if s.sched != nil {
			s.sched.SideGone(now, side, m.tune.SideGrace)
		}
		s.mu.Unlock()
	}
}

// OnPull notes that a target of side has room.
func (m *Manager) OnPull(side structs.HostID, send Send, p *structs.Pull) {
	m.sides.offer(side, send, p)
	m.wakeDispatch()
}

func (m *Manager) wakeDispatch() {
	select {
	case m.dispatchCh <- struct{}{}:
	default:
	}
}
