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

// testFleet is a Fleet and a prober with settable results.
type testFleet struct {
	mu        sync.Mutex
	probes    int
	result    platform.ProbeResult
	isLeaving bool
	heardAt   time.Time
	reports   int
	// probeResult, if not nil, returns the result of a probe in place of result.
	probeResult func(target string) platform.ProbeResult
}

func (f *testFleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// Probe implements platform.TargetProber.
func (f *testFleet) Probe(_ context.Context, t serving.Target) platform.ProbeResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	if f.probeResult != nil {
		return f.probeResult(t.ID)
	}
	return f.result
}

// IsInService implements Fleet.
func (f *testFleet) IsInService(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isLeaving
}

// HeardSince implements Fleet.
func (f *testFleet) HeardSince(_ string, t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heardAt.After(t)
}

// ReportSoon implements Fleet.
func (f *testFleet) ReportSoon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

// goneAfter returns probe results for targets in whose place something accepts connections until, d after the
// first probe, the restarted process responds.
func goneAfter(d time.Duration) func(target string) platform.ProbeResult {
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

func newTestQuarantine(f *testFleet, off ...string) *Quarantine {
	o, _ := policy.Parse(off) // the tests pass valid names only
	return New(Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold, Off: o, Prober: f, Fleet: f,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
}

func testContent(body string) *quarantine.Content {
	return quarantine.NewContent(&serving.Request{ID: "id", Method: "POST", Host: "h", URI: "/a", Body: []byte(body)})
}

// runDuration is how long a run takes until its target crashes.
const runDuration = 100 * time.Millisecond

// breakOffAndWait makes a target break off a request and waits until the probes are over.
func breakOffAndWait(q *Quarantine, body, target string) {
	began := time.Now()
	time.Sleep(runDuration)
	q.BrokenOff(quarantine.Broken{Content: testContent(body), Target: serving.Target{ID: target}, Began: began, Err: errors.New("EOF")})
	time.Sleep(time.Second)
	synctest.Wait()
}

func isQuarantined(q *Quarantine, body string) bool {
	return errs.Is(q.Check(testContent(body)), errs.Quarantined)
}

// Each case breaks off three runs for the same reason: only crashes of targets that were in service count.
func TestCrashDetection(t *testing.T) {
	cases := []struct {
		name   string
		fleet  *testFleet
		after  func(q *Quarantine, target string) // called a second after each broken-off run
		want   bool
		probes int
	}{
		{name: "connections are refused", fleet: &testFleet{result: platform.ProbeGone}, want: true, probes: 3},
		{name: "only the connection is lost", fleet: &testFleet{result: platform.ProbeAlive}, probes: 3},
		{name: "the target answers other requests", fleet: &testFleet{heardAt: time.Now().Add(100 * 365 * 24 * time.Hour)}, probes: 3},
		{name: "unreachable, and gone from the list", fleet: &testFleet{}, want: true, probes: 12,
			after: func(q *Quarantine, target string) { q.TargetsGone([]string{target}) }},
		{name: "unreachable, and still on the list", fleet: &testFleet{}, probes: 18},
		{name: "gone from the list long after", fleet: &testFleet{}, probes: 18,
			after: func(q *Quarantine, target string) {
				time.Sleep(suspicionTTL)
				q.TargetsGone([]string{target})
			}},
		{name: "alive, and gone from the list soon after", fleet: &testFleet{result: platform.ProbeAlive}, probes: 3,
			after: func(q *Quarantine, target string) { q.TargetsGone([]string{target}) }},
		{name: "something accepts connections until the restarted process responds", fleet: &testFleet{probeResult: goneAfter(700 * time.Millisecond)}, want: true, probes: 12},
		{name: "leaving", fleet: &testFleet{result: platform.ProbeGone, isLeaving: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newTestQuarantine(c.fleet)
				for i := range quarantine.DefaultThreshold {
					target := fmt.Sprintf("t%d", i)
					breakOffAndWait(q, "body", target)
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

// Targets that are lost together all run a content that many callers send. One request with it is sent as a
// trial, and a successful response clears the content.
func TestSimultaneousCrashesAdmitOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
		began := time.Now()
		time.Sleep(runDuration)
		for i := range quarantine.DefaultThreshold {
			q.BrokenOff(quarantine.Broken{Content: testContent("body"), Target: serving.Target{ID: fmt.Sprint(i)}, Began: began, Err: errors.New("EOF")})
		}
		time.Sleep(100 * time.Millisecond)
		if !isQuarantined(q, "body") {
			t.Error("not quarantined")
		}
		time.Sleep(time.Second)
		if isQuarantined(q, "body") || q.AdmitRequest(testContent("body")) != nil || q.AdmitRequest(testContent("body")) == nil {
			t.Error("not exactly one trial was admitted")
		}
		q.Served(testContent("body"))
		if isQuarantined(q, "body") || q.AdmitRequest(testContent("body")) != nil {
			t.Error("not cleared")
		}
	})
}

// Guards against missing the crash of a target that broke off another response shortly before and was found
// alive then.
func TestTargetIsProbedAgainAfterAnotherBrokenRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{}
		q := newTestQuarantine(f)
		for i := range quarantine.DefaultThreshold {
			target := fmt.Sprintf("t%d", i)
			f.set(func() { f.result = platform.ProbeAlive })
			breakOffAndWait(q, "harmless", target)
			f.set(func() { f.result = platform.ProbeGone })
			breakOffAndWait(q, "body", target)
		}
		if !isQuarantined(q, "body") || isQuarantined(q, "harmless") {
			t.Errorf("content that crashes targets is quarantined: %v, harmless content: %v", isQuarantined(q, "body"), isQuarantined(q, "harmless"))
		}
	})
}

// Guards against missing a crash during the probe for an earlier broken-off run that finds the target alive,
// and against counting a run that the restarted target breaks off as its earlier crash.
func TestCrashDuringProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{result: platform.ProbeAlive}
		q := newTestQuarantine(f)
		breakOff := func(body string, began time.Time) {
			q.BrokenOff(quarantine.Broken{Content: testContent(body), Target: serving.Target{ID: "t"}, Began: began, Err: errors.New("EOF")})
		}
		breakOff("first", time.Now())
		last := probeDelays[0] + probeDelays[1]
		time.Sleep(last) // the last probe for the first run is in progress or over
		synctest.Wait()
		f.set(func() { f.result = platform.ProbeGone })
		breakOff("second", time.Now().Add(-runDuration))
		time.Sleep(time.Second)
		synctest.Wait()
		crashes := func(body string) int { return q.registry.Crashes(testContent(body).Fingerprint()) }
		if crashes("first") != 0 || crashes("second") != 1 {
			t.Errorf("%d crashes of the first content, %d of the second", crashes("first"), crashes("second"))
		}
		f.set(func() { f.result = platform.ProbeAlive })
		breakOff("third", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		if crashes("third") != 0 {
			t.Error("a run broken off by the restarted target counts as a crash")
		}
	})
}

// Guards against counting the crashes of others against long work that resumes where it was interrupted.
func TestCrashDuringAdvancingRunDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
		run := func(i int, from, to string) {
			began := time.Now()
			time.Sleep(runDuration)
			q.BrokenOff(quarantine.Broken{Content: testContent("long"), Target: serving.Target{ID: fmt.Sprint("t", i)}, Began: began, From: from, To: to, Err: errors.New("EOF")})
			time.Sleep(time.Second)
			synctest.Wait()
		}
		run(0, "", "10")
		for i := range 10 {
			run(i+1, fmt.Sprint(10*(i+1)), fmt.Sprint(10*(i+2)))
		}
		if isQuarantined(q, "long") {
			t.Error("quarantined although each run advanced it")
		}
		run(20, "110", "110")
		run(21, "110", "110")
		if !isQuarantined(q, "long") {
			t.Error("not quarantined although it crashes targets at the same event")
		}
	})
}

// Guards against memory that grows with the number of requests that a network failure breaks off.
func TestSuspectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{})
		for i := range 2 * maxSuspects {
			q.BrokenOff(quarantine.Broken{Content: testContent(fmt.Sprint(i)), Target: serving.Target{ID: fmt.Sprint(i % 7)}, Err: errors.New("EOF")})
		}
		if q.suspects.len() > maxSuspects {
			t.Errorf("%d suspects", q.suspects.len())
		}
		time.Sleep(suspicionTTL + time.Second)
		breakOffAndWait(q, "last", "t")
		if n := q.suspects.len(); n != 1 {
			t.Errorf("%d suspects after all but one are too old", n)
		}
		time.Sleep(suspicionTTL) // until the last probe is over
	})
}

// gatewayGroup is a group of gateways that share a store.
type gatewayGroup struct {
	store *keyedlog.Store
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup
}

func (g *gatewayGroup) start() (*Quarantine, *keyedlog.View, *testFleet) {
	f := &testFleet{result: platform.ProbeGone}
	q, view := newTestQuarantine(f), g.store.View()
	g.wg.Go(func() { _ = q.Run(g.ctx, view) })
	return q, view, f
}

func withGateways(t *testing.T, f func(g *gatewayGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &gatewayGroup{store: keyedlog.New(1)}
		g.ctx, g.stop = context.WithCancel(context.Background())
		f(g)
		g.stop()
		g.wg.Wait()
	})
}

// Each of three gateways observes one crash. They exchange records through the store alone, as does a gateway
// that starts later.
func TestGatewaysShareRecordsThroughStore(t *testing.T) {
	withGateways(t, func(g *gatewayGroup) {
		var quarantines []*Quarantine
		for range 3 {
			q, _, _ := g.start()
			quarantines = append(quarantines, q)
		}
		time.Sleep(time.Second)
		for i, q := range quarantines {
			breakOffAndWait(q, "body", fmt.Sprint(i))
		}
		time.Sleep(3 * time.Second)
		late, _, _ := g.start()
		time.Sleep(time.Second)
		if !late.Loaded() {
			t.Error("not loaded")
		}
		for i, q := range append(quarantines, late) {
			if !isQuarantined(q, "body") {
				t.Errorf("gateway %d does not quarantine the content", i)
			}
		}
		quarantines[1].Served(testContent("body"))
		time.Sleep(time.Second)
		for i, q := range append(quarantines, late) {
			if isQuarantined(q, "body") {
				t.Errorf("gateway %d still quarantines the content after it was served", i)
			}
		}
	})
}

// Guards against losing crashes that were observed while the store was unavailable, and against a peer that
// is lost before it has written a record that it sent.
func TestRecordsAreWrittenAfterStoreOutage(t *testing.T) {
	withGateways(t, func(g *gatewayGroup) {
		first, view, _ := g.start()
		second, other, _ := g.start()
		time.Sleep(time.Second)
		view.Set(keyedlog.Faults{Refuse: true}) // it is never available again
		other.Set(keyedlog.Faults{Refuse: true})
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(first, "body", fmt.Sprint(i))
			second.Apply(first.ToTell())
		}
		if !isQuarantined(first, "body") || !isQuarantined(second, "body") {
			t.Fatal("not quarantined without the store")
		}
		other.Set(keyedlog.Faults{})
		time.Sleep(2 * peerWriteTimeout)
		late, _, _ := g.start()
		time.Sleep(time.Second)
		if !isQuarantined(late, "body") {
			t.Error("a gateway that starts later does not quarantine the content")
		}
	})
}

// Expired records are removed from the store.
func TestExpiredRecordsAreRemovedFromStore(t *testing.T) {
	withGateways(t, func(g *gatewayGroup) {
		q, view, _ := g.start()
		time.Sleep(time.Second)
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(q, "body", fmt.Sprint(i))
		}
		breakOffAndWait(q, "beside", "0")
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
		if n := records(); n != 3 { // two contents and the resource that they share
			t.Errorf("%d records in the store", n)
		}
		time.Sleep(2 * quarantine.DefaultHold)
		if n := records(); n != 0 || q.registry.Len() != 0 {
			t.Errorf("%d records in the store, %d here, after twice the hold", n, q.registry.Len())
		}
	})
}

// While the quarantine is disabled, nothing is rejected or written.
func TestQuarantineCanBeDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone}, string(policy.Quarantine))
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(q, "body", fmt.Sprint(i))
		}
		if isQuarantined(q, "body") || !q.Loaded() || q.Run(context.Background(), nil) != nil {
			t.Error("the quarantine is active although it is disabled")
		}
	})
}

// Contents that share a resource are quarantined together; with scopes disabled, each content counts alone.
func TestScopesCanBeDisabled(t *testing.T) {
	for name, c := range map[string]struct {
		off  []string
		want bool
	}{
		"on":  {nil, true},
		"off": {[]string{string(policy.QuarantineScopes)}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			q := newTestQuarantine(&testFleet{result: platform.ProbeGone}, c.off...)
			for i := range quarantine.DefaultThreshold {
				breakOffAndWait(q, fmt.Sprint("body ", i), fmt.Sprint(i))
			}
			if got := isQuarantined(q, "another body"); got != c.want {
				t.Errorf("%s: quarantined %v, want %v", name, got, c.want)
			}
		})
	}
}
