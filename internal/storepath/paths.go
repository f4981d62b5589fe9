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
	// hedgeDelay is how long a small direct call may take before a second copy of it is sent through a peer. A
	// slow store takes up to 300 ms. If the store does not answer a Join, the copy must renew a group membership
	// with a lease of 1.5 s before the lease expires. Reads are not sent again after this delay: a page of 1 MB
	// takes about 270 ms on a link of 30 Mbit/s, and longer from a slow store, and a second copy of the page
	// slows down both.
	hedgeDelay = 400 * time.Millisecond
	// maxUnansweredCalls is how many direct calls in a row must remain unanswered until the direct path
	// counts as lost. When the store discards its history, it breaks off all reads that wait for new records.
	// With 1, all gateways would count the direct path as lost at that moment, and none could relay for
	// another.
	maxUnansweredCalls = 2
	// directProbeInterval is the time between two direct calls that probe the direct path while it is lost.
	directProbeInterval = 500 * time.Millisecond
	// maxPeerReadBytes bounds the records that one read returns through a peer, since they cross two links.
	maxPeerReadBytes = 256 << 10
	// maxPeerStores bounds the stores in Paths.peerStores, where those of removed gateways would otherwise
	// accumulate. When the bound is reached, all are discarded, and each is created again when it is next used.
	maxPeerStores = 256
	// maxPeersPerCall is how many peers a call is sent to, one after another, until one returns an answer.
	maxPeersPerCall = 2
)

// Peers finds other gateways that can relay calls to the store.
type Peers interface {
	// PeersWithStore returns the relay addresses (IP:port) of peers that reach the store directly, as far
	// as this process knows. The caller may reorder the slice.
	PeersWithStore() []string
}

// NoPeers is an implementation of Peers that finds none, for a process that has only the direct path.
type NoPeers struct{}

// PeersWithStore implements Peers.
func (NoPeers) PeersWithStore() []string { return nil }

// Paths is a platform.Store that makes each call directly or through a peer. It is safe for concurrent use.
type Paths struct {
	direct        platform.Store
	peers         Peers
	makePeerStore func(addr string) platform.Store // newPeerStore, or a fake in tests
	log           hclog.Logger
	reg           metrics.Registry

	mu              sync.Mutex
	unansweredCalls int                       // the last direct calls in a row without an answer
	lostSince       time.Time                 // when the direct path was lost; zero while it is good
	nextProbeAt     time.Time                 // when the lost direct path may be probed next
	directLost      chan struct{}             // closed when the direct path is lost, replaced when it is restored
	peerStores      map[string]platform.Store // stores that call through a peer, by the address of its relay
	lastPeer        string                    // relay address of the peer that answered the last relayed call; empty if none did
}

// New returns a Paths whose direct path is direct. It counts the calls through peers in reg.
func New(direct platform.Store, peers Peers, log hclog.Logger, reg metrics.Registry) *Paths {
	return &Paths{
		direct: direct, peers: peers, log: log, reg: reg, peerStores: make(map[string]platform.Store), directLost: make(chan struct{}),
		makePeerStore: func(addr string) platform.Store { return newPeerStore(addr) },
	}
}

// IsDirectLost reports whether the direct path is lost, that is, whether maxUnansweredCalls direct calls in a row
// were not answered and no later one was.
func (p *Paths) IsDirectLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.lostSince.IsZero()
}

// Append implements platform.Store. A write without a condition may be sent twice. If it has a producer, the
// store executes its sequence number only once. Otherwise the second copy writes the same values under the same
// keys, so the newest record of each key has the same value as after one copy. A write on condition that the
// partition ends at a given position is sent on a second path only if the first copy was certainly not executed.
func (p *Paths) Append(ctx context.Context, write platform.Append) (platform.Appended, error) {
	return execute(ctx, p, callKind{isRepeatable: write.At == nil, canProbe: write.At == nil}, func(ctx context.Context, s platform.Store) (platform.Appended, error) {
		return s.Append(ctx, write)
	})
}

// Read implements platform.Store. A read through a peer returns at most maxPeerReadBytes.
func (p *Paths) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	return execute(ctx, p, callKind{isRepeatable: true, isBulk: true}, func(ctx context.Context, s platform.Store) (platform.Records, error) {
		if s == p.direct {
			return s.Read(ctx, r)
		}
		bounded := r
		bounded.MaxBytes = min(r.MaxBytes, maxPeerReadBytes)
		return s.Read(ctx, bounded)
	})
}

// Newest implements platform.Store.
func (p *Paths) Newest(ctx context.Context, partition platform.Partition, after string) (platform.NewestPage, error) {
	return execute(ctx, p, callKind{isRepeatable: true, isBulk: true, isPage: true}, func(ctx context.Context, s platform.Store) (platform.NewestPage, error) {
		return s.Newest(ctx, partition, after)
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

// callKind holds the properties of a call that decide on which paths it is made.
type callKind struct {
	isRepeatable bool // a second copy of the call has no further effect
	isBulk       bool // the answer may be large or wait for new records: no second copy after hedgeDelay
	// isPage marks a read of a page of up to 1 MB. An unanswered direct call for it does not count towards the
	// loss of the direct path, and is not repeated through peers while that path is good: the store may only be
	// busy with other large reads. It would then reject a peer as well, and the page would cross two more links.
	isPage   bool
	canProbe bool // the call is small, and may be made directly to probe a lost direct path
}

// path is the way on which a call is made first.
type path uint8

const (
	pathDirect path = iota // directly, since the direct path is good
	pathProbe              // directly, to check whether the lost direct path is restored
	pathPeers              // through peers, and directly if no peer answers
)

// storeCall calls one method of a store with fixed arguments.
type storeCall[T any] func(context.Context, platform.Store) (T, error)

// result holds what a storeCall has returned.
type result[T any] struct {
	value T
	err   error
}

// isAnswered reports whether err, as returned by a call, means that the call is answered: the store has processed
// it, and err is nil or the error that resulted. A call is unanswered if the store was not reached or broke off
// a read (errs.LogDown), if its answer to a write did not arrive (errs.AppendUnknown), or if it rejected the call
// unprocessed because its rate limit is exceeded (errs.LogBusy).
func isAnswered(err error) bool {
	return err == nil || !(errs.Is(err, errs.LogDown) || errs.Is(err, errs.LogBusy) || errs.Is(err, errs.AppendUnknown))
}

// isFinal reports whether a call that returned err must not be made on another path: the store has answered, or
// may have executed a call that is not repeatable.
func (k callKind) isFinal(err error) bool {
	return isAnswered(err) || !k.isRepeatable && errs.Is(err, errs.AppendUnknown)
}

// execute makes a call on the path that choosePath returns. If the call remains unanswered there, execute also
// makes it on the other path, unless isFinal or executeHedged rules that out.
func execute[T any](ctx context.Context, p *Paths, kind callKind, call storeCall[T]) (T, error) {
	chosenPath := p.choosePath(kind, time.Now())
	if chosenPath == pathPeers {
		if r, ok := executeThroughPeers(ctx, p, kind, call); ok {
			return r.value, r.err
		}
	}
	r := executeHedged(ctx, p, kind, chosenPath, call)
	return r.value, r.err
}

// executeHedged makes a call directly. If the direct call takes longer than hedgeDelay, is not answered, or is
// still running when the direct path is lost, executeHedged also makes the call through peers, with three
// exceptions. The delay does not apply to a bulk call. An unanswered page is not repeated while the direct path
// is good. A call that is not repeatable is made through peers only if the direct one was certainly not executed.
func executeHedged[T any](ctx context.Context, p *Paths, kind callKind, chosenPath path, call storeCall[T]) result[T] {
	directCtx, stop := context.WithCancel(ctx)
	defer stop()
	direct := make(chan result[T], 1)
	go func() {
		v, err := call(directCtx, p.direct)
		if directCtx.Err() == nil && (isAnswered(err) || !kind.isPage) {
			p.recordDirectResult(err)
		}
		direct <- result[T]{v, err}
	}()
	var hedge, directLost <-chan struct{} // a nil channel never triggers a second copy of the call
	if !kind.isBulk {
		timer := sleep.NewTimer(hedgeDelay)
		defer timer.Stop()
		hedge = timer.C
	}
	if chosenPath == pathDirect {
		directLost = p.directLostSignal()
	}
	select {
	case r := <-direct:
		if kind.isFinal(r.err) || ctx.Err() != nil || kind.isPage && chosenPath == pathDirect {
			return r
		}
		if peerResult, ok := executeThroughPeers(ctx, p, kind, call); ok {
			return peerResult
		}
		return r
	case <-hedge:
	case <-directLost:
	}
	if !kind.isRepeatable {
		return <-direct
	}
	if r, ok := executeThroughPeers(ctx, p, kind, call); ok && isAnswered(r.err) {
		p.recordDirectResult(errs.New(errs.LogDown, "the store answered a call through a peer, but not the direct one"))
		return r
	}
	return <-direct
}

// directLostSignal returns the channel that is closed when the direct path is next lost, or is closed already
// if it is lost now.
func (p *Paths) directLostSignal() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.directLost
}

// executeThroughPeers makes a call through up to maxPeersPerCall peers, one after another, until one returns a
// final result (see isFinal) or ctx ends. Otherwise ok is false, and the call may be made on another path.
func executeThroughPeers[T any](ctx context.Context, p *Paths, kind callKind, call storeCall[T]) (r result[T], ok bool) {
	for _, addr := range p.selectPeers() {
		r.value, r.err = call(ctx, p.peerStoreAt(addr))
		if kind.isFinal(r.err) {
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

// choosePath returns the path on which a call that starts now is made first. For a probe of the direct path it
// also sets the time of the next one.
func (p *Paths) choosePath(kind callKind, now time.Time) path {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostSince.IsZero() {
		return pathDirect
	}
	if !kind.canProbe || now.Before(p.nextProbeAt) {
		return pathPeers
	}
	p.nextProbeAt = now.Add(directProbeInterval)
	return pathProbe
}

// recordDirectResult records the error of a direct call, nil for none. It logs when the direct path is lost or
// restored by that.
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

// selectPeers returns the addresses of the peers that a call is sent to, in this order. The peer that answered
// the last call comes first.
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

// recordServingPeer records the address of the peer that has answered a call; empty if a peer gave no answer.
func (p *Paths) recordServingPeer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if addr != "" && addr != p.lastPeer {
		p.log.Info("store reached through a peer", "peer", addr)
	}
	p.lastPeer = addr
}

// peerStoreAt returns the store that calls through the relay at addr, and creates and caches it at first use.
func (p *Paths) peerStoreAt(addr string) platform.Store {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.peerStores[addr]
	if !ok {
		if len(p.peerStores) >= maxPeerStores {
			clear(p.peerStores)
		}
		s = p.makePeerStore(addr)
		p.peerStores[addr] = s
	}
	return s
}

// countPeerCall counts a call through a peer; outcome is "answered" or "unanswered".
func (p *Paths) countPeerCall(outcome string) {
	metrics.GetOrRegisterCounter("store.peer."+outcome, p.reg).Inc(1)
}

var _ platform.Store = (*Paths)(nil)
