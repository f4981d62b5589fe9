package follow

import (
	"sync"

	"github.com/pkg/errors"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// SideFold is the configuration of a side, which several entries send it. The
// zero value holds the empty configuration. It is safe for concurrent use.
type SideFold struct {
	mu    sync.Mutex
	state *confstate.State
}

// Current implements confstate.Source.
func (s *SideFold) Current() *confstate.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current()
}

func (s *SideFold) current() *confstate.State {
	if s.state == nil {
		s.state = confstate.Empty()
	}
	return s.state
}

// Apply folds m and returns the newest State. A message of an entry that is behind
// changes nothing. Errors: errs.LogTrimmed when m does not follow on the State, or only
// announces a newer version: the caller then asks the sender for
// what follows. errs.BadFrame when m can't be read.
func (s *SideFold) Apply(m *structs.ConfigMsg) (*confstate.State, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	have := s.current()
	next := have
	switch {
	case m.Ask || m.To <= have.Version:
		return have, nil
	case len(m.Snapshot) > 0:
		whole, err := restore(m)
		if err != nil {
			return have, err
		}
		next = whole
	case m.From <= have.Version:
		next = have.Fold(m.Records)
	}
	if next.Version < m.To {
		return have, errors.WithStack(errs.Newf(errs.LogTrimmed, "version %d exists, and the message does not lead there from %d", m.To, have.Version))
	}
	s.state = next
	return next, nil
}
