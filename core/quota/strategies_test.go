package quota

import (
	"fmt"
	"time"

	"arbutusramp/core/workspace"
)

// reportedCounts is the strategy of this package: each gateway keeps whole buckets and receives reports of
// what the others admit.
type reportedCounts struct{ limiters []*Limiter }

func newReportedCounts(s *simulation) strategy {
	return &reportedCounts{limiters: make([]*Limiter, len(s.gateways))}
}

// stopDetectionDelay is how long the gateways on the same side of a partition take to detect that a process
// has stopped: once it is silent they try to connect to it.
const stopDetectionDelay = peerSilenceLimit + 2*simNetworkDelay

func (r *reportedCounts) gatewayStopped(s *simulation, gateway int) {
	startCount := s.gateways[gateway].startCount
	s.schedule(stopDetectionDelay, func() {
		for i, l := range r.limiters {
			if s.gateways[gateway].isDown && s.gateways[gateway].startCount == startCount && s.partitionSide[i] == s.partitionSide[gateway] {
				l.RemovePeer(s.now, simPeer(gateway))
			}
		}
	})
}

func (r *reportedCounts) admit(s *simulation, gateway int, l *simLoad) bool {
	return r.limiters[gateway].Admit(s.now, l.name).IsAdmitted
}

func (r *reportedCounts) gatewayStarted(s *simulation, gateway int) {
	l := New(s.now, s.options)
	var workspaces []workspace.Workspace
	for i := range s.loads {
		workspaces = append(workspaces, workspace.Workspace{Name: s.loads[i].name, Quota: s.loads[i].quota})
	}
	l.SetQuotas(s.now, workspaces)
	for i := range s.gateways {
		if i != gateway {
			l.AddPeer(s.now, simPeer(i))
		}
	}
	r.limiters[gateway] = l
	r.report(s, gateway, s.gateways[gateway].startCount, 0)
}

// simPeer returns the address of gateway i.
func simPeer(i int) PeerAddr { return PeerAddr(fmt.Sprint(i)) }

// Intervals of reports. A changed count is reported within simReportInterval, and a report is sent at least
// every simRefreshInterval.
const (
	simReportInterval  = 15 * time.Millisecond
	simRefreshInterval = 200 * time.Millisecond
	simFirstReports    = 20 // number of reports with IsAfterStart after a start
)

// report sends report number n since the start of gateway from to all others, and schedules the next one.
func (r *reportedCounts) report(s *simulation, from, startCount, n int) {
	if s.gateways[from].startCount != startCount {
		return // the gateway has been killed since
	}
	report := Report{StartID: fmt.Sprint(startCount), IsAfterStart: n < simFirstReports, Counts: r.limiters[from].Counts()}
	for to := range s.gateways {
		if to != from {
			s.send(from, to, func() { r.limiters[to].ApplyReport(s.now, simPeer(from), report) })
		}
	}
	r.awaitChange(s, from, startCount, n+1, simRefreshInterval)
}

// awaitChange sends report number n of gateway from at the next simReportInterval after a count has changed,
// or when the remaining time has passed.
func (r *reportedCounts) awaitChange(s *simulation, from, startCount, n int, remaining time.Duration) {
	s.schedule(simReportInterval, func() {
		for _, b := range r.limiters[from].buckets {
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

// fullShare is reportedCounts without the smaller share while peers are silent: each gateway always uses
// whole buckets.
type fullShare struct{ reportedCounts }

func newFullShare(s *simulation) strategy {
	return &fullShare{reportedCounts{limiters: make([]*Limiter, len(s.gateways))}}
}

func (f *fullShare) admit(s *simulation, gateway int, l *simLoad) bool {
	limiter := f.limiters[gateway]
	limiter.nextExpiry = s.now.Add(time.Hour)
	limiter.share = 1
	return limiter.Admit(s.now, l.name).IsAdmitted
}

// fixedShare is a strategy without messages: each gateway has an equal, constant share of each bucket.
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

// lendingOwner is a strategy that keeps the bucket of each workspace at one gateway, its owner. The others
// request tokens from the owner when they have few left.
type lendingOwner struct {
	buckets     []map[string]*bucket   // by owner and workspace
	borrowed    []map[string]float64   // tokens left, by gateway and workspace
	lastRequest []map[string]time.Time // time of the last request for tokens, by gateway and workspace
}

const (
	lendTokens      = 5                     // tokens lent at once, at most
	lowTokens       = 3                     // tokens below which more are requested
	requestInterval = 20 * time.Millisecond // shortest time between two requests for tokens
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

// requestTokens requests tokens for a workspace from its owner, if gateway has few left.
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

// lend takes up to lendTokens tokens from the bucket of a workspace and returns their number.
func (l *lendingOwner) lend(s *simulation, owner int, name string) float64 {
	b := l.buckets[owner][name]
	b.refill(s.now, 1)
	n := float64(int(max(0, min(lendTokens, b.tokens))))
	b.tokens -= n
	return n
}
