package batch

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

// cluster is a few entries over one log in memory, with sides that run items.
// All of it lives in one synctest bubble.
type cluster struct {
	t      *testing.T
	log    *logmem.Log
	config atomic.Pointer[confstate.State]
	check  *invariant.Checker
	set    settings.Entry
	tune   Tuning
	broken jobs.Broken

	mu    sync.Mutex
	nodes map[structs.HostID]*node
	list  []platform.Host // the host list, lagging
	sides map[structs.HostID]*testSide
	seen  oracle
	made  int
	// closing ends the resending of clients.
	closing atomic.Bool
}

// node is one entry. gate stands for its process: nothing goes in or out while it
// is paused, or ever again once it is dead.
type node struct {
	c      *cluster
	host   platform.Host
	m      *Manager
	gate   gate
	cancel context.CancelFunc
	done   chan struct{}
	cutLog atomic.Bool // the node does not reach the log
}

type gate struct {
	mu     sync.Mutex
	paused chan struct{} // nil: open; else closed at the end of the pause
	dead   chan struct{}
	isDead bool
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused == nil {
		g.paused = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused != nil {
		close(g.paused)
		g.paused = nil
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.isDead {
		g.isDead = true
		close(g.dead)
	}
}

// pass waits until the gate is open; it says false once it is dead or ctx has ended.
func (g *gate) pass(ctx context.Context) bool {
	for {
		g.mu.Lock()
		paused, dead := g.paused, g.isDead
		g.mu.Unlock()
		if dead {
			return false
		}
		if paused == nil {
			return ctx.Err() == nil
		}
		select {
		case <-paused:
		case <-g.dead:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// gatedLog is the log as one node reaches it.
type gatedLog struct {
	n *node
}

func (l gatedLog) Append(ctx context.Context, stream string, body []byte) (structs.Offset, error) {
	if !l.n.gate.pass(ctx) {
		return 0, errs.New(errs.LogDown, "host is gone")
	}
	if l.n.cutLog.Load() {
		return 0, errs.New(errs.LogDown, "no route")
	}
	off, err := l.n.c.log.Append(ctx, stream, body)
	if !l.n.gate.pass(context.WithoutCancel(ctx)) {
		return 0, errs.New(errs.AppendUnknown, "host is gone")
	}
	return off, err
}

func (l gatedLog) Read(ctx context.Context, stream string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	if !l.n.gate.pass(ctx) {
		return platform.Page{}, errs.New(errs.LogDown, "host is gone")
	}
	if l.n.cutLog.Load() {
		return platform.Page{}, errs.New(errs.LogDown, "no route")
	}
	page, err := l.n.c.log.Read(ctx, stream, from, most, wait)
	if !l.n.gate.pass(context.WithoutCancel(ctx)) {
		return platform.Page{}, errs.New(errs.LogDown, "host is gone")
	}
	return page, err
}

// memPeers passes calls between nodes, as bytes.
type memPeers struct {
	n *node
}

func (p memPeers) Call(ctx context.Context, host platform.Host, r *PeerRequest) (*PeerReply, error) {
	lost := errs.New(errs.SessionLost, "no answer from "+string(host.ID))
	to := p.n.c.node(host.ID)
	if to == nil || !p.n.gate.pass(ctx) || !to.gate.pass(ctx) {
		return nil, lost
	}
	time.Sleep(time.Millisecond)
	var req PeerRequest
	recode(p.n.c.t, r, &req)
	got := to.m.Serve(ctx, &req)
	if !to.gate.pass(ctx) || !p.n.gate.pass(ctx) {
		return nil, lost
	}
	var reply PeerReply
	recode(p.n.c.t, got, &reply)
	if reply.Err != nil {
		return &reply, reply.Err
	}
	return &reply, nil
}

func recode(t *testing.T, from, to any) {
	body, err := cbor.Marshal(from)
	if err == nil {
		err = cbor.Unmarshal(body, to)
	}
	if err != nil {
		t.Error(err)
	}
}

type configFunc func() *confstate.State

func (f configFunc) Current() *confstate.State { return f() }

const (
	testModel     = "m"
	testWorkspace = "w"
)

func testConfig() *confstate.State {
	return &confstate.State{
		Models:   map[structs.ModelID]confstate.Model{testModel: {ID: testModel}},
		Services: map[structs.ServiceID]confstate.Service{"mail": {ID: "mail", NonIdempotent: []string{"POST"}}},
		Grants:   map[structs.WorkspaceID]confstate.Grant{testWorkspace: {Workspace: testWorkspace}},
	}
}

func newCluster(t *testing.T, seed uint64) *cluster {
	c := &cluster{
		t: t, log: logmem.New(seed),
		nodes: make(map[structs.HostID]*node),
		sides: make(map[structs.HostID]*testSide),
		set: settings.Entry{
			Shards: 4, CommitEvery: 20 * time.Millisecond, ItemAttempts: 3,
			ItemTimeout: 5 * time.Second, ResultsFor: 24 * time.Hour,
			LogRetention: 48 * time.Hour, DrainTimeout: 10 * time.Second,
		},
		tune: Tuning{OnceGrace: 20 * time.Second},
	}
	c.check = invariant.NewChecker(nil)
	c.config.Store(testConfig())
	c.seen.runs = make(map[jobs.Key]int)
	c.seen.cancelled = make(map[structs.JobID]time.Time)
	return c
}

func (c *cluster) node(id structs.HostID) *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[id]
}

// members returns the host list as it is seen now.
func (c *cluster) members() []platform.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]platform.Host(nil), c.list...)
}

// listAfter changes the host list after lag.
func (c *cluster) listAfter(lag time.Duration, change func([]platform.Host) []platform.Host) {
	sleep.AfterFunc(lag, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.list = change(append([]platform.Host(nil), c.list...))
	})
}

// startNode adds an entry, which the host list shows after lag.
func (c *cluster) startNode(lag time.Duration) *node {
	c.mu.Lock()
	c.made++
	id := structs.HostID(fmt.Sprintf("entry-%d", c.made))
	n := &node{c: c, done: make(chan struct{})}
	n.gate.dead = make(chan struct{})
	n.host = platform.Host{
		ID: id, Role: platform.RoleEntry, Addr: string(id), State: platform.HostLive,
		Domain: structs.FailureDomain(fmt.Sprint("d", c.made%3)),
	}
	c.mu.Unlock()
	set := c.set
	set.Host.ID = id
	logger := hclog.NewNullLogger()
	if testing.Verbose() && testLogs {
		logger = hclog.New(&hclog.LoggerOptions{Name: string(id), Level: hclog.Debug})
	}
	n.m = New(Options{
		Settings: set, Log: gatedLog{n}, Config: configFunc(c.config.Load), Members: c.members,
		Logger: logger, PeerAddr: string(id), Peers: memPeers{n}, Check: c.check,
		Broken: c.broken, Tuning: c.tune,
	})
	c.mu.Lock()
	c.nodes[id] = n
	sides := make([]*testSide, 0, len(c.sides))
	for _, s := range c.sides {
		sides = append(sides, s)
	}
	c.mu.Unlock()
	// A host that is gone before the list has shown it is not shown later.
	add := func(l []platform.Host) []platform.Host {
		if c.nodes[id] == nil {
			return l
		}
		return append(l, n.host)
	}
	if lag == 0 {
		c.mu.Lock()
		c.list = add(c.list)
		c.mu.Unlock()
	} else {
		c.listAfter(lag, add)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	go func() {
		defer close(n.done)
		_ = n.m.Run(ctx)
	}()
	for _, s := range sides {
		s.connect(n)
	}
	return n
}

// testLogs turns logs on while a test is worked on.
const testLogs = false

func (c *cluster) removeFromList(id structs.HostID, lag time.Duration) {
	c.listAfter(lag, func(l []platform.Host) []platform.Host {
		out := l[:0]
		for _, h := range l {
			if h.ID != id {
				out = append(out, h)
			}
		}
		return out
	})
}

// kill ends a node without a handover.
func (c *cluster) kill(n *node, lag time.Duration) {
	n.gate.kill()
	c.mu.Lock()
	delete(c.nodes, n.host.ID)
	c.mu.Unlock()
	n.cancel()
	for _, s := range c.allSides() {
		s.disconnect(n)
	}
	c.removeFromList(n.host.ID, lag)
}

// stop ends a node with a handover.
func (c *cluster) stop(n *node, lag time.Duration) {
	n.cancel()
	<-n.done
	n.gate.kill()
	c.mu.Lock()
	delete(c.nodes, n.host.ID)
	c.mu.Unlock()
	for _, s := range c.allSides() {
		s.disconnect(n)
	}
	c.removeFromList(n.host.ID, lag)
}

func (c *cluster) allSides() []*testSide {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*testSide
	for i := range 64 {
		if s := c.sides[sideID(i)]; s != nil {
			out = append(out, s)
		}
	}
	return out
}

func (c *cluster) allNodes() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*node
	for i := range c.made {
		if n := c.nodes[structs.HostID(fmt.Sprintf("entry-%d", i+1))]; n != nil {
			out = append(out, n)
		}
	}
	return out
}

// close ends all nodes and sides, so that the bubble can end.
func (c *cluster) close() {
	c.log.SetFaults(logmem.Faults{})
	for _, s := range c.allSides() {
		s.kill()
	}
	for _, n := range c.allNodes() {
		n.gate.resume()
		c.kill(n, 0)
		<-n.done
	}
}

// jobFile makes a file of n items; text returns what the prompt of item i says.
func jobFile(n int, text func(i int) string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/v1/completions","body":{"model":"m","prompt":%q}}`+"\n", i, text(i))
	}
	return b.String()
}

// mailFile makes a file of n calls that run at most once.
func mailFile(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"c%d","method":"POST","url":"/svc/mail/send","body":{"n":%d}}`+"\n", i, i)
	}
	return b.String()
}

func plain(int) string { return "ok" }

// submit sends file through n until it is accepted or the bubble's patience ends.
func (c *cluster) submit(n *node, key, file string) (*JobView, error) {
	return n.m.Submit(context.Background(), structs.JobSpec{Workspace: testWorkspace, Key: key},
		strings.NewReader(file))
}

// mustSubmit resends the job through any node, as a client would.
func (c *cluster) mustSubmit(key, file string) *JobView {
	c.t.Helper()
	var last error
	for try := 0; try < 400 && !c.closing.Load(); try++ {
		nodes := c.allNodes()
		if len(nodes) > 0 {
			v, err := c.submit(nodes[try%len(nodes)], key, file)
			if err == nil {
				return v
			}
			last = err
		}
		time.Sleep(500 * time.Millisecond)
	}
	if !c.closing.Load() {
		c.t.Errorf("job %s was not accepted: %v", key, last)
	}
	return nil
}

// awaitEnd waits until job has ended.
func (c *cluster) awaitEnd(job structs.JobID, limit time.Duration) *JobView {
	c.t.Helper()
	var v *JobView
	var err error
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(200 * time.Millisecond) {
		nodes := c.allNodes()
		if len(nodes) == 0 {
			continue
		}
		v, err = nodes[rand.IntN(len(nodes))].m.Status(context.Background(), testWorkspace, job)
		if err == nil && v.EndedMs != 0 {
			return v
		}
	}
	c.t.Errorf("job %s has not ended: %+v, err %v", job, v, err)
	return v
}

// results reads all results of job through any node.
func (c *cluster) results(job structs.JobID) []structs.ItemResult {
	c.t.Helper()
	var last error
	for try := range 100 {
		nodes := c.allNodes()
		if len(nodes) > 0 {
			var out []structs.ItemResult
			last = nodes[try%len(nodes)].m.Results(context.Background(), testWorkspace, job, 0, false,
				func(r structs.ItemResult) error {
					out = append(out, r)
					return nil
				})
			if last == nil {
				return out
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	c.t.Errorf("results of %s not readable: %v", job, last)
	return nil
}

// checkResults checks that each of n items has one result, in order, under its own name.
func (c *cluster) checkResults(job structs.JobID, n int) []structs.ItemResult {
	c.t.Helper()
	got := c.results(job)
	if len(got) != n {
		c.t.Errorf("job %s: %d results, want %d", job, len(got), n)
		return got
	}
	for i, r := range got {
		if r.Index != i || r.CustomID != fmt.Sprintf("c%d", i) {
			c.t.Errorf("job %s: result %d is of item %d, id %q", job, i, r.Index, r.CustomID)
		}
		if r.Err == nil && !bytes.Contains(r.Body, []byte(fmt.Sprintf(`"item":%d,`, i))) {
			c.t.Errorf("job %s: item %d has the result %s", job, i, r.Body)
		}
	}
	return got
}

func (c *cluster) noViolations() {
	c.t.Helper()
	if c.check.Total() > 0 {
		c.t.Errorf("invariants violated: %v", c.check.Counts())
	}
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	for _, v := range c.seen.violations {
		c.t.Error(v)
	}
}
