package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// containmentRules are the rules that limit the crashes caused by crashing items, each of which has a content
// of its own.
type containmentRules struct {
	hasScopes    bool
	isSequential bool // suspects run one at a time
}

// jobLoad describes the jobs that arrive. A share of their items crash targets.
type jobLoad struct {
	targets       int
	crashingShare float64
	// clients submit jobs in turn, one job every two seconds. The crashing items of each client share a resource.
	clients      int
	hasSharedURI bool // all items of a client share a resource
	hasLosses    bool // a target is lost every four seconds for an unrelated reason
}

const (
	containJobItems        = 10
	containJobInterval     = 2 * time.Second
	containLossInterval    = 4 * time.Second
	containRunDuration     = time.Second // duration of an item's run
	containRecheckInterval = time.Second // time until a quarantined item is checked again
)

// maxLateCrashes is how many targets may crash during requests of a resource that were sent after the third
// crash: the trials of the resource.
const maxLateCrashes = 3

type containItem struct {
	subject    Subject
	isCrashing bool
	client     int
	arrivedAt  time.Time
	hasRun     bool
	recheckAt  time.Time
}

type containRun struct {
	item      *containItem
	beganAt   time.Time
	hasPassed bool
}

type containTarget struct {
	instance string
	runs     []*containRun
	upAt     time.Time
}

// containFleet runs items at targets. A single registry stands for gateways with identical information.
type containFleet struct {
	rules    containmentRules
	load     jobLoad
	rng      *rand.Rand
	registry *Registry
	targets  []*containTarget
	waiting  []*containItem
	now      time.Time
	restarts int

	crashes, served, harmless int
	crashesByClient           []int           // crashes caused by the crashing items of each client
	thirdCrashAt              []time.Time     // time of the third of them
	lateCrashes               []int           // those in runs that began after the third
	firstRunWaits             []time.Duration // of the harmless items, until their first run
}

func newContainFleet(rules containmentRules, load jobLoad, seed uint64) *containFleet {
	f := &containFleet{rules: rules, load: load, rng: rand.New(rand.NewPCG(seed, 2)), registry: NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})}
	f.crashesByClient, f.thirdCrashAt, f.lateCrashes = make([]int, load.clients), make([]time.Time, load.clients), make([]int, load.clients)
	for i := range load.targets {
		f.targets = append(f.targets, &containTarget{instance: fmt.Sprint("t", i)})
	}
	return f
}

// submitJob submits a job of a client.
func (f *containFleet) submitJob(n int) {
	client := n % f.load.clients
	for i := range containJobItems {
		item := &containItem{client: client, arrivedAt: f.now, isCrashing: f.rng.Float64() < f.load.crashingShare}
		uri := fmt.Sprint("uri", client)
		if !item.isCrashing && !f.load.hasSharedURI {
			uri = fmt.Sprint("uri", client, "/", n, "/", i)
		}
		item.subject = Subject{
			Content: hashParts(nil, fmt.Sprint(n, "/", i)),
			Scopes:  []Fingerprint{hashParts(nil, uri), hashParts(nil, fmt.Sprint("job", n)), hashParts(nil, "route")},
			Narrow:  2,
		}
		if !item.isCrashing {
			f.harmless++
		}
		f.waiting = append(f.waiting, item)
	}
}

// isQuarantined reports whether an item is quarantined.
func (f *containFleet) isQuarantined(item *containItem) bool {
	return f.registry.Check(f.now, item.subject.Content) || f.rules.hasScopes && f.registry.CheckScopes(f.now, item.subject)
}

// mustWait reports whether an item has to wait until the run of another item has passed.
func (f *containFleet) mustWait(item *containItem) bool {
	return f.rules.isSequential && f.registry.IsSuspect(item.subject) && f.hasUnpassedRelatedRun(item)
}

// hasUnpassedRelatedRun reports whether a run of another item of the same resource or job has not passed yet.
func (f *containFleet) hasUnpassedRelatedRun(item *containItem) bool {
	for _, t := range f.targets {
		for _, r := range t.runs {
			isRelated := slices.ContainsFunc(r.item.subject.Scopes[:2], func(s Fingerprint) bool { return slices.Contains(item.subject.Scopes[:2], s) })
			if isRelated && !r.hasPassed {
				return true
			}
		}
	}
	return false
}

func (f *containFleet) startItem(item *containItem) bool {
	if f.now.Before(item.recheckAt) {
		return false
	}
	var best *containTarget
	for _, t := range f.targets {
		if !f.now.Before(t.upAt) && len(t.runs) < simSlots && (best == nil || len(t.runs) < len(best.runs)) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	if f.isQuarantined(item) {
		item.recheckAt = f.now.Add(containRecheckInterval)
		return false
	}
	if f.mustWait(item) {
		return false
	}
	f.registry.Admit(f.now, item.subject.Content)
	if f.rules.hasScopes {
		f.registry.AdmitScopes(f.now, item.subject)
	}
	if !item.hasRun && !item.isCrashing {
		f.firstRunWaits = append(f.firstRunWaits, f.now.Sub(item.arrivedAt))
	}
	item.hasRun = true
	best.runs = append(best.runs, &containRun{item: item, beganAt: f.now})
	return true
}

// crashTarget stops a target and all its runs.
func (f *containFleet) crashTarget(t *containTarget) {
	for _, r := range t.runs {
		crash := NewCrash(t.instance, t.instance, r.beganAt, f.now)
		f.registry.NoteCrash(f.now, r.item.subject.Content, crash)
		if f.rules.hasScopes && !r.hasPassed {
			f.registry.NoteScopeCrash(f.now, r.item.subject, crash)
		}
		f.waiting = append(f.waiting, r.item)
	}
	f.restarts++
	t.instance, t.runs, t.upAt = fmt.Sprint("restart-", f.restarts), nil, f.now.Add(simRestartTime)
}

// noteCrash counts the crash of a target that one of its runs has caused.
func (f *containFleet) noteCrash(t *containTarget) {
	f.crashes++
	for _, r := range t.runs {
		if !r.item.isCrashing || f.now.Sub(r.beganAt) < simCrashDelay {
			continue
		}
		c := r.item.client
		f.crashesByClient[c]++
		if f.crashesByClient[c] == DefaultThreshold {
			f.thirdCrashAt[c] = f.now
		}
		if f.crashesByClient[c] > DefaultThreshold && r.beganAt.After(f.thirdCrashAt[c]) {
			f.lateCrashes[c]++
		}
		return
	}
}

func (f *containFleet) step() {
	for _, t := range f.targets {
		hasCrashed := false
		t.runs = slices.DeleteFunc(t.runs, func(r *containRun) bool {
			ran := f.now.Sub(r.beganAt)
			hasCrashed = hasCrashed || r.item.isCrashing && ran >= simCrashDelay
			if r.item.isCrashing {
				return false
			}
			if f.rules.hasScopes && !r.hasPassed && ran >= simFirstEventDelay+PassTime {
				r.hasPassed = true
				f.registry.NotePassed(f.now, r.item.subject)
			}
			if ran < containRunDuration {
				return false
			}
			f.served++
			f.registry.NoteServed(f.now, r.item.subject.Content)
			return true
		})
		if hasCrashed {
			f.noteCrash(t)
			f.crashTarget(t)
		}
	}
	f.waiting = slices.DeleteFunc(f.waiting, f.startItem)
}

func (f *containFleet) run() {
	for at := time.Duration(0); at < simDuration; at += simStep {
		f.now = testStart.Add(at)
		if at%containJobInterval == 0 {
			f.submitJob(int(at / containJobInterval))
		}
		if f.load.hasLosses && at%containLossInterval == containLossInterval/2 {
			f.crashTarget(f.targets[f.rng.IntN(len(f.targets))])
		}
		f.step()
	}
}

// Guards against jobs with many items each of which crashes a target or more: the scopes that the items share
// must be quarantined, and harmless items must still be served. The test logs the totals of the compared
// variants.
func TestContainmentOfCrashingItems(t *testing.T) {
	production := containmentRules{hasScopes: true, isSequential: true}
	variants := []struct {
		name string
		containmentRules
	}{{"contents alone", containmentRules{}}, {"scopes", containmentRules{hasScopes: true}}, {"scopes, serial (production)", production}}
	for _, load := range []jobLoad{
		{targets: 9, crashingShare: 0.03, clients: 1}, {targets: 9, crashingShare: 0.2, clients: 1}, {targets: 9, crashingShare: 0.5, clients: 1},
		{targets: 9, crashingShare: 0.2, clients: 5}, {targets: 9, crashingShare: 0.2, clients: 1, hasLosses: true}, {targets: 9, crashingShare: 0.2, clients: 1, hasSharedURI: true},
		{targets: 400, crashingShare: 0.2, clients: 5}, {targets: 9, clients: 1, hasLosses: true},
	} {
		for _, variant := range variants {
			if variant.containmentRules != production && !testing.Verbose() {
				continue
			}
			crashes, served, harmless := 0, 0, 0
			var waits []time.Duration
			for seed := range uint64(*simSeeds) {
				f := newContainFleet(variant.containmentRules, load, seed)
				f.run()
				crashes, served, harmless, waits = crashes+f.crashes, served+f.served, harmless+f.harmless, append(waits, f.firstRunWaits...)
				if variant.containmentRules == production && !load.hasSharedURI && slices.Max(f.lateCrashes) > maxLateCrashes {
					t.Errorf("%+v, seed %d: crashes in late runs by client: %d", load, seed, f.lateCrashes)
				}
			}
			slices.Sort(waits)
			n := float64(*simSeeds)
			t.Logf("%+v: %-28s crashes %5.1f, harmless served %.3f, wait mean %4.0f ms, 99th percentile %5d ms", load, variant.name,
				float64(crashes)/n, float64(served)/float64(harmless), meanMillis(waits), waits[len(waits)*99/100].Milliseconds())
		}
	}
}

func meanMillis(list []time.Duration) float64 {
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return float64(sum.Milliseconds()) / float64(len(list))
}
