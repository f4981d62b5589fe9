package batch

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// oracle is what the targets have seen.
type oracle struct {
	mu         sync.Mutex
	runs       map[jobs.Key]int
	cancelled  map[structs.JobID]time.Time // when the cancel was answered
	violations []string
	starts     int
	sent       map[string]sentFile
}

func (o *oracle) start(it *structs.Item) {
	o.mu.Lock()
	defer o.mu.Unlock()
	key := jobs.Key{Job: it.Ref.Job, Index: it.Ref.Index}
	o.runs[key]++
	o.starts++
	if it.NonIdempotent && o.runs[key] > 1 {
		o.violations = append(o.violations, fmt.Sprintf("non-idempotent item %v ran %d times", key, o.runs[key]))
	}
	if at, ok := o.cancelled[key.Job]; ok && time.Now().After(at) {
		o.violations = append(o.violations, fmt.Sprintf("item %v started %s after its cancel was answered", key, time.Since(at)))
	}
}

func (o *oracle) cancel(job structs.JobID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cancelled[job] = time.Now()
}

// heardWithin is the time within which a side must have heard from the owner's
// session to start an item.
const heardWithin = 2 * time.Second

// astray is one in how many outcomes goes to any entry.
const astray = 50

// longResult is the size of a long result, in bytes.
const longResult = 20 << 10

// testSide runs items in a fixed number of slots. It keeps an outcome until it
// is acknowledged.
type testSide struct {
	c     *cluster
	id    structs.HostID
	slots int
	// work is how long an item runs at least, spread how much it varies.
	work, spread time.Duration
	park         bool          // keeps items of a silent owner until it is heard again
	restart      time.Duration // of the target after an item has killed it
	rng          *rand.Rand

	mu      sync.Mutex
	links   map[structs.HostID]*link
	queue   []*running
	active  map[*running]bool
	unacked map[structs.ItemRef]*structs.ItemDone
	owners  map[structs.ItemRef]structs.HostID // who handed out what is unacked
	alone   int                                // active items that run alone
	down    bool                               // the target restarts
	dead    chan struct{}
	isDead  bool
}

// link is the session of a side with one node; frames of the node wait in it while
// the node is paused.
type link struct {
	n      *node
	frames chan *structs.Frame
	ctx    context.Context
	cancel context.CancelFunc
	heard  time.Time
}

type running struct {
	item   structs.Item
	link   *link
	cancel context.CancelFunc
	ctx    context.Context
}

func sideID(i int) structs.HostID { return structs.HostID(fmt.Sprintf("side-%d", i)) }

func (c *cluster) startSide(i, slots int, work, spread time.Duration) *testSide {
	s := &testSide{
		c: c, id: sideID(i), slots: slots, work: work, spread: spread, restart: time.Second,
		rng:     rand.New(rand.NewPCG(uint64(i), 7)),
		links:   make(map[structs.HostID]*link),
		active:  make(map[*running]bool),
		unacked: make(map[structs.ItemRef]*structs.ItemDone),
		owners:  make(map[structs.ItemRef]structs.HostID),
		dead:    make(chan struct{}),
	}
	c.mu.Lock()
	c.sides[s.id] = s
	c.mu.Unlock()
	for _, n := range c.allNodes() {
		s.connect(n)
	}
	go s.tick()
	return s
}

func (s *testSide) connect(n *node) {
	ctx, cancel := context.WithCancel(context.Background())
	l := &link{n: n, frames: make(chan *structs.Frame, 1<<16), ctx: ctx, cancel: cancel, heard: time.Now()}
	s.mu.Lock()
	if s.isDead || s.links[n.host.ID] != nil {
		s.mu.Unlock()
		cancel()
		return
	}
	s.links[n.host.ID] = l
	s.mu.Unlock()
	n.m.SideOpened(s.id, l.send)
	go func() {
		for {
			select {
			case f := <-l.frames:
				if !n.gate.pass(ctx) {
					return
				}
				// Frames that wait come together: a session puts them in one message.
				time.Sleep(time.Millisecond)
				s.frame(l, f)
				for len(l.frames) > 0 {
					s.frame(l, <-l.frames)
				}
			case <-ctx.Done():
				return
			}
		}
	}()
	s.pull()
}

func (l *link) send(f *structs.Frame) error {
	if l.ctx.Err() != nil {
		return errs.New(errs.SessionLost, "closed")
	}
	select {
	case l.frames <- f:
		return nil
	default:
		return errs.New(errs.SessionLost, "overflow")
	}
}

func (s *testSide) disconnect(n *node) {
	s.mu.Lock()
	l := s.links[n.host.ID]
	delete(s.links, n.host.ID)
	s.mu.Unlock()
	if l != nil {
		l.cancel()
		n.m.SideClosed(s.id)
	}
}

// kill loses the side with all that it holds.
func (s *testSide) kill() {
	s.mu.Lock()
	if s.isDead {
		s.mu.Unlock()
		return
	}
	s.isDead = true
	close(s.dead)
	links := s.links
	s.links = make(map[structs.HostID]*link)
	for r := range s.active {
		r.cancel()
	}
	s.queue = nil
	s.mu.Unlock()
	s.c.mu.Lock()
	if s.c.sides[s.id] == s {
		delete(s.c.sides, s.id)
	}
	s.c.mu.Unlock()
	for _, l := range links {
		l.cancel()
		go l.n.m.SideClosed(s.id)
	}
}

// tick resends outcomes that were not acknowledged, and pulls.
func (s *testSide) tick() {
	t := sleep.NewTimer(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			t.Reset(time.Second)
		case <-s.dead:
			return
		}
		s.mu.Lock()
		for _, l := range s.links {
			// The heartbeat of a session that is not paused.
			l.n.gate.mu.Lock()
			if l.n.gate.paused == nil {
				l.heard = time.Now()
			}
			l.n.gate.mu.Unlock()
		}
		for _, d := range s.unacked {
			go s.deliver(d)
		}
		s.startMore()
		s.mu.Unlock()
		s.pull()
	}
}

func (s *testSide) frame(l *link, f *structs.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.heard = time.Now()
	switch {
	case f.Items != nil:
		for _, it := range f.Items.Items {
			s.enqueue(l, it)
		}
		s.startMore()
	case f.ItemStop != nil:
		s.stop(f.ItemStop)
	case f.ItemAck != nil:
		for _, ref := range f.ItemAck.Refs {
			delete(s.unacked, ref)
			delete(s.owners, ref)
		}
	}
}

func (s *testSide) enqueue(l *link, it structs.Item) {
	ctx, cancel := context.WithCancel(context.Background())
	s.queue = append(s.queue, &running{item: it, link: l, ctx: ctx, cancel: cancel})
}

func (s *testSide) stop(stop *structs.ItemStop) {
	kept := s.queue[:0]
	for _, r := range s.queue {
		if stop.Job == r.item.Ref.Job && (stop.All || stop.Index == r.item.Ref.Index) {
			s.end(r, &structs.ItemDone{Err: errs.New(errs.Cancelled, "stopped").WithRan(errs.RanNo)})
			continue
		}
		kept = append(kept, r)
	}
	s.queue = kept
	for r := range s.active {
		if stop.Job == r.item.Ref.Job && (stop.All || stop.Index == r.item.Ref.Index) {
			r.cancel()
		}
	}
}

// startMore starts queued items; s.mu is held.
func (s *testSide) startMore() {
	for len(s.queue) > 0 && len(s.active) < s.slots && !s.down && !s.isDead {
		r := s.queue[0]
		if r.item.Alone && len(s.active) > 0 || s.alone > 0 {
			return
		}
		silent := time.Since(r.link.heard) > heardWithin
		if silent && s.park {
			return
		}
		s.queue = s.queue[1:]
		if silent {
			s.end(r, &structs.ItemDone{GaveBack: true, Err: errs.New(errs.SessionLost, "owner silent").WithRan(errs.RanNo)})
			continue
		}
		s.active[r] = true
		if r.item.Alone {
			s.alone++
		}
		s.c.seen.start(&r.item)
		d := s.work
		if s.spread > 0 {
			d += time.Duration(s.rng.Int64N(int64(s.spread)))
		}
		go s.run(r, d)
	}
}

func (s *testSide) run(r *running, d time.Duration) {
	body := r.item.Body
	if bytes.Contains(body, []byte("hang")) {
		d = 10 * s.c.set.ItemTimeout
	}
	t := sleep.NewTimer(d)
	limit := sleep.NewTimer(time.Duration(r.item.TimeoutMs) * time.Millisecond)
	defer t.Stop()
	defer limit.Stop()
	out := &structs.ItemDone{}
	select {
	case <-t.C:
		out = s.outcome(r)
	case <-limit.C:
		out.Err = errs.New(errs.TargetTimeout, "no end within the item's time")
	case <-r.ctx.Done():
		out.Err = errs.New(errs.Cancelled, "stopped")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active[r] || s.isDead {
		return
	}
	if out.Err != nil && out.Err.Type == errs.TargetFailed {
		s.crash()
		return
	}
	s.remove(r)
	s.end(r, out)
	s.startMore()
	go s.pull()
}

func (s *testSide) remove(r *running) {
	delete(s.active, r)
	if r.item.Alone {
		s.alone--
	}
}

func (s *testSide) outcome(r *running) *structs.ItemDone {
	body := r.item.Body
	switch {
	case bytes.Contains(body, []byte("refuse")):
		return &structs.ItemDone{Err: errs.New(errs.TargetRefused, "refused")}
	case bytes.Contains(body, []byte("kill")):
		return &structs.ItemDone{Err: errs.New(errs.TargetFailed, "connection reset")}
	}
	if bytes.Contains(body, []byte("long")) {
		return &structs.ItemDone{Status: 200, Body: fmt.Appendf(nil, `{"item":%d,"pad":"%s"}`, r.item.Ref.Index, bytes.Repeat([]byte("x"), longResult))}
	}
	return &structs.ItemDone{Status: 200, Body: fmt.Appendf(nil, `{"item":%d,"epoch":%d}`, r.item.Ref.Index, r.item.Ref.Epoch)}
}

// crash ends all that runs at the target; s.mu is held.
func (s *testSide) crash() {
	var refs []structs.ItemRef
	for r := range s.active {
		refs = append(refs, r.item.Ref)
	}
	for r := range s.active {
		d := &structs.ItemDone{Err: errs.New(errs.TargetFailed, "connection reset")}
		for _, ref := range refs {
			if ref != r.item.Ref {
				d.Neighbours = append(d.Neighbours, ref)
			}
		}
		s.remove(r)
		r.cancel()
		s.end(r, d)
	}
	s.down = true
	sleep.AfterFunc(s.restart, func() {
		s.mu.Lock()
		s.down = false
		s.startMore()
		s.mu.Unlock()
		s.pull()
	})
}

// end keeps the outcome and reports it; s.mu is held.
func (s *testSide) end(r *running, d *structs.ItemDone) {
	d.Ref = r.item.Ref
	r.cancel()
	s.unacked[d.Ref] = d
	s.owners[d.Ref] = r.link.n.host.ID
	go s.deliver(d)
}

// deliver sends an outcome to the entry that handed the item out, else, and now
// and then all the same, to another that it has a session with.
func (s *testSide) deliver(d *structs.ItemDone) {
	s.mu.Lock()
	if s.unacked[d.Ref] != d || s.isDead {
		s.mu.Unlock()
		return
	}
	to := s.links[s.owners[d.Ref]]
	if to == nil || s.rng.IntN(astray) == 0 {
		for _, l := range s.links {
			to = l
		}
	}
	s.mu.Unlock()
	if to == nil || !to.n.gate.pass(to.ctx) {
		return
	}
	time.Sleep(time.Millisecond)
	to.n.m.OnItemDone(s.id, to.send, d)
}

// pull tells all entries how much room there is. The room is shared out, so that
// entries do not all fill the same slots.
func (s *testSide) pull() {
	s.mu.Lock()
	room := s.slots*2 - len(s.active) - len(s.queue)
	if s.down || s.isDead {
		room = 0
	}
	links := make([]*link, 0, len(s.links))
	for _, l := range s.links {
		links = append(links, l)
	}
	s.mu.Unlock()
	for _, l := range links {
		p := &structs.Pull{
			Target: structs.TargetID(s.id), Room: max(0, room),
			Models: []structs.ModelID{testModel}, Service: "mail",
		}
		go func() {
			if l.n.gate.pass(l.ctx) {
				l.n.m.OnPull(s.id, l.send, p)
			}
		}()
	}
}
