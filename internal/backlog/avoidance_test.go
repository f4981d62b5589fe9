package backlog

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

// brokenRun is an answer with which a sound target breaks one run of an item.
type brokenRun func(platform.TargetCall) (*platform.TargetAnswer, error)

// brokenRuns are the ways in which that may happen.
var brokenRuns = map[string]brokenRun{
	"cut off inside an event": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		return streamOf(strings.NewReader("id: 1\ndata: x"), io.ErrUnexpectedEOF), nil
	},
	"no answer": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		return nil, errs.New(errs.TargetFailed, "reset").WithRan(errs.RanUnknown)
	},
	"status 500": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		return emptyAnswer(http.StatusInternalServerError), nil
	},
	"status 404": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		return emptyAnswer(http.StatusNotFound), nil
	},
	"answer to another request": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		answer := streamOf(strings.NewReader("id: 1\ndata: other\n\n"), io.EOF)
		answer.Foreign = true
		return answer, nil
	},
	"rejected, not run": func(platform.TargetCall) (*platform.TargetAnswer, error) {
		answer := emptyAnswer(http.StatusServiceUnavailable)
		answer.NotRun = true
		return answer, nil
	},
	"event out of order": func(c platform.TargetCall) (*platform.TargetAnswer, error) {
		event := fmt.Sprintf("id: 1\ndata: %s:1%s%s\n\n", c.Request.ID, versionSeparator, c.Target.Version)
		return streamOf(strings.NewReader(event+event), io.EOF), nil
	},
}

// emptyAnswer returns an answer with a status and without a body.
func emptyAnswer(status int) *platform.TargetAnswer {
	return &platform.TargetAnswer{Status: status, Header: http.Header{}, Length: 0, Body: http.NoBody}
}

// streamOf returns a stream with the content of r, which ends with err.
func streamOf(r io.Reader, err error) *platform.TargetAnswer {
	return &platform.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Length: -1, Body: io.NopCloser(io.MultiReader(r, iotest.ErrReader(err)))}
}

// breakFirstRuns makes the targets break the first run of each of the first items, as broken says.
func (cl *cluster) breakFirstRuns(items int, broken brokenRun) {
	brokenItems := 0
	cl.targets.intercept = func(_ context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
		cl.targets.mu.Lock()
		isBroken := brokenItems < items && cl.targets.runs[c.Request.ID] == 1
		if isBroken {
			brokenItems++
		}
		cl.targets.mu.Unlock()
		if !isBroken {
			return nil, nil, false
		}
		answer, err := broken(c)
		return answer, err, true
	}
}

// forEachBrokenRun runs f in virtual time for each of brokenRuns, with a cluster of one process.
func forEachBrokenRun(t *testing.T, f func(t *testing.T, cl *cluster, n *node, broken brokenRun)) {
	for name, broken := range brokenRuns {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, func(t *testing.T, cl *cluster) { f(t, cl, cl.nodes[0], broken) })
		})
	}
}

// Guards against items that are never run again because the only target of their service has broken a run of one of them.
func TestBrokenRunAtTheOnlyTargetStallsNoItem(t *testing.T) {
	for _, brokenItems := range []int{1, 5} {
		t.Run(fmt.Sprint(brokenItems, " broken runs"), func(t *testing.T) {
			forEachBrokenRun(t, func(t *testing.T, cl *cluster, n *node, broken brokenRun) {
				n.fleet.UpdateTargets(nil, []string{"target-1", "target-2"})
				cl.breakFirstRuns(brokenItems, broken)
				j := cl.job("j", repeat("ok", 40)...)
				n.submit(j)
				cl.checkResults(j, n.results(j, 30*time.Second))
			})
		})
	}
}

// fillTargets reports to the process that a peer fills all slots of targets with online requests, until release is called.
func (n *node) fillTargets(targets ...string) (release func()) {
	loads := make(map[string]fleet.Load)
	for _, id := range targets {
		loads[id] = fleet.Load{Online: 8}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for hasTime := true; hasTime; hasTime = sleep.For(ctx, 100*time.Millisecond) {
			n.fleet.ApplyReport("peer", fleet.Report{Loads: loads})
		}
		n.fleet.ApplyReport("peer", fleet.Report{})
	}()
	return func() {
		cancel()
		<-done
	}
}

// Guards against items that stand still beside an idle target while the other targets are full, because one of them has had a
// broken run at the idle one.
func TestBrokenRunStallsNoOtherItemBesideAnIdleTarget(t *testing.T) {
	forEachBrokenRun(t, func(t *testing.T, cl *cluster, n *node, broken brokenRun) {
		n.fleet.UpdateTargets(nil, []string{"target-2"})
		defer n.fillTargets("target-0")()
		cl.breakFirstRuns(1, broken)
		first := cl.job("first", "ok")
		n.submit(first)
		time.Sleep(time.Second)
		j := cl.job("j", repeat("ok", 30)...)
		n.submit(j)
		cl.checkResults(j, n.results(j, 10*time.Second))
		cl.checkResults(first, n.results(first, maxAvoidTime))
	})
}

// Guards against an item that uses up its attempts at one faulty target, or is run there again at once, while the sound ones
// have no slot for a moment.
func TestFailedItemWaitsForAnotherTarget(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		cl.targets.intercept = func(_ context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
			if c.Target.ID != "target-2" {
				return nil, nil, false
			}
			return emptyAnswer(http.StatusInternalServerError), nil, true
		}
		n.fleet.UpdateTargets(nil, []string{"target-1"})
		release := n.fillTargets("target-0")
		j := cl.job("j", repeat("ok", 6)...)
		n.submit(j)
		time.Sleep(maxAvoidTime / 2)
		release()
		cl.checkResults(j, n.results(j, 20*time.Second))
	})
}

// Guards against a conclusion about one item, from the targets that it avoids or from how long it can wait, that is taken for
// the state of all items of its service.
func TestScanConcludesOnlyForTheSameQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStartScan(fleetview.New(fleet.Options{Self: "self"}))
		avoiding := func(target string) fleet.Work {
			return fleet.Work{Service: "llm", Avoid: fleet.Avoidance{Targets: []string{target}, IsStrict: true}}
		}
		w := fleet.Work{Service: "llm"}
		s.noteNotStarted(avoiding("a"), fleet.BatchPick{IsAvoiding: true})
		if !s.isBlocked(avoiding("a")) || s.isBlocked(w) || s.isBlocked(avoiding("b")) {
			t.Error("an item that could run only at targets that it avoids blocks others, want only those that avoid the same ones")
		}
		patient := w
		patient.StartSlack = time.Minute
		s.noteNotStarted(patient, fleet.BatchPick{Deferral: fleet.DeferredForHeadroom})
		if !s.isBlocked(patient) || s.isBlocked(w) {
			t.Error("an item that can wait for long is deferred, want no effect on one that can't")
		}
		s.noteNotStarted(w, fleet.BatchPick{})
		if !s.isBlocked(avoiding("b")) {
			t.Error("no slot is free for items that avoid no target, want none for those that do either")
		}
	})
}

// Guards against an avoidance that outlives its bound.
func TestAvoidanceEnds(t *testing.T) {
	tk := &task{job: &backlog.Job{MaxAttempts: 3}}
	for _, v := range []runVerdict{runInterrupted, runLost, runFailed} {
		now := time.Now()
		if _, isPreempted := tk.applyVerdict(runEnd{target: "a", verdict: v}); isPreempted {
			t.Fatal("the run counts as preempted, want not")
		}
		if a := tk.avoidance(now.Add(maxAvoidTime + time.Second)); a.IsStrict || len(a.Targets) == 0 {
			t.Errorf("verdict %v: %+v after the bound, want a preference", v, a)
		}
	}
}
