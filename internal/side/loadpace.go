package side

import (
	"time"

	"arbutusramp/core/structs"
)

const (
	// paceFrom is how many sessions get load reports every LoadEvery. With many more, reports at
	// that rate would take far more than all else that entries and sides say to each other.
	paceFrom = 8
	// pacePerSession is by how much each further session makes reports rarer. With 22 sessions
	// a side it takes the reports at an entry with 60 sides from 100 KB/s to 3.7 KB/s; what an End
	// carries stays fresh.
	pacePerSession = 100 * time.Millisecond
)

// LoadPace is the time between two load reports to that many sessions.
func LoadPace(every time.Duration, sessions int) time.Duration {
	return every + time.Duration(max(0, sessions-paceFrom))*pacePerSession
}

// tellDraining sends the load at once: reports to many sessions are rare, and until it is told,
// every entry goes on choosing a target that takes nothing new.
func (s *Side) tellDraining() {
	s.broadcast(&structs.Frame{Version: s.config.version(), Load: s.fullLoad()})
}
