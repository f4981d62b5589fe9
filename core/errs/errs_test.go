package errs

import (
	"testing"

	"github.com/pkg/errors"
)

// Symptom: a process panics while it looks at an error. Events: a function
// returns a nil *Error through an error interface. Cause: errors.As succeeds for
// such an error and gives a nil pointer, whose type was then read.
func TestNilErrorInAnInterfaceHasNoType(t *testing.T) {
	var none *Error
	var err error = none
	if Is(err, Internal) {
		t.Error("a nil error has a type")
	}
	if As(err) != nil {
		t.Error("a nil error became a failure")
	}
}

func TestAsFindsTheTypeThroughWraps(t *testing.T) {
	err := errors.Wrap(New(LogDown, "outage"), "append")
	if got := As(err); got.Type != LogDown || got.Ran != RanNo {
		t.Errorf("got %+v", got)
	}
	if got := As(errors.New("plain")); got.Type != Internal || got.Ran != RanUnknown {
		t.Errorf("an untyped error became %+v", got)
	}
}

func TestEveryTypeSaysWhatToDo(t *testing.T) {
	for typ, info := range Types() {
		if info.Status < 400 || info.Ran == "" || info.Advice == "" {
			t.Errorf("%s: %+v", typ, info)
		}
	}
}
