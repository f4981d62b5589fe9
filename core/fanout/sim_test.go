package fanout

import (
	"container/heap"
	"flag"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

var simAllSizes = flag.Bool("fanout.sizes", false, "simulate fleets of 28, 88, 294, 556 and 1112 gateways, not only of 88 and 294")

// Parameters of the simulation. The intervals and the expiry time match those of internal/loadshare.
const (
	simRefreshInterval     = 200 * time.Millisecond  // between reports without a load change, and between refreshes of a hub
	simMinHubInterval      = 5 * time.Millisecond    // shortest time between two batches of a hub
	simTTL                 = 700 * time.Millisecond  // silence after which a gateway counts as expired
	simSendIntervalPerPeer = 500 * time.Microsecond  // pause after a report, for each of its receivers
	simDomainLatency       = 100 * time.Microsecond  // of a datagram within a domain
	simCrossDomainLatency  = 1400 * time.Microsecond // of a datagram between domains
	simDomainCount         = 5
	simChangesPerSecond    = 1.7                   // mean rate of load changes at one gateway
	simLossRate            = 0.005                 // share of the datagrams that are lost
	simDuration            = 3 * time.Second       // including simWarmUp
	simWarmUp              = time.Second           // start of the simulation, which is not measured
	simSampleInterval      = 37 * time.Millisecond // between two samples of the observers' views
	simObserverCount       = 8                     // approximate number of gateways whose views are measured
)

// simEvent is a function call that is due at a simulated time. Events at the same time run in the order of seq.
type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

// simQueue is a heap of the pending events, ordered by time. It implements heap.Interface.
type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int)   { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(event any) { *q = append(*q, event.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simFleet is a simulated fleet of gateways that exchange their loads.
type simFleet struct {
	hasHubs      bool // reports go through hubs; otherwise to the gateways of the own domain and one relay in each other
	rng          *rand.Rand
	now          time.Duration // simulated time since the start
	queue        simQueue
	eventCount   int           // number of events so far, the source of simEvent.seq
	gateways     []*simGateway // by ID
	byAddr       map[netip.AddrPort]*simGateway
	changeDelays []time.Duration // from a load change to its arrival at an observer
	// samples is the number of pairs of an observer and a gateway that were checked, falselyExpired in how
	// many of them a live gateway counted as expired.
	falselyExpired, samples int
}

// simReport is the content of a simulated report: the time of the sender's last load change.
type simReport struct{ changedAt time.Duration }

// simGateway holds the state of one gateway of a simFleet, and counts the datagrams that it sends and receives.
type simGateway struct {
	fleet     *simFleet
	id        ID
	member    Member
	isDead    bool              // the gateway sends and receives nothing
	seq       uint64            // sequence number of its newest report
	changedAt time.Duration     // time of the last load change
	table     *Table[simReport] // the reports that this gateway has received as a hub
	isPaused, // the pause after a report is not over
	isSendDue bool // a report is to be sent once isPaused is reset
	isFlushDue     bool            // a batch is scheduled
	sent, received int             // datagrams
	isObserver     bool            // the view of this gateway is measured
	lastFlush      time.Duration   // when the last batch was sent
	knownSeq       []uint64        // newest sequence number received from each gateway, by ID
	knownChangedAt []time.Duration // time of the last load change received from each gateway, by ID
	lastSeen       []time.Duration // when each gateway was last seen, by ID
}

// newSimFleet returns a fleet of n gateways with their first reports and refreshes scheduled at random times.
func newSimFleet(n int, hasHubs bool, seed uint64) *simFleet {
	f := &simFleet{hasHubs: hasHubs, rng: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[netip.AddrPort]*simGateway)}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % simDomainCount), byte(i >> 8), byte(i)}), 7000)
		g := &simGateway{
			fleet: f, id: ID(i), member: Member{Addr: addr, Domain: Domain(i % simDomainCount), IsLive: true}, isObserver: i%(n/simObserverCount) == 1,
			knownSeq: make([]uint64, n), knownChangedAt: make([]time.Duration, n), lastSeen: make([]time.Duration, n),
			table: NewTable(simTTL, func(_, next simReport) simReport { return next }),
		}
		f.gateways = append(f.gateways, g)
		f.byAddr[addr] = g
	}
	for _, g := range f.gateways {
		f.schedule(time.Duration(f.rng.Float64()*float64(simRefreshInterval)), g.refreshReport)
		f.schedule(time.Duration(f.rng.Float64()*float64(simRefreshInterval)), g.refreshHub)
		f.schedule(f.drawChangeDelay(), g.changeLoads)
	}
	return f
}

// drawChangeDelay returns a random time until the next load change of a gateway.
func (f *simFleet) drawChangeDelay() time.Duration {
	return time.Duration(f.rng.ExpFloat64() / simChangesPerSecond * float64(time.Second))
}

// schedule adds an event that calls run after delay.
func (f *simFleet) schedule(delay time.Duration, run func()) {
	f.eventCount++
	heap.Push(&f.queue, simEvent{f.now + delay, f.eventCount, run})
}

// run executes the events that are due up to the simulated time until, and ends at this time.
func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// send sends a datagram: deliver runs after the latency, unless the datagram is lost or its receiver is dead.
func (g *simGateway) send(to *simGateway, deliver func()) {
	g.sent++
	delay := simDomainLatency
	if g.member.Domain != to.member.Domain {
		delay = simCrossDomainLatency
	}
	if g.fleet.rng.Float64() < simLossRate {
		return
	}
	g.fleet.schedule(delay, func() {
		if !to.isDead {
			to.received++
			deliver()
		}
	})
}

// changeLoads changes the loads of the gateway, reports the change and schedules the next one.
func (g *simGateway) changeLoads() {
	if g.isDead {
		return
	}
	g.changedAt = g.fleet.now
	g.fleet.schedule(g.fleet.drawChangeDelay(), g.changeLoads)
	g.sendReport()
}

// refreshReport sends a report without a load change, and schedules the next one.
func (g *simGateway) refreshReport() {
	if g.isDead {
		return
	}
	g.fleet.schedule(simRefreshInterval, g.refreshReport)
	g.sendReport()
}

// sendReport sends a report now, or once the pause after the previous report is over.
func (g *simGateway) sendReport() {
	if g.isPaused {
		g.isSendDue = true
		return
	}
	g.seq++
	receiverCount := 0
	if g.fleet.hasHubs {
		receiverCount = g.sendToHubs()
	} else {
		receiverCount = g.sendDirect()
	}
	g.isPaused = true
	g.fleet.schedule(max(3*time.Millisecond, time.Duration(receiverCount)*simSendIntervalPerPeer), func() {
		g.isPaused = false
		if g.isSendDue && !g.isDead {
			g.isSendDue = false
			g.sendReport()
		}
	})
}

// sendDirect sends a report to all gateways of the own domain and to one relay in each other domain. It
// returns the number of receivers.
func (g *simGateway) sendDirect() int {
	receiverCount := 0
	relays := make([][]*simGateway, simDomainCount)
	for _, to := range g.fleet.gateways {
		switch {
		case to == g || g.isExpired(to):
		case to.member.Domain == g.member.Domain:
			receiverCount++
			seq, changedAt := g.seq, g.changedAt
			g.send(to, func() { to.applyReport(g.id, seq, changedAt, to.fleet.now) })
		default:
			relays[to.member.Domain] = append(relays[to.member.Domain], to)
		}
	}
	for _, candidates := range relays {
		if len(candidates) == 0 {
			continue
		}
		receiverCount++
		to := candidates[(int(g.id)+int(g.seq%2))%len(candidates)]
		seq, changedAt := g.seq, g.changedAt
		g.send(to, func() { to.relayReport(g.id, seq, changedAt) })
	}
	return receiverCount
}

// relayReport applies a report of a gateway of another domain and forwards it to all gateways of the own
// domain.
func (g *simGateway) relayReport(id ID, seq uint64, changedAt time.Duration) {
	g.applyReport(id, seq, changedAt, g.fleet.now)
	for _, to := range g.fleet.gateways {
		if to != g && to.member.Domain == g.member.Domain && !g.isExpired(to) {
			g.send(to, func() { to.applyReport(id, seq, changedAt, to.fleet.now) })
		}
	}
}

// isExpired reports whether g has not received a report or heartbeat of another gateway for longer than
// simTTL.
func (g *simGateway) isExpired(other *simGateway) bool {
	return g.fleet.now > simTTL && g.fleet.now-g.lastSeen[other.id] > simTTL
}

// members returns the gateways of a domain. IsLive is set for g itself and those that are not expired at g.
func (g *simGateway) members(d Domain) []Member {
	var members []Member
	for _, other := range g.fleet.gateways {
		if other.member.Domain == d {
			members = append(members, Member{Addr: other.member.Addr, Domain: d, IsLive: other == g || !g.isExpired(other)})
		}
	}
	return members
}

// sendToHubs sends a report to the hubs of the own domain. It returns the number of hubs.
func (g *simGateway) sendToHubs() int {
	hubs, _ := Hubs(g.members(g.member.Domain))
	for i, addr := range hubs {
		to := g.fleet.byAddr[addr]
		e := Entry[simReport]{ID: g.id, Domain: g.member.Domain, Seq: g.seq, LastSeen: simTime(g.fleet.now), Report: simReport{g.changedAt}}
		isForwardDue := g.seq%uint64(len(hubs)) == uint64(i)
		if to == g {
			g.putReport(e, isForwardDue)
			continue
		}
		g.send(to, func() {
			e.LastSeen = simTime(to.fleet.now)
			to.applyReport(e.ID, e.Seq, e.Report.changedAt, to.fleet.now)
			to.putReport(e, isForwardDue)
		})
	}
	return len(hubs)
}

// simTime converts a simulated time since the start to the time that a Table uses.
func simTime(sinceStart time.Duration) time.Time { return time.Unix(0, 0).Add(sinceStart) }

// putReport stores a report in the table of g as a hub, and schedules a batch if the report is to be
// forwarded.
func (g *simGateway) putReport(e Entry[simReport], isForwardDue bool) {
	g.table.Put(e, isForwardDue)
	if isForwardDue {
		g.scheduleFlush()
	}
}

// scheduleFlush schedules the next batch of the hub, unless one is scheduled already.
func (g *simGateway) scheduleFlush() {
	if g.isFlushDue {
		return
	}
	g.isFlushDue = true
	g.fleet.schedule(max(0, g.lastFlush+simMinHubInterval-g.fleet.now), func() {
		g.isFlushDue = false
		g.lastFlush = g.fleet.now
		if !g.isDead {
			g.sendBatch(g.table.TakeChanges(), g.table.TakeHeartbeats())
		}
	})
}

// refreshHub sends the state of all live gateways of the own domain, and schedules the next refresh.
func (g *simGateway) refreshHub() {
	if g.isDead {
		return
	}
	g.fleet.schedule(simRefreshInterval, g.refreshHub)
	if heartbeats := g.table.PruneAndList(simTime(g.fleet.now), g.member.Domain); len(heartbeats) > 0 {
		g.sendBatch(nil, heartbeats)
	}
}

// sendBatch sends a batch to all gateways of the own domain, and the entries of the own domain in it to a hub
// of each other domain.
func (g *simGateway) sendBatch(changes, heartbeats []Entry[simReport]) {
	if len(changes) == 0 && len(heartbeats) == 0 {
		return
	}
	isOther := func(e Entry[simReport]) bool { return e.Domain != g.member.Domain }
	ownChanges := slices.DeleteFunc(slices.Clone(changes), isOther)
	ownHeartbeats := slices.DeleteFunc(slices.Clone(heartbeats), isOther)
	rank := slices.IndexFunc(hubsOf(Hubs(g.members(g.member.Domain))), func(a netip.AddrPort) bool { return a == g.member.Addr })
	for d := range Domain(simDomainCount) {
		hubs := hubsOf(Hubs(g.members(d)))
		if d == g.member.Domain || len(hubs) == 0 || len(ownChanges) == 0 && len(ownHeartbeats) == 0 {
			continue
		}
		to := g.fleet.byAddr[hubs[max(0, rank)%len(hubs)]]
		g.send(to, func() { to.applyBatch(ownChanges, ownHeartbeats, true) })
	}
	var receivers []netip.AddrPort
	for _, m := range g.members(g.member.Domain) {
		if m.Addr != g.member.Addr && m.IsLive {
			receivers = append(receivers, m.Addr)
		}
	}
	for _, b := range Branches(g.member.Addr, receivers) {
		to := g.fleet.byAddr[b.Parent]
		g.send(to, func() {
			for _, addr := range b.Children {
				next := g.fleet.byAddr[addr]
				to.send(next, func() { next.applyBatch(changes, heartbeats, false) })
			}
			to.applyBatch(changes, heartbeats, false)
		})
	}
}

// hubsOf returns its first argument. With a call of Hubs as its arguments it returns only the hubs.
func hubsOf(hubs, _ []netip.AddrPort) []netip.AddrPort { return hubs }

// applyBatch applies a received batch. isFromOtherDomain is set for a batch that a hub of another domain has
// sent to g, which distributes it in the own domain.
func (g *simGateway) applyBatch(changes, heartbeats []Entry[simReport], isFromOtherDomain bool) {
	for _, e := range changes {
		g.applyReport(e.ID, e.Seq, e.Report.changedAt, e.LastSeen.Sub(simTime(0)))
		if isFromOtherDomain {
			g.putReport(e, true)
		}
	}
	for _, e := range heartbeats {
		g.applyReport(e.ID, e.Seq, e.Report.changedAt, e.LastSeen.Sub(simTime(0)))
		if isFromOtherDomain {
			g.table.PutHeartbeat(e)
			g.scheduleFlush()
		}
	}
}

// sampleViews counts how many live gateways count as expired at each observer, and schedules the next sample.
func (f *simFleet) sampleViews() {
	f.schedule(simSampleInterval, f.sampleViews)
	for _, g := range f.gateways {
		if !g.isObserver || g.isDead {
			continue
		}
		for _, other := range f.gateways {
			f.samples++
			if other != g && !other.isDead && g.isExpired(other) {
				f.falselyExpired++
			}
		}
	}
}

// applyReport applies a report of another gateway. changedAt is the time of that gateway's last load change,
// seenAt the time at which it was last seen.
func (g *simGateway) applyReport(id ID, seq uint64, changedAt, seenAt time.Duration) {
	g.lastSeen[id] = max(g.lastSeen[id], seenAt)
	if seq <= g.knownSeq[id] || id == g.id {
		return
	}
	g.knownSeq[id] = seq
	if changedAt > g.knownChangedAt[id] && changedAt > simWarmUp && g.isObserver {
		g.fleet.changeDelays = append(g.fleet.changeDelays, g.fleet.now-changedAt)
	}
	g.knownChangedAt[id] = max(g.knownChangedAt[id], changedAt)
}

// simResult holds the traffic and the delays of a simulation: sent and received are means over all gateways,
// maxSent and maxReceived the values of the gateway with the most traffic.
type simResult struct {
	sent, received, maxSent, maxReceived float64       // datagrams per second and gateway
	meanDelay, p99Delay                  time.Duration // from a load change to its arrival at an observer
	falselyExpiredShare                  float64       // share of the samples in which a live gateway counts as expired
}

// simulate runs a fleet of n gateways for simDuration and measures it after simWarmUp.
func simulate(n int, hasHubs bool) simResult {
	f := newSimFleet(n, hasHubs, uint64(n))
	f.run(simWarmUp)
	f.sampleViews()
	for _, g := range f.gateways {
		g.sent, g.received = 0, 0
	}
	f.run(simDuration)
	seconds := (simDuration - simWarmUp).Seconds()
	var result simResult
	for _, g := range f.gateways {
		sent, received := float64(g.sent)/seconds, float64(g.received)/seconds
		result.sent += sent / float64(n)
		result.received += received / float64(n)
		result.maxSent, result.maxReceived = max(result.maxSent, sent), max(result.maxReceived, received)
	}
	slices.Sort(f.changeDelays)
	var sum time.Duration
	for _, d := range f.changeDelays {
		sum += d
	}
	result.falselyExpiredShare = float64(f.falselyExpired) / float64(f.samples)
	result.meanDelay, result.p99Delay = sum/time.Duration(len(f.changeDelays)), f.changeDelays[len(f.changeDelays)*99/100]
	return result
}

// Guards against a number of datagrams per gateway that grows with the fleet: with hubs a gateway may receive at
// most 1.3 times as many as in a fleet of 88 without hubs. Also guards against hubs that delay reports so much
// that live gateways expire: at most 0.0001 of the samples may show one as expired.
func TestReportsPerGatewayDoNotGrowWithFleet(t *testing.T) {
	sizes := []int{88, 294}
	if *simAllSizes {
		sizes = []int{28, 88, 294, 556, 1112}
	}
	// internal/loadshare uses no hubs in a fleet of 88 gateways in five domains: a report has at most 21
	// receivers, and hubs are used for more than 40.
	smallFleet := simulate(88, false)
	for _, n := range sizes {
		withoutHubs, withHubs := simResult{}, simulate(n, true)
		if n <= 600 && *simAllSizes {
			withoutHubs = simulate(n, false)
		}
		t.Logf("%5d gateways: with hubs: sent/s %5.0f, max %5.0f, received/s %5.0f, max %5.0f, falsely expired %.5f, delay mean %v, p99 %v; without hubs: sent/s %5.0f, received/s %5.0f, delay mean %v, p99 %v",
			n, withHubs.sent, withHubs.maxSent, withHubs.received, withHubs.maxReceived, withHubs.falselyExpiredShare, withHubs.meanDelay.Round(100*time.Microsecond), withHubs.p99Delay.Round(100*time.Microsecond),
			withoutHubs.sent, withoutHubs.received, withoutHubs.meanDelay.Round(100*time.Microsecond), withoutHubs.p99Delay.Round(100*time.Microsecond))
		if withHubs.falselyExpiredShare > 0.0001 {
			t.Errorf("%d gateways: a share of %.5f of the samples shows a live gateway as expired, want at most 0.0001", n, withHubs.falselyExpiredShare)
		}
		if n > 88 && withHubs.received > 1.3*smallFleet.received {
			t.Errorf("%d gateways with hubs receive %.0f datagrams a second each, want at most 1.3 times the %.0f of 88 gateways without hubs", n, withHubs.received, smallFleet.received)
		}
	}
}

// Guards against live gateways that still count as expired, or lost ones that still count as live, 2*simTTL
// after the first hubs of all domains were lost at the same time.
func TestViewsRecoverAfterHubLoss(t *testing.T) {
	const gatewayCount, lostAt = 294, simWarmUp
	f := newSimFleet(gatewayCount, true, 3)
	f.run(lostAt)
	lost := make(map[ID]bool)
	for d := range Domain(simDomainCount) {
		hubs, _ := Hubs(f.gateways[0].members(d))
		g := f.byAddr[hubs[0]]
		g.isDead = true
		lost[g.id] = true
	}
	countWrongViews := func() (expired, live int) {
		for _, g := range f.gateways {
			if !g.isObserver || g.isDead {
				continue
			}
			for _, other := range f.gateways {
				switch {
				case other == g:
				case lost[other.id] && !g.isExpired(other):
					live++
				case !lost[other.id] && g.isExpired(other):
					expired++
				}
			}
		}
		return expired, live
	}
	var maxExpired int
	for sinceLoss := simSampleInterval; sinceLoss < 2*simTTL; sinceLoss += simSampleInterval {
		f.run(lostAt + sinceLoss)
		expired, _ := countWrongViews()
		maxExpired = max(maxExpired, expired)
	}
	expired, live := countWrongViews()
	t.Logf("at most %d of %d views showed a live gateway as expired", maxExpired, simObserverCount*gatewayCount)
	if expired > 0 || live > 0 {
		t.Errorf("%v after the loss of the hubs %d live gateways count as expired and %d lost ones as live, want 0 of both", 2*simTTL, expired, live)
	}
}
