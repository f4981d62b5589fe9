package entry

import (
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/confstate"
)

// look fills s with the targets that could take the call, as the configuration has them.
func (c *call) look(s *scratch, now time.Time) {
	s.look(c.group, now, c.req.prefixes())
	s.retire(c.e.config.Current())
}

// retire marks the targets that operators take out of service as leaving. A target
// on a retired host goes on for as long as no other can take the request: its models
// are still being loaded elsewhere, and callers would get nothing meanwhile.
func (s *scratch) retire(state *confstate.State) {
	s.retired = s.retired[:0]
	others := false
	for i := range s.view.Candidates {
		c := &s.view.Candidates[i]
		reg := state.Targets[c.Target]
		switch {
		case reg.RemovedAt != 0:
			c.Leaving = true
		case state.Hosts[reg.Host].Retire:
			s.retired = append(s.retired, i)
		case !c.Leaving && !c.Unhealthy && c.Health == choose.Well:
			others = true
		}
	}
	if !others {
		return
	}
	for _, i := range s.retired {
		s.view.Candidates[i].Leaving = true
	}
}
