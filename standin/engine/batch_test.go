package engine

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/structs"
)

var testModel = Options{
	Base:            10 * time.Millisecond,
	PerSeq:          time.Millisecond,
	PerPrefillToken: 100 * time.Microsecond,
	PrefillChunk:    100,
	MaxRunning:      2,
	CacheBlocks:     4,
}.WithDefaults()

// testBatch is a batch that remembers what joined it and its cache events.
type testBatch struct {
	*batch
	started []string
	events  []string
}

func newTestBatch(o Options) *testBatch {
	tb := &testBatch{}
	tb.batch = newBatch(o,
		func(s *sequence) { tb.started = append(tb.started, s.id) },
		func(prefix uint64, added bool) { tb.events = append(tb.events, fmt.Sprint(prefix, added)) })
	return tb
}

func testSequence(id string, prompt, from, maxTokens int) *sequence {
	s := &sequence{id: id, content: 1, prompt: prompt, from: from, max: maxTokens, wake: make(chan struct{}, 1)}
	s.next.Store(int64(from))
	return s
}

// step runs one step and returns how long the model says that it takes.
func (tb *testBatch) step(t *testing.T) time.Duration {
	t.Helper()
	st, ok := tb.begin()
	if !ok {
		t.Fatal("nothing to do")
	}
	tb.finish()
	return st.duration
}

func TestStepTimeGrowsWithBatchAndPrefill(t *testing.T) {
	b := newTestBatch(testModel)
	b.add(testSequence("a", 250, 0, 3))
	b.add(testSequence("b", 10, 0, 9))
	// Prefill goes in chunks of 100 tokens in arrival order; b waits for a's prompt.
	want := []time.Duration{
		22 * time.Millisecond, // 100 of a
		22 * time.Millisecond, // 100 of a
		18 * time.Millisecond, // 50 of a, 10 of b: both get their first token
		12 * time.Millisecond,
		12 * time.Millisecond, // a ends
		11 * time.Millisecond,
	}
	for i, w := range want {
		if got := b.step(t); got != w {
			t.Errorf("step %d took %v, want %v", i, got, w)
		}
	}
	if b.totals.Tokens != 3+4 || b.totals.PrefillTokens != 260 || b.totals.Finished != 1 {
		t.Errorf("totals are %+v", b.totals)
	}
}

func TestCapacityHelpersAgreeWithTheBatch(t *testing.T) {
	o := testModel
	b := newTestBatch(o)
	var modelled time.Duration
	const requests, prompt, tokens = 200, 40, 20
	for i := range requests {
		s := testSequence(fmt.Sprint(i), prompt, 0, tokens)
		b.add(s)
	}
	for b.totals.Finished < requests {
		modelled += b.step(t)
	}
	got := requests / modelled.Seconds()
	want := o.RequestsPerS(o.MaxRunning, prompt, tokens)
	if got < want*0.98 || got > want*1.02 {
		t.Errorf("the batch completes %.2f requests/s, RequestsPerS says %.2f", got, want)
	}
	if got, want := o.MaxTokensPerS(2), 2/0.012; got < want*0.999 || got > want*1.001 {
		t.Errorf("MaxTokensPerS is %v, want %v", got, want)
	}
}

func TestWaitingIsFirstComeFirstServed(t *testing.T) {
	b := newTestBatch(testModel)
	for _, id := range []string{"a", "b", "c", "d"} {
		b.add(testSequence(id, 4, 0, 1))
	}
	b.step(t)
	b.step(t)
	if got := fmt.Sprint(b.started); got != "[a b c d]" {
		t.Errorf("joined in order %s", got)
	}
}

// Symptom: an experiment shows preemption to be free. Events: a running stream is cancelled
// and another waits. Cause: a stand-in that gives the place back at once, while
// a real engine does so only when it next schedules.
func TestCancelledStreamHoldsItsPlaceUntilTheNextStep(t *testing.T) {
	o := testModel
	o.MaxRunning = 1
	b := newTestBatch(o)
	b.add(testSequence("a", 4, 0, 100))
	b.add(testSequence("b", 4, 0, 100))
	if _, ok := b.begin(); !ok {
		t.Fatal("a did not start")
	}
	if n := b.cancel("a", ""); n != 1 {
		t.Fatalf("%d cancelled", n)
	}
	if len(b.running) != 1 || len(b.waiting) != 1 {
		t.Fatalf("during the step %d run and %d wait", len(b.running), len(b.waiting))
	}
	b.finish()
	b.step(t)
	if got := fmt.Sprint(b.started); got != "[a b]" {
		t.Errorf("joined: %s", got)
	}
	if n := b.cancel("a", ""); n != 0 {
		t.Errorf("a second cancel found %d streams", n)
	}
}

func TestCancelNamesOneAttempt(t *testing.T) {
	b := newTestBatch(testModel)
	second := testSequence("a", 4, 0, 9)
	second.attempt = "2"
	b.add(second)
	if n := b.cancel("a", "1"); n != 0 {
		t.Error("a late cancel of attempt 1 ended attempt 2")
	}
	if n := b.cancel("a", "2"); n != 1 {
		t.Error("the cancel of attempt 2 found nothing")
	}
}

func TestPrefixCacheSkipsPrefillInLimitedMemory(t *testing.T) {
	b := newTestBatch(testModel)
	prompt := func(id string, prefixes ...uint64) *sequence {
		s := testSequence(id, len(prefixes)*tokensPerBlock+5, 0, 1)
		s.prefixes = prefixes
		return s
	}
	run := func(s *sequence) int64 {
		before := b.totals.PrefillTokens
		b.add(s)
		for s.state.Load() == int32(sequenceOpen) {
			b.step(t)
		}
		return b.totals.PrefillTokens - before
	}
	if got := run(prompt("a", 1, 2, 3)); got != 3*tokensPerBlock+5 {
		t.Errorf("a cold prompt had %d prefill tokens", got)
	}
	if got := run(prompt("b", 1, 2, 9)); got != tokensPerBlock+5 {
		t.Errorf("a prompt with two cached blocks had %d prefill tokens", got)
	}
	// Room is for 4 blocks: 3 is the one unused for longest and makes room for 7.
	run(prompt("c", 7))
	if got := run(prompt("d", 1, 2, 3)); got != tokensPerBlock+5 {
		t.Errorf("after block 3 was dropped there were %d prefill tokens", got)
	}
	if got := fmt.Sprint(b.events); got != "[1 true 2 true 3 true 9 true 3 false 7 true 9 false 3 true]" {
		t.Errorf("events: %s", got)
	}
}

// Symptom: preemption looks cheaper than it is. Events: a stream is cancelled at
// position 30 and resumed there. Cause: the KV cache is gone, so the prompt and the 30 tokens are
// prefilled again, unless the engine was told to keep it.
func TestResumePaysPrefillAgainUnlessKept(t *testing.T) {
	for _, c := range []struct{ keep, want int }{{0, 50 + 30}, {1, 1}} {
		o := testModel
		o.KeepKV = c.keep
		b := newTestBatch(o)
		b.add(testSequence("a", 50, 0, 40))
		for range 30 {
			b.step(t)
		}
		b.cancel("a", "")
		b.begin()
		before := b.totals.PrefillTokens
		b.add(testSequence("a", 50, 30, 40))
		b.step(t)
		if got := b.totals.PrefillTokens - before; got != int64(c.want) {
			t.Errorf("keeping %d: resumed with %d prefill tokens, want %d", c.keep, got, c.want)
		}
	}
}

func TestCrashForgetsEverything(t *testing.T) {
	o := testModel
	o.KeepKV = 1
	b := newTestBatch(o)
	s := testSequence("a", 64, 0, 9)
	s.prefixes = []uint64{5}
	b.add(s)
	b.step(t)
	b.crash()
	if s.state.Load() != int32(sequenceStopped) || len(b.running) != 0 || b.cache.used() != 0 {
		t.Error("something outlived the crash")
	}
	b.finish()
	if _, ok := b.begin(); ok {
		t.Error("there is something to do after the crash")
	}
}

func TestTokensDependOnContentAndPosition(t *testing.T) {
	completion := []byte(`{"model":"m","prompt":"hello","max_tokens":5}`)
	other := []byte(`{"model":"m","prompt":"hello!","max_tokens":5}`)
	streamed := []byte(`{"stream":true,"model":"m","prompt":"hello"}`)
	whole := Expect(completion, 40)
	if whole == "" || whole == Expect(other, 40) || whole != Expect(streamed, 40) {
		t.Error("the answer has to depend on model and prompt, and on nothing else")
	}
	content, err := ContentHash(completion)
	if err != nil {
		t.Fatal(err)
	}
	if Expect(completion, 17)+expectText(content, 17, 40) != whole {
		t.Error("the answer's parts don't make the whole")
	}
}

func TestPromptPrefixesMarkWholeBlocks(t *testing.T) {
	text := make([]byte, 3*structs.PrefixBlock+10)
	base := structs.PromptPrefixes(text)
	text[structs.PrefixBlock] = 'x'
	changed := structs.PromptPrefixes(text)
	if len(base) != 3 || base[0] != changed[0] || base[1] == changed[1] || base[2] == changed[2] {
		t.Errorf("prefixes %x and %x", base, changed)
	}
}

func TestPoisonIsFoundInPrompts(t *testing.T) {
	for body, want := range map[string]Poison{
		`{"prompt":"x","poison":"refuse"}`:                                           PoisonRefuse,
		`{"prompt":"say \"poison\":\"hang\" now"}`:                                   PoisonHang,
		`{"messages":[{"role":"user","content":"{\"poison\":\"crash\"}"}]}`:          PoisonCrash,
		`{"prompt":"about poison in the water"}`:                                     "",
		`{"messages":[{"role":"user","content":"\"poison\": \"something else\" "}]}`: "",
	} {
		r, err := parseRequest([]byte(body))
		if err != nil || r.Poison != want {
			t.Errorf("%s: %q, %v", body, r.Poison, err)
		}
	}
}
