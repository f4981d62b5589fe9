package backlog

import (
	"context"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/standin/keyedlog"
)

// Symptom: after the loss of all processes no batch work was done for seconds where links are slow.
// Sequence: each process reads all results that are kept, with their texts, before it can own a shard.
// Cause: a text lay in the record of its result, which every process needs; the text itself only one does.
func TestATextLiesApartFromItsResult(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", "okay", "okay", "fail")
		w.nodes[0].submit(j)
		w.check(j, w.nodes[1].results(j, 20*time.Second))
		size := 0
		for _, r := range w.store.Records(resultPartition) {
			size += len(r.Value)
		}
		if size > len(j.Items)*100 {
			t.Errorf("the results of %d items take %d bytes without their texts", len(j.Items), size)
		}
	})
}

// With few processes a text stands in its result, which saves the calls for it.
func TestAShortTextStandsInItsResult(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		n := w.nodes[0]
		n.manager.opts.SpreadBytes = 100
		n.fleet.Hear("other", fleet.Report{})
		for size, want := range map[int]bool{0: true, 50: true, 51: false} {
			if got := n.manager.inline(strings.Repeat("x", size)); got != want {
				t.Errorf("a text of %d bytes with one peer: inline %v", size, got)
			}
		}
		time.Sleep(2 * time.Second)
		if !n.manager.inline(strings.Repeat("x", 100)) {
			t.Error("a text of 100 bytes without peers lies apart")
		}
	})
}

// A text is found where it was written, by its key once that has expired, and after all processes were replaced.
func TestATextIsReadFromTheStore(t *testing.T) {
	bubble(t, 2, func(t *testing.T, w *world) {
		j := w.job("a", repeat("okay", 12)...)
		w.nodes[0].submit(j)
		w.check(j, w.nodes[0].results(j, 20*time.Second))
		w.check(j, w.start("second").results(j, 3*time.Second))
		w.store.Forget()
		w.check(j, w.start("third").results(j, 3*time.Second))
	})
}

// A process that knows of a result but can't read its text says that it can't tell, and goes on later.
func TestATextThatCannotBeRead(t *testing.T) {
	bubble(t, 1, func(t *testing.T, w *world) {
		j := w.job("a", "okay", "okay")
		w.nodes[0].submit(j)
		w.check(j, w.nodes[0].results(j, 20*time.Second))
		n := w.start("other")
		time.Sleep(time.Second)
		n.view.Set(keyedlog.Faults{Refuse: true})
		if _, err := n.manager.Results(context.Background(), j.ID, 0, 0); !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("without the store: %v", err)
		}
		if page, err := w.nodes[0].manager.Results(context.Background(), j.ID, 0, 0); err != nil || len(page.Results) != 2 {
			t.Errorf("where the texts were written: %d results, %v", len(page.Results), err)
		}
		n.view.Set(keyedlog.Faults{})
		w.check(j, n.results(j, 5*time.Second))
	})
}

// A page ends before the first text that is missing.
func TestAPageEndsBeforeAMissingText(t *testing.T) {
	texts := newTexts(keyedlog.New(1).View(), testLogger("texts"))
	texts.kept.Add(backlog.TextKey("j", 0), "whole")
	page := backlog.Page{Total: 3, Next: 7, Results: []backlog.Result{
		{Job: "j", Position: 4, Index: 0, Size: 5}, {Job: "j", Position: 5, Index: 2, Text: "short"}, {Job: "j", Position: 6, Index: 1, Size: 9},
	}}
	if err := texts.fill(context.Background(), &page); err != nil {
		t.Fatal(err)
	}
	if page.Next != 6 || len(page.Results) != 2 || page.Results[0].Text != "whole" || page.Results[1].Text != "short" {
		t.Errorf("page %+v", page)
	}
	page.Results = []backlog.Result{{Job: "j", Position: 6, Index: 1, Size: 9}}
	if err := texts.fill(context.Background(), &page); !errs.Is(err, errs.LogDown) {
		t.Errorf("a page of one missing text: %v", err)
	}
}

// A text of many records is written and read like any other.
func TestALargeText(t *testing.T) {
	store := keyedlog.New(1)
	large := backlog.Text{Job: "j", Index: 4, Text: strings.Repeat("0123456789", 100_000)}
	at, ok := newTexts(store.View(), testLogger("a")).write(context.Background(), []backlog.Text{{Job: "j", Text: "first"}, large})
	if !ok || len(at) < 4 {
		t.Fatalf("offsets %v, %v", at, ok)
	}
	r := &backlog.Result{Job: "j", Index: 4, Size: len(large.Text), TextAt: at[backlog.TextKey("j", 4)]}
	for range 2 {
		text, err := newTexts(store.View(), testLogger("b")).read(context.Background(), r)
		if err != nil || text != large.Text {
			t.Errorf("%d bytes, %v", len(text), err)
		}
		store.Forget()
	}
}
