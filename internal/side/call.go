package side

import (
	"sync"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// call is one online request of one stream.
type call struct {
	s        *Side
	peer     *peer
	stream   uint64
	open     *structs.Open
	id       admit.ID
	deadline time.Time // zero: none
	key      dedup.Key
	keyed    bool
	window   window

	mu       sync.Mutex
	stopped  *errs.Error // why the call is to stop, set once
	guard    *guard      // set while the call is at the target or waits for credit
	relaying bool        // the whole answer is here
	ended    bool        // End is sent
}

func newCall(s *Side, p *peer, stream uint64, o *structs.Open) *call {
	c := &call{s: s, peer: p, stream: stream, open: o, id: s.queue.newID()}
	c.window.credit = o.Credit
	if o.TimeoutMs > 0 {
		c.deadline = time.Now().Add(time.Duration(o.TimeoutMs) * time.Millisecond)
	}
	return c
}

// request is what the policy is told.
func (c *call) request() admit.Request {
	r := admit.Request{ID: c.id, Class: c.open.Class, Workspace: c.open.Workspace, Deadline: c.deadline}
	if g := c.open.Generate; g != nil {
		r.PromptTokens = g.PromptTokens
		r.MaxTokens = g.MaxTokens
		r.Generated = c.open.ResumeFrom
	}
	return r
}

// start implements task.
func (c *call) start() {
	g := c.begin()
	if g == nil {
		c.s.queue.ended(c.id, admit.Stopped)
		c.end(c.why().WithRan(errs.RanNo), 0)
		return
	}
	defer g.stop()
	c.s.logCall("start", c)
	if c.open.Generate != nil {
		c.generate(g)
		return
	}
	c.callService(g)
}

// begin makes the guard of the run, or returns nil if the call was stopped before.
func (c *call) begin() *guard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped != nil {
		return nil
	}
	c.guard = newGuard(c.s.base, c.s.o.Settings.TargetBudget, c.deadline)
	return c.guard
}

func (c *call) why() *errs.Error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped == nil {
		return errs.New(errs.Cancelled, "the request was stopped")
	}
	return c.stopped
}

// stop ends the call for a reason that is not the target's.
func (c *call) stop(err *errs.Error) {
	if c.markStopped(err) {
		c.withdraw(err)
	}
}

// markStopped has the call not start any more. It reports false if the call has
// ended or was stopped before.
func (c *call) markStopped(err *errs.Error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped != nil || c.ended {
		return false
	}
	c.stopped = err
	return true
}

// withdraw stops a marked call wherever it is. If it was still queued it was not run.
func (c *call) withdraw(err *errs.Error) {
	c.mu.Lock()
	if c.guard != nil && !c.keepsRunning() {
		c.guard.cancel(err)
	}
	c.mu.Unlock()
	if c.s.queue.withdraw(c.id) {
		c.end(err.WithRan(errs.RanNo), 0)
	}
}

// keepsRunning says that the run goes on without its caller: a call that must
// not be repeated has its effect anyway, and its answer is kept for the resend.
func (c *call) keepsRunning() bool {
	return c.keyed && c.open.Generate == nil && !c.relaying
}

// beginRelay reports whether anybody still wants the answer.
func (c *call) beginRelay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.relaying = true
	return c.stopped == nil
}

// preempt implements task. Online calls are never preempted by the policy; it
// asks for this after stop, which has already cancelled the run.
func (c *call) preempt() {}

// refuse implements task.
func (c *call) refuse(err *errs.Error) {
	c.s.logRefusal(c, err)
	c.end(err, 0)
}

// end sends End once and forgets the call.
func (c *call) end(err *errs.Error, parts int) {
	c.finish(&structs.End{Err: err, Parts: parts})
}

func (c *call) finish(e *structs.End) {
	c.mu.Lock()
	ended := c.ended
	c.ended = true
	c.mu.Unlock()
	if ended {
		return
	}
	if c.keyed && e.Err != nil && e.Err.Ran == errs.RanNo {
		c.s.keys.abandon(c.key)
	}
	e.Load = c.s.load()
	c.peer.send(&structs.Frame{Stream: c.stream, Version: c.s.config.version(), End: e})
	c.peer.forget(c.stream)
	c.s.left()
}

// ranErr says what an error at the target means for whether the request ran. Only a
// refused connection of the very first attempt proves that nothing was passed on.
func ranErr(err *errs.Error, handedBefore bool) *errs.Error {
	if err.Ran != errs.RanNo {
		return err
	}
	if err.Type == errs.TargetFailed && !handedBefore {
		return err
	}
	return err.WithRan(errs.RanUnknown)
}
