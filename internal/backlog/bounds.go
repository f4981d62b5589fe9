package backlog

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/serving"
)

// Bounds of the text of an item. The items of the deployments have up to 500 events of up to 1 KB, a part of that for each
// token that may be generated. Plain services may send more for a token.
const (
	// textBytesPerToken and minTextBound give the bound of a text by the number of tokens that its item may generate;
	// maxTextBound bounds it in any case.
	textBytesPerToken = 4 << 10
	minTextBound      = 4 << 20
	maxTextBound      = 16 << 20
	// eventsPerToken and minEventBound give the bound of its events. An event has at least one token; a target that sends
	// small events without end would otherwise be read for long until its text is too long.
	eventsPerToken = 16
	minEventBound  = 20_000
	// plainBytesPerToken and minPlainText give the length up to which a text takes nothing from excessTextBudget.
	plainBytesPerToken = 1 << 10
	minPlainText       = 256 << 10
	// excessTextBudget bounds what the texts of all items of the process have beyond that if the options do not bound it
	// further, in bytes: targets that send without end may run many items at once.
	excessTextBudget = 24 << 20
	// excessTextStep is how much a text grows between two checks of excessTextBudget, in bytes.
	excessTextStep = 64 << 10
)

// oversizedAnswersMetric counts the runs of items whose target has sent more bytes than an answer may have.
const oversizedAnswersMetric = "item.oversized_answers"

// outputTokens returns how many tokens the item may generate, at most.
func outputTokens(item *backlog.Item) int64 {
	if item.Size.MaxOutputTokens > 0 {
		return int64(item.Size.MaxOutputTokens)
	}
	return item.Tokens
}

// bounded returns perToken for each token, but at least low and at most high.
func bounded(tokens, perToken, low, high int64) int {
	if tokens > high/perToken {
		return int(high)
	}
	return int(max(low, tokens*perToken))
}

// textBound returns the bound of the text of an item in bytes.
func textBound(item *backlog.Item) int {
	return bounded(outputTokens(item), textBytesPerToken, minTextBound, maxTextBound)
}

// eventBound returns the bound of the number of events of an item. An event has at least one byte in the text.
func eventBound(item *backlog.Item) int {
	return bounded(outputTokens(item), eventsPerToken, minEventBound, maxTextBound)
}

// plainText returns the length up to which the text of an item takes nothing from excessTextBudget.
func plainText(item *backlog.Item) int {
	return bounded(outputTokens(item), plainBytesPerToken, minPlainText, maxTextBound)
}

// excessText returns how much the task's text is longer than plainText.
func (t *task) excessText() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, len(t.text)-plainText(t.item()))
}

// excessText returns the sum of the excess of all texts of the process.
func (sc *scheduler) excessText() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sum := 0
	for _, t := range sc.tasks {
		sum += t.excessText()
	}
	return sum
}

// maxExcessText returns the bound of what the texts of all items have beyond plainText, in bytes.
func (m *Manager) maxExcessText() int {
	if most := m.opts.MaxExcessText; most > 0 {
		return min(most, excessTextBudget)
	}
	return excessTextBudget
}

// checkText returns an error of type errs.AnswerTooLarge if the text of a task, to which added bytes have just been added,
// exceeds its bound, or takes more memory than is left for texts of its kind.
func (m *Manager) checkText(t *task, added int) error {
	item := t.item()
	t.mu.Lock()
	size, events := len(t.text), t.events
	t.mu.Unlock()
	switch {
	case size > textBound(item):
		return errs.Newf(errs.AnswerTooLarge, "the text of an item with %d tokens exceeds %d bytes", outputTokens(item), textBound(item))
	case events > eventBound(item):
		return errs.Newf(errs.AnswerTooLarge, "an item with %d tokens has more than %d events", outputTokens(item), eventBound(item))
	case size <= plainText(item) || size/excessTextStep == (size-added)/excessTextStep:
		return nil
	}
	if excess := m.scheduler.excessText(); excess > m.maxExcessText() {
		return errs.Newf(errs.AnswerTooLarge, "the text of an item with %d tokens has %d bytes, and all long texts %d bytes more than expected", outputTokens(item), size, excess)
	}
	return nil
}

// noteOversized counts and logs that a run was ended with err because its answer has exceeded a bound.
func (m *Manager) noteOversized(t *task, target serving.Target, err error) {
	metrics.GetOrRegisterCounter(oversizedAnswersMetric, m.registry).Inc(1)
	m.log.Warn("answer exceeds its bound", "target", target.ID, "addr", target.Addr, "job", t.job.ID, "item", t.item().ID, "error", err.Error())
}

// applyFlood updates the task after a run whose target has sent more than the item can have. None of its text is certain
// to be part of the item's output, so that the item begins again from the start, after a wait that grows with each such
// run. It is given up once its route allows that, which is after MaxAttempts such runs and RetainFor. The caller holds
// the task's lock.
func (t *task) applyFlood(end runEnd, now time.Time) *pendingResult {
	t.floodedRuns++
	t.lostRuns, t.lostAt = max(t.lostRuns+1, t.floodedRuns), now
	t.crashWait = backlog.NewCrashWait(t.lostRuns, rand.Float64())
	t.avoided.add(now, end.target, maxAvoidTime)
	t.text, t.lastEventID, t.origin = nil, "", serving.Origin{}
	t.events, t.unsavedEvents = 0, 0
	t.ignoresStoredText = true
	if t.floodedRuns >= t.job.MaxAttempts && t.job.RetainFor > 0 && now.UnixMilli() >= t.job.SubmittedMs+t.job.RetainFor.Milliseconds() {
		return t.setOutcome(backlog.Errored, "")
	}
	return nil
}

// dropCheckpoint deletes the stored text of a task after applyFlood, so that no later owner goes on with it.
func (m *Manager) dropCheckpoint(t *task) {
	saved := m.progressRecords(t) // with the number of failures, if there are any
	records := append(backlog.Tombstones(t.lastCheckpoint()), saved...)
	t.noteCheckpoint(saved)
	m.saveRecords(progressPartition, records)
}
