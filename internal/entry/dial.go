package entry

import (
	"context"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
)

// sessionDialer connects to sides by internal/session.
func sessionDialer(e *Entry) dialFunc {
	options := session.Options{
		Hello: structs.Hello{
			Host:        e.set.Host.ID,
			Domain:      e.set.Host.Domain,
			Region:      e.set.Host.Region,
			Incarnation: e.now().UnixMilli(),
		},
		PeerKeys:   e.secrets.PeerKeys,
		RetiredKey: e.secrets.IsRetiredPeerKey,
		Logger:     e.log,
		Version:    func() structs.Version { return e.config.Current().Version },
	}
	return func(ctx context.Context, addr string, p *pool) (*sideSession, error) {
		h := &sessionHandler{pool: p, opened: make(chan *sideSession, 1)}
		if _, err := session.Dial(ctx, addr, options, h); err != nil {
			e.dialFailed(addr, err)
			return nil, err
		}
		e.refused.Store(false)
		return <-h.opened, nil
	}
}

// dialFailed says so when a side refuses this entry's key: an entry that a rotation has left out
// would else only look as if every side were gone. One line tells of all until a dial works.
func (e *Entry) dialFailed(addr string, err error) {
	if !errs.Is(err, errs.Unauthenticated) {
		return
	}
	e.rec.keyRefusals.Inc(1)
	if !e.refused.Swap(true) {
		e.log.Warn("a side refuses this entry's peer key", "addr", addr, "why", errs.As(err).Detail)
	}
}

// sessionHandler binds one connection to its sideSession.
type sessionHandler struct {
	pool    *pool
	session *sideSession
	opened  chan *sideSession
}

// Opened implements session.Handler.
func (h *sessionHandler) Opened(c *session.Conn) {
	h.session = h.pool.opened(c)
	h.opened <- h.session
}

// Frame implements session.Handler.
func (h *sessionHandler) Frame(_ *session.Conn, f *structs.Frame) { h.session.frame(f) }

// Closed implements session.Handler.
func (h *sessionHandler) Closed(_ *session.Conn, err error) { h.pool.closed(h.session, err) }
