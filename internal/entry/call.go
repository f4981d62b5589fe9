package entry

import (
	"time"

	"arbutusramp/core/choose"
	"arbutusramp/core/errs"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
	"arbutusramp/internal/session"
)

const (
	maxAttempts = 4
	// missingGrace is how long a part may come after the end of its stream. Until its session counts as
	// lost a side may just be off the processor: given up sooner, an answer that was computed breaks.
	missingGrace = session.SilentFor
	// retryGivenUp is when to come back after an error that says nothing better.
	retryGivenUp = time.Second
)

// call runs one request over one or more attempts. The caller of next gets the
// parts of the answer in order, each once, whatever target they come from.
type call struct {
	e        *Entry
	in       accepted
	req      classified
	content  *quarantine.Content
	deadline time.Time
	timer    *sleep.Timer

	// Of the attempt that runs now.
	target *target
	claimed
	stream    *stream
	group     *group
	sentAt    time.Time
	from      int // parts that were there when it began
	firstByte time.Duration

	attempt  int
	tried    []structs.TargetID
	maybeRan bool // an attempt may have reached its target
	progress progress

	head     *structs.Head
	parts    [][]byte
	used     int // of parts
	owed     int // bytes taken and not yet credited
	replayed bool
	failure  *errs.Error // came after parts that are not taken yet
	done     bool
	closed   bool
}

// begin sends the first attempt.
func (c *call) begin(s *scratch) *errs.Error {
	if err := c.e.quarantine.Check(c.content); err != nil {
		return errs.As(err)
	}
	c.e.budget.try(c.in.start)
	c.timer = sleep.NewTimer(c.deadline.Sub(c.in.start))
	return c.start(s)
}

// start sends an attempt. Errors say whether an earlier attempt may have run.
func (c *call) start(s *scratch) *errs.Error {
	route := c.route
	if c.keyed() {
		route = c.routeHome
	}
	t, got, err := route(s)
	if err != nil {
		return err
	}
	c.target, c.claimed = t, got
	if err := c.e.quarantine.AdmitRequest(c.content); err != nil {
		t.release(c.reports)
		return errs.As(err)
	}
	c.stream = newStream(c.progress.next, c.e.set.SessionWindow)
	c.sentAt, c.firstByte, c.from = c.e.now(), 0, c.progress.next
	c.owed = 0
	c.head = nil
	if err = c.session.start(c.stream, c.e.config.Current().Version, c.open(t)); err == nil {
		return nil
	}
	c.stream = nil
	t.release(c.reports)
	return c.retry(s, err)
}

// keyed calls are bound to the target that remembers their key.
func (c *call) keyed() bool { return c.req.nonIdempotent && c.in.key != "" }

func (c *call) open(t *target) *structs.Open {
	o := &structs.Open{
		Request:       c.in.id,
		Target:        t.id,
		Class:         c.in.class,
		Workspace:     c.in.workspace,
		Generate:      c.req.generate,
		Method:        c.req.method,
		Path:          c.req.path,
		Headers:       c.req.headers,
		Body:          c.req.body,
		TimeoutMs:     max(1, c.deadline.Sub(c.sentAt).Milliseconds()),
		NonIdempotent: c.req.nonIdempotent,
		Credit:        c.e.set.SessionWindow,
		Attempt:       c.attempt,
	}
	if c.req.nonIdempotent {
		o.Key, o.KeyIssuedMs = c.in.key, c.in.keyIssuedMs
	}
	if c.req.generate != nil {
		o.ResumeFrom = c.progress.next
		o.PriorText = c.progress.text()
	}
	return o
}

// next returns the next part of the answer. It returns nil, nil after the last.
func (c *call) next() ([]byte, *errs.Error) {
	for c.used == len(c.parts) {
		if c.done {
			return nil, nil
		}
		if err := c.step(); err != nil {
			if err = c.recover(err); err != nil {
				return nil, c.giveUp(err)
			}
		}
	}
	p := c.parts[c.used]
	c.parts[c.used] = nil
	c.used++
	c.owed += len(p)
	return p, nil
}

// ready says that next would not wait.
func (c *call) ready() bool { return c.used < len(c.parts) || c.done }

// step waits for what comes next on the stream of this attempt.
func (c *call) step() *errs.Error {
	if err := c.failure; err != nil {
		c.failure = nil
		return err
	}
	t := c.stream.take(c.parts)
	c.parts, c.used = t.parts, 0
	if t.head != nil {
		c.head = t.head
	}
	if len(t.parts) > 0 || t.head != nil {
		c.sawFirst()
	}
	if err := c.count(t.parts); err != nil {
		return err
	}
	switch {
	case t.err != nil:
		c.failure = t.err
	case t.end != nil && t.end.Err != nil:
		c.failure = t.end.Err
	case t.end != nil:
		c.finish(t.end)
	case len(t.parts) == 0:
		return c.wait(t.missing)
	}
	return nil
}

func (c *call) sawFirst() {
	if c.firstByte == 0 {
		c.firstByte = max(1, c.e.now().Sub(c.sentAt))
	}
}

// count keeps what is needed to resume on another target.
func (c *call) count(parts [][]byte) *errs.Error {
	for _, p := range parts {
		c.progress.next++
		if c.req.generate == nil {
			continue
		}
		if err := c.progress.add(p); err != nil {
			return err
		}
	}
	return nil
}

func (c *call) wait(missing bool) *errs.Error {
	var late <-chan struct{}
	if missing {
		grace := sleep.NewTimer(missingGrace)
		defer grace.Stop()
		late = grace.C
	}
	select {
	case <-c.stream.wake:
		return nil
	case <-late:
		return c.missed()
	case <-c.timer.C:
		return errs.New(errs.DeadlineExceeded, "the deadline has passed before the answer was whole")
	}
}

// missed breaks the stream unless the part came together with the grace's end.
func (c *call) missed() *errs.Error {
	if !c.stream.isMissing() {
		return nil
	}
	return errs.New(errs.StreamBroken, "a part of the answer never came")
}

// finish ends the call after a whole answer.
func (c *call) finish(end *structs.End) {
	c.done = true
	c.replayed = end.Replayed
	c.session.forget(c.stream)
	c.target.release(c.reports)
	c.e.report(c.group, c.target, choose.Outcome{FirstByte: c.firstByte})
	c.e.quarantine.NoteServed(c.content, c.sentAt.Add(c.firstByte))
	c.stream = nil
}

// abandon ends the attempt without a whole answer.
func (c *call) abandon(err *errs.Error) {
	if c.stream == nil {
		return
	}
	c.session.cancel(c.stream)
	c.target.release(c.reports)
	c.stream = nil
	if c.speaksAgainstTarget(err) {
		c.e.report(c.group, c.target, choose.Outcome{Failed: true})
	}
}

// hangAfter is how long a target must have given no byte before a caller's deadline counts
// against it: callers with very short deadlines would else eject targets that are well.
const hangAfter = 2 * time.Second

func (c *call) speaksAgainstTarget(err *errs.Error) bool {
	switch err.Type {
	case errs.TargetFailed, errs.TargetTimeout, errs.TargetCrashed, errs.StreamBroken, errs.SessionLost, errs.BadFrame:
		return true
	case errs.DeadlineExceeded:
		return c.firstByte == 0 && c.e.now().Sub(c.sentAt) >= hangAfter
	}
	return false
}

// credit lets the side send as much as the caller has been written.
func (c *call) credit() {
	if c.stream == nil || c.owed < c.e.set.SessionWindow/4 {
		return
	}
	c.session.credit(c.stream, c.owed)
	c.owed = 0
}

// close gives back what the call holds. It is safe to call twice.
func (c *call) close(err *errs.Error) {
	if c.closed {
		return
	}
	c.closed = true
	if err == nil && !c.done {
		err = errs.New(errs.Cancelled, "the caller has gone")
	}
	if err != nil {
		c.abandon(err)
	}
	c.stopTimer()
	c.e.limits.end(c.in.workspace)
	c.e.rec.ended(c, err)
	c.e.inFlight.Add(-1)
}

func (c *call) stopTimer() {
	if c.timer != nil {
		c.timer.Stop()
	}
}
