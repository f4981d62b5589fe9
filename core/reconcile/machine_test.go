package reconcile

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

var start = time.Unix(1_800_000_000, 0)

const step = time.Second

// bench is a fleet of engines that do what they are told after a while.
type bench struct {
	t       *testing.T
	state   *confstate.State
	fleet   structs.Fleet
	machine *Machine
	now     time.Time
	loads   map[structs.TargetID]structs.Loaded // under way, until
	until   map[structs.TargetID]time.Time
	sent    []Send
	most    int // loads under way at a time
}

const loadTime = 8 * time.Second

func newBench(t *testing.T, hosts, domains int, models ...confstate.Model) *bench {
	b := &bench{
		t:       t,
		state:   &confstate.State{Targets: map[structs.TargetID]confstate.Target{}, Models: map[structs.ModelID]confstate.Model{}, Hosts: map[structs.HostID]confstate.HostIntent{}},
		machine: New(DefaultConfig(), 7),
		now:     start,
		loads:   map[structs.TargetID]structs.Loaded{},
		until:   map[structs.TargetID]time.Time{},
	}
	for n := range hosts {
		id := structs.TargetID(fmt.Sprintf("t%02d", n))
		host := structs.HostID(fmt.Sprintf("h%02d", n))
		b.state.Targets[id] = confstate.Target{ID: id, Kind: structs.KindEngine, Host: host}
		domain := structs.FailureDomain(fmt.Sprint("d", n%domains))
		b.fleet.Targets = append(b.fleet.Targets, structs.FleetTarget{ID: id, Host: host, Domain: domain, Live: true})
	}
	b.fleet.WeightBytesPerS = 1e9
	b.fleet.Sizes = map[structs.ModelVersion]int64{}
	for _, m := range models {
		b.state.Models[m.ID] = m
		b.fleet.Sizes[structs.ModelVersion{Model: m.ID, Version: m.Version}] = 4e9
	}
	return b
}

func (b *bench) target(id structs.TargetID) *structs.FleetTarget {
	i := slices.IndexFunc(b.fleet.Targets, func(t structs.FleetTarget) bool { return t.ID == id })
	return &b.fleet.Targets[i]
}

// run steps for d; before, if set, runs ahead of each step.
func (b *bench) run(d time.Duration, before func()) {
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(step) {
		if before != nil {
			before()
		}
		b.finishLoads()
		for _, s := range b.machine.Step(b.now, b.state, b.fleet) {
			b.sent = append(b.sent, s)
			b.take(s)
		}
		b.most = max(b.most, len(b.loads))
	}
}

func (b *bench) take(s Send) {
	t := b.target(s.Target)
	if !t.Live {
		b.t.Errorf("order to the missing target %s", s.Target)
	}
	if _, busy := b.loads[s.Target]; busy {
		b.t.Errorf("second order to %s while one is in flight", s.Target)
	}
	if s.Order.Op == string(platform.OpUnload) {
		t.Loaded = slices.DeleteFunc(slices.Clone(t.Loaded), func(l structs.Loaded) bool { return l.Model == s.Order.Model })
	} else {
		b.loads[s.Target] = structs.Loaded{Model: s.Order.Model, Version: s.Order.Version}
		b.until[s.Target] = b.now.Add(loadTime)
	}
	b.machine.Done(b.now, s.Target, structs.OrderDone{ID: s.Order.ID})
}

func (b *bench) finishLoads() {
	for id, l := range b.loads {
		if b.now.Before(b.until[id]) {
			continue
		}
		t := b.target(id)
		t.Loaded = slices.DeleteFunc(slices.Clone(t.Loaded), func(h structs.Loaded) bool { return h.Model == l.Model })
		t.Loaded = append(t.Loaded, l)
		delete(b.loads, id)
	}
}

func (b *bench) holders(m structs.ModelID) (targets []structs.TargetID, domains map[structs.FailureDomain]int) {
	domains = map[structs.FailureDomain]int{}
	for _, t := range b.fleet.Targets {
		if t.Live && slices.ContainsFunc(t.Loaded, func(l structs.Loaded) bool { return l.Model == m }) {
			targets = append(targets, t.ID)
			domains[t.Domain]++
		}
	}
	return targets, domains
}

func model(id structs.ModelID, replicas, spread int) confstate.Model {
	return confstate.Model{ID: id, Version: "1", Replicas: replicas, SpreadDomains: spread}
}

func TestReplicasStandSpreadOverDomains(t *testing.T) {
	b := newBench(t, 9, 3, model("m", 3, 3), model("n", 2, 2))
	b.run(2*time.Minute, nil)
	for id, want := range map[structs.ModelID]int{"m": 3, "n": 2} {
		got, domains := b.holders(id)
		if len(got) != want || len(domains) != want {
			t.Errorf("%s: targets %v in domains %v", id, got, domains)
		}
	}
	if len(b.sent) != 5 {
		t.Errorf("%d orders for 5 replicas", len(b.sent))
	}
}

// Symptom: a model that lost its host is never served again.
// Sequence: the host of one replica is lost for good.
// Cause: nothing compares confirmed with actual after the first placement.
func TestLostReplicaIsLoadedElsewhere(t *testing.T) {
	b := newBench(t, 9, 3, model("m", 3, 3))
	b.run(time.Minute, nil)
	lost, _ := b.holders("m")
	b.target(lost[0]).Live = false
	b.run(2*time.Minute, nil)
	if got, _ := b.holders("m"); len(got) != 3 {
		t.Errorf("replicas at %v after the loss of %s", got, lost[0])
	}
}

// Symptom: the weight store is busy day and night and models come and go.
// Sequence: the host list loses and finds hosts for seconds at a time, for an hour.
// Cause: each wavering moves replicas away and back.
func TestWaveringHostListGivesNoOrders(t *testing.T) {
	b := newBench(t, 9, 3, model("m", 3, 3), model("n", 3, 2))
	b.run(2*time.Minute, nil)
	placed := len(b.sent)
	rng := rand.New(rand.NewPCG(6, 1))
	away := map[structs.TargetID]time.Time{}
	b.run(time.Hour, func() { b.waver(rng, away, 15*time.Second) })
	if extra := len(b.sent) - placed; extra != 0 {
		t.Errorf("%d orders under a wavering host list, want none", extra)
	}
}

// Symptom, sequence and cause as above, but each absence outlasts the grace, so
// that moves are needed: they must stay few.
func TestLongWaveringGivesFewOrders(t *testing.T) {
	b := newBench(t, 9, 3, model("m", 3, 3))
	b.run(2*time.Minute, nil)
	placed := len(b.sent)
	held, _ := b.holders("m")
	flapping := b.target(held[0])
	flips := 0
	b.run(time.Hour, func() {
		if int(b.now.Sub(start)/step)%40 == 0 {
			flapping.Live = !flapping.Live
			flips++
		}
	})
	extra := len(b.sent) - placed
	t.Logf("%d orders over %d changes of one host", extra, flips)
	if extra > 1 {
		t.Errorf("%d orders for one host that came and went %d times, want one", extra, flips)
	}
}

func (b *bench) waver(rng *rand.Rand, away map[structs.TargetID]time.Time, most time.Duration) {
	for i := range b.fleet.Targets {
		t := &b.fleet.Targets[i]
		if until, gone := away[t.ID]; gone {
			if !b.now.Before(until) {
				t.Live = true
				delete(away, t.ID)
			}
			continue
		}
		if rng.IntN(60) == 0 {
			t.Live = false
			away[t.ID] = b.now.Add(step + time.Duration(rng.Int64N(int64(most))))
		}
	}
}

// Symptom: callers find no replica while a host is being retired.
// Sequence: the only replica's host is retired.
// Cause: the model is unloaded there before it is up elsewhere.
func TestRetiredHostGivesUpItsWorkAfterItStandsElsewhere(t *testing.T) {
	b := newBench(t, 4, 2, model("m", 1, 1))
	b.run(time.Minute, nil)
	held, _ := b.holders("m")
	old := b.target(held[0])
	b.state.Hosts[old.Host] = confstate.HostIntent{ID: old.Host, Retire: true}
	b.run(time.Minute, func() {
		if got, _ := b.holders("m"); len(got) == 0 {
			t.Fatal("no replica serves during the retirement")
		}
	})
	if got, _ := b.holders("m"); len(got) != 1 || got[0] == old.ID {
		t.Errorf("replicas at %v after %s was retired", got, old.ID)
	}
}

// Symptom: a retirement never ends, or its model is lost.
// Sequence: the host is lost half-way, while its replica is being loaded elsewhere.
// Cause: the reconciler waits for an answer of the lost host.
func TestRetiredHostIsLostMidWay(t *testing.T) {
	b := newBench(t, 4, 2, model("m", 2, 2))
	b.run(time.Minute, nil)
	held, _ := b.holders("m")
	old := b.target(held[0])
	b.state.Hosts[old.Host] = confstate.HostIntent{ID: old.Host, Retire: true}
	b.run(3*time.Second, nil)
	old.Live = false
	b.run(2*time.Minute, nil)
	got, domains := b.holders("m")
	if len(got) != 2 || len(domains) != 2 || slices.Contains(got, old.ID) {
		t.Errorf("replicas at %v", got)
	}
	if n := b.machine.InFlight(); n != 0 {
		t.Errorf("%d orders still in flight", n)
	}
}

// Symptom: the weight store is flooded and every load takes long.
// Sequence: all models are new at once, and demand waits for the last of them.
// Cause: loads are ordered all at once, in the order of names.
func TestLoadsRespectTheStoreAndDemandGoesFirst(t *testing.T) {
	b := newBench(t, 9, 3, model("a", 3, 1), model("b", 3, 1), model("z", 3, 1))
	b.fleet.Waiting = map[structs.ModelID]int{"z": 5}
	b.run(5*time.Minute, nil)
	if b.most > DefaultConfig().MaxLoads {
		t.Errorf("%d loads at a time", b.most)
	}
	if first := b.sent[0].Order.Model; first != "z" {
		t.Errorf("first load is %s, though demand waits for z", first)
	}
	if len(b.sent) != 9 {
		t.Errorf("%d orders for 9 replicas", len(b.sent))
	}
}

func TestNewVersionIsLoadedOneReplicaAtATime(t *testing.T) {
	b := newBench(t, 3, 3, model("m", 3, 3))
	b.run(time.Minute, nil)
	b.state.Models["m"] = confstate.Model{ID: "m", Version: "2", Replicas: 3, SpreadDomains: 3}
	b.fleet.Sizes[structs.ModelVersion{Model: "m", Version: "2"}] = 4e9
	b.most = 0
	b.run(2*time.Minute, nil)
	if b.most != 1 {
		t.Errorf("%d replicas changed at a time", b.most)
	}
	for _, ft := range b.fleet.Targets {
		if ft.Loaded[0].Version != "2" {
			t.Errorf("%s has %v", ft.ID, ft.Loaded)
		}
	}
}

func TestRetiredModelIsUnloaded(t *testing.T) {
	b := newBench(t, 3, 3, model("m", 2, 2))
	b.run(time.Minute, nil)
	m := b.state.Models["m"]
	m.Retired = true
	b.state.Models["m"] = m
	b.run(time.Minute, nil)
	if got, _ := b.holders("m"); len(got) != 0 {
		t.Errorf("still at %v", got)
	}
}

// Symptom: a model never comes up although other engines are free.
// Sequence: the engine that was chosen refuses each load.
// Cause: the same engine is chosen again and again.
func TestFailedLoadGoesElsewhere(t *testing.T) {
	b := newBench(t, 3, 3, model("m", 1, 1))
	first := b.machine.Step(b.now, b.state, b.fleet)
	b.machine.Done(b.now, first[0].Target, structs.OrderDone{ID: first[0].Order.ID, Err: errs.New(errs.TargetRefused, "no room")})
	second := b.machine.Step(b.now, b.state, b.fleet)
	if len(second) != 1 || second[0].Target == first[0].Target {
		t.Errorf("after the refusal of %s: %+v", first[0].Target, second)
	}
}

// Symptom: two owners take turns at loading and unloading one model.
// Sequence: an owner is paused past its lease, another claims, the first goes on.
// Cause: the first does not learn that its fencing number is old.
func TestStaleFenceSaysThatTheOwnerWasReplaced(t *testing.T) {
	b := newBench(t, 3, 3, model("m", 1, 1))
	s := b.machine.Step(b.now, b.state, b.fleet)[0]
	if s.Order.Fence != 7 {
		t.Fatalf("fence %d", s.Order.Fence)
	}
	if !b.machine.Done(b.now, s.Target, structs.OrderDone{ID: s.Order.ID, Err: errs.New(errs.StaleFence, "8 came first")}) {
		t.Error("the owner goes on although it was replaced")
	}
}

// Symptom: a replica is missing for as long as an order's timeout.
// Sequence: the session to the side breaks before it answers.
// Cause: the order counts as in flight until its deadline.
func TestOrderIsGivenAgainAfterALostSession(t *testing.T) {
	b := newBench(t, 1, 1, model("m", 1, 1))
	s := b.machine.Step(b.now, b.state, b.fleet)[0]
	b.machine.Lost(s.Target)
	if again := b.machine.Step(b.now.Add(step), b.state, b.fleet); len(again) != 1 {
		t.Errorf("orders after the loss: %+v", again)
	}
}

func TestLoadedOfGroupsAdapters(t *testing.T) {
	got := LoadedOf([]structs.ModelID{"m", "m:law", "n", "gone:x"})
	want := []structs.Loaded{{Model: "m", Adapters: []string{"law"}}, {Model: "n"}}
	if !slices.EqualFunc(got, want, func(a, b structs.Loaded) bool {
		return a.Model == b.Model && slices.Equal(a.Adapters, b.Adapters)
	}) {
		t.Errorf("got %+v", got)
	}
}

// Symptom: replicas are missing for as long as the longest transfer may take.
// Sequence: the hosts that load them are lost during the load.
// Cause: their orders count against the loads at a time until their deadline.
func TestHostsLostDuringALoad(t *testing.T) {
	b := newBench(t, 4, 4, model("m", 2, 2))
	b.fleet.WeightBytesPerS = 0 // so that the deadline is minutes away
	b.run(2*time.Second, nil)
	for _, s := range b.sent {
		b.target(s.Target).Live = false
	}
	b.run(DefaultConfig().Grace+3*loadTime, nil)
	if got, _ := b.holders("m"); len(got) != 2 {
		t.Errorf("replicas at %v", got)
	}
}

// Symptom: each return of a wavering host costs a load from the weight store.
// Sequence: a host that was missing is back when the next replica is placed.
// Cause: it is chosen because it has the fewest models.
func TestShakyHostIsNotPreferred(t *testing.T) {
	b := newBench(t, 2, 1, model("a", 2, 1))
	b.run(time.Minute, nil)
	shaky := b.target("t00")
	shaky.Live = false
	b.run(time.Minute, nil)
	shaky.Live = true
	shaky.Loaded = nil // it was replaced
	b.state.Models = map[structs.ModelID]confstate.Model{"n": model("n", 1, 1)}
	b.run(time.Minute, nil)
	if got, _ := b.holders("n"); !slices.Equal(got, []structs.TargetID{"t01"}) {
		t.Errorf("the replica stands at %v, want the steady t01", got)
	}
}

func TestChangesGoByUrgency(t *testing.T) {
	load := func(m structs.ModelID, r Reason, alone bool, waiting int) Change {
		return Change{Op: platform.OpLoad, Model: m, Reason: r, Alone: alone, Waiting: waiting}
	}
	want := []Change{
		load("z", ReasonReplica, true, 1),
		load("y", ReasonReplica, false, 9),
		load("x", ReasonReplica, true, 0),
		load("w", ReasonReplica, false, 0),
		load("v", ReasonVersion, false, 9),
		{Op: platform.OpUnload, Model: "a", Waiting: 9},
	}
	got := slices.Clone(want)
	slices.Reverse(got)
	slices.SortStableFunc(got, byUrgency)
	if !slices.Equal(got, want) {
		t.Errorf("order %+v", got)
	}
}

// Symptom: a retirement cuts off requests.
// Sequence: a host is retired while requests run there.
// Cause: its models are unloaded as soon as they stand elsewhere.
func TestRetiredHostFinishesItsRequests(t *testing.T) {
	b := newBench(t, 4, 2, model("m", 1, 1))
	b.run(time.Minute, nil)
	held, _ := b.holders("m")
	old := b.target(held[0])
	old.Online = 3
	b.state.Hosts[old.Host] = confstate.HostIntent{ID: old.Host, Retire: true}
	b.run(time.Minute, nil)
	if got, _ := b.holders("m"); len(got) != 2 {
		t.Errorf("replicas at %v while requests run at %s", got, old.ID)
	}
	old.Online = 0
	b.run(10*time.Second, nil)
	if got, _ := b.holders("m"); len(got) != 1 || got[0] == old.ID {
		t.Errorf("replicas at %v after the last request", got)
	}
}

// Symptom: after each restart of a side its models are loaded anew, there or elsewhere.
// Sequence: a side restarts; its first report comes before its engine's.
// Cause: the report is taken for what the engine has.
func TestRestartedSideCausesNoOrder(t *testing.T) {
	b := newBench(t, 4, 2, model("m", 2, 2))
	b.run(time.Minute, nil)
	placed := len(b.sent)
	held, _ := b.holders("m")
	side := b.target(held[0])
	had := side.Loaded
	side.Loaded = nil
	b.run(2*time.Second, nil)
	side.Loaded = had
	b.run(time.Minute, nil)
	if extra := len(b.sent) - placed; extra != 0 {
		t.Errorf("%d orders after a restart", extra)
	}
	side.Loaded = nil // this time the engine has really lost it
	b.run(time.Minute, nil)
	if got, _ := b.holders("m"); len(got) != 2 {
		t.Errorf("replicas at %v after the engine lost one", got)
	}
}
