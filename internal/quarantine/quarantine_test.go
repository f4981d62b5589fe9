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

// testFleet is a Fleet and a platform.TargetProber with settable results.
type testFleet struct {
	mu         sync.Mutex
	probes     int                  // number of probes
	result     platform.ProbeResult // result of each probe
	isLeaving  bool                 // no target is in service
	lastDataAt time.Time            // when each target last sent data
	reports    int                  // number of calls of RequestReport
	// probeResult, if not nil, returns the result of a probe of a target in place of result.
	probeResult func(target string) platform.ProbeResult
}

// set changes fields of f while no other method of f runs.
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

// HasActivitySince implements Fleet.
func (f *testFleet) HasActivitySince(_ string, t time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastDataAt.After(t)
}

// RequestReport implements Fleet.
func (f *testFleet) RequestReport() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports++
}

// goneAfter returns a probeResult for crashed targets in whose place a supervisor accepts connections. Until d
// after the first probe of a target the results are not conclusive; then the restarted process responds.
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

// newTestQuarantine returns a Quarantine in which the named policies are off.
func newTestQuarantine(f *testFleet, off ...string) *Quarantine {
	disabled, _ := policy.Parse(off) // the tests pass valid names only
	return New(Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold, Disabled: disabled, Prober: f, Fleet: f,
		Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
}

// testContent returns the content of a request with a body. All other parts are the same for each call.
func testContent(body string) *quarantine.Content {
	return quarantine.NewContent(&serving.Request{ID: "id", Method: "POST", Host: "h", URI: "/a", Body: []byte(body)})
}

// runDuration is how long a run takes until its target crashes.
const runDuration = 100 * time.Millisecond

// breakOffAndWait notes a run with the body that a target broke off after runDuration, and waits a second.
func breakOffAndWait(q *Quarantine, body, target string) {
	beganAt := time.Now()
	time.Sleep(runDuration)
	q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent(body), Target: serving.Target{ID: target}, BeganAt: beganAt, Err: errors.New("EOF")})
	time.Sleep(time.Second)
	synctest.Wait()
}

// isQuarantined reports whether q rejects a request with the body.
func isQuarantined(q *Quarantine, body string) bool {
	return errs.Is(q.Check(testContent(body)), errs.Quarantined)
}

// In each case, three targets break off a run of the same content for the same reason. The content must be
// quarantined only if the targets were in service and have crashed.
func TestCrashDetection(t *testing.T) {
	cases := []struct {
		name            string
		fleet           *testFleet
		afterRun        func(q *Quarantine, target string) // called a second after each broken-off run
		wantQuarantined bool
		wantProbes      int
	}{
		{name: "connections are refused", fleet: &testFleet{result: platform.ProbeGone}, wantQuarantined: true, wantProbes: 3},
		{name: "only the connection is lost", fleet: &testFleet{result: platform.ProbeAlive}, wantProbes: 3},
		{name: "the target sends data for other requests", fleet: &testFleet{lastDataAt: time.Now().Add(100 * 365 * 24 * time.Hour)}, wantProbes: 3},
		{name: "targets are unreachable, and gone from the list of targets", fleet: &testFleet{}, wantQuarantined: true, wantProbes: 12,
			afterRun: func(q *Quarantine, target string) { q.NoteTargetsGone([]string{target}) }},
		{name: "targets are unreachable, and still on the list of targets", fleet: &testFleet{}, wantProbes: 18},
		{name: "targets are unreachable, and gone from the list of targets too late", fleet: &testFleet{}, wantProbes: 18,
			afterRun: func(q *Quarantine, target string) {
				time.Sleep(suspicionTTL)
				q.NoteTargetsGone([]string{target})
			}},
		{name: "targets are alive when probed, and gone from the list of targets soon after", fleet: &testFleet{result: platform.ProbeAlive}, wantProbes: 3,
			afterRun: func(q *Quarantine, target string) { q.NoteTargetsGone([]string{target}) }},
		{name: "a supervisor accepts connections until the restarted process responds", fleet: &testFleet{probeResult: goneAfter(700 * time.Millisecond)}, wantQuarantined: true, wantProbes: 12},
		{name: "leaving", fleet: &testFleet{result: platform.ProbeGone, isLeaving: true}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newTestQuarantine(test.fleet)
				for i := range quarantine.DefaultThreshold {
					target := fmt.Sprintf("t%d", i)
					breakOffAndWait(q, "body", target)
					if test.afterRun != nil {
						test.afterRun(q, target)
					}
				}
				time.Sleep(suspicionTTL)
				synctest.Wait()
				probes := 0
				test.fleet.set(func() { probes = test.fleet.probes })
				if isQuarantined(q, "body") != test.wantQuarantined || probes != test.wantProbes {
					t.Errorf("content of three broken-off runs: quarantined %v after %d probes, want %v after %d", !test.wantQuarantined, probes, test.wantQuarantined, test.wantProbes)
				}
				if isQuarantined(q, "other") {
					t.Error("a content without crashes is quarantined")
				}
			})
		})
	}
}

// Guards against the permanent rejection of a harmless content that many callers send, after three targets
// that are lost together have all crashed while running it: one request is sent as a trial, and a successful
// response clears the content.
func TestSimultaneousCrashesAdmitOneTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
		beganAt := time.Now()
		time.Sleep(runDuration)
		for i := range quarantine.DefaultThreshold {
			q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent("body"), Target: serving.Target{ID: fmt.Sprint(i)}, BeganAt: beganAt, Err: errors.New("EOF")})
		}
		time.Sleep(100 * time.Millisecond)
		if !isQuarantined(q, "body") {
			t.Error("content is not quarantined after three simultaneous crashes")
		}
		time.Sleep(time.Second)
		if isQuarantined(q, "body") || q.AdmitRequest(testContent("body")) != nil || q.AdmitRequest(testContent("body")) == nil {
			t.Error("a second after three simultaneous crashes: not exactly one of two requests is admitted as a trial")
		}
		q.NoteServed(testContent("body"), time.Now())
		if isQuarantined(q, "body") || q.AdmitRequest(testContent("body")) != nil {
			t.Error("content that the trial has served is still quarantined")
		}
	})
}

// Guards against missing the crash of a target that has broken off another run shortly before and was then
// found to run.
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
			t.Errorf("content that crashes targets is quarantined: %v, want true; harmless content: %v, want false", isQuarantined(q, "body"), isQuarantined(q, "harmless"))
		}
	})
}

// Guards against missing a crash that happens while the target is still being probed because of an earlier
// broken-off run, after which it was alive. Guards also against counting a run that the restarted target
// breaks off without a crash, because the crash before the restart is known.
func TestCrashDuringProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &testFleet{result: platform.ProbeAlive}
		q := newTestQuarantine(f)
		breakOff := func(body string, beganAt time.Time) {
			q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent(body), Target: serving.Target{ID: "t"}, BeganAt: beganAt, Err: errors.New("EOF")})
		}
		breakOff("first", time.Now())
		lastProbeAt := probeDelays[0] + probeDelays[1]
		time.Sleep(lastProbeAt) // the last probe for the first run is in progress or over
		synctest.Wait()
		f.set(func() { f.result = platform.ProbeGone })
		breakOff("second", time.Now().Add(-runDuration))
		time.Sleep(time.Second)
		synctest.Wait()
		crashCount := func(body string) int { return q.registry.CrashCount(testContent(body).Fingerprint()) }
		if crashCount("first") != 0 || crashCount("second") != 1 {
			t.Errorf("%d crashes counted of the first content, want 0; %d of the second, want 1", crashCount("first"), crashCount("second"))
		}
		f.set(func() { f.result = platform.ProbeAlive })
		breakOff("third", time.Now())
		time.Sleep(time.Second)
		synctest.Wait()
		if crashCount("third") != 0 {
			t.Error("run that the restarted target broke off without a crash counts as a crash")
		}
	})
}

// Guards against the quarantine of a long request that resumes after each crash of a target and is harmless:
// the crashes that other requests cause must not count against it as long as each run advances it.
func TestCrashDuringAdvancingRunDoesNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
		run := func(i int, from, to string) {
			beganAt := time.Now()
			time.Sleep(runDuration)
			q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent("long"), Target: serving.Target{ID: fmt.Sprint("t", i)}, BeganAt: beganAt, FromEvent: from, ToEvent: to, Err: errors.New("EOF")})
			time.Sleep(time.Second)
			synctest.Wait()
		}
		run(0, "", "10")
		for i := range 10 {
			run(i+1, fmt.Sprint(10*(i+1)), fmt.Sprint(10*(i+2)))
		}
		if isQuarantined(q, "long") {
			t.Error("content is quarantined although each run has advanced it")
		}
		run(20, "110", "110")
		run(21, "110", "110")
		if !isQuarantined(q, "long") {
			t.Error("content is not quarantined although three targets have crashed while running it, the last two at the same event")
		}
	})
}

// Guards against memory that grows with the number of requests that a network failure breaks off.
func TestSuspectsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{})
		for i := range 2 * maxSuspects {
			q.NoteBrokenOff(quarantine.BrokenRun{Content: testContent(fmt.Sprint(i)), Target: serving.Target{ID: fmt.Sprint(i % 7)}, Err: errors.New("EOF")})
		}
		if q.suspects.len() > maxSuspects {
			t.Errorf("%d suspects after twice the maximum of broken-off runs, want at most the maximum", q.suspects.len())
		}
		time.Sleep(suspicionTTL + time.Second)
		breakOffAndWait(q, "last", "t")
		if n := q.suspects.len(); n != 1 {
			t.Errorf("%d suspects after all but one are older than the limit, want 1", n)
		}
		time.Sleep(suspicionTTL) // until the last probe is over
	})
}

// gatewayGroup is a group of gateways that share a store. Each gateway runs until ctx ends.
type gatewayGroup struct {
	store *keyedlog.Store
	stop  context.CancelFunc
	ctx   context.Context
	wg    sync.WaitGroup
}

// start starts a gateway, and returns its quarantine, its view of the store and its fleet, whose targets have
// all crashed.
func (g *gatewayGroup) start() (*Quarantine, *keyedlog.View, *testFleet) {
	f := &testFleet{result: platform.ProbeGone}
	q, view := newTestQuarantine(f), g.store.View()
	g.wg.Go(func() { _ = q.Run(g.ctx, view) })
	return q, view, f
}

// withGateways calls f with a group without gateways and with a simulated clock, and then stops the gateways
// that f has started.
func withGateways(t *testing.T, f func(g *gatewayGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := &gatewayGroup{store: keyedlog.New(1)}
		g.ctx, g.stop = context.WithCancel(context.Background())
		f(g)
		g.stop()
		g.wg.Wait()
	})
}

// Three gateways that observe one crash each, and one that starts later, exchange records through the store
// alone. All of them must quarantine the content, and none after one has noted that it was served.
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
		if !late.IsLoaded() {
			t.Error("gateway has not loaded the records a second after its start")
		}
		for i, q := range append(quarantines, late) {
			if !isQuarantined(q, "body") {
				t.Errorf("gateway %d does not quarantine the content after three crashes at three gateways", i)
			}
		}
		quarantines[1].NoteServed(testContent("body"), time.Now())
		time.Sleep(time.Second)
		for i, q := range append(quarantines, late) {
			if isQuarantined(q, "body") {
				t.Errorf("gateway %d still quarantines the content after gateway 1 has noted that it was served", i)
			}
		}
	})
}

// Guards against losing crashes that were observed while the store was unavailable, and against losing a
// record that its sender never writes to the store: the gateway that received it must write it.
func TestRecordsAreWrittenAfterStoreOutage(t *testing.T) {
	withGateways(t, func(g *gatewayGroup) {
		first, firstView, _ := g.start()
		second, secondView, _ := g.start()
		time.Sleep(time.Second)
		firstView.Set(keyedlog.Faults{Refuse: true}) // the store is never available to this gateway again
		secondView.Set(keyedlog.Faults{Refuse: true})
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(first, "body", fmt.Sprint(i))
			second.ApplyRecords(first.DueForPeers())
		}
		if !isQuarantined(first, "body") || !isQuarantined(second, "body") {
			t.Fatal("content is not quarantined at both gateways after three crashes while the store is unavailable")
		}
		secondView.Set(keyedlog.Faults{})
		time.Sleep(2 * peerWriteTimeout)
		late, _, _ := g.start()
		time.Sleep(time.Second)
		if !isQuarantined(late, "body") {
			t.Error("gateway that starts after the outage does not quarantine the content")
		}
	})
}

// Guards against records that stay in the store after they have expired.
func TestExpiredRecordsAreRemovedFromStore(t *testing.T) {
	withGateways(t, func(g *gatewayGroup) {
		q, view, _ := g.start()
		time.Sleep(time.Second)
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(q, "body", fmt.Sprint(i))
		}
		breakOffAndWait(q, "beside", "0")
		countStored := func() (n int) {
			_, err := platform.EachNewest(context.Background(), view, partition, "", func(list []platform.StoredRecord) bool {
				n += len(list)
				return true
			})
			if err != nil {
				t.Error(err)
			}
			return n
		}
		if n := countStored(); n != 3 { // two contents and the resource that they share
			t.Errorf("%d records in the store, want 3", n)
		}
		time.Sleep(2 * quarantine.DefaultHold)
		if n := countStored(); n != 0 || q.registry.Len() != 0 {
			t.Errorf("%d records in the store and %d in the registry after twice the hold, want 0 and 0", n, q.registry.Len())
		}
	})
}

// If the quarantine is disabled, no request is rejected and the store is not used.
func TestQuarantineCanBeDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newTestQuarantine(&testFleet{result: platform.ProbeGone}, string(policy.Quarantine))
		for i := range quarantine.DefaultThreshold {
			breakOffAndWait(q, "body", fmt.Sprint(i))
		}
		if isQuarantined(q, "body") || !q.IsLoaded() || q.Run(context.Background(), nil) != nil {
			t.Error("disabled quarantine: a request is rejected, or it is not loaded at once, or Run fails")
		}
	})
}

// After three crashes while running three contents of a resource, another content of the resource is
// quarantined as well; if the quarantine of scopes is disabled, it is not.
func TestScopesCanBeDisabled(t *testing.T) {
	for name, test := range map[string]struct {
		off  []string
		want bool
	}{
		"on":  {nil, true},
		"off": {[]string{string(policy.QuarantineScopes)}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			q := newTestQuarantine(&testFleet{result: platform.ProbeGone}, test.off...)
			for i := range quarantine.DefaultThreshold {
				breakOffAndWait(q, fmt.Sprint("body ", i), fmt.Sprint(i))
			}
			if got := isQuarantined(q, "another body"); got != test.want {
				t.Errorf("quarantine of scopes %s: another content of the resource quarantined: %v, want %v", name, got, test.want)
			}
		})
	}
}
