package dependency

import (
	"bytes"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
)

func TestALineForEachChangeOnly(t *testing.T) {
	var out bytes.Buffer
	l := NewLink(hclog.New(&hclog.LoggerOptions{Output: &out}), "store")
	fail := errors.New("refused")
	for range 2 {
		if l.Up() {
			t.Error("back without having been lost")
		}
	}
	for range 5 {
		l.Lost(fail)
	}
	if !l.Up() || l.Up() {
		t.Error("it is back once")
	}
	for word, want := range map[string]int{"reached": 1, "lost": 1, "back": 1} {
		if n := strings.Count(out.String(), "dependency "+word); n != want {
			t.Errorf("%d lines %q, want %d", n, word, want)
		}
	}
}

func TestADependencyThatNeverAnsweredIsNotBack(t *testing.T) {
	l := NewLink(hclog.NewNullLogger(), "store")
	l.Lost(errors.New("refused"))
	if l.Up() {
		t.Error("back, though nothing was known before")
	}
}
