package quota

import (
	"fmt"
	"time"

	"arbutusramp/core/workspace"
)

// reportedCounts is the product's strategy: each gateway keeps whole buckets and receives reports of what the
// others admit.
type reportedCounts struct{ ledgers []*Ledger }

func newReportedCounts(s *simulation) strategy {
	return &reportedCounts{ledgers: make([]*Ledger, len(s.gateways))}
}

// stopDetectionDelay is how long the gateways on the same side take to detect that a process has stopped:
// once it is silent they try to connect to it.
const stopDetectionDelay = peerSilenceLimit + 2*simNetworkDelay

func (r *reportedCounts) gatewayStopped(s *simulation, gateway int) {
	startCount := s.gateways[gateway].startCount
	s.after(stopDetectionDelay, func() {
		for i, l := range r.ledgers {
			if s.gateways[gateway].isDown && s.gateways[gateway].startCount == startCount && s.partitionSide[i] == s.partitionSide[gateway] {
				l.Forget(s.now, simPeer(gateway))
			}
		}
	})
}

func (r *reportedCounts) admit(s *simulation, gateway int, l *simLoad) bool {
	return r.ledgers[gateway].Admit(s.now, l.name).IsAdmitted
}

func (r *reportedCounts) gatewayStarted(s *simulation, gateway int) {
	l := New(s.now, s.options)
	var list []workspace.Workspace
	for i := range s.loads {
		list = append(list, workspace.Workspace{Name: s.loads[i].name, Quota: s.loads[i].quota})
	}
	l.SetQuotas(s.now, list)
	for i := range s.gateways {
		if i != gateway {
			l.AddPeer(s.now, simPeer(i))
		}
	}
	r.ledgers[gateway] = l
	r.report(s, gateway, s.gateways[gateway].startCount, 0)
}

func simPeer(i int) Peer { return Peer(fmt.Sprint(i)) }

// Times of reports: a changed count is reported after the interval, and a report is sent at least every
// refresh interval.
const (
	simReportInterval  = 15 * time.Millisecond
	simRefreshInterval = 200 * time.Millisecond
	simFirstReports    = 20 // number of reports after a start with IsFirst set
)

func (r *reportedCounts) report(s *simulation, from, startCount, n int) {
	if s.gateways[from].startCount != startCount {
		return // the gateway has restarted since
	}
	report := Report{Start: fmt.Sprint(startCount), IsFirst: n < simFirstReports, Counts: r.ledgers[from].Counts()}
	for to := range s.gateways {
		if to != from {
			s.send(from, to, func() { r.ledgers[to].Apply(s.now, simPeer(from), report) })
		}
	}
	r.awaitChange(s, from, startCount, n+1, simRefreshInterval)
}

// awaitChange sends the next report as soon as a count has changed, or when the remaining time has passed.
func (r *reportedCounts) awaitChange(s *simulation, from, startCount, n int, remaining time.Duration) {
	s.after(simReportInterval, func() {
		for _, b := range r.ledgers[from].buckets {
			if b.reportsLeft > 0 {
				remaining = 0
			}
		}
		if remaining <= simReportInterval {
			r.report(s, from, startCount, n)
			return
		}
		r.awaitChange(s, from, startCount, n, remaining-simReportInterval)
	})
}

// fullShare is the product's strategy without the smaller share while peers are silent.
type fullShare struct{ reportedCounts }

func newFullShare(s *simulation) strategy {
	return &fullShare{reportedCounts{ledgers: make([]*Ledger, len(s.gateways))}}
}

func (t *fullShare) admit(s *simulation, gateway int, l *simLoad) bool {
	ledger := t.ledgers[gateway]
	ledger.nextExpiry = s.now.Add(time.Hour)
	ledger.share = 1
	return ledger.Admit(s.now, l.name).IsAdmitted
}

// fixedShare gives each gateway an equal share of each bucket.
type fixedShare struct{ buckets []map[string]*bucket }

func newFixedShare(s *simulation) strategy {
	return &fixedShare{buckets: make([]map[string]*bucket, len(s.gateways))}
}

func (f *fixedShare) gatewayStopped(*simulation, int) {}

func (f *fixedShare) gatewayStarted(s *simulation, gateway int) {
	f.buckets[gateway] = make(map[string]*bucket)
	share := 1 / float64(len(s.gateways))
	for i := range s.loads {
		b := &bucket{quota: s.loads[i].quota, refilledAt: s.now}
		b.headroom = s.options.headroom(b.quota)
		b.tokens = b.capacity(share)
		f.buckets[gateway][s.loads[i].name] = b
	}
}

func (f *fixedShare) admit(s *simulation, gateway int, l *simLoad) bool {
	b := f.buckets[gateway][l.name]
	b.refill(s.now, 1/float64(len(s.gateways)))
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// lendingOwner keeps the bucket of each workspace at one gateway. The others request tokens from it ahead of
// demand.
type lendingOwner struct {
	buckets     []map[string]*bucket // by gateway
	borrowed    []map[string]float64
	lastRequest []map[string]time.Time
}

const (
	lendTokens      = 5
	lowTokens       = 3 // below it more is requested
	requestInterval = 20 * time.Millisecond
)

func newLendingOwner(s *simulation) strategy {
	n := len(s.gateways)
	return &lendingOwner{buckets: make([]map[string]*bucket, n), borrowed: make([]map[string]float64, n), lastRequest: make([]map[string]time.Time, n)}
}

func (l *lendingOwner) gatewayStopped(*simulation, int) {}

func (l *lendingOwner) gatewayStarted(s *simulation, gateway int) {
	l.buckets[gateway] = make(map[string]*bucket)
	l.borrowed[gateway] = make(map[string]float64)
	l.lastRequest[gateway] = make(map[string]time.Time)
	for i := range s.loads {
		if i%len(s.gateways) == gateway {
			b := &bucket{quota: s.loads[i].quota, refilledAt: s.now}
			b.headroom = s.options.headroom(b.quota)
			b.tokens = b.capacity(1) / 2
			l.buckets[gateway][s.loads[i].name] = b
		}
	}
}

func (l *lendingOwner) admit(s *simulation, gateway int, load *simLoad) bool {
	owner := 0
	for i := range s.loads {
		if &s.loads[i] == load {
			owner = i % len(s.gateways)
		}
	}
	l.requestTokens(s, gateway, owner, load.name)
	if l.borrowed[gateway][load.name] < 1 {
		return false
	}
	l.borrowed[gateway][load.name]--
	return true
}

func (l *lendingOwner) requestTokens(s *simulation, gateway, owner int, name string) {
	if gateway == owner {
		l.borrowed[gateway][name] += l.lend(s, owner, name)
		return
	}
	if l.borrowed[gateway][name] >= lowTokens || s.now.Sub(l.lastRequest[gateway][name]) < requestInterval {
		return
	}
	l.lastRequest[gateway][name] = s.now
	s.send(gateway, owner, func() {
		n := l.lend(s, owner, name)
		s.send(owner, gateway, func() { l.borrowed[gateway][name] += n })
	})
}

func (l *lendingOwner) lend(s *simulation, owner int, name string) float64 {
	b := l.buckets[owner][name]
	b.refill(s.now, 1)
	n := float64(int(max(0, min(lendTokens, b.tokens))))
	b.tokens -= n
	return n
}
