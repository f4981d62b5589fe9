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

var simAllSizes = flag.Bool("fanout.sizes", false, "simulate all fleet sizes that the tables of the documentation list")

// Parameters of the simulation. They match those of the product.
const (
	simRefreshInterval     = 200 * time.Millisecond // between reports without a change, and between refreshes of a hub
	simMinHubInterval      = 5 * time.Millisecond   // between two batches of a hub
	simTTL                 = 700 * time.Millisecond
	simSendIntervalPerPeer = 500 * time.Microsecond // pause of a gateway without hubs, for each receiver
	simDomainLatency       = 100 * time.Microsecond // one way
	simCrossDomainLatency  = 1400 * time.Microsecond
	simDomains             = 5
	simChangesPerSecond    = 1.7 // of the loads of one gateway
	simLossRate            = 0.005
	simDuration            = 3 * time.Second
	simWarmUp              = time.Second
	simSampleInterval      = 37 * time.Millisecond
	simObservers           = 8 // gateways whose views are measured
)

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// simFleet is a simulated fleet of gateways that exchange their loads.
type simFleet struct {
	hasHubs      bool
	rng          *rand.Rand
	now          time.Duration
	queue        simQueue
	events       int
	all          []*simGateway
	byAddr       map[netip.AddrPort]*simGateway
	changeDelays []time.Duration // from a load change to its arrival at an observer
	// falselyExpired is in how many of the samples a live gateway counted as expired.
	falselyExpired, samples int
}

// simReport is a report. It holds only the time of the sender's last load change.
type simReport struct{ changedAt time.Duration }

type simGateway struct {
	fleet     *simFleet
	id        ID
	member    Member
	isDead    bool
	seq       uint64
	changedAt time.Duration // time of the last load change
	table     *Table[simReport]
	isPaused,
	isSendDue bool // a report is to be sent once isPaused is reset
	isFlushDue     bool
	sent, received int
	isObserver     bool
	lastFlush      time.Duration   // when the last batch was sent
	knownSeq       []uint64        // newest sequence number of each gateway
	knownChangedAt []time.Duration // time of the last load change received from each gateway
	lastSeen       []time.Duration // when each gateway was last seen
}

func newSimFleet(n int, hasHubs bool, seed uint64) *simFleet {
	f := &simFleet{hasHubs: hasHubs, rng: rand.New(rand.NewPCG(seed, 1)), byAddr: make(map[netip.AddrPort]*simGateway)}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % simDomains), byte(i >> 8), byte(i)}), 7000)
		g := &simGateway{
			fleet: f, id: ID(i), member: Member{Addr: addr, Domain: Domain(i % simDomains), IsHeard: true}, isObserver: i%(n/simObservers) == 1,
			knownSeq: make([]uint64, n), knownChangedAt: make([]time.Duration, n), lastSeen: make([]time.Duration, n),
			table: NewTable(simTTL, func(_, next simReport) simReport { return next }),
		}
		f.all = append(f.all, g)
		f.byAddr[addr] = g
	}
	for _, g := range f.all {
		f.schedule(time.Duration(f.rng.Float64()*float64(simRefreshInterval)), g.refreshReport)
		f.schedule(time.Duration(f.rng.Float64()*float64(simRefreshInterval)), g.refreshHub)
		f.schedule(f.drawChangeDelay(), g.changeLoads)
	}
	return f
}

func (f *simFleet) drawChangeDelay() time.Duration {
	return time.Duration(f.rng.ExpFloat64() / simChangesPerSecond * float64(time.Second))
}

func (f *simFleet) schedule(d time.Duration, run func()) {
	f.events++
	heap.Push(&f.queue, simEvent{f.now + d, f.events, run})
}

func (f *simFleet) run(until time.Duration) {
	for len(f.queue) > 0 && f.queue[0].at <= until {
		e := heap.Pop(&f.queue).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = until
}

// send delivers a datagram unless it is lost.
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

func (g *simGateway) changeLoads() {
	if g.isDead {
		return
	}
	g.changedAt = g.fleet.now
	g.fleet.schedule(g.fleet.drawChangeDelay(), g.changeLoads)
	g.sendReport()
}

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
	n := 0
	if g.fleet.hasHubs {
		n = g.sendToHubs()
	} else {
		n = g.sendDirect()
	}
	g.isPaused = true
	g.fleet.schedule(max(3*time.Millisecond, time.Duration(n)*simSendIntervalPerPeer), func() {
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
	n := 0
	relays := make([][]*simGateway, simDomains)
	for _, to := range g.fleet.all {
		switch {
		case to == g || g.isExpired(to):
		case to.member.Domain == g.member.Domain:
			n++
			seq, changedAt := g.seq, g.changedAt
			g.send(to, func() { to.applyReport(g.id, seq, changedAt, to.fleet.now) })
		default:
			relays[to.member.Domain] = append(relays[to.member.Domain], to)
		}
	}
	for _, list := range relays {
		if len(list) == 0 {
			continue
		}
		n++
		to := list[(int(g.id)+int(g.seq%2))%len(list)]
		seq, changedAt := g.seq, g.changedAt
		g.send(to, func() { to.relayReport(g.id, seq, changedAt) })
	}
	return n
}

func (g *simGateway) relayReport(id ID, seq uint64, changedAt time.Duration) {
	g.applyReport(id, seq, changedAt, g.fleet.now)
	for _, to := range g.fleet.all {
		if to != g && to.member.Domain == g.member.Domain && !g.isExpired(to) {
			g.send(to, func() { to.applyReport(id, seq, changedAt, to.fleet.now) })
		}
	}
}

func (g *simGateway) isExpired(to *simGateway) bool {
	return g.fleet.now > simTTL && g.fleet.now-g.lastSeen[to.id] > simTTL
}

// members returns the gateways of a domain as seen by g.
func (g *simGateway) members(d Domain) []Member {
	var list []Member
	for _, m := range g.fleet.all {
		if m.member.Domain == d {
			list = append(list, Member{Addr: m.member.Addr, Domain: d, IsHeard: m == g || !g.isExpired(m)})
		}
	}
	return list
}

func (g *simGateway) sendToHubs() int {
	hubs, _ := Hubs(g.members(g.member.Domain))
	for i, addr := range hubs {
		to := g.fleet.byAddr[addr]
		o := Origin[simReport]{ID: g.id, Domain: g.member.Domain, Seq: g.seq, Heard: simTime(g.fleet.now), Report: simReport{g.changedAt}}
		isForwarded := g.seq%uint64(len(hubs)) == uint64(i)
		if to == g {
			g.putReport(o, isForwarded)
			continue
		}
		g.send(to, func() {
			o.Heard = simTime(to.fleet.now)
			to.applyReport(o.ID, o.Seq, o.Report.changedAt, to.fleet.now)
			to.putReport(o, isForwarded)
		})
	}
	return len(hubs)
}

func simTime(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

// putReport stores a report in the hub's table.
func (g *simGateway) putReport(o Origin[simReport], isForwarded bool) {
	g.table.Put(o, isForwarded)
	if isForwarded {
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
			g.sendBatch(g.table.Changes(), g.table.Vouched())
		}
	})
}

func (g *simGateway) refreshHub() {
	if g.isDead {
		return
	}
	g.fleet.schedule(simRefreshInterval, g.refreshHub)
	if list := g.table.Refresh(simTime(g.fleet.now), g.member.Domain); len(list) > 0 {
		g.sendBatch(nil, list)
	}
}

// sendBatch sends a batch to the own domain, and its entries of the own domain to a hub of each other domain.
func (g *simGateway) sendBatch(changes, heartbeats []Origin[simReport]) {
	if len(changes) == 0 && len(heartbeats) == 0 {
		return
	}
	isOther := func(o Origin[simReport]) bool { return o.Domain != g.member.Domain }
	ownChanges := slices.DeleteFunc(slices.Clone(changes), isOther)
	ownHeartbeats := slices.DeleteFunc(slices.Clone(heartbeats), isOther)
	rank := slices.IndexFunc(hubsOf(Hubs(g.members(g.member.Domain))), func(a netip.AddrPort) bool { return a == g.member.Addr })
	for d := range Domain(simDomains) {
		hubs := hubsOf(Hubs(g.members(d)))
		if d == g.member.Domain || len(hubs) == 0 || len(ownChanges) == 0 && len(ownHeartbeats) == 0 {
			continue
		}
		to := g.fleet.byAddr[hubs[max(0, rank)%len(hubs)]]
		g.send(to, func() { to.applyBatch(ownChanges, ownHeartbeats, true) })
	}
	var receivers []netip.AddrPort
	for _, m := range g.members(g.member.Domain) {
		if m.Addr != g.member.Addr && m.IsHeard {
			receivers = append(receivers, m.Addr)
		}
	}
	for _, b := range Branches(g.member.Addr, receivers) {
		to := g.fleet.byAddr[b.First]
		g.send(to, func() {
			for _, addr := range b.Rest {
				next := g.fleet.byAddr[addr]
				to.send(next, func() { next.applyBatch(changes, heartbeats, false) })
			}
			to.applyBatch(changes, heartbeats, false)
		})
	}
}

func hubsOf(hubs, _ []netip.AddrPort) []netip.AddrPort { return hubs }

func (g *simGateway) applyBatch(changes, heartbeats []Origin[simReport], isHub bool) {
	for _, o := range changes {
		g.applyReport(o.ID, o.Seq, o.Report.changedAt, o.Heard.Sub(simTime(0)))
		if isHub {
			g.putReport(o, true)
		}
	}
	for _, o := range heartbeats {
		g.applyReport(o.ID, o.Seq, o.Report.changedAt, o.Heard.Sub(simTime(0)))
		if isHub {
			g.table.Vouch(o)
			g.scheduleFlush()
		}
	}
}

// sampleViews counts the live gateways that count as expired at an observer.
func (f *simFleet) sampleViews() {
	f.schedule(simSampleInterval, f.sampleViews)
	for _, g := range f.all {
		if !g.isObserver || g.isDead {
			continue
		}
		for _, other := range f.all {
			f.samples++
			if other != g && !other.isDead && g.isExpired(other) {
				f.falselyExpired++
			}
		}
	}
}

// applyReport applies the report of a gateway that was last seen at the given time.
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

// simResult holds the traffic and the delays of a simulation.
type simResult struct {
	sent, received, maxSent, maxReceived float64 // datagrams per second and gateway
	meanDelay, p99Delay                  time.Duration
	falselyExpiredShare                  float64 // share of the samples in which a live gateway counts as expired
}

func simulate(n int, hasHubs bool) simResult {
	f := newSimFleet(n, hasHubs, uint64(n))
	f.run(simWarmUp)
	f.sampleViews()
	for _, g := range f.all {
		g.sent, g.received = 0, 0
	}
	f.run(simDuration)
	seconds := (simDuration - simWarmUp).Seconds()
	var r simResult
	for _, g := range f.all {
		sent, received := float64(g.sent)/seconds, float64(g.received)/seconds
		r.sent += sent / float64(n)
		r.received += received / float64(n)
		r.maxSent, r.maxReceived = max(r.maxSent, sent), max(r.maxReceived, received)
	}
	slices.Sort(f.changeDelays)
	var sum time.Duration
	for _, d := range f.changeDelays {
		sum += d
	}
	r.falselyExpiredShare = float64(f.falselyExpired) / float64(f.samples)
	r.meanDelay, r.p99Delay = sum/time.Duration(len(f.changeDelays)), f.changeDelays[len(f.changeDelays)*99/100]
	return r
}

// Guards against a number of datagrams per gateway that grows with the fleet, and against hubs that make
// reports so late that live gateways expire.
func TestReportsPerGatewayDoNotGrowWithFleet(t *testing.T) {
	sizes := []int{88, 294}
	if *simAllSizes {
		sizes = []int{28, 88, 294, 556, 1112}
	}
	// 88 gateways are below the size from which the product uses hubs.
	small := simulate(88, false)
	for _, n := range sizes {
		direct, hubs := simResult{}, simulate(n, true)
		if n <= 600 && *simAllSizes {
			direct = simulate(n, false)
		}
		t.Logf("%5d gateways: with hubs: sent/s %5.0f, max %5.0f, received/s %5.0f, max %5.0f, falsely expired %.5f, delay mean %v, p99 %v; without hubs: sent/s %5.0f, received/s %5.0f, delay mean %v, p99 %v",
			n, hubs.sent, hubs.maxSent, hubs.received, hubs.maxReceived, hubs.falselyExpiredShare, hubs.meanDelay.Round(100*time.Microsecond), hubs.p99Delay.Round(100*time.Microsecond),
			direct.sent, direct.received, direct.meanDelay.Round(100*time.Microsecond), direct.p99Delay.Round(100*time.Microsecond))
		if hubs.falselyExpiredShare > 0.0001 {
			t.Errorf("%d gateways: %.5f of the samples show a live gateway as expired", n, hubs.falselyExpiredShare)
		}
		if n > 88 && hubs.received > 1.3*small.received {
			t.Errorf("%d gateways receive %.0f datagrams a second each, 88 receive %.0f", n, hubs.received, small.received)
		}
	}
}

// Guards against live gateways that stay expired, or lost ones that stay live, after the first hub of each
// domain is lost at the same time.
func TestViewsRecoverAfterHubLoss(t *testing.T) {
	const gateways, lostAt = 294, simWarmUp
	f := newSimFleet(gateways, true, 3)
	f.run(lostAt)
	lost := make(map[ID]bool)
	for d := range Domain(simDomains) {
		hubs, _ := Hubs(f.all[0].members(d))
		g := f.byAddr[hubs[0]]
		g.isDead = true
		lost[g.id] = true
	}
	countErrors := func() (expired, live int) {
		for _, g := range f.all {
			if !g.isObserver || g.isDead {
				continue
			}
			for _, other := range f.all {
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
	for after := simSampleInterval; after < 2*simTTL; after += simSampleInterval {
		f.run(lostAt + after)
		expired, _ := countErrors()
		maxExpired = max(maxExpired, expired)
	}
	expired, live := countErrors()
	t.Logf("at most %d of %d views showed a live gateway as expired", maxExpired, simObservers*gateways)
	if expired > 0 || live > 0 {
		t.Errorf("%v after the loss %d live gateways count as expired, %d lost ones as live", 2*simTTL, expired, live)
	}
}
