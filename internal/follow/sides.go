package follow

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/relay"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// announceAfter is how long an entry that is not an owner of a side waits before
// it announces a new version: by then the owners have sent the records.
const announceAfter = time.Second

// sendFunc sends a frame to a side; it does not block.
type sendFunc = func(*structs.Frame) error

// sides are those with a session to this entry.
type sides struct {
	mu   sync.Mutex
	open map[structs.HostID]*pushed
}

// pushed is what a side was sent.
type pushed struct {
	send sendFunc
	// sent is the version up to which the side was sent records or an announcement.
	sent structs.Version
	// since is when the side was first found behind.
	since time.Time
}

// SideOpened gives side the configuration from now on, over its session.
func (f *Follower) SideOpened(side structs.HostID, send sendFunc) {
	f.sides.mu.Lock()
	if f.sides.open == nil {
		f.sides.open = make(map[structs.HostID]*pushed)
	}
	v := f.Current().Version
	f.sides.open[side] = &pushed{send: send, sent: v}
	f.sides.mu.Unlock()
	f.sendTo(side, send, announcement(v))
}

// SideClosed ends what SideOpened began.
func (f *Follower) SideClosed(side structs.HostID) {
	f.sides.mu.Lock()
	defer f.sides.mu.Unlock()
	delete(f.sides.open, side)
}

// OnConfig answers a side that asks for what it lacks.
func (f *Follower) OnConfig(side structs.HostID, send sendFunc, m *structs.ConfigMsg) {
	if !m.Ask {
		return
	}
	f.Hint(m.From)
	answer, _, err := f.answerNow(m.From)
	if err != nil {
		f.log.Error("configuration for a side", "side", side, "error", err)
		return
	}
	if answer.To > m.From {
		f.sendTo(side, send, answer)
	}
}

func (f *Follower) sendTo(side structs.HostID, send sendFunc, m *structs.ConfigMsg) {
	m.AgeMs = 0 // sides don't relay
	frame := &structs.Frame{Version: m.To, Config: m}
	if err := send(frame); err != nil {
		f.log.Debug("configuration not sent", "side", side, "error", err)
	}
}

// announcement says no more than that version v exists.
func announcement(v structs.Version) *structs.ConfigMsg {
	return &structs.ConfigMsg{From: v, To: v}
}

// push sends each side what is new. A side that misses it asks.
func (f *Follower) push(ctx context.Context) {
	again := sleep.NewTimer(announceAfter)
	defer again.Stop()
	for {
		s, changed := f.Watch()
		f.pushAll(s.Version)
		select {
		case <-changed:
		case <-again.C:
			again.Reset(announceAfter)
		case <-ctx.Done():
			return
		}
	}
}

func (f *Follower) pushAll(v structs.Version) {
	f.sides.mu.Lock()
	defer f.sides.mu.Unlock()
	for id, p := range f.sides.open {
		if p.sent >= v {
			continue
		}
		if f.owns(id) {
			f.pushRecords(id, p)
			continue
		}
		if p.since.IsZero() {
			p.since = f.now()
		}
		if f.now().Sub(p.since) >= announceAfter {
			f.sendTo(id, p.send, announcement(v))
			p.sent = v
			p.since = time.Time{}
		}
	}
}

// owns reports whether this entry sends the records to side.
func (f *Follower) owns(side structs.HostID) bool {
	return relay.Has(f.self, f.opts.Members(), string(side), relay.PushOwners)
}

func (f *Follower) pushRecords(id structs.HostID, p *pushed) {
	m, _, err := f.answerNow(p.sent)
	if err != nil {
		f.log.Error("configuration for a side", "side", id, "error", err)
		return
	}
	f.sendTo(id, p.send, m)
	p.sent = m.To
	p.since = time.Time{}
}
