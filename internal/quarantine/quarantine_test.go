package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/standin/keyedlog"
)

// fleet is targets of which some have crashed.
type fleet struct {
	mu      sync.Mutex
	probes  int
	result  platform.ProbeResult
	leaving bool
	heard   time.Time
	reports int
	// answer, if not nil, is what a probe of a target shows in place of result.
	answer func(target string) platform.ProbeResult
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Probe implements platform.TargetProber.
func (f *fleet) Probe(_ context.Context, t serving.Target) platform.ProbeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.answer != nil {
		return f.answer(t.ID)
	}
	return f.result
}

// IsInService implements Fleet.
func (f *fleet) IsInService(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leaving
}

// HeardSince implements Fleet.
func (f *fleet) HeardSince(_ string, t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard.After(t)
}

// ReportSoon implements Fleet.
func (f *fleet) ReportSoon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

// backAfter answers for targets in whose place something accepts connections until another start answers that long after the first
// probe.
func backAfter(d time.Duration) func(target string) platform.ProbeResult {
	probed := make(map[string]time.Time)
	return func(target string) platform.ProbeResult {
		if _, ok := probed[target]; !ok {
			probed[target] = time.Now()
		}
		if time.Since(probed[target]) < d {
			return platform.ProbeUnknown
		}
		return platform.ProbeGone
	}
}

func newQuarantine(f *fleet, off ...string) *Quarantine {
	o, _ := policy.Parse(off) // names of the tests' own
	return New(Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold, Off: o, Prober: f, Fleet: f,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
}

func request(body string) *quarantine.Content {
	return quarantine.NewContent(&serving.Request{ID: "id", Method: "POST", Host: "h", URI: "/a", Body: []byte(body)})
}

// runTime is how long a run takes until its target crashes.
const runTime = 100 * time.Millisecond

// breakOff has a target break off a request and waits until it is known what that means.
func breakOff(q *Quarantine, body, target string) {
	began := time.Now()
	time.Sleep(runTime)
	q.BrokenOff(quarantine.Broken{Content: request(body), Target: serving.Target{ID: target}, Began: began, Err: errors.New("EOF")})
	time.Sleep(time.Second)
	synctest.Wait()
}

func isQuarantined(q *Quarantine, body string) bool {
	return errs.Is(q.Check(request(body)), errs.Quarantined)
}

// Three breaks for each thing that may be behind them: only crashes of targets that were expected to stay count.
func TestWhatCountsAsTheCrashOfATarget(t *testing.T) {
	cases := []struct {
		name   string
		fleet  *fleet
		after  func(q *Quarantine, target string) // a second after each break
		want   bool
		probes int
	}{
		{name: "connections are refused", fleet: &fleet{result: platform.ProbeGone}, want: true, probes: 3},
		{name: "only the connection was lost", fleet: &fleet{result: platform.ProbeAlive}, probes: 3},
		{name: "the target answers others", fleet: &fleet{heard: time.Now().Add(100 * 365 * 24 * time.Hour)}, probes: 3},
		{name: "cut off, and gone from the list", fleet: &fleet{}, want: true, probes: 12,
			after: func(q *Quarantine, target string) { q.TargetsGone([]string{target}) }},
		{name: "cut off, and still on the list", fleet: &fleet{}, probes: 18},
		{name: "gone from the list long after", fleet: &fleet{}, probes: 18,
			after: func(q *Quarantine, target string) {
				time.Sleep(suspicionTTL)
				q.TargetsGone([]string{target})
			}},
		{name: "alive, and gone from the list soon after", fleet: &fleet{result: platform.ProbeAlive}, probes: 3,
			after: func(q *Quarantine, target string) { q.TargetsGone([]string{target}) }},
		{name: "something accepts connections until the next start answers", fleet: &fleet{answer: backAfter(700 * time.Millisecond)}, want: true, probes: 12},
		{name: "leaving", fleet: &fleet{result: platform.ProbeGone, leaving: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuarantine(c.fleet)
				for i := range quarantine.DefaultThreshold {
					target := fmt.Sprintf("t%d", i)
					breakOff(q, "body", target)
					if c.after != nil {
						c.after(q, target)
					}
				}
				time.Sleep(suspicionTTL)
				synctest.Wait()
				probes := 0
				c.fleet.set(func() { probes = c.fleet.probes })
				if isQuarantined(q, "body") != c.want || probes != c.probes {
					t.Errorf("quarantined %v after %d probes, want %v after %d", !c.want, probes, c.want, c.probes)
				}
				if isQuarantined(q, "other") {
					t.Error("another request is quarantined")
				}
			})
		})
	}
}

// What many callers send is under way at targets that are lost together. It is tried once, by one request, and served on.
func TestAContentWhoseCrashesCameTogetherIsTriedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fleet{result: platform.ProbeGone})
		began := time.Now()
		time.Sleep(runTime)
		for i := range quarantine.DefaultThreshold {
			q.BrokenOff(quarantine.Broken{Content: request("body"), Target: serving.Target{ID: fmt.Sprint(i)}, Began: began, Err: errors.New("EOF")})
		}
		time.Sleep(100 * time.Millisecond)
		if !isQuarantined(q, "body") {
			t.Error("not quarantined")
		}
		time.Sleep(time.Second)
		if isQuarantined(q, "body") || q.AdmitRequest(request("body")) != nil || q.AdmitRequest(request("body")) == nil {
			t.Error("not tried just once")
		}
		q.Served(request("body"))
		if isQuarantined(q, "body") || q.AdmitRequest(request("body")) != nil {
			t.Error("not cleared")
		}
	})
}

// Guards against missing the crash of a target that has broken off an answer a moment before.
func TestATargetThatBreaksOffAnAnswerAndThenEndsIsProbedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{}
		q := newQuarantine(f)
		for i := range quarantine.DefaultThreshold {
			target := fmt.Sprintf("t%d", i)
			f.set(func() { f.result = platform.ProbeAlive })
			breakOff(q, "harmless", target)
			f.set(func() { f.result = platform.ProbeGone })
			breakOff(q, "body", target)
		}
		if !isQuarantined(q, "body") || isQuarantined(q, "harmless") {
			t.Errorf("the one that crashes targets is quarantined: %v, the other one: %v", isQuarantined(q, "body"), isQuarantined(q, "harmless"))
		}
	})
}

// Guards against missing a crash that comes while a probe after an earlier break finds the target still there, and against taking a
// break at a target's next start for its last crash.
func TestCrashesAroundAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{result: platform.ProbeAlive}
		q := newQuarantine(f)
		breaks := func(body string, began time.Time) {
			q.BrokenOff(quarantine.Broken{Content: request(body), Target: serving.Target{ID: "t"}, Began: began, Err: errors.New("EOF")})
		}
		breaks("first", time.Now())
		last := probeDelays[0] + probeDelays[1]
		time.Sleep(last) // the last probe of the first break is under way or over
		synctest.Wait()
		f.set(func() { f.result = platform.ProbeGone })
		breaks("second", time.Now().Add(-runTime))
		time.Sleep(time.Second)
		synctest.Wait()
		crashes := func(body string) int { return q.registry.Crashes(request(body).Fingerprint()) }
		if crashes("first") != 0 || crashes("second") != 1 {
			t.Errorf("%d crashes under the first, %d under the second", crashes("first"), crashes("second"))
		}
		f.set(func() { f.result = platform.ProbeAlive })
		breaks("third", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		if crashes("third") != 0 {
			t.Error("a break at the next start counts as a crash")
		}
	})
}

// Guards against blaming long work that goes on from where it was each time it is interrupted by the crashes of others.
func TestACrashUnderWorkThatAdvancesDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fleet{result: platform.ProbeGone})
		run := func(i int, from, to string) {
			began := time.Now()
			time.Sleep(runTime)
			q.BrokenOff(quarantine.Broken{Content: request("long"), Target: serving.Target{ID: fmt.Sprint("t", i)}, Began: began, From: from, To: to, Err: errors.New("EOF")})
			time.Sleep(time.Second)
			synctest.Wait()
		}
		run(0, "", "10")
		for i := range 10 {
			run(i+1, fmt.Sprint(10*(i+1)), fmt.Sprint(10*(i+2)))
		}
		if isQuarantined(q, "long") {
			t.Error("quarantined although each run took it further")
		}
		run(20, "110", "110")
		run(21, "110", "110")
		if !isQuarantined(q, "long") {
			t.Error("not quarantined although it crashes targets at the same event")
		}
	})
}

// Guards against memory that grows with the requests that a network breaks off.
func TestSuspectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fleet{})
		for i := range 2 * maxSuspects {
			q.BrokenOff(quarantine.Broken{Content: request(fmt.Sprint(i)), Target: serving.Target{ID: fmt.Sprint(i % 7)}, Err: errors.New("EOF")})
		}
		if q.suspects.len() > maxSuspects {
			t.Errorf("%d suspects", q.suspects.len())
		}
		time.Sleep(suspicionTTL + time.Second)
		breakOff(q, "last", "t")
		if n := q.suspects.len(); n != 1 {
			t.Errorf("%d suspects after all but one are too old", n)
		}
		time.Sleep(suspicionTTL) // until the last probe is over
	})
}

// gateways are some processes on one store.
type gateways struct {
	store *keyedlog.Store
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup
}

func (g *gateways) start() (*Quarantine, *keyedlog.View, *fleet) {
	f := &fleet{result: platform.ProbeGone}
	q, view := newQuarantine(f), g.store.View()
	g.wg.Go(func() { _ = q.Run(g.ctx, view) })
	return q, view, f
}

func withGateways(t *testing.T, f func(g *gateways)) {
	synctest.Test(t, func(t *testing.T) {
		g := &gateways{store: keyedlog.New(1)}
		g.ctx, g.stop = context.WithCancel(context.Background())
		f(g)
		g.stop()
		g.wg.Wait()
	})
}

// Each of three gateways sees one crash; they hear of each other through the store alone, and so does one that starts later.
func TestGatewaysAgreeThroughTheStore(t *testing.T) {
	withGateways(t, func(g *gateways) {
		var all []*Quarantine
		for range 3 {
			q, _, _ := g.start()
			all = append(all, q)
		}
		time.Sleep(time.Second)
		for i, q := range all {
			breakOff(q, "body", fmt.Sprint(i))
		}
		time.Sleep(3 * time.Second)
		late, _, _ := g.start()
		time.Sleep(time.Second)
		if !late.Loaded() {
			t.Error("not loaded")
		}
		for i, q := range append(all, late) {
			if !isQuarantined(q, "body") {
				t.Errorf("gateway %d does not know", i)
			}
		}
		all[1].Served(request("body"))
		time.Sleep(time.Second)
		for i, q := range append(all, late) {
			if isQuarantined(q, "body") {
				t.Errorf("gateway %d does not know that it was served", i)
			}
		}
	})
}

// Guards against losing what was found out while the store was away, and against a peer that is lost before it has written it.
func TestWhatIsFoundOutWithoutTheStoreIsWrittenLater(t *testing.T) {
	withGateways(t, func(g *gateways) {
		first, view, _ := g.start()
		second, other, _ := g.start()
		time.Sleep(time.Second)
		view.Set(keyedlog.Faults{Refuse: true}) // and never back
		other.Set(keyedlog.Faults{Refuse: true})
		for i := range quarantine.DefaultThreshold {
			breakOff(first, "body", fmt.Sprint(i))
			second.Apply(first.ToTell())
		}
		if !isQuarantined(first, "body") || !isQuarantined(second, "body") {
			t.Fatal("not quarantined without the store")
		}
		other.Set(keyedlog.Faults{})
		time.Sleep(2 * peerWritesWithin)
		late, _, _ := g.start()
		time.Sleep(time.Second)
		if !isQuarantined(late, "body") {
			t.Error("a gateway that starts later does not know")
		}
	})
}

// Records of contents that do not come again leave the store.
func TestForgottenRecordsLeaveTheStore(t *testing.T) {
	withGateways(t, func(g *gateways) {
		q, view, _ := g.start()
		time.Sleep(time.Second)
		for i := range quarantine.DefaultThreshold {
			breakOff(q, "body", fmt.Sprint(i))
		}
		breakOff(q, "beside", "0")
		records := func() (n int) {
			_, err := platform.EachNewest(context.Background(), view, partition, "", func(list []platform.StoredRecord) bool {
				n += len(list)
				return true
			})
			if err != nil {
				t.Error(err)
			}
			return n
		}
		if n := records(); n != 3 { // of two contents and of the resource that they share
			t.Errorf("%d records in the store", n)
		}
		time.Sleep(2 * quarantine.DefaultHold)
		if n := records(); n != 0 || q.registry.Len() != 0 {
			t.Errorf("%d records in the store, %d here, after twice the hold", n, q.registry.Len())
		}
	})
}

// Switched off, nothing is rejected or written.
func TestTheQuarantineCanBeSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuarantine(&fleet{result: platform.ProbeGone}, string(policy.Quarantine))
		for i := range quarantine.DefaultThreshold {
			breakOff(q, "body", fmt.Sprint(i))
		}
		if isQuarantined(q, "body") || !q.Loaded() || q.Run(context.Background(), nil) != nil {
			t.Error("the quarantine works though it is off")
		}
	})
}

// Contents that share a resource are held back together, and with scopes switched off each counts alone.
func TestScopesCanBeSwitchedOff(t *testing.T) {
	for name, c := range map[string]struct {
		off  []string
		want bool
	}{
		"on":  {nil, true},
		"off": {[]string{string(policy.QuarantineScopes)}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			q := newQuarantine(&fleet{result: platform.ProbeGone}, c.off...)
			for i := range quarantine.DefaultThreshold {
				breakOff(q, fmt.Sprint("body ", i), fmt.Sprint(i))
			}
			if got := isQuarantined(q, "another body"); got != c.want {
				t.Errorf("%s: held back %v, want %v", name, got, c.want)
			}
		})
	}
}
