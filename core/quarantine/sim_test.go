package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simSeeds = flag.Int("quarantine.seeds", 6, "number of simulated fleets for each scenario; -v simulates all variants of the rules")

// simOptions are the rules by which crashes are counted against contents. The simulation compares variants of
// them.
type simOptions struct {
	threshold int // crashes after which a content is quarantined
	// hasClearance: a content that is served is cleared. hasProgress: crashes during runs that resume an item
	// and advance it do not count. hasTrials: trials are admitted of contents whose crashes may have been
	// simultaneous.
	hasClearance, hasProgress, hasTrials bool
}

// simScenario describes for what reasons targets crash.
type simScenario struct {
	hasCrashingContent bool          // requests arrive whose content crashes each target
	lossInterval       time.Duration // time between two events that each crash a third of the targets at once
}

// Durations and sizes of the simulated fleet.
const (
	simStep               = 10 * time.Millisecond
	simDuration           = 60 * time.Second
	simTargetCount        = 9
	simSlots              = 8                       // concurrent runs of a target
	simRestartTime        = 3 * time.Second         // from the crash of a target until it is up again
	simCrashDelay         = 150 * time.Millisecond  // from the start of a run until it crashes its target
	simFirstEventDelay    = 70 * time.Millisecond   // from the start of a run until its first event
	simStreamDuration     = 700 * time.Millisecond  // of the run of a stream
	simItemDuration       = 4700 * time.Millisecond // of all runs of an item together
	simRepeatInterval     = 500 * time.Millisecond  // between two repeats of the crashing content
	simArrivalProbability = 0.35                    // probability that a stream arrives in a step
	simPopularShare       = 0.2                     // share of streams with the popular content
	simItemCount          = 30                      // items in the fleet, running or queued
)

// simRun is a run of a stream or batch item that is in progress at a simTarget.
type simRun struct {
	content    Fingerprint
	beganAt    time.Time
	duration   time.Duration
	item       *simItem // nil for streams
	retries    int      // how often a stream may still be retried
	isCrashing bool
}

// simItem is a batch item, whose next run resumes where the last one was broken off.
type simItem struct {
	content  Fingerprint
	progress time.Duration // time for which earlier runs have advanced the item
	isQueued bool
}

// simTarget is a simulated process that runs up to simSlots requests at once and restarts after each crash.
type simTarget struct {
	id   string // new after each crash
	runs []simRun
	upAt time.Time // the target is down until then
}

// simFleet is a simulated fleet of targets. One registry stands for all gateways, which thus have identical
// records.
type simFleet struct {
	opts     simOptions
	scenario simScenario
	rng      *rand.Rand
	registry *Registry
	targets  []*simTarget
	items    []*simItem
	now      time.Time
	idCount  int

	crashes, brokenStreams, rejectedStreams, served, quarantinedItems int
	// popularRejectedSince is when requests with the popular content began to be rejected, zero if they are
	// not. longestRejection is the longest time for which they were.
	popularRejectedSince time.Time
	longestRejection     time.Duration
}

// popularContent is a harmless content that many callers send; crashingContent crashes each target.
var popularContent, crashingContent = Fingerprint{2}, Fingerprint{3}

// newContent returns a content that the fleet has not run before.
func (f *simFleet) newContent() Fingerprint {
	f.idCount++
	return Fingerprint{1, byte(f.idCount), byte(f.idCount >> 8), byte(f.idCount >> 16)}
}

func newSimFleet(opts simOptions, scenario simScenario, seed uint64) *simFleet {
	f := &simFleet{opts: opts, scenario: scenario, rng: rand.New(rand.NewPCG(seed, 1)), registry: NewRegistry(Options{Threshold: opts.threshold, Hold: DefaultHold}), now: testStart}
	for i := range simTargetCount {
		f.targets = append(f.targets, &simTarget{id: fmt.Sprint("t", i)})
	}
	for range simItemCount {
		f.items = append(f.items, &simItem{content: f.newContent(), isQueued: true})
	}
	return f
}

// isQuarantined reports whether a request with the content must not be sent now.
func (f *simFleet) isQuarantined(content Fingerprint) bool {
	if f.opts.hasTrials {
		return f.registry.Check(f.now, content)
	}
	e, ok := f.registry.entries[content]
	return ok && f.registry.isQuarantined(e)
}

// startRun starts a run at the target with the most free slots, and reports whether any target that is up had
// one.
func (f *simFleet) startRun(r simRun) bool {
	var leastLoaded *simTarget
	for _, i := range f.rng.Perm(len(f.targets)) {
		t := f.targets[i]
		if f.now.Before(t.upAt) || len(t.runs) >= simSlots {
			continue
		}
		if leastLoaded == nil || len(t.runs) < len(leastLoaded.runs) {
			leastLoaded = t
		}
	}
	if leastLoaded == nil {
		return false
	}
	f.registry.Admit(f.now, r.content)
	r.beganAt = f.now
	leastLoaded.runs = append(leastLoaded.runs, r)
	return true
}

// crashTarget breaks off all runs of a target and starts its restart.
func (f *simFleet) crashTarget(t *simTarget) {
	for _, r := range t.runs {
		f.noteBroken(t, r)
	}
	f.idCount++
	t.id, t.runs, t.upAt = fmt.Sprint("t", f.idCount), nil, f.now.Add(simRestartTime)
}

// noteBroken counts the crash of a target against the content of a run that it broke off, and queues the item
// or retries the stream of the run.
func (f *simFleet) noteBroken(t *simTarget, r simRun) {
	advance := max(0, f.now.Sub(r.beganAt)-simFirstEventDelay)
	hasAdvanced := r.item != nil && r.item.progress > 0 && advance > 0
	if !f.opts.hasProgress || !hasAdvanced {
		f.registry.NoteCrash(f.now, r.content, NewCrash(t.id, t.id, r.beganAt, f.now))
	}
	switch {
	case r.isCrashing:
		return
	case r.item != nil:
		r.item.progress += advance
		r.item.isQueued = true
	default:
		f.brokenStreams++
		if r.retries > 0 {
			f.sendStream(r.content, r.retries-1)
		}
	}
}

// sendStream sends a stream with a harmless content unless the content is quarantined.
func (f *simFleet) sendStream(content Fingerprint, retries int) {
	if f.isQuarantined(content) {
		f.rejectedStreams++
		f.trackPopular(content, true)
		return
	}
	f.trackPopular(content, false)
	f.startRun(simRun{content: content, duration: simStreamDuration, retries: retries})
}

// hasFreeSlot reports whether any target can take a request.
func (f *simFleet) hasFreeSlot() bool {
	return slices.ContainsFunc(f.targets, func(t *simTarget) bool { return !f.now.Before(t.upAt) && len(t.runs) < simSlots })
}

// trackPopular updates longestRejection after a request was rejected or sent, if its content is the popular
// one. Time in which no target has a free slot does not count.
func (f *simFleet) trackPopular(content Fingerprint, isRejected bool) {
	switch {
	case content != popularContent:
	case !f.hasFreeSlot() && !f.popularRejectedSince.IsZero():
		f.popularRejectedSince = f.now
	case isRejected && f.popularRejectedSince.IsZero():
		f.popularRejectedSince = f.now
	case !f.popularRejectedSince.IsZero():
		f.longestRejection = max(f.longestRejection, f.now.Sub(f.popularRejectedSince))
		if !isRejected && !f.registry.isQuarantined(f.registry.entries[popularContent]) {
			f.popularRejectedSince = time.Time{}
		}
	}
}

// step ends the runs that are complete at f.now and crashes the targets that run the crashing content.
func (f *simFleet) step() {
	for _, t := range f.targets {
		running := t.runs[:0:0]
		hasCrashed := false
		for _, r := range t.runs {
			elapsed := f.now.Sub(r.beganAt)
			hasCrashed = hasCrashed || r.isCrashing && elapsed >= simCrashDelay
			if r.isCrashing || elapsed < r.duration {
				running = append(running, r)
				continue
			}
			f.served++
			if f.opts.hasClearance {
				f.registry.NoteServed(f.now, r.content)
			}
			if r.item != nil {
				*r.item = simItem{content: f.newContent(), isQueued: true}
			}
		}
		t.runs = running
		if hasCrashed {
			f.crashes++
			f.crashTarget(t)
		}
	}
}

// sendArrivals sends a stream that arrives in this step, if there is one, and starts the queued items. An item
// whose content is quarantined is replaced by a new one.
func (f *simFleet) sendArrivals() {
	if f.rng.Float64() < simArrivalProbability {
		content, retries := popularContent, 0
		if f.rng.Float64() > simPopularShare {
			content, retries = f.newContent(), f.rng.IntN(4)
		}
		f.sendStream(content, retries)
	}
	for _, item := range f.items {
		if !item.isQueued {
			continue
		}
		if f.isQuarantined(item.content) {
			f.quarantinedItems++
			*item = simItem{content: f.newContent(), isQueued: true}
			continue
		}
		item.isQueued = !f.startRun(simRun{content: item.content, duration: simItemDuration - item.progress, item: item})
	}
}

// run simulates simDuration with requests of the crashing content, if the scenario has them, and with targets
// that are lost for other reasons.
func (f *simFleet) run() {
	for at := time.Duration(0); at < simDuration; at += simStep {
		f.now = testStart.Add(at)
		f.step()
		f.sendArrivals()
		if f.scenario.hasCrashingContent && at%simRepeatInterval == 0 && !f.isQuarantined(crashingContent) {
			f.startRun(simRun{content: crashingContent, duration: simDuration, isCrashing: true})
		}
		if at%f.scenario.lossInterval == f.scenario.lossInterval/2 {
			for _, t := range f.targets {
				if f.rng.IntN(3) == 0 {
					f.crashTarget(t)
				}
			}
		}
	}
}

// maxRejection is the maximum time for which requests with a harmless content may be rejected after several
// targets that ran it were lost together.
const maxRejection = 2 * time.Second

// Guards against rules that let a crashing content crash more than twice DefaultThreshold targets, that reject
// harmless requests for longer than maxRejection, or that quarantine harmless items. The test logs the mean
// results of the compared variants of the rules.
func TestCrashAttribution(t *testing.T) {
	production := simOptions{threshold: DefaultThreshold, hasClearance: true, hasProgress: true, hasTrials: true}
	variants := []struct {
		name string
		simOptions
	}{
		{"kept", production},
		{"threshold 1", simOptions{1, true, true, true}},
		{"threshold 2", simOptions{2, true, true, true}},
		{"threshold 5", simOptions{5, true, true, true}},
		{"no trials", simOptions{DefaultThreshold, true, true, false}},
		{"no clearance", simOptions{DefaultThreshold, false, true, true}},
		{"no progress", simOptions{DefaultThreshold, true, false, true}},
		{"none", simOptions{MaxCrashes + 1, true, true, true}},
	}
	for name, scenario := range map[string]simScenario{
		"a crashing content, targets lost together each 10 s": {true, 10 * time.Second},
		"targets lost together each 10 s":                     {false, 10 * time.Second},
		"targets lost together each 4 s":                      {false, 4 * time.Second},
	} {
		for _, variant := range variants {
			var total simFleet
			if variant.simOptions != production && !testing.Verbose() {
				continue
			}
			for seed := range uint64(*simSeeds) {
				f := newSimFleet(variant.simOptions, scenario, seed)
				f.run()
				total.add(f)
				if variant.simOptions == production && (f.crashes > 2*DefaultThreshold || f.longestRejection > maxRejection || f.quarantinedItems > 0) {
					t.Errorf("%s, seed %d: %d crashes, popular content rejected for %v, %d items quarantined, want at most 6, 2s and 0", name, seed, f.crashes, f.longestRejection, f.quarantinedItems)
				}
			}
			mean := func(n int) float64 { return float64(n) / float64(*simSeeds) }
			t.Logf("%s: rules %-12s mean per fleet: crashes %5.1f, streams broken off %6.1f and rejected %6.1f, items quarantined %5.1f, requests served %7.1f",
				name, variant.name, mean(total.crashes), mean(total.brokenStreams), mean(total.rejectedStreams), mean(total.quarantinedItems), mean(total.served))
		}
	}
}

// add adds the counts of another fleet to those of f.
func (f *simFleet) add(other *simFleet) {
	f.crashes += other.crashes
	f.brokenStreams += other.brokenStreams
	f.rejectedStreams += other.rejectedStreams
	f.quarantinedItems += other.quarantinedItems
	f.served += other.served
}
