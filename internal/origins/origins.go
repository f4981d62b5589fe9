// Package origins records which software began the streams of a gateway, announces it to peers and finds it for
// streams that callers resume here after they began at another gateway. The records and the choice of the peers are
// in package core/origin.
package origins

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/origin"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/logging"
)

const (
	// shardCount is the number of shards of the records, each under its own lock.
	shardCount = 16
	// announceDelay is how long records wait for others that go to the same peers.
	announceDelay = 2 * time.Millisecond
	// retryInterval is the interval at which records that too few peers have got are sent to peers that have become
	// live, and retryFor how long that goes on: peers start at different times, and a host may be cut off for seconds.
	retryInterval = 200 * time.Millisecond
	retryFor      = 5 * time.Second
	// repeatAfter is the time after which a question is sent again to the peers that have not answered.
	repeatAfter = 40 * time.Millisecond
	// findTimeout bounds the time for which answers are awaited. It is some times longer than a datagram takes to
	// another region and back, and short for a caller that waits for the next event.
	findTimeout = 200 * time.Millisecond
	// peersPollInterval is the interval at which a question waits for the list of peers shortly after the start.
	peersPollInterval = 10 * time.Millisecond
	// maxQueries bounds the questions that await answers at one time; further ones are not asked.
	maxQueries = 4096
	// maxPending bounds the records that wait to be announced; further ones are kept here alone.
	maxPending = 8192
)

// Names of the metrics.
const (
	announcedMetric = "origins.announced" // records sent to peers, each counted once for each peer
	askedMetric     = "origins.asked"     // questions to peers
	foundMetric     = "origins.found"     // questions that a peer has answered with an origin
	unsentMetric    = "origins.unsent"    // records that were not announced, since too many were waiting
)

// Transport sends messages to peers. The messages of peers are passed to Registry.HandleMessage.
type Transport interface {
	// LivePeers returns the addresses of the peers that are live. isKnown is false shortly after the start, while
	// some peers are not known yet.
	LivePeers() (addrs []netip.AddrPort, isKnown bool)
	// SendMessage sends a message to a peer. It may get lost.
	SendMessage(payload []byte, to netip.AddrPort)
}

// NoPeers is a Transport of a process without peers.
type NoPeers struct{}

// LivePeers implements Transport.
func (NoPeers) LivePeers() (addrs []netip.AddrPort, isKnown bool) { return nil, true }

// SendMessage implements Transport.
func (NoPeers) SendMessage([]byte, netip.AddrPort) {}

// Registry holds the origins that this gateway knows. It is safe for concurrent use.
type Registry struct {
	log        hclog.Logger
	routineLog *logging.Routine
	reg        metrics.Registry
	transport  Transport
	history    History // nil if questions about routes are not answered
	shards     [shardCount]shard
	wake       chan struct{} // holds a value while records are pending

	mu        sync.Mutex
	pending   []*announcement
	queries   map[uint32]*query
	lastQuery uint32
}

// announcement is a record that is to be sent to its keepers.
type announcement struct {
	record origin.Record
	sentTo []netip.AddrPort
	until  time.Time // it is not retried later
}

// shard is a part of the records.
type shard struct {
	mu    sync.Mutex
	table *origin.Table
}

// query is a question that awaits answers.
type query struct {
	unanswered map[netip.AddrPort]struct{}
	done       chan struct{} // closed when an origin is found or all have answered
	isDone     bool
	only       *origin.OnlyOrigin // the first answer to a question about a route
}

// History tells what this gateway knows of the versions that services have had.
type History interface {
	// LocalOnly returns the origin of all streams on a route that can still be resumed, and how long ago the store last
	// confirmed the list of targets by which that is known; ok is false if there can be several origins.
	LocalOnly(route origin.RouteID) (o serving.Origin, age time.Duration, ok bool)
}

// SetHistory sets what questions of peers about routes are answered from. It is not safe to call it while the registry is
// in use.
func (r *Registry) SetHistory(h History) { r.history = h }

// New returns a registry without records. Until SetTransport is called it has no peers.
func New(log hclog.Logger, reg metrics.Registry) *Registry {
	r := &Registry{transport: NoPeers{}, log: log, routineLog: logging.NewRoutine(log), reg: reg, wake: make(chan struct{}, 1), queries: make(map[uint32]*query)}
	for i := range r.shards {
		r.shards[i].table = origin.NewTable(origin.MaxRecords / shardCount)
	}
	return r
}

// SetTransport sets the transport. It is not safe to call it while the registry is in use.
func (r *Registry) SetTransport(t Transport) { r.transport = t }

// Announce records the origin of a stream that this gateway serves and sends it to the keepers. It does not block.
func (r *Registry) Announce(record origin.Record) {
	r.add(record)
	r.mu.Lock()
	isFull := len(r.pending) >= maxPending
	if !isFull {
		r.pending = append(r.pending, &announcement{record: record, until: time.Now().Add(retryFor)})
	}
	r.mu.Unlock()
	if isFull {
		metrics.GetOrRegisterCounter(unsentMetric, r.reg).Inc(1)
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run sends announcements until ctx ends.
func (r *Registry) Run(ctx context.Context) error {
	retry := sleep.NewTimer(retryInterval)
	defer retry.Stop()
	isRetryDue := false
	for {
		var retryDue <-chan struct{} // nil, so that an idle process is not woken, unless records wait for peers
		if isRetryDue {
			retryDue = retry.C
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			sleep.For(ctx, announceDelay)
		case <-retryDue:
		}
		isRetryDue = r.sendPending(time.Now())
		retry.Reset(retryInterval)
	}
}

// sendPending sends the pending records to those of their keepers that have not got them, and keeps the records for
// which there are too few peers. It reports whether there are any of these.
func (r *Registry) sendPending(now time.Time) (isRetryDue bool) {
	pending := r.takePending()
	peers, _ := r.transport.LivePeers()
	byKeeper := make(map[netip.AddrPort][]origin.Record)
	var unfinished []*announcement
	for _, a := range pending {
		for _, addr := range origin.Keepers(a.record.Key, peers, origin.KeeperCount) {
			if !slices.Contains(a.sentTo, addr) {
				a.sentTo = append(a.sentTo, addr)
				byKeeper[addr] = append(byKeeper[addr], a.record)
			}
		}
		if len(a.sentTo) < origin.KeeperCount && now.Before(a.until) {
			unfinished = append(unfinished, a)
		}
	}
	for addr, records := range byKeeper {
		metrics.GetOrRegisterCounter(announcedMetric, r.reg).Inc(int64(len(records)))
		for chunk := range slices.Chunk(records, origin.MaxRows) {
			r.send(origin.Message{Records: chunk}, addr)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(unfinished, r.pending...)
	return len(unfinished) > 0
}

// takePending returns the pending announcements and clears them.
func (r *Registry) takePending() []*announcement {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending = nil
	return pending
}

// send sends a message to a peer. An error is logged; the message is then lost.
func (r *Registry) send(m origin.Message, to netip.AddrPort) {
	data, err := m.Encode()
	if err != nil {
		r.log.Error("cannot encode origins", "error", err)
		return
	}
	r.transport.SendMessage(data, to)
}

// add records an origin here.
func (r *Registry) add(record origin.Record) {
	s := r.shardOf(record.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Add(time.Now(), record)
}

// get returns the record of a stream that this gateway has.
func (r *Registry) get(key origin.Key) (origin.Record, bool) {
	s := r.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(time.Now(), key)
}

func (r *Registry) shardOf(key origin.Key) *shard { return &r.shards[key%shardCount] }

// Len returns the number of records.
func (r *Registry) Len() int {
	sum := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		sum += s.table.Len()
		s.mu.Unlock()
	}
	return sum
}

// Find returns the origin of a stream: the one recorded here or else that of the peers, which it asks for up to
// findTimeout. ok is false if none of them knows it for certain.
func (r *Registry) Find(ctx context.Context, key origin.Key) (o serving.Origin, source origin.Source, ok bool) {
	source = origin.SourceSelf
	record, isKnown := r.get(key)
	if !isKnown {
		r.ask(ctx, key)
		source = origin.SourcePeer
		record, isKnown = r.get(key)
	}
	switch {
	case !isKnown:
		return serving.Origin{}, origin.SourceNone, false
	case record.IsUncertain:
		return serving.Origin{}, origin.SourceUncertain, false
	}
	if source == origin.SourcePeer {
		metrics.GetOrRegisterCounter(foundMetric, r.reg).Inc(1)
	}
	return record.Origin, source, true
}

// ask asks peers for the origin of a stream. An answer is recorded.
func (r *Registry) ask(ctx context.Context, key origin.Key) {
	r.query(ctx, key, origin.Message{Asked: []origin.Key{key}})
}

// AskOnly asks peers for the origin of all streams on a route that can still be resumed. age is how long ago the list by
// which the peer knows it was confirmed, at most.
func (r *Registry) AskOnly(ctx context.Context, route origin.RouteID) (o serving.Origin, age time.Duration, ok bool) {
	began := time.Now()
	only := r.query(ctx, origin.NewKey(route.Host, route.Prefix), origin.Message{Route: &route})
	if only == nil {
		return serving.Origin{}, 0, false
	}
	return serving.Origin{Service: only.Service, Version: only.Version}, only.Age + time.Since(began), true
}

// query sends a question to the peers that come first for a key, and returns when one has told what is asked for, all
// have answered, ctx has ended or findTimeout has passed. It returns the answer to a question about a route.
func (r *Registry) query(ctx context.Context, key origin.Key, m origin.Message) *origin.OnlyOrigin {
	id, q := r.newQuery(origin.Keepers(key, r.awaitPeers(ctx), origin.AskedCount))
	if q == nil {
		return nil
	}
	defer r.removeQuery(id)
	metrics.GetOrRegisterCounter(askedMetric, r.reg).Inc(1)
	timeout := sleep.NewTimer(findTimeout)
	defer timeout.Stop()
	repeat := sleep.NewTimer(repeatAfter)
	defer repeat.Stop()
	m.Query = id
	for {
		for _, addr := range r.unanswered(q) {
			r.send(m, addr)
		}
		select {
		case <-q.done:
			return r.onlyOf(q)
		case <-ctx.Done():
			return nil
		case <-timeout.C:
			return nil
		case <-repeat.C:
			repeat.Reset(repeatAfter)
		}
	}
}

// onlyOf returns the answer to a question about a route; nil if there is none.
func (r *Registry) onlyOf(q *query) *origin.OnlyOrigin {
	r.mu.Lock()
	defer r.mu.Unlock()
	return q.only
}

// awaitPeers returns the live peers, shortly after the start only once they are known or ctx has ended.
func (r *Registry) awaitPeers(ctx context.Context) []netip.AddrPort {
	for {
		peers, isKnown := r.transport.LivePeers()
		if isKnown || !sleep.For(ctx, peersPollInterval) {
			return peers
		}
	}
}

// newQuery registers a question to peers. The query is nil if there is nobody to ask or too many questions await
// answers.
func (r *Registry) newQuery(peers []netip.AddrPort) (id uint32, q *query) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(peers) == 0 || len(r.queries) >= maxQueries {
		return 0, nil
	}
	q = &query{unanswered: make(map[netip.AddrPort]struct{}, len(peers)), done: make(chan struct{})}
	for _, addr := range peers {
		q.unanswered[addr] = struct{}{}
	}
	for r.lastQuery++; r.lastQuery == 0 || r.queries[r.lastQuery] != nil; r.lastQuery++ {
		continue // 0 means no question, and numbers start over
	}
	r.queries[r.lastQuery] = q
	return r.lastQuery, q
}

func (r *Registry) removeQuery(id uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.queries, id)
}

// unanswered returns the peers that have not answered a question.
func (r *Registry) unanswered(q *query) []netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	addrs := make([]netip.AddrPort, 0, len(q.unanswered))
	for addr := range q.unanswered {
		addrs = append(addrs, addr)
	}
	return addrs
}

// HandleMessage applies a message of the peer at an address.
func (r *Registry) HandleMessage(payload []byte, from netip.AddrPort) {
	m, err := origin.DecodeMessage(payload)
	if err != nil {
		r.routineLog.Info(time.Now(), "cannot decode origins", "from", from.String(), "error", err)
		return
	}
	for _, record := range m.Records {
		r.add(record)
	}
	if m.Query != 0 {
		r.answer(m, from)
	}
	if m.Answers != 0 {
		r.noteAnswer(m, from)
	}
}

// answer answers the question of a peer.
func (r *Registry) answer(question origin.Message, from netip.AddrPort) {
	reply := origin.Message{Answers: question.Query}
	for _, key := range question.Asked {
		if record, ok := r.get(key); ok {
			reply.Records = append(reply.Records, record)
		} else {
			reply.Asked = append(reply.Asked, key)
		}
	}
	if question.Route != nil && r.history != nil {
		if o, age, ok := r.history.LocalOnly(*question.Route); ok {
			reply.Only = &origin.OnlyOrigin{Service: o.Service, Version: o.Version, Age: age}
		}
	}
	r.send(reply, from)
}

// noteAnswer records the answer of a peer to a question. Its records have been added before.
func (r *Registry) noteAnswer(m origin.Message, from netip.AddrPort) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q, ok := r.queries[m.Answers]
	if !ok {
		return
	}
	delete(q.unanswered, from)
	if q.only == nil {
		q.only = m.Only
	}
	if !q.isDone && (len(m.Records) > 0 || m.Only != nil || len(q.unanswered) == 0) {
		q.isDone = true
		close(q.done)
	}
}
