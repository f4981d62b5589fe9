package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/errs"
	"arbutusramp/core/events"
	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/fleetview"
)

const (
	// maxBufferedBytes is how many bytes of a non-streamed answer are read before its header is sent to the
	// caller. Until then an incomplete answer can still be requested again from another target.
	maxBufferedBytes = 1 << 20
	// idleCheckInterval is how often an attempt checks whether its target has stopped sending.
	idleCheckInterval = 60 * time.Millisecond
	// minStreamAnswerTimeout is the shortest time after which an attempt of a stream request that may be
	// retried counts its answer as lost, although its target answers other requests. It is longer than the
	// usual wait in a queue, so that an overload does not send every request twice. The timeout is also at
	// least twice as long as a working target may send nothing.
	minStreamAnswerTimeout = time.Second
	// minRetryTime is how long before the caller of a stream gives up a further attempt must begin to be of use. Until then
	// an answer that is late has a better chance than another attempt.
	minRetryTime = 500 * time.Millisecond
	// minCallAnswerTimeout is the corresponding minimum for safe calls. Above it the timeout is 1.5 times the
	// latency goal of the route. Both grow with Run.Patient.
	minCallAnswerTimeout = 250 * time.Millisecond
	// slowWriteThreshold is the duration of one write to the caller from which the caller counts as too slow.
	// The answer of the target is not read during the write, and targets close connections whose answer
	// stays unread.
	slowWriteThreshold = time.Second
	// eventStreamType is the media type of streamed answers.
	eventStreamType = "text/event-stream"
	// foreignAnswersMetric counts the attempts at whose place on a connection the answer to another request arrived.
	foreignAnswersMetric = "online.foreign_answers"
)

// attempt is one send of a request to a target, with the relay of its answer.
type attempt struct {
	*exchange
	run    *fleetview.Run     // the execution at the target, which occupies one of its slots
	cancel context.CancelFunc // ends the attempt
	// resumedAfter is the id of the event after which the target was asked to resume; empty for a run from
	// the beginning.
	resumedAfter string
	// hasRelayed is set when an event of this attempt has been sent to the caller.
	hasRelayed bool
	// isUnframed is set when the answer has neither a length nor chunks.
	isUnframed bool
	// hasTimedOut is set when watchIdle cancels the attempt.
	hasTimedOut atomic.Bool
	// isTargetSilent is set with hasTimedOut if the target sent nothing to other requests of this process either.
	isTargetSilent atomic.Bool
	// lastActivity is when the last part of the answer arrived, or when the request was sent, in nanoseconds
	// since the arrival of the request. It is not a wall-clock time, because the wall clock may jump.
	lastActivity atomic.Int64
	// isWriting is true during a write to the caller. The target is not read meanwhile.
	isWriting atomic.Bool
	// isReadLate is true if the last write to the caller took at least slowWriteThreshold, so that the target
	// was read late.
	isReadLate bool
	send       sendOutcome
}

// sendAndRelay sends the request to the target and relays the answer to the caller.
func (a *attempt) sendAndRelay(ctx context.Context) error {
	ctx, a.cancel = context.WithCancel(ctx)
	defer a.cancel()
	sentAt := time.Now()
	a.lastActivity.Store(int64(sentAt.Sub(a.req.Arrived)))
	a.send.sentAt, a.send.runsBefore = sentAt, a.possibleRuns
	a.possibleRuns++
	a.resumedAfter = a.lastEventID
	a.stages.noteSent(sentAt)
	a.logSent(sentAt)
	canRetryElsewhere := a.mayRunAgain(a.possibleRuns)
	stop := a.watchIdle(ctx, sentAt, canRetryElsewhere)
	defer stop()
	a.run.OnTargetEnd(a.cancel)
	ans, err := a.gw.targets.Send(ctx, platform.TargetCall{
		Target: a.run.Target, Request: a.req, TimeLeft: a.deadline.Sub(sentAt),
		ResumeAfter: a.resumedAfter, Once: !a.route.IsIdempotent(), Record: &a.send.record,
	})
	if err != nil {
		return a.sendError(ctx, err)
	}
	defer ans.Body.Close()
	a.send.status, a.send.isForeign = ans.Status, ans.Foreign
	if ans.Foreign {
		return a.foreignAnswerError()
	}
	a.run.ObservePace(ans)
	a.isUnframed = ans.IsUnframed
	if err := a.refusalError(ans); err != nil {
		return err
	}
	a.noteActivity()
	if isStream(ans) {
		return a.relayStream(ctx, ans)
	}
	return a.relayWhole(ctx, ans)
}

// watchIdle cancels the attempt if its target has stopped sending and the request may be retried at another
// target. If it may not be retried, the attempt continues to wait, since its answer may still come. Only
// silence in streams marks the target suspect: a working target sends stream events continuously. A single
// plain call that takes long does not show that its target has failed. The caller must call stop when the
// attempt ends.
func (a *attempt) watchIdle(ctx context.Context, sentAt time.Time, canRetryElsewhere bool) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for sleep.For(ctx, idleCheckInterval) {
			if a.isWriting.Load() {
				continue
			}
			isIdle := a.route.Kind == serving.KindStream && a.run.IsIdle(sentAt)
			if isIdle {
				a.noteSilentTarget()
			}
			if !isIdle && !a.isOverdue() {
				continue
			}
			if canRetryElsewhere {
				a.hasTimedOut.Store(true)
				a.isTargetSilent.Store(isIdle)
				a.cancel()
				return
			}
		}
	}()
	return cancel
}

// isOverdue reports whether no part of this answer has arrived for longer than the answer timeout and the
// expected queueing time at the target. Answers of the target to other requests don't count.
func (a *attempt) isOverdue() bool {
	answerTimeout := max(2*a.run.IdleLimit(), a.run.Patient(max(minStreamAnswerTimeout, a.route.EventTimeout-minRetryTime)))
	if a.route.Kind == serving.KindSafe {
		answerTimeout = a.run.Patient(max(minCallAnswerTimeout, a.route.LatencyGoal*3/2))
	}
	return time.Since(a.req.Arrived)-time.Duration(a.lastActivity.Load()) > answerTimeout+a.run.MaxQueueWait()
}

// noteActivity records that the target has sent a part of the answer.
func (a *attempt) noteActivity() {
	a.lastActivity.Store(int64(time.Since(a.req.Arrived)))
	a.run.RecordActivity()
}

// noteTargetFailure records that the target failed this attempt, and logs if that makes the target suspect, so
// that other targets are preferred.
func (a *attempt) noteTargetFailure(reason string) {
	if a.run.RecordFailure() {
		a.logSuspect(reason)
	}
}

// noteSilentTarget records that the target has been silent for too long during this attempt, and logs if that makes it
// suspect.
func (a *attempt) noteSilentTarget() {
	if a.run.RecordSilence() {
		a.logSuspect("silent")
	}
}

// logSuspect logs that this attempt has made its target suspect.
func (a *attempt) logSuspect(reason string) {
	a.gw.log.Warn("target suspect", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", reason, "request", a.req.ID)
}

// noteSilence notes, for the next attempt, for how long this one was silent when it was ended.
func (a *attempt) noteSilence() {
	silentFor := time.Since(a.req.Arrived) - time.Duration(a.lastActivity.Load())
	if a.hasRelayed {
		a.silentFor = 0
	}
	a.silentFor = max(a.silentFor, silentFor)
}

// localError returns the error of an attempt that this process cancelled: because the target has restarted,
// because the target sent nothing for too long (an error of type timeoutType), or because ctx has ended. It
// returns nil if none of these applies.
func (a *attempt) localError(ctx context.Context, timeoutType errs.Type) error {
	if a.run.HasTargetEnded() {
		err := errs.New(errs.StreamBroken, "the target has restarted").WithRan(errs.RanUnknown)
		a.recordBrokenOff(err)
		return err
	}
	if a.hasTimedOut.Load() {
		err := errs.New(timeoutType, "the target sent nothing for too long")
		a.noteSilence()
		if a.isTargetSilent.Load() {
			a.gw.quarantine.NoteSilent(a.brokenRun(err))
		}
		return err
	}
	if ctx.Err() != nil {
		return errs.Newf(errs.Cancelled, "%v", ctx.Err())
	}
	return nil
}

// sendError returns the error of an attempt whose Send failed with err, and records the failure. If nothing was written, the
// request has not run, also if this process has cancelled the attempt, and its content has ended no target.
func (a *attempt) sendError(ctx context.Context, err error) error {
	if errs.As(err).Ran == errs.RanNo {
		a.possibleRuns--
		if ctx.Err() == nil {
			a.noteTargetFailure(err.Error())
		}
		return err
	}
	if localErr := a.localError(ctx, errs.TargetFailed); localErr != nil {
		return localErr
	}
	a.noteTargetFailure(err.Error())
	a.recordBrokenOff(err)
	return err
}

// foreignAnswerError returns the error of an attempt whose place on the connection the answer to another request has
// taken. The target may be running the request.
func (a *attempt) foreignAnswerError() error {
	a.cancel() // requests and answers on the connection no longer match: it must not be reused
	metrics.GetOrRegisterCounter(foreignAnswersMetric, a.gw.reg).Inc(1)
	return errs.New(errs.TargetFailed, "the answer belongs to another request").WithRan(errs.RanUnknown)
}

// refusalError returns an error if the target answered that it has not started the request; otherwise nil.
func (a *attempt) refusalError(ans *platform.TargetAnswer) error {
	switch {
	case ans.OtherInstance:
		a.possibleRuns--
		a.gw.view.RemoveTarget(a.run.Target.ID)
		a.gw.log.Warn("target gone", "target", a.run.Target.ID, "addr", a.run.Target.Addr, "why", "another instance answers", "request", a.req.ID)
		return errs.New(errs.TargetFailed, "the target's address now belongs to another target").WithRan(errs.RanNo)
	case ans.NotRun:
		a.possibleRuns--
		a.run.RecordActivity()
		return errs.Newf(errs.TargetFailed, "the target refused the request with status %d", ans.Status).WithRan(errs.RanNo)
	}
	return nil
}

// isStream reports whether ans is a successful answer with stream events.
func isStream(ans *platform.TargetAnswer) bool {
	return ans.Status == http.StatusOK && strings.HasPrefix(ans.Header.Get("Content-Type"), eventStreamType)
}

// relayStream passes on whole events one at a time, so that the stream can be resumed after any of them. The
// header is sent with the first event: until then the request can still be retried elsewhere.
func (a *attempt) relayStream(ctx context.Context, ans *platform.TargetAnswer) error {
	reader := events.NewReader(ans.Body)
	reader.SetBudget(a.gw.answerMemory)
	defer reader.Close()
	for isPassRecorded, hasContent := false, false; ; {
		event, err := reader.Next()
		if err == io.EOF && a.isEmptyUnframed(hasContent) {
			err = io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			a.sendHeader(ans, -1) // a stream without events still has a header
			return nil
		}
		if err != nil {
			a.noteVersionChange()
			return a.brokenOffError(ctx, err)
		}
		if event.HasContent() {
			hasContent = true
			a.noteActivity()
			if sinceFirst := a.run.RecordEvent(); !isPassRecorded && sinceFirst >= quarantine.MinPassDuration {
				isPassRecorded = true
				a.gw.quarantine.NotePassed(a.content, time.Now().Add(-sinceFirst))
			}
		}
		if a.run.HasVersionChanged() && a.origin != nil && !a.hasRelayed {
			return errs.New(errs.StreamBroken, "the target has got another version, which may not fit the events that the caller has")
		}
		if !a.hasSentHeader && !a.keepAnswering() {
			return a.unansweredError()
		}
		a.hasRelayed = true
		a.sendHeader(ans, -1)
		a.noteOrigin(time.Now())
		if err := a.write(event.Raw); err != nil {
			return err
		}
		if event.ID != "" {
			a.lastEventID = event.ID
		}
		if len(event.Data) > 0 {
			a.isPositionLost = event.ID == ""
		}
	}
}

// isEmptyUnframed reports whether an answer that has ended without content, unless hasContent is true, has to count as
// broken off: a target that crashes when it begins to answer ends its connection as a whole answer would. A stream that
// was asked to go on may have no events left.
func (a *attempt) isEmptyUnframed(hasContent bool) bool {
	return a.isUnframed && !hasContent && a.resumedAfter == ""
}

// noteServed reports to the quarantine that the target has answered the attempt completely.
func (a *attempt) noteServed() {
	answeredAt := time.Now().Add(-a.run.SinceFirstEvent())
	if a.isUnframed {
		a.gw.quarantine.NoteServedUnframed(a.brokenRun(nil), answeredAt)
		return
	}
	a.gw.quarantine.NoteServed(a.content, answeredAt)
}

// sendHeader sends the status and header of ans to the caller, unless an earlier attempt has sent a header: a
// resumed stream keeps its first one. length is that of the body in bytes, -1 if unknown.
func (a *attempt) sendHeader(ans *platform.TargetAnswer, length int64) {
	if a.hasSentHeader {
		return
	}
	a.hasSentHeader = true
	a.keepAnswering()
	a.stages.noteAnswerStart(time.Now())
	a.callerAnswer.Begin(ans.Status, ans.Header, length)
}

// brokenOffError returns the error of an attempt whose answer ended with err before it was complete, and records
// the failure if the target caused it.
func (a *attempt) brokenOffError(ctx context.Context, err error) error {
	if errs.Is(err, errs.AnswerTooLarge) {
		a.noteOversized(err)
		return err
	}
	if localErr := a.localError(ctx, errs.StreamBroken); localErr != nil {
		return localErr
	}
	if a.isReadLate {
		return errs.Newf(errs.StreamBroken, "the answer was cut off because its caller read too slowly: %v", err)
	}
	a.noteTargetFailure(err.Error())
	a.recordBrokenOff(err)
	return errs.Newf(errs.StreamBroken, "the answer broke off: %v", err)
}

// recordBrokenOff reports to the quarantine that the target broke off the attempt or restarted during it.
func (a *attempt) recordBrokenOff(err error) { a.gw.quarantine.NoteBrokenOff(a.brokenRun(err)) }

// brokenRun describes this attempt, which ended with err, for the quarantine.
func (a *attempt) brokenRun(err error) quarantine.BrokenRun {
	return quarantine.BrokenRun{
		Content: a.content, Target: a.run.Target, StartID: a.run.Target.ID, BeganAt: a.run.StartedAt(), FromEvent: a.resumedAfter, ToEvent: a.lastEventID,
		HasPassed: a.run.SinceFirstEvent() >= quarantine.MinPassDuration, HasCrashed: a.run.HasTargetEnded(), Err: err,
	}
}

// relayWhole passes on an answer that is not a stream. It buffers the body until it is complete, up to
// maxBufferedBytes, so that an incomplete answer can be requested again.
func (a *attempt) relayWhole(ctx context.Context, ans *platform.TargetAnswer) error {
	body := newBodyBuffer(a.gw.answerMemory)
	defer body.release()
	err := body.fill(ans.Body)
	if err == nil && ans.Status == http.StatusOK && a.isEmptyUnframed(len(body.data) > 0) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return a.brokenOffError(ctx, err)
	}
	a.noteActivity()
	if ans.Status >= http.StatusInternalServerError && a.canRetryStatus() {
		return errs.Newf(errs.TargetFailed, "the target answered with status %d", ans.Status)
	}
	if !a.route.IsIdempotent() && promisesNotRun(ans.Status) {
		return errs.Newf(errs.TargetFailed, "the target answered with status %d, which does not show that it has not run the request", ans.Status)
	}
	if a.hasSentHeader {
		return errs.Newf(errs.StreamBroken, "the target answered with status %d when asked to resume a stream", ans.Status)
	}
	if body.isWhole {
		if ans.Status == http.StatusOK {
			a.run.RecordWholeAnswer()
		}
		a.sendHeader(ans, int64(len(body.data)))
		return a.write(body.data)
	}
	if !a.keepAnswering() {
		return a.unansweredError()
	}
	a.sendHeader(ans, ans.Length)
	if err := a.write(body.data); err != nil {
		return err
	}
	body.release()
	return a.relayRest(ctx, ans)
}

// promisesNotRun reports whether a caller takes the status for the promise that its request has not run and never will. A
// target promises that with a header, not with its status, so such a status of its own is not passed on to a caller that
// would repeat a request that may run only once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// canRetryStatus reports whether the request is retried after an answer with a 5xx status. The caller gets the
// answer of the last attempt unchanged.
func (a *attempt) canRetryStatus() bool {
	return a.route.Kind == serving.KindSafe && a.possibleRuns < a.route.MaxAttempts
}

// write sends p to the caller. It blocks until the caller has taken it, and measures whether the caller is slow.
func (a *attempt) write(p []byte) error {
	began := time.Now()
	a.isWriting.Store(true)
	err := a.callerAnswer.Write(p)
	writeTime := time.Since(began)
	a.run.RecordWrite(writeTime)
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

// relayRest passes on what is left of a body after its first maxBufferedBytes.
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
