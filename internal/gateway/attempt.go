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
	// maxBufferedBytes is how many bytes of a non-streamed answer are read before its header is passed on, so
	// that an incomplete answer can be requested again from another target.
	maxBufferedBytes = 1 << 20
	// idleCheckInterval is how often an attempt checks whether its target has stopped sending.
	idleCheckInterval = 60 * time.Millisecond
	// minStreamAnswerTimeout is the minimum time that an attempt of a retryable stream request waits for the
	// next part of its answer although its target answers other requests: an answer can get lost. It is
	// longer than the usual wait in a queue, so that an overload does not send every request twice. The
	// timeout is also at least twice as long as a working target may send nothing.
	minStreamAnswerTimeout = time.Second
	// minCallAnswerTimeout is the same minimum for plain calls whose route has a shorter goal.
	minCallAnswerTimeout = 250 * time.Millisecond
	// slowWriteThreshold is the duration of one write from which the caller of a stream counts as too slow.
	// The answer of the target is not read during the write, and targets cut off answers that stay unread.
	slowWriteThreshold = time.Second
	// eventStreamType is the media type of streamed answers.
	eventStreamType = "text/event-stream"
)

// attempt is one execution of a request at one target.
type attempt struct {
	*exchange
	run    *fleetview.Run
	cancel context.CancelFunc
	// resumedAfter is the id of the event after which the target was asked to resume; empty for a run from
	// the beginning.
	resumedAfter string
	// hasTimedOut is set by the watcher when it cancels the attempt.
	hasTimedOut atomic.Bool
	// lastActivity is when the last part of the answer arrived, or when the request was sent, in nanoseconds
	// since the arrival of the request. It is not a wall-clock time, because the wall clock may jump.
	lastActivity atomic.Int64
	// isWriting is true during a write to the caller. The target is not read meanwhile.
	isWriting atomic.Bool
	// isReadLate is true if the last write to the caller took at least slowWriteThreshold, so that the target
	// was read late.
	isReadLate bool
}

// sendAndRelay sends the request to the target and relays the answer to the caller.
func (a *attempt) sendAndRelay(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	sentAt := time.Now()
	a.lastActivity.Store(int64(sentAt.Sub(a.req.Arrived)))
	a.possibleRuns++
	a.resumedAfter = a.lastEventID
	a.stages.noteSent(sentAt)
	a.logSent(sentAt)
	canRetryElsewhere := a.route.Idempotent() && a.possibleRuns < a.route.Attempts
	stop := a.watchIdle(ctx, sentAt, canRetryElsewhere)
	defer stop()
	a.run.WhenEnded(a.cancel)
	ans, err := a.gw.targets.Send(ctx, platform.TargetCall{
		Target: a.run.Target, Request: a.req, TimeLeft: a.deadline.Sub(sentAt),
		ResumeAfter: a.resumedAfter, Once: !a.route.Idempotent(),
	})
	if err != nil {
		return a.sendError(ctx, err)
	}
	defer ans.Body.Close()
	if err := a.refusalError(ans); err != nil {
		return err
	}
	a.noteActivity()
	if isStream(ans) {
		return a.relayStream(ctx, ans)
	}
	return a.relayWhole(ctx, ans)
}

// watchIdle cancels an attempt whose target has stopped sending, if the request may be retried at another
// target. If it may not, the target is only marked suspect and the attempt continues to wait, since its answer
// may still come. Only silence in streams counts against a target: a target sends stream events continuously
// while it works. A single plain call that takes long does not show that its target has failed.
func (a *attempt) watchIdle(ctx context.Context, sentAt time.Time, canRetryElsewhere bool) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for sleep.For(ctx, idleCheckInterval) {
			if a.isWriting.Load() {
				continue
			}
			isIdle := a.route.Kind == serving.KindStream && a.run.IsIdle(sentAt)
			if isIdle {
				a.noteTargetFailure("silent")
			}
			if !isIdle && !a.isOverdue() {
				continue
			}
			if canRetryElsewhere {
				a.hasTimedOut.Store(true)
				a.cancel()
				return
			}
		}
	}()
	return cancel
}

// isOverdue reports whether the answer of this attempt has made no progress for too long, even if the target
// answers other requests.
func (a *attempt) isOverdue() bool {
	answerTimeout := max(minStreamAnswerTimeout, 2*a.run.IdleLimit())
	if a.route.Kind == serving.KindSafe {
		answerTimeout = max(minCallAnswerTimeout, a.route.Goal*3/2)
	}
	return time.Since(a.req.Arrived)-time.Duration(a.lastActivity.Load()) > answerTimeout+a.run.QueueWait()
}

// noteActivity records that a part of the answer has arrived.
func (a *attempt) noteActivity() {
	a.lastActivity.Store(int64(time.Since(a.req.Arrived)))
	a.run.NoteActivity()
}

// logSent logs the target before the request is sent to it. If this process is killed during the attempt, the
// final line of the request is missing and this line is the only record of its target.
func (a *attempt) logSent(now time.Time) {
	a.gw.sentLog.Info(now, "sent", "request", a.req.ID, "route", a.route.Name, "attempt", len(a.tried), "target", a.run.Choice.String(),
		"after_event", a.lastEventID, "left_ms", a.deadline.Sub(now).Milliseconds())
}

// noteTargetFailure counts a failure against the target and logs it if the target becomes suspect.
func (a *attempt) noteTargetFailure(reason string) {
	if a.run.Failed() {
		a.gw.log.Warn("target suspect", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", reason, "request", a.req.ID)
	}
}

// localError returns the error of an attempt that was not ended by its target, with type timeoutType if the
// target sent nothing for too long. It returns nil if the target ended the attempt.
func (a *attempt) localError(ctx context.Context, timeoutType errs.Type) error {
	if a.run.HasEnded() {
		err := errs.New(errs.StreamBroken, "the target has restarted").WithRan(errs.RanUnknown)
		a.reportBrokenOff(err)
		return err
	}
	if a.hasTimedOut.Load() {
		err := errs.New(timeoutType, "the target has sent nothing for too long")
		a.gw.quarantine.FellSilent(a.brokenRun(err))
		return err
	}
	if ctx.Err() != nil {
		return errs.Newf(errs.Cancelled, "%v", ctx.Err())
	}
	return nil
}

// sendError returns the error of an attempt that got no answer.
func (a *attempt) sendError(ctx context.Context, err error) error {
	if localErr := a.localError(ctx, errs.TargetFailed); localErr != nil {
		return localErr
	}
	a.noteTargetFailure(err.Error())
	if errs.As(err).Ran == errs.RanNo {
		a.possibleRuns--
		return err
	}
	a.reportBrokenOff(err)
	return err
}

// refusalError returns the error of an answer by which the target states that it has not started the request,
// or of an answer that belongs to another request; otherwise nil.
func (a *attempt) refusalError(ans *platform.TargetAnswer) error {
	switch {
	case ans.OtherInstance:
		a.possibleRuns--
		a.gw.view.Drop(a.run.Target.ID)
		a.gw.log.Warn("target gone", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", "another instance answers", "request", a.req.ID)
		return errs.New(errs.TargetFailed, "another target uses the address").WithRan(errs.RanNo)
	case ans.NotRun:
		a.possibleRuns--
		a.run.NoteActivity()
		return errs.Newf(errs.TargetFailed, "the target refused the request with status %d", ans.Status).WithRan(errs.RanNo)
	case ans.Foreign:
		a.cancel() // requests and answers on the connection no longer match: it must not be reused
		return errs.New(errs.TargetFailed, "the answer belongs to another request")
	}
	return nil
}

func isStream(ans *platform.TargetAnswer) bool {
	return ans.Status == http.StatusOK && strings.HasPrefix(ans.Header.Get("Content-Type"), eventStreamType)
}

// relayStream passes on whole events one at a time, so that the stream can be resumed after any of them. The
// header is sent with the first event: until then the request can still be retried elsewhere.
func (a *attempt) relayStream(ctx context.Context, ans *platform.TargetAnswer) error {
	reader := events.NewReader(ans.Body)
	for hasPassed := false; ; {
		e, err := reader.Next()
		if err == io.EOF {
			a.sendHeader(ans, -1) // a stream without events still has a header
			return nil
		}
		if err != nil {
			return a.brokenOffError(ctx, err)
		}
		a.noteActivity()
		if sinceFirst := a.run.Event(); !hasPassed && sinceFirst >= quarantine.PassTime {
			hasPassed = true
			a.gw.quarantine.Passed(a.content)
		}
		a.sendHeader(ans, -1)
		if err := a.write(e.Raw); err != nil {
			return err
		}
		if e.ID != "" {
			a.lastEventID = e.ID
		}
	}
}

// sendHeader sends the header to the caller, once for all attempts: a resumed stream keeps its first header.
// A length of -1 means unknown.
func (a *attempt) sendHeader(ans *platform.TargetAnswer, length int64) {
	if a.hasSentHeader {
		return
	}
	a.hasSentHeader = true
	a.stages.noteAnswerStart(time.Now())
	a.out.Begin(ans.Status, ans.Header, length)
}

// brokenOffError returns the error of an answer that broke off.
func (a *attempt) brokenOffError(ctx context.Context, err error) error {
	if localErr := a.localError(ctx, errs.StreamBroken); localErr != nil {
		return localErr
	}
	if a.isReadLate {
		return errs.Newf(errs.StreamBroken, "the answer was cut off because its caller read too slowly: %v", err)
	}
	a.noteTargetFailure(err.Error())
	a.reportBrokenOff(err)
	return errs.Newf(errs.StreamBroken, "the answer broke off: %v", err)
}

// reportBrokenOff reports to the quarantine that the target broke off the request or its answer, or
// restarted during it.
func (a *attempt) reportBrokenOff(err error) { a.gw.quarantine.BrokenOff(a.brokenRun(err)) }

// brokenRun describes the attempt for the quarantine.
func (a *attempt) brokenRun(err error) quarantine.Broken {
	return quarantine.Broken{
		Content: a.content, Target: a.run.Target, Start: a.run.Target.ID, Began: a.run.Began(), From: a.resumedAfter, To: a.lastEventID,
		HasPassed: a.run.AnsweredFor() >= quarantine.PassTime, HasCrashed: a.run.HasEnded(), Err: err,
	}
}

// relayWhole passes on an answer that is not a stream. It buffers the body until it is complete, up to
// maxBufferedBytes, so that an incomplete answer can be requested again.
func (a *attempt) relayWhole(ctx context.Context, ans *platform.TargetAnswer) error {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxBufferedBytes))
	if err != nil {
		return a.brokenOffError(ctx, err)
	}
	a.noteActivity()
	if ans.Status >= http.StatusInternalServerError && a.canRetryStatus() {
		return errs.Newf(errs.TargetFailed, "the target answered with status %d", ans.Status)
	}
	if a.hasSentHeader {
		return errs.Newf(errs.StreamBroken, "the next target answered with status %d within a stream", ans.Status)
	}
	if len(body) < maxBufferedBytes {
		a.sendHeader(ans, int64(len(body)))
		return a.write(body)
	}
	a.sendHeader(ans, ans.Length)
	if err := a.write(body); err != nil {
		return err
	}
	return a.relayRest(ctx, ans)
}

// canRetryStatus reports whether an error status of the target leads to another attempt. The answer of the
// last attempt is passed to the caller unchanged.
func (a *attempt) canRetryStatus() bool {
	return a.route.Kind == serving.KindSafe && a.possibleRuns < a.route.Attempts
}

// write writes p to the caller and blocks until that is done.
func (a *attempt) write(p []byte) error {
	began := time.Now()
	a.isWriting.Store(true)
	err := a.out.Write(p)
	writeTime := time.Since(began)
	a.isReadLate = writeTime >= slowWriteThreshold
	if writeTime >= idleCheckInterval {
		a.noteActivity() // the target was not read during the write, so this is not silence of the target
	}
	a.isWriting.Store(false)
	if err != nil {
		return errs.Newf(errs.Cancelled, "the caller disconnected: %v", err)
	}
	return nil
}

// relayRest passes on the part of a body that exceeds maxBufferedBytes.
func (a *attempt) relayRest(ctx context.Context, ans *platform.TargetAnswer) error {
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
			return a.brokenOffError(ctx, err)
		}
	}
}
