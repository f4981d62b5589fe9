package side

import "arbutusramp/core/errs"

// One line for each decision. Starts are so many that their arguments are
// only made when the level is on.

func (s *Side) logCall(decision string, c *call) {
	s.metrics.started.Inc(1)
	if !s.log.IsDebug() {
		return
	}
	s.log.Debug(decision, "request", c.open.Request, "class", c.open.Class, "entry", c.peer.host,
		"target", s.target.ID, "attempt", c.open.Attempt)
}

func (s *Side) logRefusal(c *call, err *errs.Error) {
	s.metrics.refused.Inc(1)
	if !s.log.IsDebug() {
		return
	}
	s.log.Debug("refuse", "request", c.open.Request, "entry", c.peer.host, "target", s.target.ID,
		"type", err.Type, "ran", err.Ran, "why", err.Detail, "retry_after_ms", err.RetryAfterMs)
}

func (s *Side) logResume(c *call, position int, err *errs.Error) {
	s.metrics.resumed.Inc(1)
	s.log.Info("resume", "request", c.open.Request, "target", s.target.ID, "position", position, "why", err)
}

func (s *Side) logItem(decision string, i *item, err *errs.Error) {
	if !s.log.IsDebug() {
		return
	}
	ref := i.reference()
	s.log.Debug(decision, "job", ref.Job, "index", ref.Index, "attempt", ref.Attempt,
		"epoch", ref.Epoch, "target", s.target.ID, "type", typeOf(err))
}

func typeOf(err *errs.Error) errs.Type {
	if err == nil {
		return ""
	}
	return err.Type
}
