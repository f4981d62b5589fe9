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

// A position of a job must always show the same text. An owner is frozen while it runs an item, and the shard
// is reassigned to another owner, which completes the item and writes its result. The first owner resumes,
// treats what it has received as the item's whole output and writes that text; its result is rejected, since
// its epoch is old. If the text's key depended on the item alone, the later text would replace that of the
// stored result, and the position would change seconds after it was first read.
func TestResultKeepsTextDespiteFormerOwnersWrite(t *testing.T) {
	const whole, truncated = "one\ntwo\nthree", "one\ntwo"
	store := keyedlog.New(1)
	owner, formerOwner := newTestTextStore(store), newTestTextStore(store)
	offsets, ok := owner.write(context.Background(), []backlog.Text{{Job: "j", Index: 4, Text: whole}})
	if !ok {
		t.Fatal("write of the owner's text returned false, want true")
	}
	if _, ok := formerOwner.write(context.Background(), []backlog.Text{{Job: "j", Index: 4, Text: truncated}}); !ok {
		t.Fatal("write of the former owner's text returned false, want true")
	}
	r := resultWithText("j", 4, whole)
	r.TextOffset = offsets[r.TextKey()]
	for _, history := range []string{"kept", "expired"} {
		page := backlog.ResultPage{Results: []backlog.Result{r}}
		if err := newTestTextStore(store).fillPage(context.Background(), &page); err != nil || page.Results[0].Text != whole {
			t.Errorf("with the history %s the position shows %q, error %v; want the owner's whole text and no error", history, page.Results[0].Text, err)
		}
		store.Forget()
	}
}

// newTestTextStore returns a textStore with a connection of its own to the store, as each process has.
func newTestTextStore(store *keyedlog.Store) *textStore {
	return &textStore{store: store.View(), log: testLogger("texts")}
}

// resultWithText returns a result of an item whose text is stored separately. Its TextOffset is not set.
func resultWithText(job string, index int, text string) backlog.Result {
	return backlog.Result{Job: job, Index: index, Outcome: backlog.Complete, TextSize: len(text), TextChecksum: backlog.Checksum(text)}
}

// With many processes a text must not be stored in the record of its result, which every process reads.
// Otherwise each process reads the texts of all results before it can own a shard, and after the loss of all
// processes no items run for seconds.
func TestTextStoredSeparatelyFromResult(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "okay", "okay", "fail")
		cl.nodes[0].submit(j)
		cl.checkResults(j, cl.nodes[1].results(j, 20*time.Second))
		size := 0
		for _, r := range cl.store.Records(resultPartition) {
			size += len(r.Value)
		}
		if size > len(j.Items)*100 {
			t.Errorf("the results of %d items take %d bytes without their texts, want at most 100 per item", len(j.Items), size)
		}
	})
}

// A text must be stored in the record of its result if all processes together read at most MaxInlineReadBytes of it,
// which saves a separate read.
func TestShortTextStoredInResult(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		n := cl.nodes[0]
		n.manager.opts.MaxInlineReadBytes = 100
		n.fleet.ApplyReport("other", fleet.Report{})
		for size, want := range map[int]bool{0: true, 50: true, 51: false} {
			if got := n.manager.storesInline(strings.Repeat("x", size)); got != want {
				t.Errorf("a text of %d bytes with one other process: stored inline is %v, want true for 0 and 50 bytes and false for 51", size, got)
			}
		}
		time.Sleep(2 * time.Second)
		if !n.manager.storesInline(strings.Repeat("x", 100)) {
			t.Error("a text of 100 bytes without other processes is stored separately, want it inline")
		}
	})
}

// A separately stored text must be read at the offset at which it was written, or by its key once the history
// has expired, also by processes that were started later.
func TestTextReadFromStore(t *testing.T) {
	withCluster(t, 2, func(t *testing.T, cl *cluster) {
		j := cl.job("a", repeat("okay", 12)...)
		cl.nodes[0].submit(j)
		cl.checkResults(j, cl.nodes[0].results(j, 20*time.Second))
		cl.checkResults(j, cl.start("second").results(j, 3*time.Second))
		cl.store.Forget()
		cl.checkResults(j, cl.start("third").results(j, 3*time.Second))
	})
}

// A process that has a result but can't read its text must return a retryable error, and the result once it
// can.
func TestUnreadableText(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		j := cl.job("a", "okay", "okay")
		cl.nodes[0].submit(j)
		cl.checkResults(j, cl.nodes[0].results(j, 20*time.Second))
		n := cl.start("other")
		time.Sleep(time.Second)
		n.view.Set(keyedlog.Faults{Refuse: true})
		if _, err := n.manager.Results(context.Background(), serving.Caller{}, j.ID, 0, 0); !errs.Is(err, errs.LogDown) || errs.As(err).RetryAfterMs == 0 {
			t.Errorf("results without a reachable store: error is %v, want errs.LogDown with a retry delay", err)
		}
		n.view.Set(keyedlog.Faults{})
		cl.checkResults(j, n.results(j, 5*time.Second))
	})
}

// A page must end before the first result whose text is missing, and one call must read texts that were written
// together.
func TestPageEndsBeforeMissingText(t *testing.T) {
	store := keyedlog.New(1)
	texts := newTestTextStore(store)
	offsets, ok := texts.write(context.Background(), []backlog.Text{{Job: "j", Text: "first"}, {Job: "j", Index: 1, Text: "second"}})
	if !ok {
		t.Fatal("write of two texts returned false, want true")
	}
	first, second, missing := resultWithText("j", 0, "first"), resultWithText("j", 1, "second"), resultWithText("j", 3, "never written")
	first.TextOffset, second.TextOffset, missing.TextOffset = offsets[first.TextKey()], offsets[second.TextKey()], 2
	first.Position, second.Position, missing.Position = 4, 5, 7
	results := []backlog.Result{first, second, {Job: "j", Position: 6, Index: 2, Text: "short"}, missing}
	if n := adjacentCount(results); n != 2 {
		t.Errorf("the texts of %d results are read in one call, want 2", n)
	}
	page := backlog.ResultPage{Total: 9, Next: 8, Results: results}
	if err := texts.fillPage(context.Background(), &page); err != nil {
		t.Fatal(err)
	}
	if page.Next != 7 || len(page.Results) != 3 || page.Results[0].Text != "first" || page.Results[1].Text != "second" || page.Results[2].Text != "short" {
		t.Errorf("the filled page is %+v, want the texts first, second and short, and next position 7", page)
	}
	page.Results = []backlog.Result{missing}
	if err := texts.fillPage(context.Background(), &page); !errs.Is(err, errs.LogDown) {
		t.Errorf("a page whose only text is missing: error is %v, want errs.LogDown", err)
	}
}

// A text of several records must be read whole, at its offset and by its key.
func TestLargeText(t *testing.T) {
	store := keyedlog.New(1)
	large := strings.Repeat("0123456789", 100_000)
	offsets, ok := newTestTextStore(store).write(context.Background(), []backlog.Text{{Job: "j", Text: "first"}, {Job: "j", Index: 4, Text: large}})
	if !ok || len(offsets) < 4 {
		t.Fatalf("the write returned offsets %v and ok %v, want at least 4 offsets and true", offsets, ok)
	}
	r := resultWithText("j", 4, large)
	r.TextOffset = offsets[r.TextKey()]
	for range 2 {
		page := backlog.ResultPage{Results: []backlog.Result{r}}
		if err := newTestTextStore(store).fillPage(context.Background(), &page); err != nil || page.Results[0].Text != large {
			t.Errorf("the text read has %d bytes, error %v; want the whole text of 1000000 bytes and no error", len(page.Results[0].Text), err)
		}
		store.Forget()
	}
}
