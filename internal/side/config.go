package side

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// ConfigPort folds configuration messages.
type ConfigPort interface {
	// Apply folds m and returns the newest state. An error means that m does
	// not follow on what was folded; the caller asks for what is missing.
	Apply(m *structs.ConfigMsg) (*confstate.State, error)
}

// configuration is the newest state that the side has seen.
type configuration struct {
	port  ConfigPort // nil: settings only
	log   hclog.Logger
	apply func(*confstate.State) // carries out a new state

	mu      sync.Mutex      // one fold at a time
	wanted  structs.Version // the highest that any entry has announced
	asked   structs.Version // the one wanted when it was asked for last
	askedAt time.Time
	current atomic.Pointer[confstate.State]
}

func (c *configuration) state() *confstate.State { return c.current.Load() }

func (c *configuration) version() structs.Version {
	if s := c.current.Load(); s != nil {
		return s.Version
	}
	return 0
}

// askAgain is when a question for configuration counts as lost.
const askAgain = time.Second

// miss notes that m does not follow, and asks p for what is missing. All entries
// announce a new version at once; one of them is asked, again only if it does not answer.
func (c *configuration) miss(p *peer, to structs.Version, now time.Time) {
	c.wanted = max(c.wanted, to)
	if c.wanted > c.asked || now.Sub(c.askedAt) >= askAgain {
		c.asked, c.askedAt = c.wanted, now
		c.ask(p)
	}
}

// catchUp asks p again if an announced version is still missing.
func (c *configuration) catchUp(p *peer, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.wanted > c.version() {
		c.miss(p, c.wanted, now)
	}
}

// ask asks p for what comes after the version that the side has.
func (c *configuration) ask(p *peer) {
	if c.port == nil {
		return
	}
	p.send(&structs.Frame{Config: &structs.ConfigMsg{Ask: true, From: c.version()}})
}

func (c *configuration) receive(p *peer, m *structs.ConfigMsg) {
	if c.port == nil || m.Ask {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state, err := c.port.Apply(m)
	if err != nil {
		c.log.Info("configuration message does not follow", "entry", p.host, "have", c.version(), "error", err)
		// One that can't be read would come again and again.
		if !errs.Is(err, errs.BadFrame) {
			c.miss(p, m.To, time.Now())
		}
		return
	}
	if state == nil {
		return
	}
	if state.Version < c.version() {
		c.log.Error("configuration went back; the newer one is kept", "have", c.version(), "got", state.Version)
		return
	}
	if state.Version == c.version() {
		return
	}
	c.current.Store(state)
	c.apply(state)
	c.log.Info("configuration in force", "version", state.Version)
}

// configured carries out a new state.
func (s *Side) configured(state *confstate.State) {
	if state.PolicySet() {
		s.queue.setHeadroom(state.Policy.Headroom)
	}
	reg := state.Targets[s.target.ID]
	s.keys.added(reg.AddedMs)
	s.retired.Store(reg.RemovedAt != 0 || state.Hosts[s.o.Settings.Host.ID].Retire)
	s.signal()
}
