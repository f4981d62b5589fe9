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
	// gatewayCount is the number of gateways that share records.
	gatewayCount = 88
	// reportInterval is the time between two reports of a gateway to its peers.
	reportInterval = 50 * time.Millisecond
	// repeatInterval is the time between two repeats of the request that crashes targets.
	repeatInterval = 70 * time.Millisecond
	// settleTime and maxLateSends are the limits that the platform guarantees: a request that crashes targets
	// is sent at most maxLateSends times later than settleTime after the third crash.
	settleTime   = 3 * time.Second
	maxLateSends = 3
)

// countingStore is a Store that adds its writes to a counter, which all gateways share.
type countingStore struct {
	Store
	appends *atomic.Int64
}

func (s countingStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	s.appends.Add(1)
	return s.Store.Append(ctx, a)
}

// Guards against gateways that each have to observe three crashes themselves, and against a burst of writes
// when all gateways write a record that they have just received. One in ten reports between gateways is lost.
// In each interval, one or several copies of the request that crashes targets arrive simultaneously.
func TestManyGatewaysShareRecordsWithFewWrites(t *testing.T) {
	newRefusingFleet := func() *testFleet { return &testFleet{result: platform.ProbeGone} }
	for _, copies := range []int{1, 4} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			withGateways(t, func(g *gatewayGroup) { testRepeatedCrashes(t, g, copies, newRefusingFleet) })
		})
	}
}

// Guards against missed crashes if a supervisor accepts connections in the place of a crashed target until the
// restarted process responds.
func TestManyGatewaysDetectCrashesBehindSupervisors(t *testing.T) {
	const acceptsFor = 700 * time.Millisecond
	newSupervisedFleet := func() *testFleet { return &testFleet{probeResult: goneAfter(acceptsFor)} }
	withGateways(t, func(g *gatewayGroup) { testRepeatedCrashes(t, g, 1, newSupervisedFleet) })
}

// testRepeatedCrashes sends copies of a request that crashes targets through random gateways for a minute, and
// checks the number of sends and of writes to the store.
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
	sends, lateSends := crashing.countSends()
	if sends < quarantine.DefaultThreshold || lateSends > maxLateSends {
		t.Errorf("%d targets have crashed, want 3 or more; %d of them in runs that began later than %v after the third crash, want at most 3", sends, lateSends, settleTime)
	}
	if n := appends.Load(); n > gatewayCount {
		t.Errorf("%d writes to the store, want at most one per gateway", n)
	}
	t.Logf("%d crashes, %d of them in late runs, %d writes to the store", sends, lateSends, appends.Load())
}

// crashingRequest is a request that crashes each target to which it is sent.
type crashingRequest struct {
	mu      sync.Mutex
	sentAt  []time.Time // when it was sent
	crashAt []time.Time // when its targets crashed
}

// send sends the request through a gateway to a new target, unless it is quarantined at the gateway.
func (r *crashingRequest) send(q *Quarantine) {
	c := quarantine.NewContent(&serving.Request{ID: "bad", Method: "POST", URI: "/a", Body: []byte("bad")})
	if q.AdmitRequest(c) != nil {
		return
	}
	beganAt := time.Now()
	r.mu.Lock()
	r.sentAt = append(r.sentAt, beganAt)
	target := fmt.Sprint("t", len(r.sentAt))
	r.mu.Unlock()
	go func() {
		time.Sleep(runDuration)
		r.mu.Lock()
		r.crashAt = append(r.crashAt, time.Now())
		r.mu.Unlock()
		q.NoteBrokenOff(quarantine.BrokenRun{Content: c, Target: serving.Target{ID: target}, BeganAt: beganAt, Err: errors.New("EOF")})
	}()
}

// countSends returns how often the request was sent, and how often later than settleTime after the third
// crash.
func (r *crashingRequest) countSends() (sends, lateSends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, at := range r.sentAt {
		if len(r.crashAt) >= 3 && at.After(r.crashAt[2].Add(settleTime)) {
			lateSends++
		}
	}
	return len(r.sentAt), lateSends
}

// exchangeReports sends the records that are due at each gateway to all others, and loses one in ten reports.
func exchangeReports(quarantines []*Quarantine, rng *rand.Rand) {
	for i, from := range quarantines {
		records := from.DueForPeers()
		for k, to := range quarantines {
			if len(records) > 0 && k != i && rng.IntN(10) > 0 {
				to.ApplyRecords(records)
			}
		}
	}
}
