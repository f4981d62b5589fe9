package faults

import (
	"arbutusramp/core/errs"
)

// Report is what a run has found.
type Report struct {
	Seed  uint64  `json:"seed"`
	Break string  `json:"break,omitempty"`
	SpanS float64 `json:"span_s"` // faults came for so long

	// Accepted and Completed count items of accepted jobs, and those that have their result.
	Accepted  int `json:"accepted"`
	Completed int `json:"completed"`
	// Cancelled counts accepted items that have none because their job was cancelled.
	Cancelled int `json:"cancelled"`
	// Duplicated counts items of which two results were seen.
	Duplicated int `json:"duplicated"`
	// Lost counts accepted items without a result, or whose result could not be read at the end.
	Lost int `json:"lost"`
	// RanAfterCancel counts runs at targets that began after a cancel was answered.
	RanAfterCancel int `json:"ran_after_cancel"`
	// NonIdempotentTwice counts calls that must not be repeated and ran twice.
	NonIdempotentTwice int `json:"nonidempotent_twice"`
	// StaleActs counts records of an old epoch or second copies that took effect.
	StaleActs int `json:"stale_acts"`
	// TakeoverMsP99 is from the loss of an owner to the next claim, while the log service answered.
	TakeoverMsP99 int64   `json:"takeover_ms_p99"`
	Takeovers     int     `json:"takeovers"`
	AppendsPerS   float64 `json:"appends_per_s"`
	// Violations is the sum of all violations; ByName and Details say which. Details are bounded.
	Violations int            `json:"violations"`
	ByName     map[string]int `json:"violations_by_name,omitempty"`
	Details    []string       `json:"details,omitempty"`

	Jobs          int `json:"jobs"`
	CancelledJobs int `json:"cancelled_jobs"`
	// Forgotten jobs were past their promise at the end.
	Forgotten int `json:"forgotten_jobs"`
	// ErrorResults counts items that ended in an error, by its type. Unlucky are those of them that
	// no poison was in and that could be repeated.
	ErrorResults map[errs.Type]int `json:"error_results"`
	Unlucky      int               `json:"unlucky"`
	// CopiesPassed and StalePassed are appends that the fold rightly passed over: what
	// the guards are for did happen.
	CopiesPassed int `json:"copies_passed"`
	StalePassed  int `json:"stale_passed"`

	Online  onlineHistory `json:"online"`
	Faults  map[Kind]int  `json:"faults"`
	Skipped int           `json:"faults_skipped"` // found nothing to hit
	SettleS float64       `json:"settle_s"`       // from the last fault until all had ended
}
