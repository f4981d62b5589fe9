package policy

import (
	"testing"

	"arbutusramp/core/errs"
)

func TestParse(t *testing.T) {
	off, err := Parse([]string{"hold", "turns"})
	if err != nil || off.Allows(Hold) || off.Allows(Turns) || !off.Allows(ComeBack) {
		t.Errorf("%v, %v", off, err)
	}
	if _, err := Parse([]string{"hold", "holt"}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("an unknown name: %v", err)
	}
	for _, n := range All() {
		if !Off(nil).Allows(n) {
			t.Errorf("%s is off by default", n)
		}
	}
}
