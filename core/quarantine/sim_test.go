package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simSeeds = flag.Int("quarantine.seeds", 6, "number of simulated fleets for each scenario; -v runs all variants")

// simOptions are the attribution rules that the simulation compares.
type simOptions struct {
	threshold int
	// hasClearance clears contents that are served; hasProgress ignores crashes during runs that advance;
	// hasTrials admits trials of contents whose crashes may have been simultaneous.
	hasClearance, hasProgress, hasTrials bool
}

// simScenario describes what crashes targets.
type simScenario struct {
	hasCrashingContent bool          // a content that crashes each target
	lossInterval       time.Duration // between two losses of a third of the targets at once
}

// Durations and sizes of the simulated fleet.
const (
	simStep               = 10 * time.Millisecond
	simDuration           = 60 * time.Second
	simTargetCount        = 9
	simSlots              = 8
	simRestartTime        = 3 * time.Second // until a crashed target is up again
	simCrashDelay         = 150 * time.Millisecond
	simFirstEventDelay    = 70 * time.Millisecond
	simStreamDuration     = 700 * time.Millisecond
	simItemDuration       = 4700 * time.Millisecond
	simRepeatInterval     = 500 * time.Millisecond // between two repeats of the crashing content
	simArrivalProbability = 0.35                   // probability that a stream arrives in a step
	simPopularShare       = 0.2                    // share of streams with the popular content
	simItemCount          = 30                     // items that run or wait
)

// simRun is a run of a request at a target.
type simRun struct {
	content    Fingerprint
	beganAt    time.Time
	duration   time.Duration
	item       *simItem // nil for streams
	retries    int      // remaining retries of a stream
	isCrashing bool
}

// simItem is a batch item, which resumes where its last run ended.
type simItem struct {
	content  Fingerprint
	progress time.Duration
	isQueued bool
}

type simTarget struct {
	id   string
	runs []simRun
	upAt time.Time // the target is down until then
}

// simFleet is a fleet whose gateways have identical information.
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
	// popularRejectedSince is when the popular content began to be rejected, longestRejection the longest
	// time for which it was.
	popularRejectedSince time.Time
	longestRejection     time.Duration
}

// popularContent is sent by many callers, crashingContent crashes each target.
var popularContent, crashingContent = Fingerprint{2}, Fingerprint{3}

func (f *simFleet) newContent() Fingerprint {
	f.idCount++
	return Fingerprint{1, byte(f.idCount), byte(f.idCount >> 8), byte(f.idCount >> 16)}
}

func newSimFleet(o simOptions, s simScenario, seed uint64) *simFleet {
	f := &simFleet{opts: o, scenario: s, rng: rand.New(rand.NewPCG(seed, 1)), registry: NewRegistry(Options{Threshold: o.threshold, Hold: DefaultHold}), now: testStart}
	for i := range simTargetCount {
		f.targets = append(f.targets, &simTarget{id: fmt.Sprint("t", i)})
	}
	for range simItemCount {
		f.items = append(f.items, &simItem{content: f.newContent(), isQueued: true})
	}
	return f
}

func (f *simFleet) isQuarantined(content Fingerprint) bool {
	if f.opts.hasTrials {
		return f.registry.Check(f.now, content)
	}
	e, ok := f.registry.entries[content]
	return ok && f.registry.isQuarantined(e)
}

// startRun starts a run at the target with the most free slots among those that are up, and reports whether
// there was one.
func (f *simFleet) startRun(r simRun) bool {
	var best *simTarget
	for _, i := range f.rng.Perm(len(f.targets)) {
		t := f.targets[i]
		if f.now.Before(t.upAt) || len(t.runs) >= simSlots {
			continue
		}
		if best == nil || len(t.runs) < len(best.runs) {
			best = t
		}
	}
	if best == nil {
		return false
	}
	f.registry.Admit(f.now, r.content)
	r.beganAt = f.now
	best.runs = append(best.runs, r)
	return true
}

// crashTarget crashes a target and breaks off its runs.
func (f *simFleet) crashTarget(t *simTarget) {
	for _, r := range t.runs {
		f.noteBroken(t, r)
	}
	f.idCount++
	t.id, t.runs, t.upAt = fmt.Sprint("t", f.idCount), nil, f.now.Add(simRestartTime)
}

func (f *simFleet) noteBroken(t *simTarget, r simRun) {
	ran := max(0, f.now.Sub(r.beganAt)-simFirstEventDelay)
	hasAdvanced := r.item != nil && r.item.progress > 0 && ran > 0
	if !f.opts.hasProgress || !hasAdvanced {
		f.registry.NoteCrash(f.now, r.content, NewCrash(t.id, t.id, r.beganAt, f.now))
	}
	switch {
	case r.isCrashing:
		return
	case r.item != nil:
		r.item.progress += ran
		r.item.isQueued = true
	default:
		f.brokenStreams++
		if r.retries > 0 {
			f.sendStream(r.content, r.retries-1)
		}
	}
}

// sendStream sends a stream with a harmless content.
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

// trackPopular notes whether the popular content is rejected or sent. Time without a free slot does not
// count.
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

func (f *simFleet) step() {
	for _, t := range f.targets {
		running := t.runs[:0:0]
		hasCrashed := false
		for _, r := range t.runs {
			ran := f.now.Sub(r.beganAt)
			hasCrashed = hasCrashed || r.isCrashing && ran >= simCrashDelay
			if r.isCrashing || ran < r.duration {
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

// run simulates a minute with one content that crashes targets, if the scenario has it, and with losses for
// other reasons.
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

// maxRejection is how long a harmless content may be rejected after it was in progress at targets that were
// lost together.
const maxRejection = 2 * time.Second

// Guards against attribution rules that let a crashing content crash more targets than the platform allows,
// or that reject harmless requests for long. The test logs the totals of the compared variants.
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
		"a crashing content, losses each 10 s": {true, 10 * time.Second},
		"losses each 10 s":                     {false, 10 * time.Second},
		"losses each 4 s":                      {false, 4 * time.Second},
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
					t.Errorf("%s, seed %d: %d crashes, popular content rejected for %v, %d items quarantined", name, seed, f.crashes, f.longestRejection, f.quarantinedItems)
				}
			}
			mean := func(n int) float64 { return float64(n) / float64(*simSeeds) }
			t.Logf("%s: %-12s crashes %5.1f, streams broken off %6.1f, rejected %6.1f, items quarantined %5.1f, served %7.1f",
				name, variant.name, mean(total.crashes), mean(total.brokenStreams), mean(total.rejectedStreams), mean(total.quarantinedItems), mean(total.served))
		}
	}
}

// add adds the counts of another fleet.
func (f *simFleet) add(o *simFleet) {
	f.crashes += o.crashes
	f.brokenStreams += o.brokenStreams
	f.rejectedStreams += o.rejectedStreams
	f.quarantinedItems += o.quarantinedItems
	f.served += o.served
}
