package side

import (
	"context"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// parkedFor is how long an item waits for an owner that is not heard of.
	parkedFor = 30 * time.Second
	// parkedEvery is how often parked items and held outcomes are looked at.
	parkedEvery = 200 * time.Millisecond
	// breakFor is how long streams that broke count as having broken together.
	breakFor = time.Second
)

// itemKey names an item whoever owns it.
type itemKey struct {
	job   structs.JobID
	index int
}

func keyOf(r structs.ItemRef) itemKey { return itemKey{r.Job, r.Index} }

// items are the batch items at this side, and the outcomes that no owner has acknowledged.
type items struct {
	s *Side

	mu     sync.Mutex
	m      map[itemKey]*item
	epochs map[structs.Shard]structs.Epoch // the highest seen
	held   outcomes
	broken []brokenItem
	moved  time.Time // when any item last got something from the target
	mover  *item
}

type brokenItem struct {
	ref structs.ItemRef
	at  time.Time
}

func newItems(s *Side) *items {
	return &items{
		s:      s,
		m:      make(map[itemKey]*item),
		epochs: make(map[structs.Shard]structs.Epoch),
		held:   outcomes{m: make(map[itemKey]*outcome)},
	}
}

// arrive takes in items that p has sent.
func (is *items) arrive(p *peer, list []structs.Item) {
	is.s.puller.delivered(p, len(list))
	for _, it := range list {
		if err := is.s.checkItem(&it); err != nil {
			is.refuse(p, it.Ref, err)
			continue
		}
		i, again := is.admit(p, it)
		if again != nil {
			p.send(&structs.Frame{ItemDone: again})
		}
		if i != nil {
			is.s.queue.arrive(i.request(), i)
		}
	}
}

// refuse answers at once; there is nothing to hold, for the owner still has the item.
func (is *items) refuse(p *peer, ref structs.ItemRef, err *errs.Error) {
	p.send(&structs.Frame{ItemDone: &structs.ItemDone{Ref: ref, Err: err, GaveBack: err.Type != errs.BadRequest}})
}

func (s *Side) checkItem(it *structs.Item) *errs.Error {
	if err := s.closedTo(it.Target); err != nil {
		return err
	}
	switch {
	case (it.Generate != nil) != (s.target.Kind == structs.KindEngine):
		return errs.Newf(errs.BadRequest, "target %q is of another kind", s.target.ID)
	case s.items.staleEpoch(it.Ref):
		return errs.New(errs.StaleEpoch, "the shard has a newer owner").WithRan(errs.RanNo)
	}
	return nil
}

// admit returns the item if it is to be queued, or the outcome if it has one already.
func (is *items) admit(p *peer, it structs.Item) (*item, *structs.ItemDone) {
	is.mu.Lock()
	defer is.mu.Unlock()
	is.epochs[it.Ref.Shard] = max(is.epochs[it.Ref.Shard], it.Ref.Epoch)
	key := keyOf(it.Ref)
	if i, ok := is.m[key]; ok {
		i.adopt(p.host, it.Ref)
		return nil, nil
	}
	if d := is.held.adopt(key, p.host, it.Ref); d != nil {
		return nil, d
	}
	i := newItem(is.s, p.host, it)
	is.m[key] = i
	return i, nil
}

// staleEpoch says that a newer owner of the item's shard has been heard of.
func (is *items) staleEpoch(r structs.ItemRef) bool {
	is.mu.Lock()
	defer is.mu.Unlock()
	return r.Epoch < is.epochs[r.Shard]
}

// all returns the items that f picks.
func (is *items) all(f func(*item) bool) []*item {
	is.mu.Lock()
	defer is.mu.Unlock()
	var picked []*item
	for _, i := range is.m {
		if f(i) {
			picked = append(picked, i)
		}
	}
	return picked
}

// stop ends the items of a cancelled job.
func (is *items) stop(m *structs.ItemStop) {
	err := errs.New(errs.Cancelled, "the job was cancelled")
	cancelled := is.all(func(i *item) bool {
		return i.it.Ref.Job == m.Job && (m.All || i.it.Ref.Index == m.Index)
	})
	// All are marked before any is stopped: a place that one gives back would
	// else be taken by the next that is to be stopped.
	for _, i := range cancelled {
		i.markStopped(err)
	}
	for _, i := range cancelled {
		i.withdraw(err)
	}
}

// drain gives back what has not started, and what can be stopped without loss of knowledge.
func (is *items) drain() {
	for _, i := range is.all(func(*item) bool { return true }) {
		if i.is(itemParked) {
			i.giveBack(drainingErr())
			continue
		}
		i.preempt()
	}
}

// ended takes the item out and holds its outcome until the owner acknowledges it.
func (is *items) ended(i *item, owner structs.HostID, d *structs.ItemDone) {
	is.mu.Lock()
	delete(is.m, keyOf(d.Ref))
	is.held.add(owner, d, time.Now())
	is.mu.Unlock()
	is.s.metrics.itemsDone.Inc(1)
	is.sendDone(owner, d)
	is.s.signal()
	is.s.quiet()
}

// sendDone sends d to its owner, or if there is no session with it to every
// entry: one of them may own the shard by now.
func (is *items) sendDone(owner structs.HostID, d *structs.ItemDone) {
	if p := is.s.peers.byHost(owner); p != nil {
		p.send(&structs.Frame{ItemDone: d})
		return
	}
	is.s.broadcast(&structs.Frame{ItemDone: d})
}

// resend sends p all outcomes that nobody has acknowledged.
func (is *items) resend(p *peer) {
	is.mu.Lock()
	all := is.held.all()
	is.mu.Unlock()
	for _, d := range all {
		p.send(&structs.Frame{ItemDone: d})
	}
}

func (is *items) ack(m *structs.ItemAck) {
	is.mu.Lock()
	for _, r := range m.Refs {
		is.held.ack(r)
	}
	is.mu.Unlock()
	is.s.signal()
	is.s.quiet()
}

// spare says how many more outcomes the memory for held ones has room for.
func (is *items) spare() int {
	is.mu.Lock()
	defer is.mu.Unlock()
	return is.held.spare() - len(is.m)
}

// parked counts the items that wait for their owner; the policy does not know of them.
func (is *items) parked() int {
	return len(is.all(func(i *item) bool { return i.is(itemParked) }))
}

func (is *items) counts() (open, held int) {
	is.mu.Lock()
	defer is.mu.Unlock()
	return len(is.m), len(is.held.m)
}

// progressed notes that i got something from the target.
func (is *items) progressed(i *item) {
	is.mu.Lock()
	defer is.mu.Unlock()
	is.moved = time.Now()
	is.mover = i
}

// broke notes that i's stream broke.
func (is *items) broke(i *item) {
	is.mu.Lock()
	defer is.mu.Unlock()
	now := time.Now()
	is.broken = slices.DeleteFunc(is.broken, func(b brokenItem) bool { return now.Sub(b.at) > breakFor })
	is.broken = append(is.broken, brokenItem{i.it.Ref, now})
}

// suspects returns the items that may be why the target died or hung under i. When one item
// kills its worker, all that ran beside it fail too; the owner runs them
// alone before it blames one.
func (is *items) suspects(i *item, g *guard, err *errs.Error) []structs.ItemRef {
	died := err.Type == errs.StreamBroken || err.Type == errs.TargetFailed
	hung := err.Type == errs.TargetTimeout && !is.othersMoved(i, g.lastByte())
	if err.Ran == errs.RanNo || (!died && !hung) {
		return nil
	}
	is.broke(i)
	beside := is.all(func(o *item) bool { return o != i && o.is(itemRunning) })
	self := keyOf(i.it.Ref)
	var refs []structs.ItemRef
	for _, o := range beside {
		refs = append(refs, o.reference())
	}
	is.mu.Lock()
	defer is.mu.Unlock()
	for _, b := range is.broken {
		same := func(r structs.ItemRef) bool { return keyOf(r) == keyOf(b.ref) }
		if keyOf(b.ref) != self && !slices.ContainsFunc(refs, same) {
			refs = append(refs, b.ref)
		}
	}
	return refs
}

// othersMoved says that the target served another item after t: then it did not hang as a whole.
func (is *items) othersMoved(i *item, t time.Time) bool {
	is.mu.Lock()
	defer is.mu.Unlock()
	return is.mover != i && is.moved.After(t)
}

// watch looks after parked items and outcomes that stay unacknowledged.
func (is *items) watch(ctx context.Context) error {
	for sleep.For(ctx, parkedEvery) {
		is.retryParked(time.Now())
		is.retryHeld(time.Now())
	}
	return nil
}

func (is *items) retryParked(now time.Time) {
	for _, i := range is.all(func(i *item) bool { return i.is(itemParked) }) {
		switch {
		case fresh(is.s.peers.byHost(i.ownerHost()), now):
			i.requeue()
		case now.Sub(i.parkedAt) > parkedFor:
			i.giveBack(errs.New(errs.SessionLost, "the owner was not heard of"))
		}
	}
}

func (is *items) retryHeld(now time.Time) {
	is.mu.Lock()
	due := is.held.due(now)
	is.mu.Unlock()
	for _, o := range due {
		is.sendDone(o.owner, o.done)
	}
}
