package httpclient

import (
	"context"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
)

// TargetError gives a failed request to a target its type: errs.Cancelled,
// errs.TargetTimeout, errs.StreamBroken once the answer had begun, else
// errs.TargetFailed. It says errs.RanNo only when nothing was sent. Errors that are no *Error stay as
// they are.
func TargetError(err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	typed := errs.New(targetType(e), e.Error())
	if e.Sent {
		return errors.WithStack(typed.WithRan(errs.RanUnknown))
	}
	return errors.WithStack(typed.WithRan(errs.RanNo))
}

func targetType(e *Error) errs.Type {
	switch {
	case errors.Is(e.Cause, context.Canceled):
		return errs.Cancelled
	case errors.Is(e.Cause, context.DeadlineExceeded):
		return errs.TargetTimeout
	case e.Answered:
		return errs.StreamBroken
	default:
		return errs.TargetFailed
	}
}
