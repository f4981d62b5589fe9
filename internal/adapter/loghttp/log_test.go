package loghttp_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/standin/logsvc"
	"arbutusramp/standin/ownaddr"
)

func start(t *testing.T, o logsvc.Options) (*logsvc.Server, platform.Log) {
	t.Helper()
	s, err := logsvc.Start(ownaddr.New(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, loghttp.New(s.URL())
}

func appendAll(t *testing.T, l platform.Log, stream string, bodies ...string) {
	t.Helper()
	for _, b := range bodies {
		if _, err := l.Append(t.Context(), stream, []byte(b)); err != nil {
			t.Fatal(err)
		}
	}
}

func bodies(p platform.Page) string {
	var all []string
	for _, e := range p.Entries {
		all = append(all, string(e.Body))
	}
	return strings.Join(all, " ")
}

func TestAppendAndRead(t *testing.T) {
	_, l := start(t, logsvc.Options{})
	for i, b := range []string{"a", "b", "c"} {
		got, err := l.Append(t.Context(), "jobs/3", []byte(b))
		if err != nil || got != structs.Offset(i+1) {
			t.Fatalf("offset %d, %v", got, err)
		}
	}
	page, err := l.Read(t.Context(), "jobs/3", 2, 10, 0)
	if err != nil || bodies(page) != "b c" || page.First != 1 || page.Next != 4 || page.Entries[0].Offset != 2 {
		t.Errorf("%+v, %v", page, err)
	}
	if page, err = l.Read(t.Context(), "jobs/3", 1, 2, 0); err != nil || bodies(page) != "a b" {
		t.Errorf("%+v, %v", page, err)
	}
	if page, err = l.Read(t.Context(), "jobs/3", 4, 10, 0); err != nil || len(page.Entries) != 0 || page.Next != 4 {
		t.Errorf("%+v, %v", page, err)
	}
	if page, err = l.Read(t.Context(), "none", 1, 10, 0); err != nil || page.Next != 1 || page.First != 1 {
		t.Errorf("%+v, %v", page, err)
	}
}

// awaitReader waits until a read waits at the service.
func awaitReader(t *testing.T, s *logsvc.Server) {
	t.Helper()
	for range 5000 {
		if s.Stats().Waiting > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no read waits")
}

func TestReadWakesAtAnAppend(t *testing.T) {
	s, l := start(t, logsvc.Options{})
	read := make(chan string, 1)
	go func() {
		page, err := l.Read(t.Context(), "s", 1, 10, time.Hour)
		if err != nil {
			read <- err.Error()
			return
		}
		read <- bodies(page)
	}()
	awaitReader(t, s)
	appendAll(t, l, "other", "x")
	appendAll(t, l, "s", "a")
	if got := <-read; got != "a" {
		t.Errorf("read %q", got)
	}
}

// Symptom: a record that stands twice in the log. Events: the append takes effect, its answer is lost.
// Cause: calling that a failure, so that the writer doesn't send the same identity again.
func TestLostAnswerIsUnknown(t *testing.T) {
	s, l := start(t, logsvc.Options{})
	appendAll(t, l, "s", "a")
	s.Turn(func(k *logsvc.Knobs) { k.LoseAnswerShare = 1 })
	if _, err := l.Append(t.Context(), "s", []byte("b")); !errs.Is(err, errs.AppendUnknown) {
		t.Errorf("got %v", err)
	}
	s.Turn(func(k *logsvc.Knobs) { k.LoseAnswerShare = 0 })
	if page, err := l.Read(t.Context(), "s", 1, 10, 0); err != nil || bodies(page) != "a b" {
		t.Errorf("%+v, %v", page, err)
	}
}

func TestHangingAppendIsUnknown(t *testing.T) {
	s, l := start(t, logsvc.Options{})
	s.Turn(func(k *logsvc.Knobs) { k.Hang = true })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if _, err := l.Append(ctx, "s", []byte("b")); !errs.Is(err, errs.AppendUnknown) {
		t.Errorf("got %v", err)
	}
}

func TestDown(t *testing.T) {
	s, l := start(t, logsvc.Options{})
	appendAll(t, l, "s", "a")
	fails := func() {
		t.Helper()
		_, err := l.Append(t.Context(), "s", []byte("b"))
		if !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("append: %v", err)
		}
		if _, err = l.Read(t.Context(), "s", 1, 10, 0); !errs.Is(err, errs.LogDown) {
			t.Errorf("read: %v", err)
		}
	}
	s.Turn(func(k *logsvc.Knobs) { k.Outage = true })
	fails()
	s.Turn(func(k *logsvc.Knobs) { k.Outage = false })
	if page, err := l.Read(t.Context(), "s", 1, 10, 0); err != nil || bodies(page) != "a" {
		t.Errorf("%+v, %v", page, err)
	}
	s.Refuse(time.Hour)
	// With idle connections of its own an adapter could still meet one that is being closed.
	l = loghttp.New(s.URL())
	fails()
}

func TestOutageEndsWaitingReads(t *testing.T) {
	s, l := start(t, logsvc.Options{})
	read := make(chan error, 1)
	go func() {
		_, err := l.Read(t.Context(), "s", 1, 10, time.Hour)
		read <- err
	}()
	awaitReader(t, s)
	s.Turn(func(k *logsvc.Knobs) { k.Outage = true })
	if err := <-read; !errs.Is(err, errs.LogDown) {
		t.Errorf("got %v", err)
	}
}

func TestBusy(t *testing.T) {
	s, l := start(t, logsvc.Options{AppendsPerS: 0.001, Burst: 2})
	appendAll(t, l, "s", "a", "b")
	_, err := l.Append(t.Context(), "other", []byte("c"))
	if !errs.Is(err, errs.LogBusy) || errs.As(err).RetryAfterMs < 1000 || errs.As(err).Ran != errs.RanNo {
		t.Errorf("got %v, %+v", err, errs.As(err))
	}
	if got := s.Stats(); got.Appends != 2 || got.Refused != 1 {
		t.Errorf("%+v", got)
	}
}

func TestTrimmed(t *testing.T) {
	s, l := start(t, logsvc.Options{RetainBytes: 300})
	big := strings.Repeat("x", 100)
	appendAll(t, l, "s", big+"1", big+"2", big+"3", big+"4")
	page, err := l.Read(t.Context(), "s", 1, 10, 0)
	if !errs.Is(err, errs.LogTrimmed) || page.First != 3 || page.Next != 5 {
		t.Errorf("%+v, %v", page, err)
	}
	if page, err = l.Read(t.Context(), "s", page.First, 10, 0); err != nil || len(page.Entries) != 2 {
		t.Errorf("%+v, %v", page, err)
	}
	s.Turn(func(k *logsvc.Knobs) { k.RetainForMs = 1 })
	for len(page.Entries) > 0 {
		if page, err = l.Read(t.Context(), "s", page.Next, 10, 2*time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
	if page, err = l.Read(t.Context(), "s", 4, 10, 0); !errs.Is(err, errs.LogTrimmed) || page.First != 5 {
		t.Errorf("%+v, %v", page, err)
	}
}

func TestTooLargeRecord(t *testing.T) {
	_, l := start(t, logsvc.Options{MaxAppend: 10})
	if _, err := l.Append(t.Context(), "s", make([]byte, 11)); !errs.Is(err, errs.BodyTooLarge) {
		t.Errorf("got %v", err)
	}
}
