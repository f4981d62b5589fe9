package admin

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/follow"
)

func TestPlanThenConfirm(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[policy]\nheadroom = 0.4")
		if n[0].headroom() != 0 {
			t.Error("acted before the confirm")
		}
		c, err := n[0].confirm("ann", p)
		if err != nil || c.Version != 1 || c.Operator != "ann" {
			t.Errorf("confirmed %+v, error %v", c, err)
		}
		if n[0].headroom() != 0.4 {
			t.Errorf("headroom %g after the answer", n[0].headroom())
		}
	})
}

// Symptom: two operators both read that their plan holds.
// Sequence: both plan from one version and confirm at once, at different entries.
// Cause: an entry that decides by what it knows instead of by the log's order.
func TestTwoOperatorsRace(t *testing.T) {
	bubble(t, 2, func(log *logmem.Log, n []*node) {
		log.SetFaults(logmem.Faults{Delay: 50 * time.Millisecond}) // so that both appends are under way
		plans := []*plan.Plan{n[0].plan("ann", fmt.Sprintf(serveM, 2)), n[1].plan("ben", fmt.Sprintf(serveM, 5))}
		var wg sync.WaitGroup
		results := make([]error, 2)
		for i, operator := range []string{"ann", "ben"} {
			wg.Go(func() { _, results[i] = n[i].confirm(operator, plans[i]) })
		}
		wg.Wait()
		if appends, _ := log.Appends(); appends != 2 {
			t.Fatalf("%d appends: the race did not happen", appends)
		}
		won, lost := 0, 1
		if results[0] != nil {
			won, lost = 1, 0
		}
		if results[won] != nil || !errs.Is(results[lost], errs.StalePlan) {
			t.Fatalf("results %v", results)
		}
		winner := plans[won].Operator
		if !strings.Contains(results[lost].Error(), "model/m") || !strings.Contains(results[lost].Error(), winner) {
			t.Errorf("the loser is told %q", results[lost])
		}
		time.Sleep(time.Second)
		for i := range n {
			if _, err := n[i].confirm("ann", plans[lost]); !errs.Is(err, errs.StalePlan) {
				t.Errorf("entry %d tells the loser %v", i, err)
			}
		}
	})
}

func TestStalePlanIsRefusedWithoutAnAppend(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		if _, err := n[0].confirm("ben", n[0].plan("ben", fmt.Sprintf(serveM, 3))); err != nil {
			t.Fatal(err)
		}
		_, err := n[0].confirm("ann", p)
		if appends, _ := log.Appends(); !errs.Is(err, errs.StalePlan) || appends != 1 {
			t.Errorf("error %v after %d appends", err, appends)
		}
	})
}

func TestChangedPlanIsRefused(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		p.Intents[0].Model.ID = "other"
		if _, err := n[0].confirm("ann", p); !errs.Is(err, errs.BadRequest) {
			t.Errorf("error %v", err)
		}
	})
}

func TestKeysOfOperators(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		for header, says := range map[string]string{
			"":                      "no operator's key was sent",
			"Basic abc":             "no operator's key was sent",
			"Bearer nobody's":       "not known",
			"Bearer old key of ann": "old one of operator ann",
		} {
			var ctx fasthttp.RequestCtx
			ctx.Request.SetRequestURI(PathConfig)
			ctx.Request.Header.Set("Authorization", header)
			n[0].admin.Handler(&ctx)
			body := string(ctx.Response.Body())
			if ctx.Response.StatusCode() != fasthttp.StatusUnauthorized || !strings.Contains(body, says) {
				t.Errorf("%q: %d %s", header, ctx.Response.StatusCode(), body)
			}
		}
	})
}

func TestEachActIsAudited(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[workspace w]\nkeys = a-very-secret-key-1")
		n[0].confirm("ben", p)
		n[0].call("", "GET", PathStatus, nil)
		audit := n[0].audit.String()
		for _, want := range []string{
			"act=plan operator=ann", "act=confirm operator=ben", "outcome=ok plan=" + p.ID,
			`act=status operator=""`, "outcome=unauthenticated",
		} {
			if !strings.Contains(audit, want) {
				t.Errorf("no %q in\n%s", want, audit)
			}
		}
		if strings.Contains(audit, "secret") {
			t.Error("a key is in the log")
		}
	})
}

func TestWatchTellsAChange(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		_, body := n[0].call("ann", "GET", PathStatus, nil)
		var before, after Status
		if err := json.Unmarshal(body, &before); err != nil {
			t.Fatal(err)
		}
		done := make(chan []byte, 1)
		go func() {
			_, b := n[0].call("ann", "GET", PathWatch+"?tag="+before.Tag+"&wait=30s", nil)
			done <- b
		}()
		time.Sleep(3 * time.Second)
		select {
		case b := <-done:
			t.Fatalf("answered without a change: %s", b)
		default:
		}
		if _, err := n[0].confirm("ann", n[0].plan("ann", fmt.Sprintf(serveM, 2))); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(<-done, &after); err != nil {
			t.Fatal(err)
		}
		if len(after.Models) != 1 || after.Models[0].Met || len(after.Models[0].Why) == 0 {
			t.Errorf("status %+v", after)
		}
	})
}

func TestMisuseIsTyped(t *testing.T) {
	bubble(t, 1, func(_ *logmem.Log, n []*node) {
		for _, c := range []struct {
			method, path, body string
			want               errs.Type
		}{
			{"GET", "/admin/v1/none", "", errs.NotFound},
			{"GET", PathPlan, "", errs.BadRequest},
			{"POST", PathPlan, "[model m]\nx=1", errs.BadSettings},
			{"POST", PathPlan, "[retire-model m]", errs.Conflict},
			{"POST", PathConfirm, "{", errs.BadRequest},
			{"GET", PathWatch + "?wait=soon", "", errs.BadRequest},
		} {
			_, body := n[0].call("ann", c.method, c.path, []byte(c.body))
			if !strings.Contains(string(body), `"type":"`+string(c.want)+`"`) {
				t.Errorf("%s %s: %s, want %s", c.method, c.path, body, c.want)
			}
		}
	})
}

var _ Config = (*follow.Follower)(nil)

var _ confstate.Source = (*follow.Follower)(nil)
