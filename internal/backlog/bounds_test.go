package backlog

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/costmodel"
	"arbutusramp/core/sleep"
)

// floodEventBytes is the size of the data of an event of floodBody.
const floodEventBytes = 16 << 10

// floodBody returns the body of an answer with valid events without end, one each 4 ms, until ctx ends.
func floodBody(ctx context.Context) io.ReadCloser {
	r, w := io.Pipe()
	data := strings.Repeat("x", floodEventBytes)
	go func() { // checkpoints are written during the flood
		for n := 1; sleep.For(ctx, 4*time.Millisecond); n++ {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
				return
			}
		}
		_ = w.CloseWithError(ctx.Err())
	}()
	return r
}

// Guards against an item that is given up although no rule allows it, or that runs without end and without pause, because
// each target sends events without end.
func TestItemThatFloodsEverywhereEndsOnceItMay(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		cl.targets.floods = func(id string, _ int) bool { return strings.HasPrefix(id, "flood") }
		n := cl.nodes[0]
		j := cl.job("j", "flood", "ok")
		submittedAt := time.Now()
		n.submit(j)
		list := n.results(j, cl.route.RetainFor+2*time.Minute)
		cl.checkResults(j, list)
		took := time.Since(submittedAt)
		if took < cl.route.RetainFor {
			t.Errorf("the item was given up after %v, want at least %v", took, cl.route.RetainFor)
		}
		if runs := cl.targets.runCount(j.Items[0].ID); runs < cl.route.MaxAttempts || runs > 40 {
			t.Errorf("the item was run %d times in %v, want at least %d times and at most 40", runs, took, cl.route.MaxAttempts)
		}
		t.Logf("%d runs in %v", cl.targets.runCount(j.Items[0].ID), took)
	})
}

// Guards against a text that consists of parts of a flood and of the item's output, because the next owner finds the
// checkpoint of a run that was ended as a flood.
func TestTextHasNothingOfAFlood(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		cl.targets.floods = func(_ string, run int) bool { return run == 1 }
		j := cl.job("j", "ok")
		cl.nodes[0].submit(j)
		for cl.targets.runCount(j.Items[0].ID) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(10 * eventInterval)
		next := cl.start("next")
		cl.nodes[0].kill()
		cl.checkResults(j, next.results(j, cl.route.RetainFor))
	})
}

// Guards against a process that runs out of memory because many targets send events without end at once.
func TestTextsOfManyFloodsAreBoundedTogether(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		cl.targets.floods = func(string, int) bool { return true }
		n := cl.nodes[0]
		j := cl.job("j", repeat("flood", 24)...)
		n.submit(j)
		largest, mostRuns := 0, 0
		for range 2000 {
			time.Sleep(5 * time.Millisecond)
			largest = max(largest, n.manager.scheduler.excessText())
			mostRuns = max(mostRuns, n.manager.scheduler.counts().RunningItems)
		}
		// Between two checks each run may add a step and an event.
		limit := excessTextBudget + mostRuns*(excessTextStep+floodEventBytes)
		t.Logf("%d runs at once, texts of at most %d bytes more than expected", mostRuns, largest)
		if largest > limit || mostRuns < 20 {
			t.Errorf("%d runs at once had %d bytes of texts beyond the expected ones, want 20 runs or more and at most %d bytes", mostRuns, largest, limit)
		}
	})
}

// Guards against a long text that counts as a flood: some items are long, and their tokens are not always declared.
func TestTextBounds(t *testing.T) {
	item := func(tokens int64, output int) *backlog.Item {
		return &backlog.Item{Tokens: tokens, Size: costmodel.Size{MaxOutputTokens: output}}
	}
	for _, test := range []struct {
		name                string
		item                *backlog.Item
		text, events, plain int
	}{
		{"nothing declared", item(0, 0), 4 << 20, 20_000, 256 << 10},
		{"a few tokens", item(600, 400), 4 << 20, 20_000, 400 << 10},
		{"many tokens", item(3000, 2000), 8_192_000, 32_000, 2_048_000},
		{"the sum of tokens alone", item(3000, 0), 12_288_000, 48_000, 3_072_000},
		{"beyond any model", item(1<<62, 0), 16 << 20, 16 << 20, 16 << 20},
	} {
		if got := []int{textBound(test.item), eventBound(test.item), plainText(test.item)}; !slices.Equal(got, []int{test.text, test.events, test.plain}) {
			t.Errorf("%s: bounds of text, events and expected text are %v, want %d, %d and %d", test.name, got, test.text, test.events, test.plain)
		}
	}
}

// Guards against a text that begins again in its middle: blank lines and comments take the place of the last event, so
// that a run which is broken off after them is not asked to go on.
func TestBlankLinesAreNoPartOfAText(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		cl.targets.comments = ": alive\n\n\n"
		n := cl.nodes[0]
		j := cl.job("j", "okay")
		n.submit(j)
		time.Sleep(500 * time.Millisecond)
		for _, target := range []string{"target-0", "target-1", "target-2"} {
			cl.targets.breakOff(target)
		}
		cl.checkResults(j, n.results(j, 20*time.Second))
		if after := cl.targets.lastResumedAfter(j.Items[0].ID); after == "" {
			t.Error("the second run began from the start, want it to go on after the last event")
		}
	})
}
