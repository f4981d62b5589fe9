package fairshare

import (
	"math"
	"time"
)

// divisionTTL is how long a computed division is used. Within it the work of all workspaces changes little, and
// computing it takes time in proportion to the number of workspaces.
const divisionTTL = 50 * time.Millisecond

// division is how the capacity of a service is divided.
type division struct {
	at           time.Time
	capacity     float64
	isOverloaded bool    // the offered work exceeds the capacity
	level        float64 // share of a workspace of weight 1; set if isOverloaded
	offered      float64 // by all workspaces
	weights      float64 // sum of the weights of all workspaces that offer work
	members      float64 // number of workspaces that offer work
	oldestInput  time.Time
}

// demand is what a workspace or a group of workspaces with the same needs claims of the capacity.
type demand struct{ work, weight float64 }

// minWork is the work in slots from which a workspace counts in a division. Sums of the reports of peers keep a rounding
// error after a report has been taken out, which would count as another workspace that offers work.
const minWork = 1e-6

// division returns the division of a service's capacity, which is at most divisionTTL old.
func (l *Ledger) division(now time.Time, s *service, capacity float64) *division {
	d := &s.div
	if !d.at.IsZero() && now.Sub(d.at) < divisionTTL && d.capacity == capacity {
		return d
	}
	oldest := l.expirePeers(now)
	s.sweep(now)
	*d = division{at: now, capacity: capacity, oldestInput: oldest}
	demands := l.demands[:0]
	s.eachUsage(now, func(u Usage) {
		if u.Offered > minWork {
			demands = append(demands, demand{u.Offered, l.weight(u.Workspace)})
			d.members++
		}
	})
	if s.rest.offered > minWork && s.rest.members > 0 {
		demands = append(demands, demand{s.rest.offered, s.rest.members})
		d.members += s.rest.members
	}
	l.demands = demands
	for _, dem := range demands {
		d.offered, d.weights = d.offered+dem.work, d.weights+dem.weight
	}
	d.isOverloaded = d.offered > capacity
	if d.isOverloaded {
		d.level = waterLevel(demands, capacity)
	}
	return d
}

// eachUsage calls f with the work of each workspace at all gateways, without that of unlisted workspaces.
func (s *service) eachUsage(now time.Time, f func(Usage)) {
	for id := range s.accounts {
		f(s.usage(now, id))
	}
	for id := range s.peers {
		if _, isOwn := s.accounts[id]; !isOwn {
			f(s.usage(now, id))
		}
	}
}

// waterLevel returns the level at which the shares min(work, weight x level) of all demands add up to capacity.
// The level is infinite if the demands fit. It reorders the list.
func waterLevel(demands []demand, capacity float64) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for {
		if weights <= 0 || len(demands) == 0 {
			return math.Inf(1)
		}
		// Each pass satisfies the demands below the level; what they leave raises the level for the others.
		level := max(0, capacity) / weights
		unsatisfied := demands[:0]
		for _, d := range demands {
			if d.work <= d.weight*level {
				capacity -= d.work
				weights -= d.weight
				continue
			}
			unsatisfied = append(unsatisfied, d)
		}
		if len(unsatisfied) == len(demands) {
			return level
		}
		demands = unsatisfied
	}
}
