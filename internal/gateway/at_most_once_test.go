package gateway

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/core/workspace"
)

var (
	onceSeed  = flag.Uint64("once.seed", 1, "first seed of the random runs of TestRandomAnswersRunNothingTwice")
	onceSeeds = flag.Int("once.seeds", 60, "number of random runs")
)

const (
	onceRequests = 12              // requests of a random run, all under way at the same time
	onceTargets  = 4               // targets at the beginning of a random run
	onceEvents   = 5               // events of a whole stream
	onceLongest  = 3 * time.Second // longest time after which a request that was sent begins, if it does
)

// onceRun is one random run: a gateway, its targets and the requests of its callers. The targets know which requests have
// truly begun, the gateway only what they show of it.
type onceRun struct {
	*harness
	t        *testing.T
	seed     uint64
	requests map[string]*onceRequest // by id; not changed once the requests are under way
	restarts sync.WaitGroup
}

// onceRequest is one request of a random run. Its fields but those under mu belong to the goroutine of its caller.
type onceRequest struct {
	run    *onceRun
	id     string
	route  *serving.Route
	rng    *rand.Rand
	caller fakeCaller
	sends  []string // targets and outcomes, for the report of a failure
	// inDoubt is the number of sends of which nothing that the gateway has seen shows that they did not begin.
	inDoubt int
	later   sync.WaitGroup // begins that are yet to come

	mu       sync.Mutex
	begun    int // how often targets have begun with the request
	admitted int
	refunded int
}

// Guards against requests that run twice, are sent on although they may have run, or are answered as not run although they
// have run or run later, whatever targets answer, in whatever order, and whenever they restart or callers leave.
func TestRandomAnswersRunNothingTwice(t *testing.T) {
	for seed := *onceSeed; seed < *onceSeed+uint64(*onceSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { newOnceRun(t, seed).run() })
		})
	}
}

func newOnceRun(t *testing.T, seed uint64) *onceRun {
	m := &onceRun{harness: newHarness(onceTargets), t: t, seed: seed, requests: make(map[string]*onceRequest)}
	m.gw = New(Options{Targets: m, View: m.view, Config: m, Access: m, Quotas: m, Quarantine: m, Origins: newOrigins(), Prober: m, Versions: m, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
	routes := rand.New(rand.NewPCG(seed, 0))
	for i := range onceRequests {
		r := &onceRequest{run: m, id: fmt.Sprint("r", i), rng: rand.New(rand.NewPCG(seed, uint64(i)+1))}
		kind := []serving.Kind{serving.KindSafe, serving.KindUnsafe, serving.KindUnsafe, serving.KindStream, serving.KindStream}[routes.IntN(5)]
		r.route = newRoute(kind, 1+routes.IntN(4), routes.IntN(2) == 0)
		m.requests[r.id] = r
	}
	return m
}

// run serves the requests, waits for what may still begin, and checks the guarantees.
func (m *onceRun) run() {
	restarts := rand.New(rand.NewPCG(m.seed, 100))
	for i := range restarts.IntN(4) {
		at, old := time.Duration(restarts.IntN(4000))*time.Millisecond, fmt.Sprint("t", restarts.IntN(onceTargets))
		m.restarts.Go(func() {
			time.Sleep(at)
			m.view.UpdateTargets([]serving.Target{{ID: fmt.Sprint("n", i), Service: "s", Slots: 4}}, []string{old})
			m.view.EndTargets([]string{old})
		})
	}
	var callers sync.WaitGroup
	for _, r := range m.requests {
		callers.Go(r.serve)
	}
	callers.Wait()
	m.restarts.Wait()
	for _, r := range m.requests {
		r.later.Wait()
		r.check()
	}
}

// serve sends the request of one caller, which may leave before it has an answer.
func (r *onceRequest) serve() {
	time.Sleep(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	if r.rng.IntN(8) == 0 {
		at := time.Duration(r.rng.IntN(3000)) * time.Millisecond
		sleep.AfterFunc(at, leave)
	}
	arrived := time.Now()
	r.run.gw.Serve(ctx, r.route, &serving.Request{
		ID: r.id, Arrived: arrived, Deadline: arrived.Add(time.Duration(500+r.rng.IntN(5000)) * time.Millisecond),
		Caller: serving.Caller{Workspace: r.id}, Credential: workspace.Credential{IsSet: true},
	}, &r.caller)
}

// Admit implements Quotas. Each request has a workspace of its own.
func (m *onceRun) Admit(id string) quota.Decision {
	m.requests[id].mu.Lock()
	defer m.requests[id].mu.Unlock()
	m.requests[id].admitted++
	return quota.Decision{IsAdmitted: true}
}

// Refund implements Quotas.
func (m *onceRun) Refund(id string) {
	m.requests[id].mu.Lock()
	defer m.requests[id].mu.Unlock()
	m.requests[id].refunded++
}

// begin records that a target begins with the request.
func (r *onceRequest) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun++
}

// mayBegin has a target begin with the request at once, later or never.
func (r *onceRequest) mayBegin() {
	switch r.rng.IntN(3) {
	case 0:
		r.begin()
	case 1:
		after := time.Duration(r.rng.Int64N(int64(onceLongest)))
		r.later.Go(func() {
			time.Sleep(after)
			r.begin()
		})
	}
}

// Send implements platform.TargetCaller with a random answer. What it returns shows that the request has not begun only if
// that is true.
func (m *onceRun) Send(ctx context.Context, c platform.TargetCall) (*platform.TargetAnswer, error) {
	r := m.requests[c.Request.ID]
	switch {
	case !r.route.IsIdempotent() && r.inDoubt > 0:
		r.fail("sent to %s although it may have run", c.Target.ID)
	case r.inDoubt >= r.route.MaxAttempts:
		r.fail("sent to %s although %d attempts may have run", c.Target.ID, r.inDoubt)
	case c.Once != !r.route.IsIdempotent():
		r.fail("sent with Once %v", c.Once)
	}
	r.inDoubt++
	outcome := onceOutcomes[r.rng.IntN(len(onceOutcomes))]
	r.sends = append(r.sends, c.Target.ID+" "+outcome.name)
	if ctx.Err() != nil {
		r.inDoubt--
		return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanNo)
	}
	if !sleep.For(ctx, time.Duration(r.rng.IntN(80))*time.Millisecond) {
		r.mayBegin() // cancelled while it is written
		return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanUnknown)
	}
	ans, err := outcome.answer(ctx, r, c)
	if err != nil && errs.As(err).Ran == errs.RanNo || err == nil && (ans.NotRun || ans.OtherInstance) {
		r.inDoubt--
	}
	return ans, err
}

// onceOutcomes are the ways in which a target may answer. Rejections are listed several times, since they are what sends a
// request on.
var onceOutcomes = []struct {
	name   string
	answer func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error)
}{
	{"rejects", reject}, {"rejects", reject}, {"rejects", reject}, {"rejects", reject},
	{"is another instance", func(context.Context, *onceRequest, platform.TargetCall) (*platform.TargetAnswer, error) {
		return &platform.TargetAnswer{Status: 421, NotRun: true, OtherInstance: true, Body: http.NoBody}, nil
	}},
	{"refuses the connection", func(ctx context.Context, _ *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		return refuseConnection(ctx, c)
	}},
	{"answers another request", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.mayBegin()
		ans, err := answerOtherRequest(ctx, c)
		ans.Status = []int{200, 421, 429, 503, 500}[r.rng.IntN(5)]
		return ans, err
	}},
	{"loses the answer", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.mayBegin()
		return loseAnswer(ctx, c)
	}},
	{"never answers", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.mayBegin()
		return neverAnswer(ctx, c)
	}},
	{"answers with a status of its own", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.begin()
		return wholeAnswer([]int{408, 429, 503, 500, 504, 400}[r.rng.IntN(6)], "own", nil)(ctx, c)
	}},
	{"breaks off", breakOff}, {"breaks off", breakOff},
	{"answers", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.begin()
		return r.answer(ctx, c, onceEvents, nil)
	}},
	{"answers late", func(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
		r.begin()
		if !sleep.For(ctx, time.Duration(r.rng.IntN(8000))*time.Millisecond) {
			return nil, errs.New(errs.TargetFailed, "cancelled").WithRan(errs.RanUnknown)
		}
		return r.answer(ctx, c, onceEvents, nil)
	}},
}

func reject(ctx context.Context, _ *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
	return refuseRequest(ctx, c)
}

func breakOff(ctx context.Context, r *onceRequest, c platform.TargetCall) (*platform.TargetAnswer, error) {
	r.begin()
	return r.answer(ctx, c, r.rng.IntN(onceEvents), io.ErrUnexpectedEOF)
}

// answer returns an answer of a target: the events of a stream up to last, after the one from which the call resumes, or
// the body of a call. It ends with endErr, nil for a whole answer.
func (r *onceRequest) answer(ctx context.Context, c platform.TargetCall, last int, endErr error) (*platform.TargetAnswer, error) {
	if r.route.Kind != serving.KindStream {
		text := "answer to " + r.id
		return wholeAnswer(200, text[:len(text)*last/onceEvents], endErr)(ctx, c)
	}
	first, pause := 1, time.Duration(r.rng.IntN(60))*time.Millisecond
	if n, err := strconv.Atoi(c.ResumeAfter); err == nil {
		first = n + 1
	}
	body, w := io.Pipe()
	go func() {
		for i := first; i <= last; i++ {
			if !sleep.For(ctx, pause) {
				_ = w.CloseWithError(ctx.Err())
				return
			}
			if _, err := io.WriteString(w, onceEvent(r.id, i)); err != nil {
				return
			}
		}
		_ = w.CloseWithError(endErr)
	}()
	return &platform.TargetAnswer{Status: 200, Header: http.Header{"Content-Type": {eventStreamType}}, Length: -1, Body: body}, nil
}

func onceEvent(request string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s:%d\n\n", i, request, i)
}

// body returns the whole answer to the request.
func (r *onceRequest) body() string {
	if r.route.Kind != serving.KindStream {
		return "answer to " + r.id
	}
	var b strings.Builder
	for i := 1; i <= onceEvents; i++ {
		b.WriteString(onceEvent(r.id, i))
	}
	return b.String()
}

// check reports a failure unless all guarantees were kept.
func (r *onceRequest) check() {
	c := &r.caller
	if !r.route.IsIdempotent() && r.begun > 1 {
		r.fail("began %d times", r.begun)
	}
	if r.begun > r.route.MaxAttempts {
		r.fail("began %d times, the route allows %d", r.begun, r.route.MaxAttempts)
	}
	if c.err != nil && c.err.Ran == errs.RanNo && r.begun > 0 {
		r.fail("answered %v (not run), and began %d times", c.err, r.begun)
	}
	if !r.route.IsIdempotent() && promisesNotRun(c.status) {
		r.fail("answered with the status %d of a target", c.status)
	}
	if r.refunded > 0 && r.begun > 0 || r.refunded > r.admitted {
		r.fail("refunded %d times, began %d times", r.refunded, r.begun)
	}
	if c.headersSent > 1 || c.headersSent == 1 && c.err != nil || c.headersSent == 0 && c.err == nil {
		r.fail("%d headers and error %v", c.headersSent, c.err)
	}
	if got := c.body.String(); c.status == 200 && (!strings.HasPrefix(r.body(), got) || got != r.body() && !c.isAborted) {
		r.fail("answered with %q, aborted %v", got, c.isAborted)
	}
	if len(r.sends) > onceTargets+3 {
		r.fail("sent %d times", len(r.sends))
	}
}

func (r *onceRequest) fail(format string, args ...any) {
	r.run.t.Errorf("seed %d, request %s, %s, %d attempts, resumable %v, sends %q: %s", r.run.seed, r.id, r.route.Kind, r.route.MaxAttempts, r.route.IsResumable, r.sends, fmt.Sprintf(format, args...))
}
