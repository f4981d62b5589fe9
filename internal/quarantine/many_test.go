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
	manyGateways = 88
	// reportGap is the time between two reports of a gateway to its peers.
	reportGap = 50 * time.Millisecond
	// repeatGap is the time between two repeats of the request under which targets crash.
	repeatGap = 70 * time.Millisecond
	// stableAfter and maxLate are the platform's rule: three retries at most later than this after the third crash.
	stableAfter = 3 * time.Second
	maxLate     = 3
)

// countedStore counts the writes of all gateways.
type countedStore struct {
	Store
	appends *atomic.Int64
}

func (s countedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	s.appends.Add(1)
	return s.Store.Append(ctx, a)
}

// Guards against a fleet of gateways in which each has to see three crashes by itself, and against a storm of writes of what all of them
// have just heard. One in ten reports is lost; the request under which targets crash comes once or several times at once.
func TestManyGatewaysAgreeWithFewWrites(t *testing.T) {
	refused := func() *fleet { return &fleet{result: platform.ProbeGone} }
	for _, copies := range []int{1, 4} {
		t.Run(fmt.Sprint(copies), func(t *testing.T) {
			withGateways(t, func(g *gateways) { repeatAtMany(t, g, copies, refused) })
		})
	}
}

// Guards against a fleet of gateways that take whatever accepts connections in the place of a target that has crashed for that target.
func TestManyGatewaysAgreeOnTargetsBehindSupervisors(t *testing.T) {
	const acceptsFor = 700 * time.Millisecond
	supervised := func() *fleet { return &fleet{answer: backAfter(acceptsFor)} }
	withGateways(t, func(g *gateways) { repeatAtMany(t, g, 1, supervised) })
}

func repeatAtMany(t *testing.T, g *gateways, copies int, newFleet func() *fleet) {
	rng := rand.New(rand.NewPCG(1, 1))
	var appends atomic.Int64
	var all []*Quarantine
	for range manyGateways {
		q, view := newQuarantine(newFleet()), g.store.View()
		all = append(all, q)
		g.wg.Go(func() { _ = q.Run(g.ctx, countedStore{view, &appends}) })
	}
	time.Sleep(time.Second)
	bad := &badRequest{}
	for at := time.Duration(0); at < time.Minute; at += 10 * time.Millisecond {
		time.Sleep(10 * time.Millisecond)
		for range copies {
			if at%repeatGap == 0 {
				bad.send(all[rng.IntN(len(all))])
			}
		}
		if at%reportGap == 0 {
			exchange(all, rng)
		}
	}
	sent, late := bad.counts()
	if sent < quarantine.DefaultThreshold || late > maxLate {
		t.Errorf("%d targets have crashed, %d of them under requests sent %v after the third crash", sent, late, stableAfter)
	}
	if n := appends.Load(); n > manyGateways {
		t.Errorf("%d writes", n)
	}
	t.Logf("%d crashes, %d of them late, %d writes", sent, late, appends.Load())
}

// badRequest crashes each target that it is sent to.
type badRequest struct {
	mu      sync.Mutex
	sends   []time.Time
	crashes []time.Time
}

// send sends the request from a gateway, unless it is quarantined there.
func (b *badRequest) send(q *Quarantine) {
	c := quarantine.NewContent(&serving.Request{ID: "bad", Method: "POST", URI: "/a", Body: []byte("bad")})
	if q.AdmitRequest(c) != nil {
		return
	}
	began := time.Now()
	b.mu.Lock()
	b.sends = append(b.sends, began)
	target := fmt.Sprint("t", len(b.sends))
	b.mu.Unlock()
	go func() {
		time.Sleep(runTime)
		b.mu.Lock()
		b.crashes = append(b.crashes, time.Now())
		b.mu.Unlock()
		q.BrokenOff(quarantine.Broken{Content: c, Target: serving.Target{ID: target}, Began: began, Err: errors.New("EOF")})
	}()
}

// counts returns how often the request was sent, and how often later than stableAfter after the third crash.
func (b *badRequest) counts() (sent, late int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, at := range b.sends {
		if len(b.crashes) >= 3 && at.After(b.crashes[2].Add(stableAfter)) {
			late++
		}
	}
	return len(b.sends), late
}

// exchange has each gateway report to all others.
func exchange(all []*Quarantine, rng *rand.Rand) {
	for i, from := range all {
		records := from.ToTell()
		for k, to := range all {
			if len(records) > 0 && k != i && rng.IntN(10) > 0 {
				to.Apply(records)
			}
		}
	}
}
