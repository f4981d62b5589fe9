// Package errs holds the typed errors of arbutusramp. Every failure that a
// caller, an operator or another process can see is an *Error with one of the
// types below; docs/API.md lists them with what the caller should do.
package errs

import (
	"fmt"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Type names one kind of failure. It is stable: clients match on it.
type Type string

// The failure types. The table in types.go gives each its HTTP status and what it
// says about whether the request ran.
const (
	BadRequest       Type = "bad_request"
	BodyTooLarge     Type = "body_too_large"
	HeadTooLarge     Type = "head_too_large"
	RequestTimeout   Type = "request_timeout"
	ProcessFull      Type = "process_full"
	BadItem          Type = "bad_item"
	BadSettings      Type = "bad_settings"
	BadFrame         Type = "bad_frame"
	Unauthenticated  Type = "unauthenticated"
	ConfigStale      Type = "config_stale"
	Forbidden        Type = "forbidden"
	NotFound         Type = "not_found"
	UnknownModel     Type = "unknown_model"
	UnknownService   Type = "unknown_service"
	Conflict         Type = "conflict"
	KeyReused        Type = "key_reused"
	KeyInProgress    Type = "key_in_progress"
	KeyUnverifiable  Type = "key_unverifiable"
	RateLimited      Type = "rate_limited"
	Overloaded       Type = "overloaded"
	DeadlineUnmet    Type = "deadline_unmet"
	DeadlineExceeded Type = "deadline_exceeded"
	NoTarget         Type = "no_target"
	Draining         Type = "draining"
	Preempted        Type = "preempted"
	TargetFailed     Type = "target_failed"
	TargetTimeout    Type = "target_timeout"
	TargetCrashed    Type = "target_crashed"
	TargetRefused    Type = "target_refused"
	StreamBroken     Type = "stream_broken"
	AnswerTooLarge   Type = "answer_too_large"
	Quarantined      Type = "quarantined"
	VersionGone      Type = "version_gone"
	StreamUnknown    Type = "stream_unknown"
	SessionLost      Type = "session_lost"
	Cancelled        Type = "cancelled"
	LogDown          Type = "log_down"
	LogBusy          Type = "log_busy"
	LogTrimmed       Type = "log_trimmed"
	AppendUnknown    Type = "append_unknown"
	StoreFull        Type = "store_full"
	NotOwner         Type = "not_owner"
	StaleEpoch       Type = "stale_epoch"
	StalePlan        Type = "stale_plan"
	StaleFence       Type = "stale_fence"
	AttemptsSpent    Type = "attempts_spent"
	ItemUnknown      Type = "item_unknown"
	Internal         Type = "internal"
)

// Ran says what is known about whether a failed request reached its target.
type Ran string

const (
	// RanNo is promised only where the side knows that it passed nothing on.
	RanNo Ran = "not run"
	// RanUnknown is said whenever RanNo can't be proved.
	RanUnknown Ran = "unknown"
	// RanYes means that the target ran the request.
	RanYes Ran = "ran"
)

// Error is a failure with its type. It travels between processes as CBOR and
// to callers as JSON.
type Error struct {
	Type   Type   `cbor:"1,keyasint" json:"type"`
	Ran    Ran    `cbor:"2,keyasint,omitempty" json:"ran"`
	Detail string `cbor:"3,keyasint,omitempty" json:"message"`
	// RetryAfterMs is when to come back, in milliseconds; 0 means that
	// coming back does not help.
	RetryAfterMs int64 `cbor:"4,keyasint,omitempty" json:"retry_after_ms,omitempty"`
	// Line is the line of a job's file that the failure is about, from 1.
	Line int `cbor:"5,keyasint,omitempty" json:"line,omitempty"`
	// Start names the start of the target that has crashed; empty if the failure is another one.
	Start string `cbor:"6,keyasint,omitempty" json:"-"`
}

// New returns an error of type t with the default Ran of its type.
func New(t Type, detail string) *Error {
	return &Error{Type: t, Ran: Lookup(t).Ran, Detail: detail}
}

// Newf is New with a format.
func Newf(t Type, format string, args ...any) *Error {
	return New(t, fmt.Sprintf(format, args...))
}

// Error implements error.
func (e *Error) Error() string { return string(e.Type) + ": " + e.Detail }

// WithRan returns a copy of e that says ran.
func (e *Error) WithRan(ran Ran) *Error {
	c := *e
	c.Ran = ran
	return &c
}

// WithRetry returns a copy of e that tells the caller to come back after d.
func (e *Error) WithRetry(d time.Duration) *Error {
	c := *e
	c.RetryAfterMs = max(1, d.Milliseconds())
	return &c
}

// RetryAfter returns the time to come back as a value of the header Retry-After, in seconds; empty if coming back does not help.
func (e *Error) RetryAfter() string {
	if e.RetryAfterMs <= 0 {
		return ""
	}
	return strconv.FormatFloat(float64(e.RetryAfterMs)/1000, 'f', 3, 64)
}

// WithLine returns a copy of e that names line n of a job's file.
func (e *Error) WithLine(n int) *Error {
	c := *e
	c.Line = n
	return &c
}

// As returns the *Error in err's chain. An error without one becomes Internal
// with RanUnknown, since nothing is known about it. As(nil) is nil.
func As(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, err.Error())
}

// Is reports whether err has type t. A nil *Error in an error interface has none.
func Is(err error, t Type) bool {
	var e *Error
	return errors.As(err, &e) && e != nil && e.Type == t
}
