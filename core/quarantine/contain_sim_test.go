package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// containmentRules are the rules that limit the crashes caused by items that each have another content, beyond
// the quarantine of each content. The simulation compares variants of them.
type containmentRules struct {
	hasScopes bool // scopes are quarantined as well
	isSerial  bool // suspect items of the same resource or job run one at a time
	// hasHold: an item that was running when a target crashed waits while others of its scopes crash targets.
	hasHold bool
}

// jobLoad describes the targets and the batch jobs that arrive.
type jobLoad struct {
	targets       int     // number of targets
	crashingShare float64 // share of the items that crash their target
	// clients is how many clients submit jobs. They take turns, one job every two seconds. The items of a client
	// that crash targets share a resource.
	clients      int
	hasSharedURI bool // all items of a client share a resource
	hasLosses    bool // a target is lost every four seconds for an unrelated reason
}

const (
	containJobItems        = 10              // items of a job
	containJobInterval     = 2 * time.Second // between two jobs
	containLossInterval    = 4 * time.Second // between two losses of a target for an unrelated reason
	containRunDuration     = time.Second     // of the run of a harmless item
	containRecheckInterval = time.Second     // until a quarantined item is checked again
)

// maxLateCrashes is how many targets the items of a client may crash in runs that began after the client's
// third crash. These runs are trials of the resource that the items share.
const maxLateCrashes = 3

// containItem is an item of a simulated batch job.
type containItem struct {
	subject    Subject
	isCrashing bool // each run crashes its target
	client     int  // index of the client that submitted the item
	arrivedAt  time.Time
	hasRun     bool      // a run has begun
	recheckAt  time.Time // the item is not started until then
}

// containRun is a run of a containItem that is in progress at a containTarget.
type containRun struct {
	item      *containItem
	beganAt   time.Time
	hasPassed bool // see MinPassDuration
}

// containTarget is a simulated process that runs up to simSlots items at once and restarts after each crash.
type containTarget struct {
	id   string // new after each crash
	runs []*containRun
	upAt time.Time // the target is down until then
}

// containFleet is a simulated fleet that runs the items of batch jobs at targets. One registry stands for all
// gateways, which thus have identical records.
type containFleet struct {
	rules    containmentRules
	load     jobLoad
	rng      *rand.Rand
	registry *Registry
	targets  []*containTarget
	waiting  []*containItem
	now      time.Time
	restarts int

	crashes, served, harmless int             // crashes by items, harmless items that were served, harmless items that arrived
	crashesByClient           []int           // crashes caused by the items of each client
	thirdCrashAt              []time.Time     // time of each client's third crash
	lateCrashes               []int           // crashes of each client in runs that began after its third crash
	firstRunWaits             []time.Duration // times from the arrival of harmless items to their first run
}

func newContainFleet(rules containmentRules, load jobLoad, seed uint64) *containFleet {
	f := &containFleet{rules: rules, load: load, rng: rand.New(rand.NewPCG(seed, 2)), registry: NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})}
	f.crashesByClient, f.thirdCrashAt, f.lateCrashes = make([]int, load.clients), make([]time.Time, load.clients), make([]int, load.clients)
	for i := range load.targets {
		f.targets = append(f.targets, &containTarget{id: fmt.Sprint("t", i)})
	}
	return f
}

// submitJob queues the items of a job. The index of the job determines its client.
func (f *containFleet) submitJob(job int) {
	client := job % f.load.clients
	for i := range containJobItems {
		item := &containItem{client: client, arrivedAt: f.now, isCrashing: f.rng.Float64() < f.load.crashingShare}
		uri := fmt.Sprint("uri", client)
		if !item.isCrashing && !f.load.hasSharedURI {
			uri = fmt.Sprint("uri", client, "/", job, "/", i)
		}
		item.subject = Subject{
			Content:      hashParts(nil, fmt.Sprint(job, "/", i)),
			Scopes:       []Fingerprint{hashParts(nil, uri), hashParts(nil, fmt.Sprint("job", job)), hashParts(nil, "route")},
			NarrowScopes: 2, IsItem: f.rules.hasHold,
		}
		if !item.isCrashing {
			f.harmless++
		}
		f.waiting = append(f.waiting, item)
	}
}

// isQuarantined reports whether an item must not be sent now because of its content or, if hasScopes
// is set, because of a scope.
func (f *containFleet) isQuarantined(item *containItem) bool {
	return f.registry.Check(f.now, item.subject.Content) || f.rules.hasScopes && f.registry.CheckScopes(f.now, item.subject)
}

// mustWait reports whether an item has to wait until the run of a related item has passed.
func (f *containFleet) mustWait(item *containItem) bool {
	return f.rules.isSerial && f.registry.IsSuspect(item.subject) && f.hasUnpassedRelatedRun(item)
}

// hasUnpassedRelatedRun reports whether a run of an item of the same resource or job is in progress and has
// not passed yet.
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

// startItem starts a run of an item at the target with the most free slots, and reports whether the run was
// started.
func (f *containFleet) startItem(item *containItem) bool {
	if f.now.Before(item.recheckAt) {
		return false
	}
	var leastLoaded *containTarget
	for _, t := range f.targets {
		if !f.now.Before(t.upAt) && len(t.runs) < simSlots && (leastLoaded == nil || len(t.runs) < len(leastLoaded.runs)) {
			leastLoaded = t
		}
	}
	if leastLoaded == nil {
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
	leastLoaded.runs = append(leastLoaded.runs, &containRun{item: item, beganAt: f.now})
	return true
}

// crashTarget breaks off all runs of a target, counts the crash against their items and starts the restart of
// the target.
func (f *containFleet) crashTarget(t *containTarget) {
	for _, r := range t.runs {
		crash := NewCrash(t.id, t.id, r.beganAt, f.now)
		f.registry.NoteCrash(f.now, r.item.subject.Content, crash)
		if f.rules.hasScopes && !r.hasPassed {
			f.registry.NoteScopeCrash(f.now, r.item.subject, crash)
		}
		f.waiting = append(f.waiting, r.item)
	}
	f.restarts++
	t.id, t.runs, t.upAt = fmt.Sprint("restart-", f.restarts), nil, f.now.Add(simRestartTime)
}

// noteCrash counts the crash of a target, and attributes it to the client of an item that has caused it.
func (f *containFleet) noteCrash(t *containTarget) {
	f.crashes++
	for _, r := range t.runs {
		if !r.item.isCrashing || f.now.Sub(r.beganAt) < simCrashDelay {
			continue
		}
		client := r.item.client
		f.crashesByClient[client]++
		if f.crashesByClient[client] == DefaultThreshold {
			f.thirdCrashAt[client] = f.now
		}
		if f.crashesByClient[client] > DefaultThreshold && r.beganAt.After(f.thirdCrashAt[client]) {
			f.lateCrashes[client]++
		}
		return
	}
}

// step ends the runs that are complete at f.now, crashes the targets that run crashing items and starts items.
func (f *containFleet) step() {
	for _, t := range f.targets {
		hasCrashed := false
		t.runs = slices.DeleteFunc(t.runs, func(r *containRun) bool {
			elapsed := f.now.Sub(r.beganAt)
			hasCrashed = hasCrashed || r.item.isCrashing && elapsed >= simCrashDelay
			if r.item.isCrashing {
				return false
			}
			if f.rules.hasScopes && !r.hasPassed && elapsed >= simFirstEventDelay+MinPassDuration {
				r.hasPassed = true
				f.registry.NotePassed(f.now, r.item.subject)
			}
			if elapsed < containRunDuration {
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

// run simulates the fleet for simDuration of simulated time.
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

// Guards against jobs with many items that each have another content and crash a target: after three crashes,
// the resource that the items share must be quarantined, so that only its trials crash further targets. The
// test logs the mean results of the compared variants of the rules, among them how many harmless items are
// served.
func TestContainmentOfCrashingItems(t *testing.T) {
	production := containmentRules{hasScopes: true, isSerial: true, hasHold: true}
	variants := []struct {
		name string
		containmentRules
	}{{"contents alone", containmentRules{}}, {"scopes", containmentRules{hasScopes: true}}, {"scopes, serial", containmentRules{hasScopes: true, isSerial: true}}, {"scopes, serial, hold (production)", production}}
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
					t.Errorf("load %+v, seed %d: crashes by each client in runs that began after its third crash: %d, want at most 3", load, seed, f.lateCrashes)
				}
			}
			slices.Sort(waits)
			n := float64(*simSeeds)
			t.Logf("load %+v: rules %-33s mean crashes %5.1f, harmless items served (share) %.3f, wait for the first run: mean %4.0f ms, 99th percentile %5d ms", load, variant.name,
				float64(crashes)/n, float64(served)/float64(harmless), meanMillis(waits), waits[len(waits)*99/100].Milliseconds())
		}
	}
}

// meanMillis returns the mean of the durations in milliseconds.
func meanMillis(durations []time.Duration) float64 {
	var sum time.Duration
	for _, d := range durations {
		sum += d
	}
	return float64(sum.Milliseconds()) / float64(len(durations))
}
