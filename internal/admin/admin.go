// Package admin is the administration API: plans, confirms, status and
// configuration, for operators with a key. Every entry serves it, on a listener of
// its own; nothing of it is kept in the process.
package admin

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/intentdoc"
	"arbutusramp/internal/keyring"
	"arbutusramp/internal/problem"
	"arbutusramp/internal/settings"
)

// Paths of the API.
const (
	PathPlan    = "/admin/v1/plan"
	PathConfirm = "/admin/v1/confirm"
	PathStatus  = "/admin/v1/status"
	PathWatch   = "/admin/v1/watch"
	PathConfig  = "/admin/v1/config"
)

// MaxBody bounds a document, bytes.
const MaxBody = 8 << 20

// Config is what the API needs of the configuration's follower.
type Config interface {
	confstate.Source
	// ReadBack returns once the record at v is folded. Errors: errs.LogDown,
	// errs.DeadlineExceeded.
	ReadBack(ctx context.Context, v structs.Version) error
	// Watch returns the State and a channel that is closed when it may have changed.
	Watch() (*confstate.State, <-chan struct{})
	// Fresh reports whether the State is a few seconds old at most.
	Fresh() bool
}

// Options are what an Admin is made of.
type Options struct {
	Self settings.Entry
	// Keys tells whose key an operator's is; nil goes by Self.
	Keys   *keyring.Keyring
	Config Config
	Log    platform.Log
	// View returns what this process knows of fleet and jobs; nil knows nothing.
	View func() plan.View
	// Weights tells the sizes of models that are planned; nil leaves them unknown.
	Weights platform.WeightStore
	Logger  hclog.Logger
	Metrics metrics.Registry
	Clock   func() time.Time // nil for time.Now
}

// Admin serves the administration API.
type Admin struct {
	opts     Options
	log      hclog.Logger
	now      func() time.Time
	stop     chan struct{}
	stopOnce sync.Once
	acts     metrics.Counter
	refusals metrics.Counter
}

// New returns an Admin.
func New(o Options) *Admin {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Logger = cmp.Or(o.Logger, hclog.NewNullLogger())
	o.Metrics = cmp.Or(o.Metrics, metrics.NewRegistry())
	if o.View == nil {
		o.View = func() plan.View { return plan.View{} }
	}
	if o.Keys == nil {
		o.Keys = keyring.New(keyring.Values{OperatorKeySums: o.Self.OperatorKeys, RevokedOperatorKeySums: o.Self.RevokedOperatorKeys})
	}
	return &Admin{
		opts:     o,
		log:      o.Logger,
		now:      o.Clock,
		stop:     make(chan struct{}),
		acts:     metrics.GetOrRegisterCounter("admin.acts", o.Metrics),
		refusals: metrics.GetOrRegisterCounter("admin.refusals", o.Metrics),
	}
}

// Close ends the answers that are held.
func (a *Admin) Close() { a.stopOnce.Do(func() { close(a.stop) }) }

// act is one act of an operator, as the audit log has it.
type act struct {
	operator string
	name     string
	plan     string
	base     structs.Version
}

// Handler serves the API.
func (a *Admin) Handler(ctx *fasthttp.RequestCtx) {
	by := act{name: strings.TrimPrefix(string(ctx.Path()), "/admin/v1/")}
	var err error
	if by.operator, err = a.operator(ctx); err == nil {
		err = a.route(ctx, &by)
	}
	if err != nil {
		a.refusals.Inc(1)
		problem.Write(ctx, errs.As(err))
	}
	a.audit(ctx, by, err)
}

func (a *Admin) route(ctx *fasthttp.RequestCtx, by *act) error {
	path := string(ctx.Path())
	method := fasthttp.MethodGet
	if path == PathPlan || path == PathConfirm {
		method = fasthttp.MethodPost
	}
	serve, ok := map[string]func(*fasthttp.RequestCtx, *act) error{
		PathPlan:    a.servePlan,
		PathConfirm: a.serveConfirm,
		PathStatus:  a.serveStatus,
		PathWatch:   a.serveWatch,
		PathConfig:  a.serveConfig,
	}[path]
	if !ok {
		return errs.Newf(errs.NotFound, "no path %q in the administration API", path)
	}
	if got := string(ctx.Method()); got != method {
		return errs.Newf(errs.BadRequest, "%s takes %s, not %s", path, method, got)
	}
	if len(ctx.PostBody()) > MaxBody {
		return errs.Newf(errs.BodyTooLarge, "a document has %d bytes at most", MaxBody)
	}
	return serve(ctx, by)
}

func (a *Admin) servePlan(ctx *fasthttp.RequestCtx, by *act) error {
	file := cmp.Or(string(ctx.QueryArgs().Peek("file")), "intents")
	intents, err := intentdoc.Parse(file, ctx.PostBody())
	if err != nil {
		return err
	}
	state := a.opts.Config.Current()
	p, err := plan.Make(state, a.view(state, intents), intents, by.operator, a.now().UnixMilli())
	if err != nil {
		return err
	}
	by.plan = p.ID
	by.base = p.Base
	return writeJSON(ctx, p)
}

func (a *Admin) serveConfirm(ctx *fasthttp.RequestCtx, by *act) error {
	var p plan.Plan
	if err := json.Unmarshal(ctx.PostBody(), &p); err != nil {
		return errs.Newf(errs.BadRequest, "the plan is not the document that was given out: %v", err)
	}
	by.plan = p.ID
	by.base = p.Base
	limited, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	out, err := a.confirm(limited, &p, by.operator)
	if err != nil {
		return err
	}
	return writeJSON(ctx, Confirmed{Plan: p.ID, Version: out.Version, Operator: out.Operator})
}

// Confirmed is the answer to a confirm that holds.
type Confirmed struct {
	Plan    string          `json:"plan"`
	Version structs.Version `json:"version"` // from which on it is in force
	// Operator is who confirmed it first.
	Operator string `json:"operator"`
}

func (a *Admin) serveConfig(ctx *fasthttp.RequestCtx, _ *act) error {
	return writeJSON(ctx, a.opts.Config.Current())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return errs.New(errs.Internal, err.Error())
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
	return nil
}

// audit writes one line for each act that changes or shows what only operators
// may see. A watch is held for long and would fill the log: only its refusal is written.
func (a *Admin) audit(ctx *fasthttp.RequestCtx, by act, err error) {
	a.acts.Inc(1)
	outcome := "ok"
	if err != nil {
		outcome = string(errs.As(err).Type)
	}
	args := []any{"act", by.name, "operator", by.operator, "from", ctx.RemoteAddr().String(), "outcome", outcome}
	if by.plan != "" {
		args = append(args, "plan", by.plan, "base", by.base)
	}
	if err != nil {
		args = append(args, "detail", errs.As(err).Detail)
	}
	if by.name == "watch" && err == nil {
		return
	}
	a.log.Info("audit", args...)
}
