package backlog

import (
	"context"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/fleet"
	"arbutusramp/core/serving"
	"arbutusramp/standin/keyedlog"
)

// A position of a job must always show the same text. An owner is frozen with an item that is nearly
// finished, and the shard is reassigned to another one, which runs the item and lists it. The first owner
// resumes, takes what has arrived for the item's whole output and writes that text; its result is rejected,
// since its epoch is old. If the text's key depended on the item alone, the later text would replace that of
// the listed result, and the position would change seconds after it was first read.
func TestResultKeepsTextDespiteFormerOwnersWrite(t *testing.T) {
	const whole, early = "one\ntwo\nthree", "one\ntwo"
	store := keyedlog.New(1)
	owner, former := newTestTextStore(store), newTestTextStore(store)
	at, ok := owner.write(context.Background(), []backlog.Text{{Job: "j", Index: 4, Text: whole}})
	if !ok {
		t.Fatal("the text was not written")
	}
	if _, ok := former.write(context.Background(), []backlog.Text{{Job: "j", Index: 4, Text: early}}); !ok {
		t.Fatal("the former owner's text was not written")
	}
	r := resultWithText("j", 4, whole)
	r.TextAt = at[r.TextKey()]
	for _, history := range []string{"kept", "expired"} {
		page := backlog.Page{Results: []backlog.Result{r}}
		if err := newTestTextStore(store).fillPage(context.Background(), &page); err != nil || page.Results[0].Text != whole {
			t.Errorf("history %s: the position shows %q, %v", history, page.Results[0].Text, err)
		}
		store.Forget()
	}
}

func newTestTextStore(store *keyedlog.Store) *textStore {
	return &textStore{store: store.View(), log: testLogger("texts")}
}

// resultWithText returns a result whose text is stored separately.
func resultWithText(job string, index int, text string) backlog.Result {
	return backlog.Result{Job: job, Index: index, Outcome: backlog.Complete, Size: len(text), Sum: backlog.Sum(text)}
}

// A text must not be stored in the record of its result, which every process reads, while a text is needed by
// one process only. Otherwise each process reads all kept results with their texts before it can own a shard,
// and after the loss of all processes no batch work is done for seconds.
func TestTextStoredSeparatelyFromResult(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", "okay", "okay", "fail")
		w.nodes[0].submit(j)
		w.checkResults(j, w.nodes[1].results(j, 20*time.Second))
		size := 0
		for _, r := range w.store.Records(resultPartition) {
			size += len(r.Value)
		}
		if size > len(j.Items)*100 {
			t.Errorf("the results of %d items take %d bytes without their texts", len(j.Items), size)
		}
	})
}

// With few processes a text is stored in its result, which saves the calls for it.
func TestShortTextStoredInResult(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		n := w.nodes[0]
		n.manager.opts.SpreadBytes = 100
		n.fleet.ApplyReport("other", fleet.Report{})
		for size, want := range map[int]bool{0: true, 50: true, 51: false} {
			if got := n.manager.storesInline(strings.Repeat("x", size)); got != want {
				t.Errorf("a text of %d bytes with one peer: inline %v", size, got)
			}
		}
		time.Sleep(2 * time.Second)
		if !n.manager.storesInline(strings.Repeat("x", 100)) {
			t.Error("a text of 100 bytes without peers is stored separately")
		}
	})
}

// A text is found at the offset where it was written, by its key once the history has expired, and after all
// processes were replaced.
func TestTextReadFromStore(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, w *cluster) {
		j := w.job("a", repeat("okay", 12)...)
		w.nodes[0].submit(j)
		w.checkResults(j, w.nodes[0].results(j, 20*time.Second))
		w.checkResults(j, w.start("second").results(j, 3*time.Second))
		w.store.Forget()
		w.checkResults(j, w.start("third").results(j, 3*time.Second))
	})
}

// A process that has a result but can't read its text returns a retryable error, and serves the result later.
func TestUnreadableText(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, w *cluster) {
		j := w.job("a", "okay", "okay")
		w.nodes[0].submit(j)
		w.checkResults(j, w.nodes[0].results(j, 20*time.Second))
		n := w.start("other")
		time.Sleep(time.Second)
		n.view.Set(keyedlog.Faults{Refuse: true})
		if _, err := n.manager.Results(context.Background(), serving.Caller{}, j.ID, 0, 0); !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("without the store: %v", err)
		}
		n.view.Set(keyedlog.Faults{})
		w.checkResults(j, n.results(j, 5*time.Second))
	})
}

// A page ends before the first missing text, and one call reads texts that were written together.
func TestPageEndsBeforeMissingText(t *testing.T) {
	store := keyedlog.New(1)
	texts := newTestTextStore(store)
	at, ok := texts.write(context.Background(), []backlog.Text{{Job: "j", Text: "first"}, {Job: "j", Index: 1, Text: "second"}})
	if !ok {
		t.Fatal("the texts were not written")
	}
	first, second, missing := resultWithText("j", 0, "first"), resultWithText("j", 1, "second"), resultWithText("j", 3, "never written")
	first.TextAt, second.TextAt, missing.TextAt = at[first.TextKey()], at[second.TextKey()], 2
	first.Position, second.Position, missing.Position = 4, 5, 7
	results := []backlog.Result{first, second, {Job: "j", Position: 6, Index: 2, Text: "short"}, missing}
	if n := adjacentCount(results); n != 2 {
		t.Errorf("%d results are read at once, want 2", n)
	}
	page := backlog.Page{Total: 9, Next: 8, Results: results}
	if err := texts.fillPage(context.Background(), &page); err != nil {
		t.Fatal(err)
	}
	if page.Next != 7 || len(page.Results) != 3 || page.Results[0].Text != "first" || page.Results[1].Text != "second" || page.Results[2].Text != "short" {
		t.Errorf("page %+v", page)
	}
	page.Results = []backlog.Result{missing}
	if err := texts.fillPage(context.Background(), &page); !errs.Is(err, errs.LogDown) {
		t.Errorf("a page of one missing text: %v", err)
	}
}

// A text of many records is written and read like any other.
func TestLargeText(t *testing.T) {
	store := keyedlog.New(1)
	large := strings.Repeat("0123456789", 100_000)
	at, ok := newTestTextStore(store).write(context.Background(), []backlog.Text{{Job: "j", Text: "first"}, {Job: "j", Index: 4, Text: large}})
	if !ok || len(at) < 4 {
		t.Fatalf("offsets %v, %v", at, ok)
	}
	r := resultWithText("j", 4, large)
	r.TextAt = at[r.TextKey()]
	for range 2 {
		page := backlog.Page{Results: []backlog.Result{r}}
		if err := newTestTextStore(store).fillPage(context.Background(), &page); err != nil || page.Results[0].Text != large {
			t.Errorf("%d bytes, %v", len(page.Results[0].Text), err)
		}
		store.Forget()
	}
}
