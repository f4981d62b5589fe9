package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/follow"
	"arbutusramp/internal/problem"
	"arbutusramp/internal/settings"
)

func sum(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// node is one entry as far as the administration API goes.
type node struct {
	t      *testing.T
	admin  *Admin
	follow *follow.Follower
	stop   context.CancelFunc
	audit  *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

func startNode(t *testing.T, log platform.Log, id structs.HostID) *node {
	self := settings.Entry{
		Host:                settings.Identity{ID: id, Domain: "d"},
		OperatorKeys:        map[string]string{"ann": sum("key of ann"), "ben": sum("key of ben")},
		RevokedOperatorKeys: map[string]string{"ann": sum("old key of ann")},
	}
	n := &node{t: t, audit: &lockedBuffer{}}
	n.follow = follow.New(follow.Options{Self: self, Log: log, Members: func() []platform.Host { return nil }})
	n.admin = New(Options{
		Self:   self,
		Config: n.follow,
		Log:    log,
		Logger: hclog.New(&hclog.LoggerOptions{Output: n.audit}),
	})
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go n.follow.Run(ctx)
	return n
}

// kill ends the node.
func (n *node) kill() {
	n.stop()
	n.admin.Close()
}

// call sends one request as operator and returns status and body.
func (n *node) call(operator, method, path string, body []byte) (int, []byte) {
	var ctx fasthttp.RequestCtx
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.SetBody(body)
	if operator != "" {
		req.Header.Set("Authorization", "Bearer key of "+operator)
	}
	ctx.Init(&req, nil, nil)
	n.admin.Handler(&ctx)
	return ctx.Response.StatusCode(), ctx.Response.Body()
}

func (n *node) plan(operator, doc string) *plan.Plan {
	n.t.Helper()
	status, body := n.call(operator, "POST", PathPlan, []byte(doc))
	if status != fasthttp.StatusOK {
		n.t.Fatalf("plan: %d %s", status, body)
	}
	var p plan.Plan
	if err := json.Unmarshal(body, &p); err != nil {
		n.t.Fatal(err)
	}
	return &p
}

func (n *node) confirm(operator string, p *plan.Plan) (Confirmed, error) {
	n.t.Helper()
	doc, err := json.Marshal(p)
	if err != nil {
		n.t.Fatal(err)
	}
	status, body := n.call(operator, "POST", PathConfirm, doc)
	if status == fasthttp.StatusOK {
		var c Confirmed
		if err := json.Unmarshal(body, &c); err != nil {
			n.t.Fatal(err)
		}
		return c, nil
	}
	var answer problem.Body
	if err := json.Unmarshal(body, &answer); err != nil {
		n.t.Fatalf("%d %s", status, body)
	}
	return Confirmed{}, answer.Error
}

func (n *node) headroom() float64 { return n.follow.Current().Policy.Headroom }

const serveM = "[model m]\nversion = 1\nreplicas = %d\n"

// bubble runs f with a log and nodes in virtual time.
func bubble(t *testing.T, nodes int, f func(log *logmem.Log, n []*node)) {
	synctest.Test(t, func(t *testing.T) {
		log := logmem.New(1)
		var all []*node
		for i := range nodes {
			all = append(all, startNode(t, log, structs.HostID(fmt.Sprint("e", i))))
		}
		for _, n := range all {
			<-n.follow.Ready()
		}
		f(log, all)
		for _, n := range all {
			n.kill()
		}
		synctest.Wait()
	})
}

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

// Symptom: an operator who confirms again changes the configuration twice, or reads
// that the own plan came first.
// Sequence: the entry is killed after its append; the confirm is sent to another one.
// Cause: the copy is taken as a new confirm.
func TestEntryKilledAfterItsAppend(t *testing.T) {
	bubble(t, 2, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		log.SetFaults(logmem.Faults{LoseAnswer: 1})
		done := make(chan error, 1)
		go func() {
			_, err := n[0].confirm("ann", p)
			done <- err
		}()
		n[0].kill()
		log.SetFaults(logmem.Faults{})
		<-done
		c, err := n[1].confirm("ann", p)
		if err != nil {
			t.Fatal(err)
		}
		again, err := n[1].confirm("ann", p)
		if err != nil || again != c {
			t.Errorf("first %+v, again %+v, error %v", c, again, err)
		}
	})
}

// Symptom: an operator believes that a plan is in force, and it is not in the log.
// Sequence: the entry is killed before its append takes effect.
// Cause: an answer that is given before the record was read back.
func TestEntryKilledBeforeItsAppend(t *testing.T) {
	bubble(t, 2, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", fmt.Sprintf(serveM, 2))
		log.SetFaults(logmem.Faults{LoseRequest: 1})
		done := make(chan error, 1)
		go func() {
			_, err := n[0].confirm("ann", p)
			done <- err
		}()
		time.Sleep(10 * time.Millisecond)
		n[0].kill()
		if err := <-done; !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("the operator is told %v", err)
		}
		if n[1].follow.Current().Version != 0 {
			t.Fatal("the record is in the log")
		}
		log.SetFaults(logmem.Faults{})
		if c, err := n[1].confirm("ann", p); err != nil || c.Version != 1 {
			t.Errorf("at another entry: %+v, %v", c, err)
		}
	})
}

// Symptom: a change that a later one replaced comes back minutes after.
// Sequence: an append is answered as unknown; the operator confirms again and then changes the
// same thing; the first append takes effect only now.
func TestAppendThatLandsLate(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[policy]\nheadroom = 0.1")
		log.SetFaults(logmem.Faults{Late: 1, LateBy: time.Minute})
		_, err := n[0].confirm("ann", p)
		if !errs.Is(err, errs.AppendUnknown) {
			t.Fatalf("error %v", err)
		}
		log.SetFaults(logmem.Faults{})
		if _, err := n[0].confirm("ann", p); err != nil {
			t.Fatal(err)
		}
		if _, err := n[0].confirm("ann", n[0].plan("ann", "[policy]\nheadroom = 0.9")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Minute)
		if n[0].follow.Current().Version < 3 {
			t.Fatal("the late append did not land")
		}
		if n[0].headroom() != 0.9 {
			t.Errorf("headroom %g, want 0.9", n[0].headroom())
		}
	})
}

// Symptom: an operator waits without end, or is told "done" by an entry that could not do it.
// Sequence: the log is down at the confirm.
func TestConfirmWhileTheLogIsDown(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		p := n[0].plan("ann", "[policy]\nheadroom = 0.1")
		log.SetFaults(logmem.Faults{Down: true})
		start := time.Now()
		_, err := n[0].confirm("ann", p)
		if !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("error %+v", errs.As(err))
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("told after %v", took)
		}
		if status, _ := n[0].call("ann", "GET", PathStatus, nil); status != fasthttp.StatusOK {
			t.Errorf("status is not served: %d", status)
		}
		log.SetFaults(logmem.Faults{})
		if _, err := n[0].confirm("ann", p); err != nil {
			t.Errorf("afterwards: %v", err)
		}
	})
}

// Symptom: a confirm is refused although it is in force.
// Sequence: every answer of the log to an append is lost, and its reads work.
func TestLostAnswersAreFoundByReadingBack(t *testing.T) {
	bubble(t, 1, func(log *logmem.Log, n []*node) {
		log.SetFaults(logmem.Faults{LoseAnswer: 1})
		c, err := n[0].confirm("ann", n[0].plan("ann", "[policy]\nheadroom = 0.1"))
		if err != nil || c.Version != 1 {
			t.Errorf("confirmed %+v, error %v", c, err)
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
