package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

const (
	gatewayCount = 88
	// reportInterval is the time between two reports of a gateway to its peers.
	reportInterval = 50 * time.Millisecond
	// repeatInterval is the time between two repeats of the request that crashes targets.
	repeatInterval = 70 * time.Millisecond
	// settleTime and maxLateSends are the platform's rule: at most three sends later than settleTime after
	// the third crash.
	settleTime   = 3 * time.Second
	maxLateSends = 3
)

// countingStore counts the writes of all gateways.
type countingStore struct {
	Store
	appends *atomic.Int64
}

func (s countingStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	s.appends.Add(1)
	return s.Store.Append(ctx, a)
}

// Guards against gateways that each have to observe three crashes themselves, and against a burst of writes
// of records that all of them have just received. One in ten reports is lost; the request that crashes
// targets arrives once or several times simultaneously.
func TestManyGatewaysShareRecordsWithFewWrites(t *testing.T) {
	newRefusingFleet := func() *testFleet { return &testFleet{result: platform.ProbeGone} }
	for _, copies := range []int{1, 4} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			withGateways(t, func(g *gatewayGroup) { testRepeatedCrashes(t, g, copies, newRefusingFleet) })
		})
	}
}

// Guards against missed crashes where something else accepts connections in the place of a crashed target:
// gateways must not take it for the target.
func TestManyGatewaysDetectCrashesBehindSupervisors(t *testing.T) {
	const acceptsFor = 700 * time.Millisecond
	newSupervisedFleet := func() *testFleet { return &testFleet{probeResult: goneAfter(acceptsFor)} }
	withGateways(t, func(g *gatewayGroup) { testRepeatedCrashes(t, g, 1, newSupervisedFleet) })
}

func testRepeatedCrashes(t *testing.T, g *gatewayGroup, copies int, newFleet func() *testFleet) {
	rng := rand.New(rand.NewPCG(1, 1))
	var appends atomic.Int64
	var quarantines []*Quarantine
	for range gatewayCount {
		q, view := newTestQuarantine(newFleet()), g.store.View()
		quarantines = append(quarantines, q)
		g.wg.Go(func() { _ = q.Run(g.ctx, countingStore{view, &appends}) })
	}
	time.Sleep(time.Second)
	crashing := &crashingRequest{}
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		for range copies {
			if at%repeatInterval == 0 {
				crashing.send(quarantines[rng.IntN(len(quarantines))])
			}
		}
		if at%reportInterval == 0 {
			exchangeReports(quarantines, rng)
		}
	}
	sent, late := crashing.countSends()
	if sent < quarantine.DefaultThreshold || late > maxLateSends {
		t.Errorf("%d targets have crashed, %d of them during requests sent %v after the third crash", sent, late, settleTime)
	}
	if n := appends.Load(); n > gatewayCount {
		t.Errorf("%d writes", n)
	}
	t.Logf("%d crashes, %d of them late, %d writes", sent, late, appends.Load())
}

// crashingRequest crashes each target that it is sent to.
type crashingRequest struct {
	mu      sync.Mutex
	sends   []time.Time
	crashes []time.Time
}

// send sends the request from a gateway, unless it is quarantined there.
func (r *crashingRequest) send(q *Quarantine) {
	c := quarantine.NewContent(&serving.Request{ID: "bad", Method: "POST", URI: "/a", Body: []byte("bad")})
	if q.AdmitRequest(c) != nil {
		return
	}
	began := time.Now()
	r.mu.Lock()
	r.sends = append(r.sends, began)
	target := fmt.Sprint("t", len(r.sends))
	r.mu.Unlock()
	go func() {
		time.Sleep(runDuration)
		r.mu.Lock()
		r.crashes = append(r.crashes, time.Now())
		r.mu.Unlock()
		q.BrokenOff(quarantine.Broken{Content: c, Target: serving.Target{ID: target}, Began: began, Err: errors.New("EOF")})
	}()
}

// countSends returns how often the request was sent, and how often later than settleTime after the third
// crash.
func (r *crashingRequest) countSends() (sent, late int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.sends {
		if len(r.crashes) >= 3 && at.After(r.crashes[2].Add(settleTime)) {
			late++
		}
	}
	return len(r.sends), late
}

// exchangeReports sends the due records of each gateway to all others.
func exchangeReports(quarantines []*Quarantine, rng *rand.Rand) {
	for i, from := range quarantines {
		records := from.ToTell()
		for k, to := range quarantines {
			if len(records) > 0 && k != i && rng.IntN(10) > 0 {
				to.Apply(records)
			}
		}
	}
}
