package admin

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

// told is what an operator was told of a plan.
type told struct {
	plan *plan.Plan
	err  error
}

// Symptom: an operator was told "done" of what is not in force, or "refused" of what is.
// Sequence: operators plan and confirm at random entries, with copies at others,
// while the log loses requests and answers, is late, busy and down.
// Cause: any answer that rests on something else than the log.
func TestAnswersAgreeWithTheLog(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			answers, entries := runOperators(t, seed)
			state := entries[0].follow.Current()
			for _, n := range entries {
				if n.follow.Current().Version != state.Version {
					t.Fatalf("seed %d: versions differ", seed)
				}
			}
			held := 0
			for _, a := range answers {
				out, decided := state.Outcomes[a.plan.ID]
				switch {
				case a.err == nil && !(decided && out.Held()):
					t.Errorf("seed %d: told done, outcome %+v", seed, out)
				case errs.Is(a.err, errs.StalePlan) && decided && out.Held():
					t.Errorf("seed %d: told stale, but it holds since version %d", seed, out.Version)
				case errs.Is(a.err, errs.LogDown) && decided && onlyAnswer(answers, a.plan):
					t.Errorf("seed %d: told that nothing was confirmed, outcome %+v", seed, out)
				}
				if a.err == nil {
					held++
				}
			}
			if held == 0 {
				t.Errorf("seed %d: nothing was confirmed, the run shows nothing", seed)
			}
			for _, n := range entries {
				n.kill()
			}
			synctest.Wait()
		})
	}
}

func onlyAnswer(answers []told, p *plan.Plan) bool {
	n := 0
	for _, a := range answers {
		if a.plan.ID == p.ID {
			n++
		}
	}
	return n == 1
}

// runOperators lets four operators work at three entries and returns what they
// were told, with the log healthy again and all entries level.
func runOperators(t *testing.T, seed uint64) ([]told, []*node) {
	log := logmem.New(seed)
	var entries []*node
	for i := range 3 {
		entries = append(entries, startNode(t, log, structs.HostID(fmt.Sprint("e", i))))
		<-entries[i].follow.Ready()
	}
	var mu sync.Mutex
	var answers []told
	var operators sync.WaitGroup
	for op := range uint64(4) {
		rng := rand.New(rand.NewPCG(seed, op))
		operators.Go(func() {
			for range 6 {
				got := confirmSomewhere(rng, entries)
				mu.Lock()
				answers = append(answers, got...)
				mu.Unlock()
			}
		})
	}
	stop := make(chan struct{})
	faulty := make(chan struct{})
	go func() {
		defer close(faulty)
		breakLog(rand.New(rand.NewPCG(seed, 99)), log, stop)
	}()
	operators.Wait()
	close(stop)
	<-faulty
	log.SetFaults(logmem.Faults{})
	time.Sleep(time.Minute)
	return answers, entries
}

// confirmSomewhere plans at one entry and confirms at another, now and then twice.
func confirmSomewhere(rng *rand.Rand, entries []*node) []told {
	operator := []string{"ann", "ben"}[rng.IntN(2)]
	doc := fmt.Sprintf("[model m%d]\nversion = 1\nreplicas = %d\n", rng.IntN(3), 1+rng.IntN(9))
	p := entries[rng.IntN(len(entries))].plan(operator, doc)
	time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
	answers := []told{confirmAt(rng, entries, operator, p)}
	if rng.IntN(3) == 0 {
		answers = append(answers, confirmAt(rng, entries, operator, p))
	}
	return answers
}

func confirmAt(rng *rand.Rand, entries []*node, operator string, p *plan.Plan) told {
	_, err := entries[rng.IntN(len(entries))].confirm(operator, p)
	return told{p, err}
}

func breakLog(rng *rand.Rand, log *logmem.Log, stop <-chan struct{}) {
	for {
		log.SetFaults(logmem.Faults{
			Down:        rng.IntN(5) == 0,
			Delay:       time.Duration(rng.IntN(300)) * time.Millisecond,
			LoseAnswer:  rng.Float64() / 2,
			LoseRequest: rng.Float64() / 3,
			Late:        rng.Float64() / 3,
			LateBy:      time.Duration(rng.IntN(20)) * time.Second,
			Busy:        rng.Float64() / 3,
		})
		again := sleep.NewTimer(time.Duration(200+rng.IntN(1500)) * time.Millisecond)
		select {
		case <-stop:
			again.Stop()
			return
		case <-again.C:
		}
	}
}
