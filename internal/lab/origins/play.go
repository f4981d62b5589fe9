package origins

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/origin"
	"arbutusramp/core/serving"
)

const (
	// datagramHeader is the size of the headers of a UDP datagram, in bytes.
	datagramHeader = 28
	// reportRepeats is in how many reports an origin that is told to all stands, so that one may be lost.
	reportRepeats = 2
	// service is that of all streams.
	service = "llm"
)

// Result is what came of one way.
type Result struct {
	Way      string `json:"way"`
	Streams  int    `json:"streams"`
	Resumed  int    `json:"resumed"`  // requests that resume a stream
	WentOn   int    `json:"went_on"`  // at the version that began the stream
	Mixed    int    `json:"mixed"`    // at another version
	Unknown  int    `json:"unknown"`  // rejected, since nobody that was asked knew the version
	Gone     int    `json:"gone"`     // rejected, since the version did not serve any more
	Asked    int    `json:"asked"`    // resumptions for which peers were asked
	Datagram int    `json:"datagram"` // sent only for this, by all gateways
	// SentBytes and HeardBytes are of a gateway a second, on average; Records are those that a gateway holds.
	SentBytes  float64 `json:"sent_bytes_per_s"`
	HeardBytes float64 `json:"heard_bytes_per_s"`
	Records    float64 `json:"records"`
}

// play is one run of a way.
type play struct {
	*fleet
	way    Way
	rng    *rand.Rand
	result Result
	sent   int // bytes
	heard  int
	kept   int // records added at gateways
}

// stream is a stream as its caller holds it.
type stream struct {
	id      string
	version string // that of its first event
	began   time.Duration
	// holders are the gateways that have been told the origin, and when; the first is the one that has sent the first event.
	holders []holder
}

type holder struct {
	gateway *gateway
	since   time.Duration
}

// Run plays the same streams and faults for each way. Error: errs.BadSettings.
func Run(o Options, ways []Way) (*Report, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	r := &Report{Options: o}
	for _, w := range ways {
		p := &play{fleet: newFleet(o), way: w, rng: rand.New(rand.NewPCG(o.Seed, 2)), result: Result{Way: w.String()}}
		p.run()
		r.Ways = append(r.Ways, p.result)
	}
	return r, nil
}

// run plays all streams.
func (p *play) run() {
	end := time.Duration(p.o.Seconds) * time.Second
	count := int(p.o.Streams * float64(p.o.Seconds*p.o.Gateways))
	for i := range count {
		at := time.Duration(p.rng.Int64N(int64(end)))
		if g := p.anyUp(p.rng, at); g != nil {
			p.playStream(&stream{id: fmt.Sprintf("s%d", i), began: at}, g)
		}
	}
	gatewaySeconds := float64(p.o.Seconds * p.o.Gateways)
	p.result.SentBytes, p.result.HeardBytes = float64(p.sent)/gatewaySeconds, float64(p.heard)/gatewaySeconds
	p.result.Records = float64(p.kept) / gatewaySeconds * origin.Lifetime.Seconds()
}

// playStream plays a stream from its first event to its end, over all gateways that its caller comes to.
func (p *play) playStream(s *stream, g *gateway) {
	p.result.Streams++
	s.version = p.firstVersion(s, g)
	for at, left := s.began, p.o.Length; ; {
		p.announce(s, g, at)
		broken, isBroken := p.breakOf(g, at, at+left)
		if !isBroken {
			return
		}
		left -= broken - at
		at = broken + p.o.Return/10 + time.Duration(p.rng.Int64N(int64(p.o.Return)))
		if g = p.anyUp(p.rng, at); g == nil || !p.resume(s, g, at) {
			return
		}
	}
}

// firstVersion returns the version at which a gateway begins a stream.
func (p *play) firstVersion(s *stream, g *gateway) string {
	known := p.versionsAt(g, s.began)
	if p.way == ByID {
		return versionByID(s.id, known)
	}
	return known[p.rng.IntN(len(known))]
}

// versionByID picks one of the versions by the id, and the same one while it serves, whichever others do.
func versionByID(id string, versions []string) string {
	return slices.MaxFunc(versions, func(a, b string) int {
		if xxhash.Sum64String(id+" "+a) < xxhash.Sum64String(id+" "+b) {
			return -1
		}
		return 1
	})
}

// breakOf returns when a stream at a gateway breaks, if it does before it ends.
func (p *play) breakOf(g *gateway, from, to time.Duration) (at time.Duration, isBroken bool) {
	at = to
	if p.rng.Float64() < p.o.Break {
		at, isBroken = from+time.Duration(p.rng.Int64N(int64(to-from))), true
	}
	for _, down := range g.downs {
		if down.from > from && down.from < at {
			at, isBroken = down.from, true
		}
	}
	return at, isBroken
}

// announce tells the origin of a stream after its first event at a gateway.
func (p *play) announce(s *stream, g *gateway, at time.Duration) {
	p.hold(s, g, at)
	var receivers []*gateway
	size := p.size(origin.Message{Records: []origin.Record{p.record(s)}}) + datagramHeader
	repeats := 1
	switch p.way {
	case Keepers:
		receivers = p.first(s, g, at, origin.KeeperCount)
		p.result.Datagram += len(receivers)
	case Broadcast:
		// With the reports that are sent anyway: a key and the number of an origin.
		size, repeats = p.rowSize(s), reportRepeats
		receivers = p.livePeers(g, at)
	default:
		return
	}
	for _, r := range receivers {
		p.sent += repeats * size
		isHeard := false
		for range repeats {
			if p.isDelivered(p.rng, g, r, at) {
				p.heard += size
				isHeard = true
			}
		}
		if arrives := at + p.delay(); isHeard && g.hasKept(at, arrives) {
			p.hold(s, r, arrives)
		}
	}
}

func (p *play) delay() time.Duration { return time.Duration(p.rng.Int64N(int64(p.o.Delay))) }

func (p *play) record(s *stream) origin.Record {
	return origin.Record{Key: origin.NewKey("", s.id), Origin: serving.Origin{Service: service, Version: s.version}}
}

// rowSize returns by how many bytes a record extends a message that has others of the same origin.
func (p *play) rowSize(s *stream) int {
	one, two := origin.Message{Records: []origin.Record{p.record(s)}}, origin.Message{Records: []origin.Record{p.record(s), p.record(s)}}
	return p.size(two) - p.size(one)
}

// size returns the size of a message in bytes.
func (p *play) size(m origin.Message) int {
	data, err := m.Encode()
	if err != nil {
		panic(err) // these messages can be encoded
	}
	return len(data)
}

// hold records that a gateway knows the origin from a time on.
func (p *play) hold(s *stream, g *gateway, since time.Duration) {
	s.holders = append(s.holders, holder{g, since})
	p.kept++
}

// first returns the live peers of a gateway that come first for a stream.
func (p *play) first(s *stream, g *gateway, at time.Duration, n int) []*gateway {
	live := p.livePeers(g, at)
	addrs := make([]netip.AddrPort, len(live))
	for i, l := range live {
		addrs[i] = l.addr
	}
	var list []*gateway
	for _, addr := range origin.Keepers(origin.NewKey("", s.id), addrs, n) {
		list = append(list, live[slices.Index(addrs, addr)])
	}
	return list
}

// knows reports whether a gateway has the origin of a stream at a time.
func (s *stream) knows(g *gateway, at time.Duration) bool {
	return slices.ContainsFunc(s.holders, func(h holder) bool { return h.gateway == g && h.since <= at && g.hasKept(h.since, at) })
}

// resume plays the request of a caller that resumes a stream at a gateway. It reports whether the stream goes on.
func (p *play) resume(s *stream, g *gateway, at time.Duration) bool {
	p.result.Resumed++
	serving := p.versionsAt(g, at)
	version, isKnown := p.versionOf(s, g, at, serving)
	switch {
	case !isKnown:
		p.result.Unknown++
		return false
	case !slices.Contains(serving, version):
		p.result.Gone++
		return false
	case version != s.version:
		p.result.Mixed++
		return true
	}
	p.result.WentOn++
	return true
}

// versionOf returns the version at which a gateway goes on with a stream.
func (p *play) versionOf(s *stream, g *gateway, at time.Duration, serving []string) (version string, isKnown bool) {
	switch p.way {
	case AnyVersion:
		return serving[p.rng.IntN(len(serving))], true
	case ByID:
		return versionByID(s.id, serving), true
	}
	if s.knows(g, at) {
		return s.version, true
	}
	asked := p.livePeers(g, at)
	if p.way == Keepers {
		asked = p.first(s, g, at, origin.AskedCount)
	}
	p.result.Asked++
	return s.version, p.ask(s, g, at, asked)
}

// ask plays a question to peers and its answers. It reports whether one of them knows the origin.
func (p *play) ask(s *stream, g *gateway, at time.Duration, asked []*gateway) (isKnown bool) {
	question := p.size(origin.Message{Query: 1 << 20, Asked: []origin.Key{origin.NewKey("", s.id)}}) + datagramHeader
	answer := p.size(origin.Message{Answers: 1 << 20, Records: []origin.Record{p.record(s)}}) + datagramHeader
	for _, peer := range asked {
		for range reportRepeats { // an unanswered question is repeated
			p.result.Datagram++
			p.sent += question
			if !p.isDelivered(p.rng, g, peer, at) {
				continue
			}
			p.heard += question + answer
			p.result.Datagram++
			p.sent += answer
			if p.isDelivered(p.rng, peer, g, at) {
				isKnown = isKnown || s.knows(peer, at)
				break
			}
		}
	}
	return isKnown
}
