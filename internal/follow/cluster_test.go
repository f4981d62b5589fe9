package follow

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

// cluster is a set of followers that ask each other without sockets, in the
// time of a synctest bubble.
type cluster struct {
	t     *testing.T
	log   *logmem.Log
	check *invariant.Checker

	mu        sync.Mutex
	hosts     []platform.Host
	followers map[structs.HostID]*Follower
	cancel    map[structs.HostID]context.CancelFunc
	silent    map[structs.HostID]bool // accept questions and never answer
	logCut    map[structs.HostID]bool // can't reach the log
	plans     int
	retention time.Duration // that the followers are told of
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{
		t:         t,
		retention: time.Hour,
		log:       logmem.New(1),
		followers: map[structs.HostID]*Follower{},
		cancel:    map[structs.HostID]context.CancelFunc{},
		silent:    map[structs.HostID]bool{},
		logCut:    map[structs.HostID]bool{},
	}
	c.check = invariant.NewChecker(func(v invariant.Violation) { t.Errorf("violated: %+v", v) })
	t.Cleanup(c.stopAll)
	return c
}

// cutLog is the log as one host reaches it.
type cutLog struct {
	c    *cluster
	host structs.HostID
}

func (l cutLog) reach() (log *logmem.Log, cut bool) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.c.log, l.c.logCut[l.host]
}

func (l cutLog) Append(ctx context.Context, stream string, body []byte) (structs.Offset, error) {
	log, cut := l.reach()
	if cut {
		return 0, errs.New(errs.LogDown, "cut off")
	}
	return log.Append(ctx, stream, body)
}

// Read hangs for a host that is cut off, also one that asked before.
func (l cutLog) Read(ctx context.Context, stream string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	log, _ := l.reach()
	// A timer of no length that a select polls inside a bubble crashes the
	// runtime of Go 1.26 under the race detector (runtime.timer.maybeRunChan).
	wait = max(wait, time.Millisecond)
	page, err := log.Read(ctx, stream, from, most, wait)
	if _, cut := l.reach(); cut {
		<-ctx.Done()
		return platform.Page{}, errs.New(errs.LogDown, "cut off")
	}
	return page, err
}

// Fetch implements Fetcher by a call of the follower itself. One that is silent
// leaves the questions unanswered that it has taken before, too.
func (c *cluster) Fetch(ctx context.Context, peer platform.Host, from structs.Version, wait time.Duration) (*structs.ConfigMsg, error) {
	f := c.follower(peer.ID)
	if f == nil || !f.isReady() {
		return nil, errs.New(errs.SessionLost, "not there")
	}
	m, err := f.answer(from, wait)
	if c.isSilent(peer.ID) {
		<-ctx.Done()
		return nil, errs.New(errs.SessionLost, "silent")
	}
	return m, err
}

func (c *cluster) follower(id structs.HostID) *Follower {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followers[id]
}

func (c *cluster) isSilent(id structs.HostID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent[id]
}

func (c *cluster) setSilent(id structs.HostID, yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[id] = yes
}

func (c *cluster) setLogCut(id structs.HostID, yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logCut[id] = yes
}

func (c *cluster) members() []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]platform.Host(nil), c.hosts...)
}

func (c *cluster) start(id structs.HostID, domain structs.FailureDomain) *Follower {
	f := New(Options{
		Self:    settings.Entry{Host: settings.Identity{ID: id, Domain: domain}, LogRetention: c.retention},
		Log:     cutLog{c, id},
		Members: c.members,
		Logger:  hclog.NewNullLogger(),
		Fetcher: c,
		Check:   c.check,
	})
	ctx, cancel := context.WithCancel(context.Background())
	c.mu.Lock()
	c.hosts = append(c.hosts, platform.Host{ID: id, Role: platform.RoleEntry, Domain: domain, State: platform.HostLive})
	c.followers[id] = f
	c.cancel[id] = cancel
	c.mu.Unlock()
	go f.Run(ctx)
	return f
}

func (c *cluster) startMany(domains, each int) {
	for n := range domains * each {
		c.start(structs.HostID(fmt.Sprintf("e%02d", n)), structs.FailureDomain(fmt.Sprint("d", n%domains)))
	}
}

func (c *cluster) kill(id structs.HostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel[id]()
	delete(c.followers, id)
	delete(c.cancel, id)
	for n, h := range c.hosts {
		if h.ID == id {
			c.hosts = append(c.hosts[:n:n], c.hosts[n+1:]...)
			break
		}
	}
}

func (c *cluster) stopAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cancel := range c.cancel {
		cancel()
	}
}

// change confirms one more change and returns its version.
func (c *cluster) change() structs.Version {
	c.t.Helper()
	c.mu.Lock()
	c.plans++
	n := c.plans
	c.mu.Unlock()
	body, err := confstate.EncodeConfirm(&structs.Confirm{
		Plan:     fmt.Sprint("p", n),
		Base:     structs.Version(n - 1),
		Operator: "ann",
		Intents:  []structs.Intent{{Policy: &structs.PolicyIntent{Headroom: float64(n%100) / 100}}},
	})
	if err != nil {
		c.t.Fatal(err)
	}
	off, err := c.log.Append(context.Background(), structs.ConfigStream, body)
	if err != nil {
		c.t.Fatal(err)
	}
	return structs.Version(off)
}

// inForce waits until all followers but those left out have v, and returns how long it took.
func (c *cluster) inForce(v structs.Version, within time.Duration, leftOut ...structs.HostID) time.Duration {
	c.t.Helper()
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	for _, h := range c.members() {
		if contains(leftOut, h.ID) {
			continue
		}
		if _, err := c.follower(h.ID).WaitFor(ctx, v); err != nil {
			c.t.Errorf("%s: %v", h.ID, err)
		}
	}
	return time.Since(start)
}

func contains(ids []structs.HostID, id structs.HostID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

func (c *cluster) allReady() {
	for _, h := range c.members() {
		<-c.follower(h.ID).Ready()
	}
	time.Sleep(suspectFor + 2*PollWait) // virtual time: every follower waits at its parent
}

// bubble runs a test with a cluster in virtual time.
func bubble(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		f(t, c)
		c.stopAll()
		synctest.Wait()
	})
}
