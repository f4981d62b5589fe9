package storepath

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// hedgeDelay is how long a small call may take on a path in good state before the same call is sent
	// through a peer. A slow store takes up to 300 ms; with a store that does not answer, a peer must renew
	// a member's lease of 1.5 s in time. Reads are not hedged: a page of 1 MB takes that long on a link of
	// 30 Mbit/s, and a second copy of it slows down both.
	hedgeDelay = 400 * time.Millisecond
	// maxUnansweredCalls is how many direct calls in a row must remain unanswered until the direct path
	// counts as lost. The store breaks off reads that wait for news when it discards its history: with 1,
	// all gateways counted that as a loss at the same moment, and none could relay for another.
	maxUnansweredCalls = 2
	// directProbeInterval is how often the direct path is probed while it is lost.
	directProbeInterval = 500 * time.Millisecond
	// maxPeerReadBytes bounds a read through a peer, since its records cross two links.
	maxPeerReadBytes = 256 << 10
	// maxPeerStores bounds the cached clients of peers. Gateways are added and removed; beyond the bound,
	// all clients are created again.
	maxPeerStores = 256
	// maxPeersPerCall is how many peers one call tries.
	maxPeersPerCall = 2
)

// Peers finds other processes that can relay calls to the store.
type Peers interface {
	// PeersWithStore returns the relay addresses (IP:port) of peers that reach the store directly, as far
	// as this process knows.
	PeersWithStore() []string
}

// NoPeers finds no peers: a process that has lost the store waits until it is reachable again.
type NoPeers struct{}

// PeersWithStore implements Peers.
func (NoPeers) PeersWithStore() []string { return nil }

// Paths is the store as reached directly or through peers. It implements platform.Store and is safe for
// concurrent use.
type Paths struct {
	direct platform.Store
	peers  Peers
	dial   func(addr string) platform.Store
	log    hclog.Logger
	reg    metrics.Registry

	mu              sync.Mutex
	unansweredCalls int                       // direct calls in a row without an answer
	lostSince       time.Time                 // when the direct path was lost; zero while it is good
	nextProbeAt     time.Time                 // when the direct path is probed next
	directLost      chan struct{}             // closed when the direct path is lost, replaced when it is restored
	peerStores      map[string]platform.Store // by address
	lastPeer        string                    // address of the peer that served the last relayed call; tried first
}

// New returns the paths to the store that direct reaches from this process.
func New(direct platform.Store, peers Peers, log hclog.Logger, reg metrics.Registry) *Paths {
	return &Paths{
		direct: direct, peers: peers, log: log, reg: reg, peerStores: make(map[string]platform.Store), directLost: make(chan struct{}),
		dial: func(addr string) platform.Store { return newPeerStore(addr) },
	}
}

// Lost reports whether the direct path to the store is lost.
func (p *Paths) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostSince.IsZero()
}

// Append implements platform.Store. A write without a condition can safely be repeated: the sequence number
// of its producer, or the meaning of its records, makes it idempotent. A write with a condition uses a
// single path until its outcome is known.
func (p *Paths) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	return execute(ctx, p, callKind{isRepeatable: a.At == nil, canProbe: a.At == nil}, func(ctx context.Context, s platform.Store) (platform.Appended, error) {
		return s.Append(ctx, a)
	})
}

// Read implements platform.Store.
func (p *Paths) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	return execute(ctx, p, callKind{isRepeatable: true, isBulk: true}, func(ctx context.Context, s platform.Store) (platform.Records, error) {
		if s == p.direct {
			return s.Read(ctx, r)
		}
		short := r
		short.MaxBytes = min(r.MaxBytes, maxPeerReadBytes)
		return s.Read(ctx, short)
	})
}

// Newest implements platform.Store.
func (p *Paths) Newest(ctx context.Context, part platform.Partition, after string) (platform.NewestPage, error) {
	return execute(ctx, p, callKind{isRepeatable: true, isBulk: true, isPage: true}, func(ctx context.Context, s platform.Store) (platform.NewestPage, error) {
		return s.Newest(ctx, part, after)
	})
}

// Join implements platform.Store.
func (p *Paths) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	return execute(ctx, p, callKind{isRepeatable: true, canProbe: true}, func(ctx context.Context, s platform.Store) (platform.Assignment, error) {
		return s.Join(ctx, m)
	})
}

// Leave implements platform.Store.
func (p *Paths) Leave(ctx context.Context, group, member string) error {
	_, err := execute(ctx, p, callKind{isRepeatable: true, canProbe: true}, func(ctx context.Context, s platform.Store) (struct{}, error) {
		return struct{}{}, s.Leave(ctx, group, member)
	})
	return err
}

// callKind holds the properties that decide the path of a call.
type callKind struct {
	isRepeatable bool // a second copy has no further effect
	isBulk       bool // the answer may be large or wait for news: the call is not hedged
	// isPage marks a read of 1 MB, which the store may refuse or delay while others read as much. That does
	// not indicate a fault of the path: a peer would be refused as well, and the page would cross two more
	// links.
	isPage   bool
	canProbe bool // may probe a lost direct path; only for small calls
}

// path is how a call reaches the store.
type path uint8

const (
	pathDirect path = iota // directly, as long as the direct path is good
	pathProbe              // directly, to check whether the direct path is restored
	pathPeers              // through peers first
)

// storeCall makes one call of a store.
type storeCall[T any] func(context.Context, platform.Store) (T, error)

// result is the outcome of a call.
type result[T any] struct {
	value T
	err   error
}

// isAnswered reports whether err, the result of a call, means that the store has answered, possibly with a
// rejection. Other errors mean that the store was not reached or that its answer did not arrive.
func isAnswered(err error) bool {
	return err == nil || !(errs.Is(err, errs.LogDown) || errs.Is(err, errs.LogBusy) || errs.Is(err, errs.AppendUnknown))
}

// isFinal reports whether a result must be returned as it is, because the call may not be repeated on
// another path.
func (k callKind) isFinal(err error) bool {
	return isAnswered(err) || !k.isRepeatable && errs.Is(err, errs.AppendUnknown)
}

// execute makes one call on the path that is considered good, and on the other one if the first does not
// answer.
func execute[T any](ctx context.Context, p *Paths, k callKind, c storeCall[T]) (T, error) {
	chosen := p.choosePath(k, time.Now())
	if chosen == pathPeers {
		if r, ok := executeThroughPeers(ctx, p, k, c); ok {
			return r.value, r.err
		}
	}
	r := executeHedged(ctx, p, k, chosen, c)
	return r.value, r.err
}

// executeHedged makes a call directly. It also makes it through peers if the direct call takes long or
// fails, or if a good direct path is lost meanwhile.
func executeHedged[T any](ctx context.Context, p *Paths, k callKind, chosen path, c storeCall[T]) result[T] {
	directCtx, stop := context.WithCancel(ctx)
	defer stop()
	direct := make(chan result[T], 1)
	go func() {
		v, err := c(directCtx, p.direct)
		if directCtx.Err() == nil && (isAnswered(err) || !k.isPage) {
			p.recordDirectResult(err)
		}
		direct <- result[T]{v, err}
	}()
	var hedge, lost <-chan struct{} // nil channels never trigger a second copy
	if !k.isBulk {
		timer := sleep.NewTimer(hedgeDelay)
		defer timer.Stop()
		hedge = timer.C
	}
	if chosen == pathDirect {
		lost = p.directLostSignal()
	}
	select {
	case r := <-direct:
		if k.isFinal(r.err) || ctx.Err() != nil || k.isPage && chosen == pathDirect {
			return r
		}
		if other, ok := executeThroughPeers(ctx, p, k, c); ok {
			return other
		}
		return r
	case <-hedge:
	case <-lost:
	}
	if !k.isRepeatable {
		return <-direct
	}
	if r, ok := executeThroughPeers(ctx, p, k, c); ok && isAnswered(r.err) {
		p.recordDirectResult(errs.New(errs.LogDown, "no direct answer, but one through a peer"))
		return r
	}
	return <-direct
}

// directLostSignal returns a channel that is closed once the direct path is lost.
func (p *Paths) directLostSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directLost
}

// executeThroughPeers makes a call through peers that reach the store. ok is false if no peer could forward
// it, so that the call has not been made.
func executeThroughPeers[T any](ctx context.Context, p *Paths, k callKind, c storeCall[T]) (r result[T], ok bool) {
	for _, addr := range p.selectPeers() {
		r.value, r.err = c(ctx, p.peerStoreAt(addr))
		if k.isFinal(r.err) {
			p.countPeerCall("answered")
			p.recordServingPeer(addr)
			return r, true
		}
		p.countPeerCall("unanswered")
		p.recordServingPeer("")
		if ctx.Err() != nil {
			return r, true
		}
	}
	return r, false
}

// choosePath returns the path of a call that starts now.
func (p *Paths) choosePath(k callKind, now time.Time) path {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostSince.IsZero() {
		return pathDirect
	}
	if !k.canProbe || now.Before(p.nextProbeAt) {
		return pathPeers
	}
	p.nextProbeAt = now.Add(directProbeInterval)
	return pathProbe
}

// recordDirectResult updates the state of the direct path with the result of a direct call, and logs a
// change.
func (p *Paths) recordDirectResult(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.unansweredCalls++
	if isAnswered(err) {
		p.unansweredCalls = 0
	}
	switch {
	case p.unansweredCalls == 0 && !p.lostSince.IsZero():
		p.log.Info("own way to the store back", "away_ms", now.Sub(p.lostSince).Milliseconds())
		p.lostSince = time.Time{}
		p.directLost = make(chan struct{})
	case p.unansweredCalls >= maxUnansweredCalls && p.lostSince.IsZero():
		p.log.Warn("own way to the store lost", "error", err)
		p.lostSince, p.nextProbeAt = now, now.Add(directProbeInterval)
		close(p.directLost)
	}
}

// selectPeers returns the peers that a call tries, the one that served last first.
func (p *Paths) selectPeers() []string {
	addrs := p.peers.PeersWithStore()
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, addr := range addrs {
		if addr == p.lastPeer {
			addrs[0], addrs[i] = addrs[i], addrs[0]
		}
	}
	return addrs[:min(len(addrs), maxPeersPerCall)]
}

// recordServingPeer records which peer has served a call; an empty address means that a peer has failed.
func (p *Paths) recordServingPeer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" && addr != p.lastPeer {
		p.log.Info("store reached through a peer", "peer", addr)
	}
	p.lastPeer = addr
}

// peerStoreAt returns the cached client for the relay of a peer, or creates it.
func (p *Paths) peerStoreAt(addr string) platform.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.peerStores[addr]
	if !ok {
		if len(p.peerStores) >= maxPeerStores {
			clear(p.peerStores)
		}
		s = p.dial(addr)
		p.peerStores[addr] = s
	}
	return s
}

// countPeerCall counts a call through a peer by its outcome.
func (p *Paths) countPeerCall(outcome string) {
	metrics.GetOrRegisterCounter("store.peer."+outcome, p.reg).Inc(1)
}

var _ platform.Store = (*Paths)(nil)
