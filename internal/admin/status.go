package admin

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/sleep"
)

const (
	maxWatch = 55 * time.Second
	// watchEvery is how often the fleet is compared during a watch; a change of
	// configuration is seen at once.
	watchEvery = 500 * time.Millisecond
)

// Status is confirmed against actual, as this entry knows it.
type Status struct {
	reconcile.Status
	// Partial says that this entry sees a part of the fleet only.
	Partial bool `json:"partial,omitempty"`
	// Fresh says that the configuration is a few seconds old at most.
	Fresh bool `json:"fresh"`
	// Tag changes with the content; /watch waits for another one.
	Tag string `json:"tag"`
}

func (a *Admin) status() (Status, error) {
	view := a.opts.View()
	st := Status{
		Status:  reconcile.Compare(a.opts.Config.Current(), view.Fleet),
		Partial: view.Partial,
		Fresh:   a.opts.Config.Fresh(),
	}
	b, err := json.Marshal(st)
	if err != nil {
		return st, errs.New(errs.Internal, err.Error())
	}
	st.Tag = strconv.FormatUint(xxhash.Sum64(b), 36)
	return st, nil
}

func (a *Admin) serveStatus(ctx *fasthttp.RequestCtx, _ *act) error {
	st, err := a.status()
	if err != nil {
		return err
	}
	return writeJSON(ctx, st)
}

// serveWatch answers with the status as soon as its tag is not the one given, or
// after wait.
func (a *Admin) serveWatch(ctx *fasthttp.RequestCtx, _ *act) error {
	after := string(ctx.QueryArgs().Peek("tag"))
	wait := maxWatch
	if given := string(ctx.QueryArgs().Peek("wait")); given != "" {
		d, err := time.ParseDuration(given)
		if err != nil || d < 0 {
			return errs.Newf(errs.BadRequest, "wait=%.20q is no time such as 30s", given)
		}
		wait = min(wait, d)
	}
	return a.watch(ctx, after, wait)
}

func (a *Admin) watch(ctx *fasthttp.RequestCtx, after string, wait time.Duration) error {
	end := sleep.NewTimer(wait)
	defer end.Stop()
	look := sleep.NewTimer(watchEvery)
	defer look.Stop()
	for over := false; ; {
		_, changed := a.opts.Config.Watch()
		st, err := a.status()
		if err != nil {
			return err
		}
		if over || st.Tag != after {
			return writeJSON(ctx, st)
		}
		select {
		case <-changed:
		case <-look.C:
			look.Reset(watchEvery)
		case <-end.C:
			over = true
		case <-a.stop:
			over = true
		}
	}
}
