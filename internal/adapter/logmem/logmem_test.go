package logmem

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

var _ platform.Log = (*Log)(nil)

func TestAppendRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1)
		ctx := t.Context()
		go func() {
			time.Sleep(time.Second)
			l.Append(ctx, "s", []byte("a"))
		}()
		page, err := l.Read(ctx, "s", 1, 10, 5*time.Second)
		if err != nil || len(page.Entries) != 1 || page.Entries[0].Offset != 1 || page.Next != 2 {
			t.Fatalf("page %+v, err %v", page, err)
		}
		page, err = l.Read(ctx, "s", 2, 10, time.Second)
		if err != nil || len(page.Entries) != 0 {
			t.Fatalf("empty read: %+v, err %v", page, err)
		}
	})
}

// Symptom: in tests with virtual time a side that asked for a fencing number got no answer until the clock moved on. Sequence: a
// read that asks for no wait sets a timer of no length; nothing fires it while others run. Cause: the read waited for
// that timer in place of answering.
func TestAReadWithoutAWaitTakesNoTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1)
		start := time.Now()
		if page, err := l.Read(t.Context(), "s", 1, 10, 0); err != nil || len(page.Entries) != 0 {
			t.Errorf("page %+v, err %v", page, err)
		}
		if took := time.Since(start); took != 0 {
			t.Errorf("took %v", took)
		}
	})
}

func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New(1)
		ctx := t.Context()
		l.SetFaults(Faults{Down: true})
		if _, err := l.Append(ctx, "s", nil); !errs.Is(err, errs.LogDown) {
			t.Errorf("down: %v", err)
		}
		l.SetFaults(Faults{LoseAnswer: 1})
		if _, err := l.Append(ctx, "s", nil); !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("lost answer: %v", err)
		}
		l.SetFaults(Faults{Late: 1, LateBy: time.Second})
		if _, err := l.Append(ctx, "s", nil); !errs.Is(err, errs.AppendUnknown) {
			t.Errorf("late: %v", err)
		}
		l.SetFaults(Faults{})
		if n := length(t, ctx, l); n != 1 {
			t.Errorf("%d entries before the late one, want 1", n)
		}
		time.Sleep(2 * time.Second)
		if n := length(t, ctx, l); n != 2 {
			t.Errorf("%d entries after the late one, want 2", n)
		}
		l.SetFaults(Faults{Retention: time.Second})
		if _, err := l.Read(ctx, "s", 1, 10, 0); !errs.Is(err, errs.LogTrimmed) {
			t.Errorf("trimmed: %v", err)
		}
	})
}

func length(t *testing.T, ctx context.Context, l *Log) int {
	t.Helper()
	page, err := l.Read(ctx, "s", 1, 10, 0)
	if err != nil {
		t.Fatal(err)
	}
	return len(page.Entries)
}
