package fairshare

import (
	"math"
	"time"
)

// startDivision is the level up to which workspaces with waiting batch items share the capacity.
type startDivision struct {
	at    time.Time
	level float64
}

// OverShareAtStart returns which of the workspaces that have batch items waiting at a service have used their share of
// the capacity, so that the items of others start before theirs. A workspace with waiting items takes all that it
// gets, so its demand is unlimited; its use counts online requests and batch items alike.
func (l *Ledger) OverShareAtStart(now time.Time, service string, waiting []string, capacity float64) map[string]bool {
	s, ok := l.services[service]
	if !ok || capacity <= 0 || len(waiting) == 0 {
		return nil
	}
	if s.starts.at.IsZero() || now.Sub(s.starts.at) >= divisionTTL {
		s.starts = startDivision{at: now, level: l.startLevel(now, s, waiting, capacity)}
	}
	var over map[string]bool
	for _, name := range waiting {
		id := IDOf(name)
		if s.usage(now, id).Served < l.weight(id)*s.starts.level {
			continue
		}
		if over == nil {
			over = make(map[string]bool)
		}
		over[name] = true
	}
	return over
}

// startLevel returns the level of a division in which the demand of waiting workspaces is unlimited.
func (l *Ledger) startLevel(now time.Time, s *service, waiting []string, capacity float64) float64 {
	l.expirePeers(now)
	s.sweep(now)
	isWaiting := make(map[ID]bool, len(waiting))
	var demands []demand
	for _, name := range waiting {
		id := IDOf(name)
		if !isWaiting[id] {
			isWaiting[id] = true
			demands = append(demands, demand{math.Inf(1), l.weight(id)})
		}
	}
	s.eachUsage(now, func(u Usage) {
		if work := max(u.Offered, u.Served); work > minWork && !isWaiting[u.Workspace] {
			demands = append(demands, demand{work, l.weight(u.Workspace)})
		}
	})
	if work := max(s.rest.offered, s.rest.served); work > minWork && s.rest.members > 0 {
		demands = append(demands, demand{work, s.rest.members})
	}
	return waterLevel(demands, capacity)
}
