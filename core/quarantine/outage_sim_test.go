package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"arbutusramp/core/serving"
)

// outageLoad describes a caller that crashes targets and the callers beside it, all on one route.
type outageLoad struct {
	name string
	// isVaried: the crashing contents differ in one byte from each other; otherwise they share nothing.
	isVaried bool
	// hasOwnWorkspace, hasOwnAddr: the crashing caller has another workspace or another address than the others.
	hasOwnWorkspace, hasOwnAddr bool
	instructions                int // bytes at the beginning of each body that all callers share
}

// outageRules are the compared ways to keep a crashing caller from targets.
type outageRules struct {
	name             string
	hasSimilar       bool // scopes of similar bodies
	hasCaller        bool // scopes of addresses
	hasCanary        bool // unknown contents of a suspect route run one at a time, in place of being rejected
	crashesPerMinute int  // budget of crashes after which unknown contents of a route are rejected; 0: no budget
}

const (
	outageTargets      = 6
	outageDownTime     = 700 * time.Millisecond
	outageInterval     = 150 * time.Millisecond // mean time between two crashing requests
	outageOthers       = 3                      // mean number of requests of others in an interval
	outageRunDuration  = 150 * time.Millisecond // of a harmless request
	outageCrashDelay   = 20 * time.Millisecond  // from the start of a run until it crashes its target
	outageNoticeDelay  = 50 * time.Millisecond  // until all gateways have the record of a crash
	outageBodyBytes    = 900
	outageDuration     = 30 * time.Second
	outageMaxCrashes   = 9 // three, and six more
	outageServedShare  = 0.95
	outageServedWindow = 10 * time.Second // a canary runs while a crash is not longer ago
)

// outageRun is a request that runs at an outageTarget.
type outageRun struct {
	subject    Subject
	isCrashing bool
	isCanary   bool
	beganAt    time.Time
}

// outageTarget is a simulated target, which is down until upAt after a crash.
type outageTarget struct {
	id   string
	upAt time.Time
	runs []outageRun
}

// outageFleet is a simulated fleet that serves online requests. One registry stands for all gateways.
type outageFleet struct {
	load     outageLoad
	rules    outageRules
	rng      *rand.Rand
	registry *Registry
	targets  []*outageTarget
	now      time.Time
	crashed  []func()    // notes a crash when outageNoticeDelay has passed
	noticeAt []time.Time // for each of crashed
	crashAt  []time.Time

	sent, served, lost, crashes int // of the requests of others: sent, served, and lost by crashes
}

// subject returns the subject of a request of the crashing caller or of another one.
func (f *outageFleet) subject(isCrashing bool, base, instructions string) Subject {
	body := []byte(instructions + randomText(f.rng, outageBodyBytes-len(instructions)))
	r := &serving.Request{Method: "POST", Host: "h", URI: "/x", CallerAddr: "10.0.0.1", Caller: serving.Caller{Workspace: "a"}}
	if isCrashing {
		if f.load.isVaried {
			body = []byte(base)
			body[len(body)-1-f.rng.IntN(100)] = byte('0' + f.rng.IntN(10))
		}
		if f.load.hasOwnAddr {
			r.CallerAddr = "10.0.0.2"
		}
		if f.load.hasOwnWorkspace {
			r.Caller.Workspace = "b"
		}
	}
	r.Body = body
	s := NewContent(r).SetRoute("route").Subject()
	if !f.rules.hasSimilar {
		s.Similar = nil
	}
	if !f.rules.hasCaller {
		s.Caller = Fingerprint{}
	}
	return s
}

// recentCrashes returns the number of crashes within d before now.
func (f *outageFleet) recentCrashes(d time.Duration) (n int) {
	for _, at := range f.crashAt {
		if f.now.Sub(at) <= d && f.now.Sub(at) >= outageNoticeDelay {
			n++
		}
	}
	return n
}

// admit reports whether a request is sent, and whether it runs as a canary.
func (f *outageFleet) admit(s Subject) (isAdmitted, isCanary bool) {
	switch {
	case f.rules.crashesPerMinute > 0:
		return f.recentCrashes(time.Minute) < f.rules.crashesPerMinute, false
	case f.rules.hasCanary && f.recentCrashes(outageServedWindow) > 0:
		for _, t := range f.targets {
			for _, r := range t.runs {
				if r.isCanary {
					return false, false
				}
			}
		}
		return true, true
	}
	isQuarantined, _ := f.registry.AdmitScopes(f.now, s)
	return !isQuarantined, false
}

// send sends a request to the target with the fewest runs unless it is rejected.
func (f *outageFleet) send(s Subject, isCrashing bool) {
	if !isCrashing {
		f.sent++
	}
	isAdmitted, isCanary := f.admit(s)
	var chosen *outageTarget
	for _, i := range f.rng.Perm(len(f.targets)) {
		if t := f.targets[i]; !f.now.Before(t.upAt) && (chosen == nil || len(t.runs) < len(chosen.runs)) {
			chosen = t
		}
	}
	if isAdmitted && chosen != nil {
		chosen.runs = append(chosen.runs, outageRun{subject: s, isCrashing: isCrashing, isCanary: isCanary, beganAt: f.now})
	}
}

// step ends the runs that are complete and crashes the targets that run crashing contents.
func (f *outageFleet) step() {
	for len(f.crashed) > 0 && !f.now.Before(f.noticeAt[0]) {
		f.crashed[0]()
		f.crashed, f.noticeAt = f.crashed[1:], f.noticeAt[1:]
	}
	for _, t := range f.targets {
		hasCrashed := false
		var running []outageRun
		for _, r := range t.runs {
			elapsed := f.now.Sub(r.beganAt)
			hasCrashed = hasCrashed || r.isCrashing && elapsed >= outageCrashDelay
			if r.isCrashing || elapsed < outageRunDuration {
				running = append(running, r)
				continue
			}
			f.served++
			f.registry.NotePassed(f.now, r.subject)
		}
		t.runs = running
		if hasCrashed {
			f.crash(t)
		}
	}
}

// crash breaks off all runs of a target and starts its restart.
func (f *outageFleet) crash(t *outageTarget) {
	f.crashes++
	f.crashAt = append(f.crashAt, f.now)
	for _, r := range t.runs {
		crash := NewCrash(t.id, t.id, r.beganAt, f.now)
		f.noticeAt = append(f.noticeAt, f.now.Add(outageNoticeDelay))
		f.crashed = append(f.crashed, func() {
			f.registry.NoteCrash(f.now, r.subject.Content, crash)
			f.registry.NoteScopeCrash(f.now, r.subject, crash)
		})
		if !r.isCrashing {
			f.lost++
		}
	}
	t.id, t.runs, t.upAt = fmt.Sprint("restart-", f.crashes), nil, f.now.Add(outageDownTime)
}

// runOutage simulates a fleet and returns it.
func runOutage(load outageLoad, rules outageRules, seed uint64) *outageFleet {
	f := &outageFleet{load: load, rules: rules, rng: rand.New(rand.NewPCG(seed, 3)), registry: NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})}
	for i := range outageTargets {
		f.targets = append(f.targets, &outageTarget{id: fmt.Sprint("t", i)})
	}
	instructions := randomText(f.rng, load.instructions)
	base := instructions + randomText(f.rng, outageBodyBytes-len(instructions))
	for at := time.Duration(0); at < outageDuration; at += simStep {
		f.now = testStart.Add(at)
		f.step()
		if f.rng.Float64() < float64(simStep)/float64(outageInterval) {
			f.send(f.subject(true, base, instructions), true)
		}
		if f.rng.Float64() < outageOthers*float64(simStep)/float64(outageInterval) {
			f.send(f.subject(false, base, instructions), false)
		}
	}
	return f
}

// Guards against rules by which one caller that crashes targets stops the service of others on its route. The test
// logs the mean results of the compared rules, also for loads that they cannot tell apart.
func TestOutageByCrashingCaller(t *testing.T) {
	production := outageRules{name: "similar bodies and callers before route (production)", hasSimilar: true, hasCaller: true}
	variants := []outageRules{
		{name: "route"}, {name: "callers before route", hasCaller: true}, {name: "similar bodies before route", hasSimilar: true}, production,
		{name: "one canary at a time", hasCanary: true}, {name: "budget of 6 crashes a minute", crashesPerMinute: 6},
	}
	for _, test := range []struct {
		outageLoad
		isServed bool // the others must be served
	}{
		{outageLoad{name: "varied byte", isVaried: true}, true},
		{outageLoad{name: "varied byte, two thirds of all bodies the same", isVaried: true, instructions: 600}, true},
		{outageLoad{name: "varied byte, own workspace", isVaried: true, hasOwnWorkspace: true}, true},
		{outageLoad{name: "new contents, own workspace", hasOwnWorkspace: true}, true},
		{outageLoad{name: "new contents, own address", hasOwnAddr: true}, true},
		{outageLoad{name: "new contents"}, false},
	} {
		for _, rules := range variants {
			if rules != production && !testing.Verbose() {
				continue
			}
			var crashes, served, counted, lost int
			for seed := range uint64(*simSeeds) {
				f := runOutage(test.outageLoad, rules, seed)
				n := f.sent - f.lost
				crashes, served, counted, lost = crashes+f.crashes, served+f.served, counted+n, lost+f.lost
				if rules == production && test.isServed && (f.crashes > outageMaxCrashes || float64(f.served) < outageServedShare*float64(n)) {
					t.Errorf("%s, seed %d: %d crashes, %d of %d requests of others served, want at most 9 and a share of at least 0.95", test.name, seed, f.crashes, f.served, n)
				}
			}
			t.Logf("%s: rules %s: mean crashes %.1f, share of the requests of others served %.3f, lost by crashes %.3f", test.name, rules.name,
				float64(crashes)/float64(*simSeeds), float64(served)/float64(counted), float64(lost)/float64(lost+counted))
		}
	}
}
