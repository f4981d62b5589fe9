package policy

import (
	"testing"

	"arbutusramp/core/errs"
)

func TestParseDisablesNamedMechanisms(t *testing.T) {
	disabled, err := Parse([]string{"hold", "turns"})
	if err != nil || disabled.IsEnabled(QueueRetries) || disabled.IsEnabled(StaggeredStarts) || !disabled.IsEnabled(RetryLater) {
		t.Errorf("disabled mechanisms %v and error %v, want only hold and turns, and no error", disabled, err)
	}
	if _, err := Parse([]string{"hold", "holt"}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("error %v for the unknown name holt, want type bad_settings", err)
	}
	for _, m := range All() {
		if !Disabled(nil).IsEnabled(m) {
			t.Errorf("%s is disabled in the zero value, want enabled", m)
		}
	}
}
