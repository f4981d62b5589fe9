package backlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/platform"
	"arbutusramp/standin/keyedlog"
)

// interleavedStore calls between after each append.
type interleavedStore struct {
	platform.Store
	between func()
}

func (s interleavedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	defer s.between()
	return s.Store.Append(ctx, a)
}

// largeText is longer than one append may be.
func largeText() string { return strings.Repeat("0123456789abcdef", keyedlog.CallBytes/16+1000) }

// Guards against one item whose text exceeds one append, which is then refused for ever with all results of its shard behind
// it, also at the next owner of the shard.
func TestTextLargerThanAnAppendStallsNothing(t *testing.T) {
	for _, inline := range []int{0, 16 << 20} {
		t.Run(fmt.Sprintf("stored inline up to %d bytes", inline), func(t *testing.T) {
			withCluster(t, 0, func(t *testing.T, cl *cluster) {
				cl.maxInlineReadBytes = inline
				cl.startNodes(2)
				time.Sleep(2 * time.Second)
				n, text := cl.nodes[0], largeText()
				large := cl.job("large", "ok")
				cl.targets.intercept = func(_ context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
					if c.Request.ID != large.Items[0].ID {
						return nil, nil, false
					}
					var events bytes.Buffer
					for i, rest := 1, text; rest != ""; i++ {
						line := rest[:min(len(rest), 400)]
						rest = rest[len(line):]
						_, _ = fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, line)
					}
					return streamOf(&events, io.EOF), nil, true
				}
				n.submit(large)
				time.Sleep(5 * time.Second)
				for i := range 8 { // some of them in the shard of the large one
					j := cl.job(fmt.Sprint("small-", i), "ok", "ok")
					n.submit(j)
					cl.checkResults(j, n.results(j, 10*time.Second))
				}
				for _, n := range cl.nodes {
					list := n.results(large, 10*time.Second)
					if len(list) != 1 || list[0].Outcome != backlog.Complete || strings.ReplaceAll(list[0].Text, "\n", "") != text {
						t.Errorf("process %s shows %d results of the large item, want 1 with its whole text", n.name, len(list))
					}
				}
			})
		})
	}
}

// Guards against a text that can't be read because another process has written between its appends.
func TestTextInTwoAppendsIsRead(t *testing.T) {
	store := keyedlog.New(1)
	others := 0
	writer := newTestTextStore(store)
	writer.store = interleavedStore{Store: writer.store, between: func() {
		others++
		if _, ok := newTestTextStore(store).write(context.Background(), []backlog.Text{{Job: "other", Index: others, Text: "between"}}); !ok {
			t.Error("the text of another job was not written, want it written")
		}
	}}
	text := largeText()
	offsets, ok := writer.write(context.Background(), []backlog.Text{{Job: "j", Index: 4, Text: text}, {Job: "j", Index: 5, Text: "next"}})
	if !ok || others < 2 {
		t.Fatalf("written %t with %d appends, want written with 2 or more", ok, others)
	}
	large, next := resultWithText("j", 4, text), resultWithText("j", 5, "next")
	large.TextOffset, next.TextOffset = offsets[large.TextKey()], offsets[next.TextKey()]
	page := backlog.ResultPage{Results: []backlog.Result{large, next}}
	if err := newTestTextStore(store).fillPage(context.Background(), &page); err != nil || len(page.Results) != 2 || page.Results[0].Text != text || page.Results[1].Text != "next" {
		t.Errorf("the page has %d results, error %v; want 2 with the texts that were written", len(page.Results), err)
	}
}

// Guards against a batch of many small results whose records exceed one append.
func TestBatchOfResultsFitsOneAppend(t *testing.T) {
	withCluster(t, 1, func(t *testing.T, cl *cluster) {
		m := cl.nodes[0].manager
		s := &shard{m: m, nextPositions: make(map[string]int), positioned: make(map[itemKey]bool)}
		j := cl.job("j", repeat("never", 60_000)...)
		for i := range j.Items {
			s.pending = append(s.pending, &pendingResult{job: j, index: i, outcome: backlog.Errored})
		}
		b := s.nextBatch()
		if !s.prepare(context.Background(), b) || len(b.records) == 0 || recordsPerAppend(b.records) < len(b.records) {
			t.Errorf("a batch has %d records, of which one append takes %d", len(b.records), recordsPerAppend(b.records))
		}
	})
}

// Guards against a text that is not valid UTF-8, which made its record and all results behind it unreadable.
func TestTextOfAnyBytesIsListed(t *testing.T) {
	for _, inline := range []int{0, 16 << 20} {
		t.Run(fmt.Sprintf("stored inline up to %d bytes", inline), func(t *testing.T) {
			withCluster(t, 0, func(t *testing.T, cl *cluster) {
				cl.maxInlineReadBytes = inline
				cl.startNodes(2)
				time.Sleep(2 * time.Second)
				j := cl.job("bytes", "ok", "ok")
				const text = "a\xff\xc3"
				cl.targets.intercept = func(_ context.Context, c platform.TargetCall) (*platform.TargetAnswer, error, bool) {
					return streamOf(strings.NewReader("id: 1\ndata: "+text+"\n\n"), io.EOF), nil, c.Request.ID == j.Items[0].ID
				}
				cl.nodes[0].submit(j)
				for _, n := range cl.nodes {
					list := n.results(j, 10*time.Second)
					if len(list) != 2 || list[0].Item == j.Items[0].ID && list[0].Text != text || list[1].Item == j.Items[0].ID && list[1].Text != text {
						t.Errorf("process %s shows %+v, want both items and the bytes that the target sent", n.name, list)
					}
				}
			})
		})
	}
}
