package jobs

import (
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Verdict says what becomes of an item after an attempt.
type Verdict uint8

const (
	// Finish: the outcome is the item's result.
	Finish Verdict = iota + 1
	// Again: the item is handed out again and nothing is charged.
	Again
	// Charge: the failed attempt is counted and the item is handed out again.
	Charge
	// Crash: the target died or hung under several items; this one is suspected.
	Crash
	// Reopen: an item that runs at most once did not run and may be started anew.
	Reopen
)

// Judgement is a Verdict with the error result that Finish gives, if any.
type Judgement struct {
	Verdict Verdict
	Err     *errs.Error
}

// Judge decides what an attempt's outcome means. once says that the item runs
// at most once; t counts its earlier failures; budget is the number of attempts that it has.
func Judge(done *structs.ItemDone, once bool, t Trouble, budget int) Judgement {
	if done.Err == nil && !done.GaveBack {
		return Judgement{Verdict: Finish}
	}
	if once {
		return judgeOnce(done)
	}
	if done.GaveBack || notItsOwn(done.Err) {
		return Judgement{Verdict: Again}
	}
	if final(done.Err) {
		return Judgement{Verdict: Finish, Err: done.Err}
	}
	// The target died or hung under this item and others. To charge all would end
	// innocent items after a few crashes of one bad neighbour; to charge none would crash
	// targets for ever.
	if len(done.Neighbours) > 0 {
		return Judgement{Verdict: Crash}
	}
	if t.Charges+t.Crashes+1 >= budget {
		return Judgement{Verdict: Finish, Err: spent(done.Err, budget)}
	}
	return Judgement{Verdict: Charge}
}

// judgeOnce: the one run has been claimed. Only a side's word that nothing was
// passed on makes a second one safe.
func judgeOnce(done *structs.ItemDone) Judgement {
	switch {
	case done.Err != nil && done.Err.Ran == errs.RanNo:
		return Judgement{Verdict: Reopen}
	case done.Err != nil && final(done.Err):
		return Judgement{Verdict: Finish, Err: done.Err}
	}
	return Judgement{Verdict: Finish, Err: UnknownResult()}
}

// UnknownResult is the result of an item that was started once and whose outcome nobody knows.
func UnknownResult() *errs.Error {
	return errs.New(errs.ItemUnknown, "the item was started once and its outcome is not known")
}

func notItsOwn(e *errs.Error) bool {
	switch e.Type {
	case errs.Draining, errs.Preempted, errs.SessionLost, errs.Cancelled,
		errs.StaleEpoch, errs.NotOwner, errs.Overloaded, errs.NoTarget, errs.DeadlineUnmet:
		return true
	}
	return false
}

// final says that another attempt would end the same.
func final(e *errs.Error) bool {
	switch e.Type {
	case errs.TargetRefused, errs.BadRequest, errs.BadItem, errs.BodyTooLarge,
		errs.UnknownModel, errs.UnknownService:
		return true
	}
	return false
}

func spent(last *errs.Error, budget int) *errs.Error {
	return errs.Newf(errs.AttemptsSpent, "%d attempts failed, the last with %s: %s",
		budget, last.Type, last.Detail)
}
