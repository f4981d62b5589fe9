package follow

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

// Symptom: a process goes back to an older configuration, or two differ for good.
// Sequence: changes come while the log is down, slow and keeps its records for an hour only;
// entries are cut off from the log, fall silent, are killed and replaced.
// Cause: any way of taking configuration that forgets what was seen, or that
// waits for who will not answer. The invariant in install is checked all along.
func TestRandomFaultsNeverTakeAnyoneBack(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			c.startMany(3, 5)
			c.allReady()
			rng := rand.New(rand.NewPCG(seed, 6))
			for n := range 60 {
				c.breakSomething(rng, n)
				if !c.log.Faults().Down {
					c.change()
				}
				time.Sleep(time.Duration(rng.IntN(240)) * time.Second)
			}
			c.heal()
			v := c.change()
			c.inForce(v, 30*time.Second)
			c.compareAll(seed)
			c.stopAll()
			synctest.Wait()
		})
	}
}

func (c *cluster) breakSomething(rng *rand.Rand, n int) {
	members := c.members()
	h := members[rng.IntN(len(members))]
	switch rng.IntN(6) {
	case 0:
		c.setSilent(h.ID, true)
	case 1:
		c.setLogCut(h.ID, true)
	case 2:
		c.log.SetFaults(logmem.Faults{Down: rng.IntN(2) == 0, Retention: time.Hour, Delay: time.Duration(rng.IntN(800)) * time.Millisecond})
	case 3:
		c.replace(h.ID, n)
	default:
		c.setSilent(h.ID, false)
		c.setLogCut(h.ID, false)
	}
}

// replace kills an entry and starts another in its failure domain.
func (c *cluster) replace(id structs.HostID, n int) {
	for _, h := range c.members() {
		if h.ID == id {
			c.kill(id)
			c.start(structs.HostID(fmt.Sprint("new", n)), h.Domain)
		}
	}
}

func (c *cluster) heal() {
	c.log.SetFaults(logmem.Faults{Retention: time.Hour})
	for _, h := range c.members() {
		c.setSilent(h.ID, false)
		c.setLogCut(h.ID, false)
	}
	time.Sleep(time.Minute)
}

func (c *cluster) compareAll(seed uint64) {
	var want []byte
	for _, h := range c.members() {
		b, err := c.follower(h.ID).Current().Snapshot()
		if err != nil {
			c.t.Fatal(err)
		}
		if want == nil {
			want = b
		}
		if !bytes.Equal(b, want) {
			c.t.Errorf("seed %d: %s differs at version %d", seed, h.ID, c.follower(h.ID).Current().Version)
		}
	}
}
