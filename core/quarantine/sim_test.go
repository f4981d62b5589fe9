package quarantine

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var simSeeds = flag.Int("quarantine.seeds", 6, "number of simulated fleets for each trouble; all ways are played with -v")

// simOptions are the ways of attribution that the simulation compares.
type simOptions struct {
	threshold int
	// hasClearance has contents cleared that are served, hasProgress has crashes not count under work that advances, and hasTries has
	// contents tried whose crashes may have come together.
	hasClearance, hasProgress, hasTries bool
}

// simTrouble is what crashes targets.
type simTrouble struct {
	hasBad  bool          // a content under which each target crashes
	lossGap time.Duration // between two losses of a third of the targets at once
}

// Times and sizes of the simulated fleet.
const (
	simStep       = 10 * time.Millisecond
	simLength     = 60 * time.Second
	simTargets    = 9
	simSlots      = 8
	simDown       = 3 * time.Second // a target that has crashed is back after
	simCrash      = 150 * time.Millisecond
	simFirstEvent = 70 * time.Millisecond
	simStreamHold = 700 * time.Millisecond
	simItemHold   = 4700 * time.Millisecond
	simRepeat     = 500 * time.Millisecond // between two repeats of the bad content
	simArrivals   = 0.35                   // streams that arrive in a step
	simPopular    = 0.2                    // share of streams that have the same content
	simItems      = 30                     // items that are under way or wait
)

// simRun is a request at a target.
type simRun struct {
	content Fingerprint
	began   time.Time
	hold    time.Duration
	item    *simItem // nil for streams
	retries int      // of streams that may be repeated
	isBad   bool
}

// simItem is batch work that goes on from where it was.
type simItem struct {
	content  Fingerprint
	done     time.Duration
	isQueued bool
}

type simTarget struct {
	id   string
	runs []simRun
	back time.Time // it is down until then
}

// simFleet is a fleet whose gateways know all of each other.
type simFleet struct {
	opts     simOptions
	trouble  simTrouble
	rng      *rand.Rand
	registry *Registry
	targets  []*simTarget
	items    []*simItem
	now      time.Time
	started  int

	badCrashes, broken, rejected, served, heldItems int
	// popularRejected is since when the popular content is rejected, longestRejected how long it was at most.
	popularRejected time.Time
	longestRejected time.Duration
}

// popular is the content that many callers send, bad the one that crashes targets.
var popular, bad = Fingerprint{2}, Fingerprint{3}

func (f *simFleet) newContent() Fingerprint {
	f.started++
	return Fingerprint{1, byte(f.started), byte(f.started >> 8), byte(f.started >> 16)}
}

func newSimFleet(o simOptions, t simTrouble, seed uint64) *simFleet {
	f := &simFleet{opts: o, trouble: t, rng: rand.New(rand.NewPCG(seed, 1)), registry: NewRegistry(Options{Threshold: o.threshold, Hold: DefaultHold}), now: start}
	for i := range simTargets {
		f.targets = append(f.targets, &simTarget{id: fmt.Sprint("t", i)})
	}
	for range simItems {
		f.items = append(f.items, &simItem{content: f.newContent(), isQueued: true})
	}
	return f
}

func (f *simFleet) isQuarantined(content Fingerprint) bool {
	if f.opts.hasTries {
		return f.registry.Check(f.now, content)
	}
	e, ok := f.registry.entries[content]
	return ok && f.registry.isQuarantined(e)
}

// send starts a run at the target with the most free slots of those that are up, and reports whether there was one.
func (f *simFleet) send(r simRun) bool {
	var best *simTarget
	for _, i := range f.rng.Perm(len(f.targets)) {
		t := f.targets[i]
		if f.now.Before(t.back) || len(t.runs) >= simSlots {
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
	r.began = f.now
	best.runs = append(best.runs, r)
	return true
}

// end crashes a target: what it runs is broken off.
func (f *simFleet) end(t *simTarget) {
	for _, r := range t.runs {
		f.noteBroken(t, r)
	}
	f.started++
	t.id, t.runs, t.back = fmt.Sprint("t", f.started), nil, f.now.Add(simDown)
}

func (f *simFleet) noteBroken(t *simTarget, r simRun) {
	ran := max(0, f.now.Sub(r.began)-simFirstEvent)
	wentOn := r.item != nil && r.item.done > 0 && ran > 0
	if !f.opts.hasProgress || !wentOn {
		f.registry.NoteCrash(f.now, r.content, NewCrash(t.id, t.id, r.began, f.now))
	}
	switch {
	case r.isBad:
		return
	case r.item != nil:
		r.item.done += ran
		r.item.isQueued = true
	default:
		f.broken++
		if r.retries > 0 {
			f.stream(r.content, r.retries-1)
		}
	}
}

// stream sends a stream that is not to blame.
func (f *simFleet) stream(content Fingerprint, retries int) {
	if f.isQuarantined(content) {
		f.rejected++
		f.notePopular(content, true)
		return
	}
	f.notePopular(content, false)
	f.send(simRun{content: content, hold: simStreamHold, retries: retries})
}

// hasRoom says whether a target could take a request.
func (f *simFleet) hasRoom() bool {
	return slices.ContainsFunc(f.targets, func(t *simTarget) bool { return !f.now.Before(t.back) && len(t.runs) < simSlots })
}

// notePopular notes that the popular content is rejected, or sent. Time without room for it counts for nothing.
func (f *simFleet) notePopular(content Fingerprint, isRejected bool) {
	switch {
	case content != popular:
	case !f.hasRoom() && !f.popularRejected.IsZero():
		f.popularRejected = f.now
	case isRejected && f.popularRejected.IsZero():
		f.popularRejected = f.now
	case !f.popularRejected.IsZero():
		f.longestRejected = max(f.longestRejected, f.now.Sub(f.popularRejected))
		if !isRejected && !f.registry.isQuarantined(f.registry.entries[popular]) {
			f.popularRejected = time.Time{}
		}
	}
}

func (f *simFleet) step() {
	for _, t := range f.targets {
		running := t.runs[:0:0]
		hasCrashed := false
		for _, r := range t.runs {
			ran := f.now.Sub(r.began)
			hasCrashed = hasCrashed || r.isBad && ran >= simCrash
			if r.isBad || ran < r.hold {
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
			f.badCrashes++
			f.end(t)
		}
	}
}

func (f *simFleet) arrivals() {
	if f.rng.Float64() < simArrivals {
		content, retries := popular, 0
		if f.rng.Float64() > simPopular {
			content, retries = f.newContent(), f.rng.IntN(4)
		}
		f.stream(content, retries)
	}
	for _, item := range f.items {
		if !item.isQueued {
			continue
		}
		if f.isQuarantined(item.content) {
			f.heldItems++
			*item = simItem{content: f.newContent(), isQueued: true}
			continue
		}
		item.isQueued = !f.send(simRun{content: item.content, hold: simItemHold - item.done, item: item})
	}
}

// run plays a minute with one content that crashes targets, and with losses for other reasons.
func (f *simFleet) run() {
	for at := time.Duration(0); at < simLength; at += simStep {
		f.now = start.Add(at)
		f.step()
		f.arrivals()
		if f.trouble.hasBad && at%simRepeat == 0 && !f.isQuarantined(bad) {
			f.send(simRun{content: bad, hold: simLength, isBad: true})
		}
		if at%f.trouble.lossGap == f.trouble.lossGap/2 {
			for _, t := range f.targets {
				if f.rng.IntN(3) == 0 {
					f.end(t)
				}
			}
		}
	}
}

// maxRejected is how long a content that is not to blame may be rejected after it was under way at targets that were lost together.
const maxRejected = 2 * time.Second

// Guards against an attribution that lets a bad content crash more targets than the platform's rule allows, or that rejects work that is
// not to blame for long. The sums are logged for the ways that were weighed.
func TestAttributionOfCrashes(t *testing.T) {
	kept := simOptions{threshold: DefaultThreshold, hasClearance: true, hasProgress: true, hasTries: true}
	ways := []struct {
		name string
		simOptions
	}{
		{"kept", kept},
		{"threshold 1", simOptions{1, true, true, true}},
		{"threshold 2", simOptions{2, true, true, true}},
		{"threshold 5", simOptions{5, true, true, true}},
		{"no tries", simOptions{DefaultThreshold, true, true, false}},
		{"no clearance", simOptions{DefaultThreshold, false, true, true}},
		{"no progress", simOptions{DefaultThreshold, true, false, true}},
		{"none", simOptions{MaxCrashes + 1, true, true, true}},
	}
	for name, trouble := range map[string]simTrouble{
		"a bad content, losses each 10 s": {true, 10 * time.Second},
		"losses each 10 s":                {false, 10 * time.Second},
		"losses each 4 s":                 {false, 4 * time.Second},
	} {
		for _, way := range ways {
			var sum simFleet
			if way.simOptions != kept && !testing.Verbose() {
				continue
			}
			for seed := range uint64(*simSeeds) {
				f := newSimFleet(way.simOptions, trouble, seed)
				f.run()
				sum.add(f)
				if way.simOptions == kept && (f.badCrashes > 2*DefaultThreshold || f.longestRejected > maxRejected || f.heldItems > 0) {
					t.Errorf("%s, seed %d: %d crashes, the popular content rejected for %v, %d items held", name, seed, f.badCrashes, f.longestRejected, f.heldItems)
				}
			}
			mean := func(n int) float64 { return float64(n) / float64(*simSeeds) }
			t.Logf("%s: %-12s crashes %5.1f, streams broken %6.1f, rejected %6.1f, items held %5.1f, served %7.1f",
				name, way.name, mean(sum.badCrashes), mean(sum.broken), mean(sum.rejected), mean(sum.heldItems), mean(sum.served))
		}
	}
}

// add adds the counts of another fleet.
func (f *simFleet) add(o *simFleet) {
	f.badCrashes += o.badCrashes
	f.broken += o.broken
	f.rejected += o.rejected
	f.heldItems += o.heldItems
	f.served += o.served
}
