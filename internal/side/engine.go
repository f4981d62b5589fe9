package side

import (
	"bytes"
	"context"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// maxResumes is how often a broken online stream is resumed at this engine.
	maxResumes = 2
	// resumeDelay is the pause before a resume; an engine that restarts needs a moment.
	resumeDelay = 50 * time.Millisecond
)

// generation is one generation at the engine, over its resumes.
type generation struct {
	engine platform.Engine
	call   platform.GenerateCall
	// began is when the engine was last given the request.
	began time.Time
	done  progress
	guard *guard
	// handed says that the engine was given the request at least once.
	handed bool
	// fresh says that no token of the present run has come.
	fresh bool
	// emit takes each new token once and in order. It may block for the caller's credit.
	emit func(t platform.Token) error
	// diagnose names a failure, and says whether a broken stream is worth a resume here.
	diagnose func(err *errs.Error) (failure *errs.Error, canResume bool)
	// resuming is called before each resume.
	resuming func(err *errs.Error)
}

// attempt hands the request to the engine from the position that is reached. Late
// and doubled tokens are dropped; a gap breaks the stream, since an answer with a
// hole must not look whole.
func (g *generation) attempt() error {
	g.call.ResumeFrom = g.done.next
	g.call.PriorText = g.done.text.String()
	g.began = time.Now()
	err := g.engine.Generate(g.guard.ctx, g.call, g.take)
	if err == nil {
		return nil
	}
	failure := ranErr(errs.As(err), g.handed)
	if cause := g.guard.cause(); cause != nil && failure.Ran != errs.RanNo {
		g.handed = true
		return cause.WithRan(errs.RanUnknown)
	}
	g.handed = g.handed || failure.Ran != errs.RanNo
	return failure
}

func (g *generation) take(t platform.Token) error {
	if err := context.Cause(g.guard.ctx); err != nil {
		return err
	}
	g.guard.touch()
	g.handed = true
	if t.Pos < g.done.next {
		return nil
	}
	if t.Pos > g.done.next {
		return errs.Newf(errs.StreamBroken, "token %d came after token %d", t.Pos, g.done.next-1)
	}
	g.done.add(t.Data)
	return g.emit(t)
}

// run attempts until the stream is whole, with as many resumes as times at most. Error: *errs.Error.
func (g *generation) run(times int) error {
	for try := 0; ; try++ {
		err := g.attempt()
		if err == nil {
			return nil
		}
		failure, canResume := g.diagnose(errs.As(err))
		if try >= times || g.guard.cause() != nil || !resumable(failure) || !canResume {
			return failure
		}
		g.resuming(failure)
		if !sleep.For(g.guard.ctx, resumeDelay) {
			return errs.As(context.Cause(g.guard.ctx)).WithRan(errs.RanUnknown)
		}
	}
}

// resumable says that the stream broke after the engine had it. A request that the engine
// never had is better tried at another target.
func resumable(err *errs.Error) bool {
	broke := err.Type == errs.StreamBroken || err.Type == errs.TargetFailed
	return broke && err.Ran != errs.RanNo
}

// generate runs an online model request.
func (c *call) generate(g *guard) {
	gen := &generation{
		engine: c.s.o.Engine,
		guard:  g,
		call: platform.GenerateCall{
			Request: c.open.Request,
			Path:    c.open.Path,
			Body:    c.open.Body,
		},
	}
	gen.done.resume(c.open.ResumeFrom, c.open.PriorText)
	gen.emit = c.emitter(g, &gen.done)
	gen.diagnose = func(err *errs.Error) (*errs.Error, bool) {
		failure, process := c.s.diagnose(err, gen.began)
		// The request may be why a process has gone; its entry counts that before the request is sent again.
		return failure, process == platform.ProbeAlive && !c.open.NonIdempotent
	}
	gen.resuming = func(err *errs.Error) { c.s.logResume(c, gen.done.next, err) }
	c.generated(gen, gen.run(maxResumes))
}

// emitter relays tokens; the engine's stream is read no further while the caller has no credit.
func (c *call) emitter(g *guard, done *progress) func(platform.Token) error {
	first := true
	return func(t platform.Token) error {
		if first {
			first = false
			c.s.queue.firstToken(c.id)
			c.s.targetAnswered()
			c.s.prefixes.add(c.open.Generate.Prefixes)
			c.sendHead(200, nil)
		} else {
			c.s.queue.token(c.id)
		}
		if !c.window.tryTake(len(t.Data)) {
			g.stall()
			if err := c.window.take(g.ctx, len(t.Data)); err != nil {
				return err
			}
			g.touch()
		}
		c.sendData(done.next-1, bytes.Clone(t.Data))
		return nil
	}
}

func (c *call) generated(gen *generation, err error) {
	if err == nil {
		if c.keyed {
			c.s.keys.finish(c.key, unkept())
		}
		c.s.queue.ended(c.id, admit.Finished)
		c.end(nil, gen.done.next)
		return
	}
	failure := errs.As(err)
	c.s.targetFailed(failure)
	if c.keyed && failure.Ran != errs.RanNo {
		c.s.keys.finish(c.key, unkept())
	}
	c.s.queue.ended(c.id, outcomeOf(failure))
	c.end(failure, gen.done.next)
}

// unkept is the answer of a stream with a key: it ran, and streams are not kept.
func unkept() dedup.Answer {
	return dedup.Answer{Err: errs.New(errs.KeyUnverifiable, "the request ran; streamed answers are not kept")}
}
