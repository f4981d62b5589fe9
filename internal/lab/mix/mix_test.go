package mix

import (
	"context"
	"io"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
)

// Symptom: harm differs between phases that should differ by batch alone.
// Cause: the phases do not get the same calls at the same times.
func TestPlanIsTheSameForTheSameSeed(t *testing.T) {
	s := shapes["kelpie"]
	a, b := plan(s, 3, 10*time.Second), plan(s, 3, 10*time.Second)
	if !slices.Equal(a, b) {
		t.Error("two plans of one seed differ")
	}
	if slices.Equal(a, plan(s, 4, 10*time.Second)) {
		t.Error("plans of two seeds are the same")
	}
	if !slices.IsSortedFunc(a, func(x, y call) int { return int(x.At - y.At) }) {
		t.Error("the calls are not in order of time")
	}
}

// Symptom: a prompt costs another number of tokens at the engine than planned, and the idle capacity is wrong.
func TestWordsHaveTheTokensAskedFor(t *testing.T) {
	for _, c := range plan(shapes["tuulai"], 1, 5*time.Second) {
		if len(c.Prompt)%bytesPerToken != 0 || len(c.Prompt) == 0 {
			t.Fatalf("call %d: a prompt of %d bytes", c.Index, len(c.Prompt))
		}
	}
}

// Symptom: batch share above 1. Cause: online calls are not taken off what the engines can do.
func TestIdleRate(t *testing.T) {
	idle := idleRate(rate{tokens: 1000, work: 8}, 2)
	if math.Abs(idle.tokens-750) > 1e-9 {
		t.Errorf("idle %v tokens/s, want 750", idle.tokens)
	}
	if got := idleRate(rate{tokens: 1000, work: 8}, 9); got.tokens != 0 {
		t.Errorf("idle %v tokens/s under overload, want 0", got.tokens)
	}
}

// Symptom: an item counts twice or its wrong answer counts. Sequence: the outcome comes
// late, twice, or with the text of another item. Cause: outcomes are counted as they come.
func TestFeedCountsAnItemOnce(t *testing.T) {
	f := newFeed(shapes["kelpie"], 1)
	items := f.items("entry-1", &structs.Pull{Target: "engine-1", Room: 2})
	good := func(i int) *structs.ItemDone {
		n := items[i].Generate.MaxTokens
		return &structs.ItemDone{Ref: items[i].Ref, Body: []byte(`{"choices":[{"text":"` + engine.Expect(items[i].Body, n) + `"}]}`)}
	}
	f.ended(good(0))
	f.ended(good(0))
	other := good(0)
	other.Ref = items[1].Ref
	f.ended(other)
	if got := f.counts(); got.done != 1 || got.wrong != 1 {
		t.Errorf("%d done and %d wrong, want 1 and 1", got.done, got.wrong)
	}
}

// Symptom: items of a lost entry are never done. Sequence: an entry dies while sides hold its items.
func TestFeedHandsLostItemsOutAgain(t *testing.T) {
	f := newFeed(shapes["kelpie"], 1)
	first := f.items("entry-1", &structs.Pull{Room: 1})[0]
	f.ownerLost("entry-1")
	again := f.items("entry-2", &structs.Pull{Room: 1})[0]
	if again.Ref.Index != first.Ref.Index || again.Ref.Attempt != first.Ref.Attempt+1 {
		t.Errorf("got %+v after %+v", again.Ref, first.Ref)
	}
	f.ended(&structs.ItemDone{Ref: first.Ref, GaveBack: true})
	if got := f.counts(); got.gaveBack != 0 {
		t.Error("the outcome of the lost owner's attempt was counted")
	}
}

// Symptom: a fault is in the report and never happened. Cause: a link passes bytes while
// it is paused, or does not break when it is killed.
func TestLinkPausesAndBreaks(t *testing.T) {
	target, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go echo(target)
	ls := newLinks()
	defer ls.close()
	l, err := ls.get(pair{"a", "b"}, target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	buf := make([]byte, 1)
	say := func(b byte) { _, _ = c.Write([]byte{b}) }
	say(1)
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 1 {
		t.Fatalf("read %v, %v", buf, err)
	}
	pause(l)
	say(2)
	_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // it is open
	if _, err := io.ReadFull(c, buf); err == nil {
		t.Error("a byte passed while the link was paused")
	}
	_ = c.SetReadDeadline(time.Time{})
	resume(l)
	if _, err := io.ReadFull(c, buf); err != nil || buf[0] != 2 {
		t.Fatalf("read %v, %v after the pause", buf, err)
	}
	kill(l)
	if _, err := c.Read(buf); err == nil {
		t.Error("the connection lives on after the kill")
	}
}

func echo(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(c, c) }()
	}
}

// Symptom: a typing error in a flag runs another experiment than asked. Cause: unknown names are taken for defaults.
func TestOptionsAreChecked(t *testing.T) {
	good := Options{Shape: "kelpie", Policy: "latency", Headroom: -1, Seconds: DefaultSeconds}
	for name, change := range map[string]func(*Options){
		"shape":    func(o *Options) { o.Shape = "kea" },
		"policy":   func(o *Options) { o.Policy = "fast" },
		"headroom": func(o *Options) { o.Headroom = 2 },
		"seconds":  func(o *Options) { o.Seconds = 1 },
		"fault":    func(o *Options) { o.Fault = "flood" },
	} {
		o := good
		o.Out, o.Progress = io.Discard, io.Discard
		change(&o)
		if _, err := Run(context.Background(), o); !errs.Is(err, errs.BadSettings) {
			t.Errorf("%s: %v, want bad settings", name, err)
		}
	}
}
