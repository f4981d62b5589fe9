package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/events"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

const (
	// maxHeld is how much of an answer that is no stream is read before its header is
	// passed on, so that an answer that breaks off can be asked for again elsewhere.
	maxHeld = 1 << 20
	// watchEvery is how often an attempt looks at whether its target has fallen silent.
	watchEvery = 60 * time.Millisecond
	// streamPatience is how long an attempt of a request that may go on elsewhere waits for the next
	// part of its answer although its target answers others: an answer can get lost. Longer
	// than queues are as a rule, so that overload does not send every request twice; and at least twice as long as
	// targets that work may be silent.
	streamPatience = time.Second
	// callPatience is the same for plain calls, in case their route's goal is shorter.
	callPatience = 250 * time.Millisecond
	// slowWrite is how long the caller of a stream takes for one part when it reads too slowly: what the target makes meanwhile is unread, and
	// targets cut off answers that stay unread.
	slowWrite = time.Second
	// eventStream is the media type of streamed answers.
	eventStream = "text/event-stream"
)

// attempt is a request at one target.
type attempt struct {
	*exchange
	run    *fleetview.Run
	cancel context.CancelFunc
	// from is the id of the event after which the target was asked to go on; empty from the start.
	from string
	// isSilent is set by the watcher when it cancels the attempt.
	isSilent atomic.Bool
	// heard is when the last part of the answer came, or the request was sent, in
	// nanoseconds since the request's arrival: the time of day may jump.
	heard atomic.Int64
	// isWriting says that the caller is being written to: the target is not read meanwhile.
	isWriting atomic.Bool
	// readLate says that the target was last read only after the caller had taken slowWrite for a part.
	readLate bool
}

func (a *attempt) do(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	sent := time.Now()
	a.heard.Store(int64(sent.Sub(a.req.Arrived)))
	a.mayHaveRun++
	a.from = a.lastID
	a.stages.noteSent(sent)
	a.logSent(sent)
	canMove := a.route.Idempotent() && a.mayHaveRun < a.route.Attempts
	stop := a.watch(ctx, sent, canMove)
	defer stop()
	a.run.WhenEnded(a.cancel)
	ans, err := a.gw.targets.Send(ctx, platform.TargetCall{
		Target: a.run.Target, Request: a.req, TimeLeft: a.until.Sub(sent),
		ResumeAfter: a.from, Once: !a.route.Idempotent(),
	})
	if err != nil {
		return a.failed(ctx, err)
	}
	defer ans.Body.Close()
	if err := a.refused(ans); err != nil {
		return err
	}
	a.noteActivity()
	if isStream(ans) {
		return a.relayStream(ctx, ans)
	}
	return a.relayWhole(ctx, ans)
}

// watch cancels an attempt whose target keeps silent, if the request may move to another. The
// target of one that may not becomes suspect, and the request waits on: its answer may be made.
// Only a target of streams is judged by its silence: it sends something all the time while it
// works. One plain call that takes long says nothing of its target.
func (a *attempt) watch(ctx context.Context, sent time.Time, canMove bool) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for sleep.For(ctx, watchEvery) {
			if a.isWriting.Load() {
				continue
			}
			silent := a.route.Kind == serving.KindStream && a.run.IsIdle(sent)
			if silent {
				a.suspect("silent")
			}
			if !silent && !a.isOverdue() {
				continue
			}
			if canMove {
				a.isSilent.Store(true)
				a.cancel()
				return
			}
		}
	}()
	return cancel
}

// isOverdue says that this answer alone is missing.
func (a *attempt) isOverdue() bool {
	patience := max(streamPatience, 2*a.run.IdleLimit())
	if a.route.Kind == serving.KindSafe {
		patience = max(callPatience, a.route.Goal*3/2)
	}
	return time.Since(a.req.Arrived)-time.Duration(a.heard.Load()) > patience+a.run.QueueWait()
}

// noteActivity notes a part of the answer.
func (a *attempt) noteActivity() {
	a.heard.Store(int64(time.Since(a.req.Arrived)))
	a.run.NoteActivity()
}

// logSent writes where the request goes before it does. The line at its end is missing when this process
// is killed under it: then this is all that says where it was.
func (a *attempt) logSent(now time.Time) {
	a.gw.sent.Info(now, "sent", "request", a.req.ID, "route", a.route.Name, "attempt", len(a.tried), "target", a.run.Choice.String(),
		"after_event", a.lastID, "left_ms", a.until.Sub(now).Milliseconds())
}

// suspect counts a failure against the target and logs when that changes what is believed of it.
func (a *attempt) suspect(why string) {
	if a.run.Failed() {
		a.gw.log.Warn("target suspect", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", why, "request", a.req.ID)
	}
}

// endedHere is the failure of an attempt that was not ended by its target: of the given type if the target
// was silent for too long. It is nil if the target has ended it.
func (a *attempt) endedHere(ctx context.Context, silent errs.Type) error {
	if a.run.HasEnded() {
		err := errs.New(errs.StreamBroken, "the target has started again").WithRan(errs.RanUnknown)
		a.brokenOff(err)
		return err
	}
	if a.isSilent.Load() {
		err := errs.New(silent, "the target has sent nothing for too long")
		a.gw.quarantine.FellSilent(a.brokenRun(err))
		return err
	}
	if ctx.Err() != nil {
		return errs.Newf(errs.Cancelled, "%v", ctx.Err())
	}
	return nil
}

// failed is the failure of a request that got no answer.
func (a *attempt) failed(ctx context.Context, err error) error {
	if ended := a.endedHere(ctx, errs.TargetFailed); ended != nil {
		return ended
	}
	a.suspect(err.Error())
	if errs.As(err).Ran == errs.RanNo {
		a.mayHaveRun--
		return err
	}
	a.brokenOff(err)
	return err
}

// refused tells an answer by which the target says that it has not begun with the request, or one
// that belongs to another request.
func (a *attempt) refused(ans *platform.TargetAnswer) error {
	switch {
	case ans.OtherInstance:
		a.mayHaveRun--
		a.gw.view.Drop(a.run.Target.ID)
		a.gw.log.Warn("target gone", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", "another instance answers", "request", a.req.ID)
		return errs.New(errs.TargetFailed, "another target has the address").WithRan(errs.RanNo)
	case ans.NotRun:
		a.mayHaveRun--
		a.run.NoteActivity()
		return errs.Newf(errs.TargetFailed, "the target refuses the request with %d", ans.Status).WithRan(errs.RanNo)
	case ans.Foreign:
		a.cancel() // the connection is out of step: it must not be used again
		return errs.New(errs.TargetFailed, "the answer belongs to another request")
	}
	return nil
}

func isStream(ans *platform.TargetAnswer) bool {
	return ans.Status == http.StatusOK && strings.HasPrefix(ans.Header.Get("Content-Type"), eventStream)
}

// relayStream passes events on one by one, whole, so that the stream can go on after any of them.
// The header waits for the first event: until then the request can still fail over.
func (a *attempt) relayStream(ctx context.Context, ans *platform.TargetAnswer) error {
	in := events.NewReader(ans.Body)
	for hasPassed := false; ; {
		e, err := in.Next()
		if err == io.EOF {
			a.begin(ans, -1) // a stream without events has a header, too
			return nil
		}
		if err != nil {
			return a.broken(ctx, err)
		}
		a.noteActivity()
		if sinceFirst := a.run.Event(); !hasPassed && sinceFirst >= quarantine.PassTime {
			hasPassed = true
			a.gw.quarantine.Passed(a.content)
		}
		a.begin(ans, -1)
		if err := a.write(e.Raw); err != nil {
			return err
		}
		if e.ID != "" {
			a.lastID = e.ID
		}
	}
}

// begin sends the header, once for all attempts: a stream that goes on keeps its first one.
func (a *attempt) begin(ans *platform.TargetAnswer, length int64) {
	if a.begun {
		return
	}
	a.begun = true
	a.stages.noteFirst(time.Now())
	a.out.Begin(ans.Status, ans.Header, length)
}

// broken is the failure of an answer that has broken off.
func (a *attempt) broken(ctx context.Context, err error) error {
	if ended := a.endedHere(ctx, errs.StreamBroken); ended != nil {
		return ended
	}
	if a.readLate {
		return errs.Newf(errs.StreamBroken, "the answer was cut off while its caller read too slowly: %v", err)
	}
	a.suspect(err.Error())
	a.brokenOff(err)
	return errs.Newf(errs.StreamBroken, "the answer has broken off: %v", err)
}

// brokenOff notes that the target has broken off the request, or its answer, or has ended under it.
func (a *attempt) brokenOff(err error) { a.gw.quarantine.BrokenOff(a.brokenRun(err)) }

// brokenRun is the attempt as the quarantine is told of it.
func (a *attempt) brokenRun(err error) quarantine.Broken {
	return quarantine.Broken{
		Content: a.content, Target: a.run.Target, Start: a.run.Target.ID, Began: a.run.Began(), From: a.from, To: a.lastID,
		HasPassed: a.run.AnsweredFor() >= quarantine.PassTime, HasCrashed: a.run.HasEnded(), Err: err,
	}
}

// relayWhole passes on an answer that is no stream. It is held until it is complete, up to
// maxHeld, so that a broken one can be asked for again.
func (a *attempt) relayWhole(ctx context.Context, ans *platform.TargetAnswer) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxHeld))
	if err != nil {
		return a.broken(ctx, err)
	}
	a.noteActivity()
	if ans.Status >= http.StatusInternalServerError && a.retryFailed() {
		return errs.Newf(errs.TargetFailed, "the target answers %d", ans.Status)
	}
	if a.begun {
		return errs.Newf(errs.StreamBroken, "the next target answers %d within a stream", ans.Status)
	}
	if len(body) < maxHeld {
		a.begin(ans, int64(len(body)))
		return a.write(body)
	}
	a.begin(ans, ans.Length)
	if err := a.write(body); err != nil {
		return err
	}
	return a.copyRest(ctx, ans)
}

// retryFailed says whether a target's own failure is followed by another attempt. The answer of
// the last attempt goes to the caller as it is.
func (a *attempt) retryFailed() bool {
	return a.route.Kind == serving.KindSafe && a.mayHaveRun < a.route.Attempts
}

// write passes a part on to the caller, and takes as long as that does.
func (a *attempt) write(p []byte) error {
	began := time.Now()
	a.isWriting.Store(true)
	err := a.out.Write(p)
	took := time.Since(began)
	a.readLate = took >= slowWrite
	if took >= watchEvery {
		a.noteActivity() // that it was not read is no silence of the target
	}
	a.isWriting.Store(false)
	if err != nil {
		return errs.Newf(errs.Cancelled, "the caller has gone: %v", err)
	}
	return nil
}

func (a *attempt) copyRest(ctx context.Context, ans *platform.TargetAnswer) error {
	buf := make([]byte, 32<<10)
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			if err := a.write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.broken(ctx, err)
		}
	}
}
