package admin

import (
	"context"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/plan"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	confirmTimeout = 10 * time.Second
	// appendTries bounds how often a record is sent whose answer was lost. Each copy has the
	// same identity; the fold ignores all but the first.
	appendTries = 4
	appendPause = 100 * time.Millisecond
	// appendTimeout bounds one try: a log that accepts and never answers
	// would else hold the operator for the whole timeout.
	appendTimeout = 2 * time.Second
	// lookFor is how long the outcome of a record is looked for whose append was never answered.
	lookFor = 2 * time.Second
	// comeBack is when an operator should try again while the log is down.
	comeBack = 5 * time.Second
)

// confirm decides p through the log and returns the outcome that holds. It answers
// only what was read back from the log, so the answer is the same at every
// entry. Errors: errs.BadRequest, errs.StalePlan with what came first, errs.Conflict,
// errs.LogDown (nothing is in the log), errs.AppendUnknown (the same confirm may be sent again).
func (a *Admin) confirm(ctx context.Context, p *plan.Plan, operator string) (confstate.Outcome, error) {
	if err := p.Check(); err != nil {
		return confstate.Outcome{}, err
	}
	s := a.opts.Config.Current()
	if out, decided := s.Outcomes[p.ID]; decided {
		return outcome(out)
	}
	if err := refuseStale(s, p); err != nil {
		return confstate.Outcome{}, err
	}
	body, err := confstate.EncodeConfirm(p.Confirm(operator, a.now().UnixMilli()))
	if err != nil {
		return confstate.Outcome{}, err
	}
	v, err := a.append(ctx, body)
	if err != nil {
		return a.afterUnknown(ctx, p, err)
	}
	if err := a.opts.Config.ReadBack(ctx, v); err != nil {
		return confstate.Outcome{}, unknown("it was appended, but could not be read back")
	}
	return a.decided(p)
}

// refuseStale spares the log a record that can't hold. The fold would void it all the same.
func refuseStale(s *confstate.State, p *plan.Plan) error {
	if first := p.Conflict(s); first != nil {
		return stale(p, first)
	}
	if p.Base < s.Forgot {
		return tooOld(p, s)
	}
	return nil
}

func stale(p *plan.Plan, first *confstate.First) error {
	return errs.Newf(errs.StalePlan, "plan %.12s: %s was changed first, at version %d by %s; plan again",
		p.ID, first.Object, first.Version, first.Operator)
}

func tooOld(p *plan.Plan, s *confstate.State) error {
	return errs.Newf(errs.StalePlan, "plan %.12s was made from version %d; outcomes are remembered from %d on; plan again",
		p.ID, p.Base, s.Forgot)
}

// decided returns the outcome of a record that is folded.
func (a *Admin) decided(p *plan.Plan) (confstate.Outcome, error) {
	s := a.opts.Config.Current()
	if out, ok := s.Outcomes[p.ID]; ok {
		return outcome(out)
	}
	return confstate.Outcome{}, tooOld(p, s)
}

func outcome(out confstate.Outcome) (confstate.Outcome, error) {
	if out.Err != nil {
		return out, out.Err
	}
	return out, nil
}

// append appends body, again if the answer was lost.
func (a *Admin) append(ctx context.Context, body []byte) (structs.Version, error) {
	mayBeIn := false
	for try := range appendTries {
		if try > 0 && !sleep.For(ctx, appendPause) {
			break
		}
		off, err := a.appendOnce(ctx, body)
		switch {
		case err == nil:
			return structs.Version(off), nil
		case errs.Is(err, errs.LogDown) && !mayBeIn:
			return 0, errs.New(errs.LogDown, "the log service is down; nothing was appended").WithRetry(comeBack)
		case !errs.Is(err, errs.LogBusy) && !errs.Is(err, errs.LogDown):
			mayBeIn = true
		}
	}
	if !mayBeIn {
		return 0, errs.New(errs.LogBusy, "the log service takes no more now; nothing was appended").WithRetry(comeBack)
	}
	return 0, unknown("the log service did not answer")
}

func (a *Admin) appendOnce(ctx context.Context, body []byte) (structs.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.opts.Log.Append(ctx, structs.ConfigStream, body)
}

// afterUnknown looks for the outcome of a record that may be in the log. Nothing
// but the record itself can tell.
func (a *Admin) afterUnknown(ctx context.Context, p *plan.Plan, err error) (confstate.Outcome, error) {
	if !errs.Is(err, errs.AppendUnknown) {
		return confstate.Outcome{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, lookFor)
	defer cancel()
	for {
		s, changed := a.opts.Config.Watch()
		if out, ok := s.Outcomes[p.ID]; ok {
			return outcome(out)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return confstate.Outcome{}, err
		}
	}
}

func unknown(why string) error {
	return errs.New(errs.AppendUnknown, why+"; send the same confirm again, it counts once").WithRetry(comeBack)
}
