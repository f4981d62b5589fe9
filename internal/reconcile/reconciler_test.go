package reconcile

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

// bench is some entries, sides and engines in virtual time.
type bench struct {
	t     *testing.T
	log   *logmem.Log
	state atomic.Pointer[confstate.State]

	mu      sync.Mutex
	hosts   []platform.Host
	entries map[structs.HostID]*entryNode
	sides   []*sideNode
}

type entryNode struct {
	*Reconciler
	fleet  *Fleet
	cancel context.CancelFunc
	done   chan struct{}
	cut    atomic.Bool // can't reach the log
}

// sideNode is a side with its gate before an engine that checks nothing.
type sideNode struct {
	id, target string
	mu         sync.Mutex
	highest    structs.Epoch
	models     []structs.ModelID
	passed     []structs.Order // what reached the engine
	refused    int
}

func (b *bench) Current() *confstate.State { return b.state.Load() }

func (b *bench) members() []platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]platform.Host(nil), b.hosts...)
}

// entryLog is the log as one entry reaches it.
type entryLog struct {
	*logmem.Log
	cut *atomic.Bool
}

func (l entryLog) Append(ctx context.Context, stream string, body []byte) (structs.Offset, error) {
	if l.cut.Load() {
		return 0, errs.New(errs.LogDown, "cut off")
	}
	return l.Log.Append(ctx, stream, body)
}

func (l entryLog) Read(ctx context.Context, stream string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, most, max(wait, time.Millisecond))
	if l.cut.Load() {
		return platform.Page{}, errs.New(errs.LogDown, "cut off")
	}
	return page, err
}

func newBench(t *testing.T, sides int) *bench {
	b := &bench{t: t, log: logmem.New(1), entries: map[structs.HostID]*entryNode{}}
	s := confstate.Empty()
	for n := range sides {
		id := fmt.Sprint("h", n)
		side := &sideNode{id: id, target: "t" + fmt.Sprint(n)}
		b.sides = append(b.sides, side)
		b.hosts = append(b.hosts, platform.Host{ID: structs.HostID(id), Role: platform.RoleSide, Domain: structs.FailureDomain(fmt.Sprint("d", n%3)), State: platform.HostLive})
		var err error
		s, err = s.Preview([]structs.Intent{{Target: &structs.TargetIntent{ID: structs.TargetID(side.target), Kind: structs.KindEngine, Host: structs.HostID(id)}}}, 0)
		if err != nil {
			t.Fatal(err)
		}
	}
	b.state.Store(s)
	return b
}

func (b *bench) serve(m structs.ModelID, replicas int) {
	s, err := b.Current().Preview([]structs.Intent{{Model: &structs.ModelIntent{ID: m, Replicas: &replicas}}}, 0)
	if err != nil {
		b.t.Fatal(err)
	}
	b.state.Store(s)
}

func (b *bench) start(id structs.HostID) *entryNode {
	n := &entryNode{done: make(chan struct{})}
	n.fleet = NewFleet(FleetOptions{Members: b.members})
	n.Reconciler = New(Options{
		Self:    settings.Entry{Host: settings.Identity{ID: id, Domain: "d0"}},
		Log:     entryLog{b.log, &n.cut},
		Config:  b,
		Members: b.members,
		Fleet:   n.fleet,
	})
	b.mu.Lock()
	b.hosts = append(b.hosts, platform.Host{ID: id, Role: platform.RoleEntry, Domain: "d0", State: platform.HostLive})
	b.entries[id] = n
	b.mu.Unlock()
	for _, s := range b.sides {
		b.connect(n, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
	return n
}

func (b *bench) connect(n *entryNode, s *sideNode) {
	side := structs.HostID(s.id)
	info := structs.TargetInfo{ID: structs.TargetID(s.target), Kind: structs.KindEngine}
	n.fleet.SideOpened(side, []structs.TargetInfo{info}, func(f *structs.Frame) error {
		if f.Order != nil {
			go func() { n.fleet.OnOrderDone(side, s.take(*f.Order)) }()
		}
		return nil
	})
	n.fleet.SideLoad(side, s.load())
}

func (s *sideNode) load() *structs.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &structs.Load{Target: structs.TargetID(s.target), Models: append([]structs.ModelID(nil), s.models...)}
}

// take is the side's gate: no order with a lower number than the highest seen.
func (s *sideNode) take(o structs.Order) *structs.OrderDone {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.highest {
		s.refused++
		return &structs.OrderDone{ID: o.ID, Err: errs.New(errs.StaleFence, "a newer order came first")}
	}
	s.highest = o.Fence
	s.passed = append(s.passed, o)
	if o.Op == string(platform.OpLoad) {
		s.models = append(s.models, o.Model)
	}
	return &structs.OrderDone{ID: o.ID}
}

// report sends each entry what the sides have, as sessions do.
func (b *bench) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range b.entries {
		for _, s := range b.sides {
			n.fleet.SideLoad(structs.HostID(s.id), s.load())
		}
	}
}

func (b *bench) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Second)
		b.report()
	}
}

func (b *bench) unlist(id structs.HostID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n, h := range b.hosts {
		if h.ID == id {
			b.hosts = append(b.hosts[:n:n], b.hosts[n+1:]...)
			return
		}
	}
}

func (b *bench) owner() *entryNode {
	var found *entryNode
	for _, n := range b.entries {
		if _, err := n.Owner(); err == nil {
			if found != nil {
				return nil
			}
			found = n
		}
	}
	return found
}

func (b *bench) holders(m structs.ModelID) int {
	count := 0
	for _, s := range b.sides {
		for _, have := range s.load().Models {
			if have == m {
				count++
			}
		}
	}
	return count
}

func bubble(t *testing.T, sides int, f func(t *testing.T, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, sides)
		f(t, b)
		for _, n := range b.entries {
			n.cancel()
			<-n.done
		}
	})
}

func TestOneEntryOwnsAndPlaces(t *testing.T) {
	bubble(t, 6, func(t *testing.T, b *bench) {
		b.log.SetFaults(logmem.Faults{LoseAnswer: 0.5})
		b.serve("m", 3)
		for n := range 5 {
			b.start(structs.HostID(fmt.Sprint("e", n)))
		}
		b.run(2 * time.Minute)
		if b.owner() == nil {
			t.Fatal("there is not one owner")
		}
		if got := b.holders("m"); got != 3 {
			t.Errorf("%d replicas, want 3", got)
		}
		orders := 0
		for _, s := range b.sides {
			orders += len(s.passed)
		}
		if orders != 3 {
			t.Errorf("%d orders for 3 replicas", orders)
		}
	})
}

// Symptom: nothing is healed any more.
// Sequence: the owner's host is lost.
func TestAnotherTakesOverFromALostOwner(t *testing.T) {
	bubble(t, 6, func(t *testing.T, b *bench) {
		for n := range 4 {
			b.start(structs.HostID(fmt.Sprint("e", n)))
		}
		b.run(time.Minute)
		first := b.owner()
		before, _ := first.Owner()
		first.cut.Store(true) // not even its release gets out
		first.cancel()
		<-first.done
		id := first.owner.self.ID
		b.mu.Lock()
		delete(b.entries, id)
		b.mu.Unlock()
		b.unlist(id)
		b.serve("m", 2)
		b.run(3 * time.Minute)
		second := b.owner()
		if second == nil {
			t.Fatal("nobody took over")
		}
		if after, _ := second.Owner(); after <= before {
			t.Errorf("epoch %d after %d", after, before)
		}
		if got := b.holders("m"); got != 2 {
			t.Errorf("%d replicas", got)
		}
	})
}

// Symptom: a target does what a replaced owner wants; models come and go.
// Sequence: the owner loses the log, but neither the sides nor its own belief; another
// claims and gives orders; the first goes on giving orders.
// Cause: targets that check no fencing number, and no gate before them.
func TestHolderPastItsLeaseIsStoppedByTheSides(t *testing.T) {
	bubble(t, 3, func(t *testing.T, b *bench) {
		for n := range 3 {
			b.start(structs.HostID(fmt.Sprint("e", n)))
		}
		b.run(time.Minute)
		old := b.owner()
		old.cut.Store(true)
		b.unlist(old.owner.self.ID)
		b.run(2 * time.Minute)
		b.serve("m", 3)
		b.run(time.Minute)
		// Whatever both have ordered, no engine saw the old owner's after the new one's.
		for _, s := range b.sides {
			var highest structs.Epoch
			for _, o := range s.passed {
				if o.Fence < highest {
					t.Errorf("%s: order of epoch %d after one of %d", s.id, o.Fence, highest)
				}
				highest = max(highest, o.Fence)
			}
		}
		b.serve("n", 3)
		b.run(time.Minute)
		if _, err := old.Owner(); err != nil {
			t.Fatal("the old owner knows; the run shows nothing")
		}
		refused := 0
		for _, s := range b.sides {
			refused += s.refused
		}
		if refused == 0 {
			t.Error("the old owner gave no order that had to be refused; the run shows nothing")
		}
		b.serve("o", 3)
		b.run(time.Minute)
		more := -refused
		for _, s := range b.sides {
			more += s.refused
		}
		if more != 0 {
			t.Errorf("%d more orders after it was told that a newer owner has come", more)
		}
		old.cut.Store(false)
		b.run(10 * time.Second)
		if _, err := old.Owner(); !errs.Is(err, errs.NotOwner) {
			t.Error("the old owner still believes that it owns, though the log says otherwise")
		}
	})
}

// Symptom: an owner that was paused acts on what it knew before.
// Sequence: the process stands still past its lease and goes on.
// Cause: it does not know that it was paused, and does not look.
func TestPausedOwnerLooksBeforeItActs(t *testing.T) {
	bubble(t, 3, func(t *testing.T, b *bench) {
		n := b.start("e0")
		b.run(time.Minute)
		b.serve("m", 1)
		n.mu.Lock()
		n.lastStep = time.Now().Add(-time.Minute) // it stood still
		n.mu.Unlock()
		if orders := n.decide(b.Current(), n.fleet.View(b.Current())); len(orders) != 0 {
			t.Errorf("orders %+v before it has looked", orders)
		}
		b.run(10 * time.Second)
		if got := b.holders("m"); got != 1 {
			t.Errorf("%d replicas after it has looked", got)
		}
	})
}

// Symptom: an owner that was paused acts although another has claimed meanwhile.
// Sequence: it waits in a read; the process stands still; after it goes on, the read's answer from
// before the pause is taken in.
// Cause: that answer counted as a look after the pause.
func TestAReadFromBeforeAPauseConfirmsNothing(t *testing.T) {
	bubble(t, 3, func(t *testing.T, b *bench) {
		n := b.start("e0")
		b.run(time.Minute)
		n.mu.Lock()
		n.lastStep = time.Now().Add(-time.Minute) // it stood still
		n.mu.Unlock()
		before := n.currentDoubts()
		n.decide(b.Current(), n.fleet.View(b.Current()))
		n.confirmedOwner(before)
		if orders := n.decide(b.Current(), n.fleet.View(b.Current())); len(orders) != 0 || !n.mustRead {
			t.Errorf("a read from before the pause confirms the ownership; orders %+v", orders)
		}
	})
}

// Symptom: after each takeover models are loaded everywhere.
// Sequence: a new owner's sessions come up one by one.
// Cause: it takes the sides that it does not see yet for lost.
func TestNewOwnerWaitsForItsSessions(t *testing.T) {
	bubble(t, 3, func(t *testing.T, b *bench) {
		b.sides[2].models = []structs.ModelID{"m"}
		b.serve("m", 1)
		n := b.start("e0")
		n.fleet.SideClosed("h2")
		b.run(10 * time.Second)
		b.connect(n, b.sides[2])
		b.run(2 * time.Minute)
		for _, s := range b.sides {
			if len(s.passed) != 0 {
				t.Errorf("%s got %+v", s.id, s.passed)
			}
		}
	})
}

// Symptom: an owner takes most of the fleet for lost.
// Sequence: its settings bound its sessions below the number of sides.
// Cause: it does not ask for sessions to the rest before it may become the owner.
func TestOwnerAndItsSuccessorsAskToSeeAllSides(t *testing.T) {
	bubble(t, 6, func(t *testing.T, b *bench) {
		for n := range 8 {
			b.start(structs.HostID(fmt.Sprint("e", n)))
		}
		b.run(time.Minute)
		asking := 0
		for _, n := range b.entries {
			if n.Candidate() {
				asking++
			}
		}
		if owner := b.owner(); owner == nil || !owner.Candidate() {
			t.Error("the owner does not ask to see all sides")
		}
		if asking < candidates || asking > candidates+1 {
			t.Errorf("%d entries ask, want the %d candidates and the owner", asking, candidates)
		}
	})
}
