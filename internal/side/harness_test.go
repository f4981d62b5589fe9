package side

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

// fakeLink is a session whose frames the test reads.
type fakeLink struct {
	host structs.HostID

	mu     sync.Mutex
	sent   []structs.Frame
	closed error
	paused time.Time // not heard of since; zero: heard of now
}

func (l *fakeLink) Send(f *structs.Frame) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed != nil {
		return l.closed
	}
	l.sent = append(l.sent, *f)
	return nil
}

func (l *fakeLink) Peer() structs.Hello { return structs.Hello{Host: l.host} }

func (l *fakeLink) Heard() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused.IsZero() {
		return time.Now()
	}
	return l.paused
}

func (l *fakeLink) setPaused(p bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = time.Time{}
	if p {
		l.paused = time.Now()
	}
}

func (l *fakeLink) Close(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = err
}

func (l *fakeLink) frames(pick func(f *structs.Frame) bool) []structs.Frame {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []structs.Frame
	for i := range l.sent {
		if pick(&l.sent[i]) {
			out = append(out, l.sent[i])
		}
	}
	return out
}

// answer is what came on a stream.
type answer struct {
	head *structs.Head
	data []string
	seqs []int
	end  *structs.End
}

func (l *fakeLink) answer(stream uint64) answer {
	var a answer
	for _, f := range l.frames(func(f *structs.Frame) bool { return f.Stream == stream }) {
		switch {
		case f.Head != nil:
			a.head = f.Head
		case f.Data != nil:
			a.data = append(a.data, string(f.Data.Payload))
			a.seqs = append(a.seqs, f.Data.Seq)
		case f.End != nil:
			a.end = f.End
		}
	}
	return a
}

// done returns the outcomes that came; those sent again for want of an acknowledgement count once.
func (l *fakeLink) done() []structs.ItemDone {
	var out []structs.ItemDone
	for _, f := range l.frames(func(f *structs.Frame) bool { return f.ItemDone != nil }) {
		again := func(d structs.ItemDone) bool { return d.Ref == f.ItemDone.Ref }
		if !slices.ContainsFunc(out, again) {
			out = append(out, *f.ItemDone)
		}
	}
	return out
}

// fakeTarget is an engine and a plain service that do what the test says.
type fakeTarget struct {
	generate func(ctx context.Context, call platform.GenerateCall, sink func(platform.Token) error) error
	call     func(ctx context.Context, c platform.ServiceCall) (platform.ServiceAnswer, error)
	order    func(o platform.Order) error

	mu      sync.Mutex
	loadErr error
	models  []structs.ModelID // loaded; nil for "m"
	gens    []platform.GenerateCall
	calls   int
}

func (t *fakeTarget) Generate(ctx context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
	t.mu.Lock()
	t.gens = append(t.gens, call)
	t.mu.Unlock()
	return t.generate(ctx, call, sink)
}

func (t *fakeTarget) Load(context.Context) (platform.EngineLoad, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.models != nil {
		return platform.EngineLoad{Models: t.models}, t.loadErr
	}
	return platform.EngineLoad{Models: []structs.ModelID{"m"}}, t.loadErr
}

func (t *fakeTarget) setModels(ids ...structs.ModelID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.models = ids
}

func (t *fakeTarget) failLoad(err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.loadErr = err
}

func (t *fakeTarget) Order(_ context.Context, o platform.Order) error { return t.order(o) }

func (t *fakeTarget) CacheEvents(context.Context, uint64) ([]platform.CacheEvent, error) {
	return nil, nil
}

func (t *fakeTarget) Call(ctx context.Context, c platform.ServiceCall) (platform.ServiceAnswer, error) {
	t.mu.Lock()
	t.calls++
	t.mu.Unlock()
	return t.call(ctx, c)
}

func (t *fakeTarget) generations() []platform.GenerateCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.gens)
}

func (t *fakeTarget) runs() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls
}

func token(pos int, text string) platform.Token {
	data, _ := json.Marshal(map[string]any{"id": "g", "model": "m", "choices": []map[string]any{{"text": text}}})
	return platform.Token{Pos: pos, Data: data}
}

// tokens hands out the tokens from position from to the end of text, one a letter.
func tokens(sink func(platform.Token) error, from int, text string) error {
	for i := from; i < len(text); i++ {
		if err := sink(token(i, text[i:i+1])); err != nil {
			return err
		}
	}
	return nil
}

// hang waits for the end of ctx, as an adapter does.
func hang(ctx context.Context) error {
	<-ctx.Done()
	return errs.New(errs.Cancelled, "the call was cancelled")
}

// bench is a side with one entry in a bubble of synctest.
type bench struct {
	*Side
	target *fakeTarget
	entry  *fakeLink
}

func sideSettings(kind structs.TargetKind) settings.Side {
	return settings.Side{
		Target:       structs.TargetInfo{ID: "t", Kind: kind, Service: "svc", Models: []structs.ModelID{"m"}},
		TargetBudget: 5 * time.Second,
		LoadEvery:    20 * time.Millisecond,
		DrainTimeout: time.Minute,
		MaxLimit:     8,
		MaxQueue:     16,
		KeyWindow:    time.Minute,
	}
}

// bubble runs f with a side that an entry has told that there was no order yet.
func bubble(t *testing.T, kind structs.TargetKind, f func(t *testing.T, b *bench)) {
	t.Helper()
	started(t, kind, func(t *testing.T, b *bench) {
		b.send(structs.Frame{Fence: &structs.Fence{}})
		f(t, b)
	})
}

// unlearnt is bubble for an engine's side that has just started.
func unlearnt(t *testing.T, f func(t *testing.T, b *bench)) {
	t.Helper()
	started(t, structs.KindEngine, f)
}

func started(t *testing.T, kind structs.TargetKind, f func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		target := &fakeTarget{}
		o := Options{Settings: sideSettings(kind)}
		if kind == structs.KindEngine {
			o.Engine = target
		} else {
			o.Service = target
		}
		if err := check(&o); err != nil {
			t.Fatal(err)
		}
		b := &bench{Side: build(o, time.Now()), target: target, entry: &fakeLink{host: "e1"}}
		stop := b.loops()
		defer func() {
			if err := stop(); err != nil {
				t.Error(err)
			}
			synctest.Wait()
		}()
		b.opened(b.entry)
		if kind == structs.KindService {
			time.Sleep(2 * o.Settings.KeyWindow) // the bubble's clock: undated keys are known from here on
		}
		time.Sleep(time.Second)
		f(t, b)
	})
}

func (b *bench) open(stream uint64, o structs.Open) {
	if o.Credit == 0 {
		o.Credit = 1 << 20
	}
	o.Target = "t"
	b.frame(b.entry, &structs.Frame{Stream: stream, Open: &o})
	synctest.Wait()
}

func (b *bench) send(f structs.Frame) {
	b.frame(b.entry, &f)
	synctest.Wait()
}

func generateOpen() structs.Open {
	return structs.Open{Request: "r", Path: "/v1/completions", Generate: &structs.Generate{Model: "m", MaxTokens: 8}}
}

func batchItem(job structs.JobID, index int) structs.Item {
	return structs.Item{
		Ref:      structs.ItemRef{Epoch: 5, Job: job, Index: index},
		Path:     "/v1/completions",
		Generate: &structs.Generate{Model: "m", MaxTokens: 8, PromptTokens: 3},
	}
}

func (b *bench) sendItems(items ...structs.Item) {
	b.send(structs.Frame{Items: &structs.Items{Items: items}})
}

func wantEnd(t *testing.T, a answer, typ errs.Type, ran errs.Ran) {
	t.Helper()
	if a.end == nil {
		t.Fatal("the stream did not end")
	}
	if a.end.Err == nil || a.end.Err.Type != typ || a.end.Err.Ran != ran {
		t.Fatalf("ended with %+v, want %s, %q", a.end.Err, typ, ran)
	}
}
