package batch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

// chaos is one random run: faults for a while, then peace, then the reckoning.
type chaos struct {
	*cluster
	rng   *rand.Rand
	files map[structs.JobID]int // accepted jobs with their number of items
	left  int                   // submits under way
	side  int
}

// randomRun drives a cluster with faults drawn from seed for span of the
// bubble's time and returns it with all jobs checked.
func randomRun(t *testing.T, seed uint64, broken jobs.Broken, span time.Duration) (violations int, report string) {
	synctest.Test(t, func(t *testing.T) {
		c := &chaos{
			cluster: newCluster(t, seed),
			rng:     rand.New(rand.NewPCG(seed, 3)),
			files:   make(map[structs.JobID]int),
		}
		c.broken = broken
		defer c.close()
		for range 3 {
			c.startNode(0)
		}
		for range 3 {
			c.addSide()
		}
		for begun := time.Now(); time.Since(begun) < span; {
			c.step()
			time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
		}
		c.heal()
		if broken == (jobs.Broken{}) {
			c.reckon()
		}
		c.closing.Store(true)
		c.awaitSubmits()
		appends, _ := c.log.Appends()
		violations = c.check.Total() + len(c.seen.violations)
		report = fmt.Sprintf("jobs %d, starts %d, appends %d, violations %v", len(c.files), c.seen.starts, appends, c.check.Counts())
	})
	return violations, report
}

func (c *chaos) addSide() {
	c.startSide(c.side, 4+c.rng.IntN(8), 20*time.Millisecond, 200*time.Millisecond)
	c.side++
}

func (c *chaos) lag() time.Duration { return time.Duration(c.rng.IntN(10000)) * time.Millisecond }

func (c *chaos) step() {
	nodes := c.allNodes()
	node := nodes[c.rng.IntN(len(nodes))]
	switch c.rng.IntN(14) {
	case 0, 1, 2:
		c.submitRandom()
	case 3:
		c.startNode(c.lag())
		if len(nodes) > 1 {
			c.kill(node, c.lag())
		}
	case 4:
		c.startNode(c.lag())
		if len(nodes) > 1 {
			go c.stop(node, c.lag())
		}
	case 5, 6:
		node.gate.pause()
		sleep.AfterFunc(time.Duration(c.rng.IntN(8000))*time.Millisecond, node.gate.resume)
	case 7:
		c.log.SetFaults(logmem.Faults{Down: true})
		sleep.AfterFunc(time.Duration(c.rng.IntN(20000))*time.Millisecond, func() { c.log.SetFaults(logmem.Faults{}) })
	case 8, 9:
		c.log.SetFaults(logmem.Faults{
			LoseAnswer: c.rng.Float64() / 2, LoseRequest: c.rng.Float64() / 4,
			Late: c.rng.Float64() / 4, LateBy: time.Duration(c.rng.IntN(5000)) * time.Millisecond,
			Busy: c.rng.Float64() / 4, Delay: time.Duration(c.rng.IntN(200)) * time.Millisecond,
		})
	case 10:
		if sides := c.allSides(); len(sides) > 0 {
			sides[c.rng.IntN(len(sides))].kill()
		}
		c.addSide()
	case 11:
		c.cancelRandom()
	case 12:
		c.log.SetFaults(logmem.Faults{})
	case 13:
		c.linkLost(node)
	}
}

// linkLost breaks the session of one side with one node for a while.
func (c *chaos) linkLost(n *node) {
	sides := c.allSides()
	if len(sides) == 0 {
		return
	}
	s := sides[c.rng.IntN(len(sides))]
	s.disconnect(n)
	sleep.AfterFunc(time.Duration(c.rng.IntN(3000))*time.Millisecond, func() {
		if c.node(n.host.ID) == n {
			s.connect(n)
		}
	})
}

func (c *chaos) submitRandom() {
	n := 1 + c.rng.IntN(600)
	key := fmt.Sprint("key-", c.rng.IntN(1000))
	size := len(key) * 7 // the content follows from the key, as that of a resend does
	n = n%size + size
	file := jobFile(n, func(i int) string { return [...]string{"ok", "ok", "ok", "refuse"}[i%4] })
	if len(key)%2 == 0 {
		file = mailFile(n)
	}
	file, n = c.sameForKey(key, file, n)
	c.seen.mu.Lock()
	c.left++
	c.seen.mu.Unlock()
	go func() {
		v := c.mustSubmit(key, file)
		c.seen.mu.Lock()
		defer c.seen.mu.Unlock()
		c.left--
		if v != nil {
			c.files[v.ID] = n
		}
	}()
}

type sentFile struct {
	file string
	n    int
}

// sameForKey returns the file that was first sent under key.
func (c *chaos) sameForKey(key, file string, n int) (string, int) {
	c.seen.mu.Lock()
	defer c.seen.mu.Unlock()
	if c.seen.sent == nil {
		c.seen.sent = make(map[string]sentFile)
	}
	if old, ok := c.seen.sent[key]; ok {
		return old.file, old.n
	}
	c.seen.sent[key] = sentFile{file, n}
	return file, n
}

func (c *chaos) cancelRandom() {
	c.seen.mu.Lock()
	var ids []structs.JobID
	for id := range c.files {
		ids = append(ids, id)
	}
	c.seen.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	id := ids[0]
	for _, other := range ids {
		id = min(id, other)
	}
	nodes := c.allNodes()
	n := nodes[c.rng.IntN(len(nodes))]
	go func() {
		if _, err := n.m.Cancel(context.Background(), testWorkspace, id); err == nil {
			c.seen.cancel(id)
		}
	}()
}

func (c *chaos) heal() {
	c.log.SetFaults(logmem.Faults{})
	for _, n := range c.allNodes() {
		n.gate.resume()
	}
	time.Sleep(30 * time.Second)
	c.log.SetFaults(logmem.Faults{})
	for _, n := range c.allNodes() {
		n.gate.resume()
		for _, s := range c.allSides() {
			s.connect(n)
		}
	}
	if len(c.allSides()) == 0 {
		c.addSide()
	}
}

func (c *chaos) awaitSubmits() {
	for {
		c.seen.mu.Lock()
		left := c.left
		c.seen.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(time.Second)
	}
}

// reckon checks that every accepted item has exactly one result.
func (c *chaos) reckon() {
	c.awaitSubmits()
	for id, n := range c.files {
		v := c.awaitEnd(id, 30*time.Minute)
		if v == nil {
			continue
		}
		if v.Items != n {
			c.t.Errorf("job %s has %d items, sent %d", id, v.Items, n)
		}
		if v.Status == jobs.StatusCompleted {
			c.checkResults(id, n)
			continue
		}
		if got := c.results(id); len(got) != v.Finished {
			c.t.Errorf("cancelled job %s: %d results, %d finished", id, len(got), v.Finished)
		}
	}
	c.noViolations()
}

// seeds returns how many seeds a randomised test runs: ARBUTUSRAMP_SEEDS or n.
func seeds(n int) int {
	if v, err := strconv.Atoi(os.Getenv("ARBUTUSRAMP_SEEDS")); err == nil && v > 0 {
		return v
	}
	return n
}

// Any of the faults, at any moment, together or twice: every accepted item
// completes once, nothing starts after a cancel, what may run once runs once.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(seeds(20)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			_, report := randomRun(t, seed, jobs.Broken{}, time.Minute)
			t.Log(report)
		})
	}
}

// A check that can't fail proves nothing: with a guard switched off the same runs
// must report violations.
func TestBrokenBuildsAreCaught(t *testing.T) {
	for name, broken := range map[string]jobs.Broken{
		"epochs ignored":     {IgnoreEpochs: true},
		"identities ignored": {IgnoreIdentities: true},
	} {
		t.Run(name, func(t *testing.T) {
			caught, runs := 0, 5
			for seed := range uint64(runs) {
				n, report := randomRun(t, seed, broken, time.Minute)
				t.Log(report)
				if n > 0 {
					caught++
				}
			}
			if caught == 0 {
				t.Errorf("none of %d runs reports a violation", runs)
			}
			t.Logf("%d of %d runs report violations", caught, runs)
		})
	}
}
