package side

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func TestPlainCallIsAnswered(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(_ context.Context, c platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{Status: 201, Body: []byte(strings.Repeat(c.Method, partBytes))}, nil
		}
		b.open(1, structs.Open{Method: "GET"})
		a := b.entry.answer(1)
		if a.head == nil || a.head.Status != 201 || a.head.Target != "t" || a.end == nil || a.end.Err != nil {
			t.Fatalf("answer %+v", a)
		}
		if len(a.data) != 3 || a.end.Parts != 3 || strings.Join(a.data, "") != strings.Repeat("GET", partBytes) {
			t.Fatalf("%d parts, End says %d", len(a.data), a.end.Parts)
		}
	})
}

// Symptom: a caller reads an answer with a word doubled, missing or in the wrong
// place. The engine's parts come late, twice or with a gap. Doubled ones are
// dropped; at a gap the stream is taken up again at the position that was reached.
func TestEngineTokensAreContiguous(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
			if call.ResumeFrom > 0 {
				return tokens(sink, call.ResumeFrom-1, "abcdef")
			}
			for _, p := range []int{0, 1, 1, 0, 2, 4} {
				if err := sink(token(p, "abcdef"[p:p+1])); err != nil {
					return err
				}
			}
			return nil
		}
		b.open(1, generateOpen())
		time.Sleep(time.Second)
		synctest.Wait()
		a := b.entry.answer(1)
		if a.end == nil || a.end.Err != nil || a.end.Parts != 6 || len(a.seqs) != 6 {
			t.Fatalf("seqs %v, end %+v", a.seqs, a.end)
		}
		for i, seq := range a.seqs {
			if seq != i || a.data[i] != string(token(i, "abcdef"[i:i+1]).Data) {
				t.Fatalf("part %d is token %d: %s", i, seq, a.data[i])
			}
		}
		if g := b.target.generations(); len(g) != 2 || g[1].ResumeFrom != 3 || g[1].PriorText != "abc" {
			t.Fatalf("generations %+v", g)
		}
	})
}

// Symptom: an answer is cut off without a word. The engine breaks the stream
// each time; after the resumes are spent the caller gets a typed end.
func TestBrokenStreamEndsTyped(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(call.ResumeFrom, "x"))
			return errs.New(errs.StreamBroken, "cut")
		}
		b.open(1, generateOpen())
		time.Sleep(time.Second)
		synctest.Wait()
		a := b.entry.answer(1)
		wantEnd(t, a, errs.StreamBroken, errs.RanUnknown)
		if len(a.data) != 1+maxResumes || a.end.Parts != 1+maxResumes {
			t.Fatalf("%d parts, end %+v", len(a.data), a.end)
		}
	})
}

// Guards against resuming a stream at an engine that has crashed under it, or that may have: the request may be why.
func TestAStreamIsResumedOnlyWhileItsEngineIsAlive(t *testing.T) {
	for result, want := range map[platform.ProbeResult]struct {
		runs int
		end  errs.Type
	}{
		platform.ProbeAlive:   {1 + maxResumes, errs.StreamBroken},
		platform.ProbeUnknown: {1, errs.StreamBroken},
		platform.ProbeGone:    {1, errs.TargetCrashed},
	} {
		bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
			began := time.Now()
			b.o.Probe = func(_ context.Context, since time.Time) platform.ProbeResult {
				if since.Before(began) || since.After(time.Now()) {
					t.Errorf("asked for the start at %v, the run began at %v", since, began)
				}
				return result
			}
			b.target.generate = func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
				_ = sink(token(call.ResumeFrom, "x"))
				return errs.New(errs.StreamBroken, "cut")
			}
			b.open(1, generateOpen())
			time.Sleep(2 * diagnoseTimeout)
			synctest.Wait()
			wantEnd(t, b.entry.answer(1), want.end, errs.RanUnknown)
			if n := len(b.target.generations()); n != want.runs {
				t.Errorf("probe %v: %d runs, want %d", result, n, want.runs)
			}
		})
	}
}

// Guards against not counting a crash whose first probes show nothing.
func TestAnEngineIsAskedUntilItsAnswerShowsWhetherItHasCrashed(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		probes := 0
		b.o.Probe = func(context.Context, time.Time) platform.ProbeResult {
			if probes++; probes < 4 {
				return platform.ProbeUnknown
			}
			return platform.ProbeGone
		}
		b.target.generate = func(context.Context, platform.GenerateCall, func(platform.Token) error) error {
			return errs.New(errs.StreamBroken, "cut")
		}
		b.open(1, generateOpen())
		time.Sleep(diagnoseTimeout)
		synctest.Wait()
		wantEnd(t, b.entry.answer(1), errs.TargetCrashed, errs.RanUnknown)
	})
}

// Symptom: one caller on a slow line holds up the others of its session. Its stream
// has no credit left; another stream must get its whole answer meanwhile.
func TestSlowReaderHoldsUpNobody(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			return tokens(sink, 0, "abcdef")
		}
		slow := generateOpen()
		slow.Credit = 1
		b.open(1, slow)
		b.open(2, generateOpen())
		if a := b.entry.answer(2); a.end == nil || a.end.Err != nil || len(a.data) != 6 {
			t.Fatalf("the other stream: %+v", a)
		}
		if a := b.entry.answer(1); len(a.data) != 1 || a.end != nil {
			t.Fatalf("the slow stream got %d parts past its credit", len(a.data))
		}
		time.Sleep(10 * time.Second) // longer than the target's budget: the caller is slow, not the target
		b.send(structs.Frame{Stream: 1, Credit: &structs.Credit{Bytes: 1 << 20}})
		if a := b.entry.answer(1); a.end == nil || a.end.Err != nil || len(a.data) != 6 {
			t.Fatalf("the slow stream: %+v", a)
		}
	})
}

// Symptom: a plain service is full of calls that ended long ago: slow callers hold their places.
func TestSlowReaderHoldsNoPlace(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{Status: 200, Body: make([]byte, 2*partBytes)}, nil
		}
		b.open(1, structs.Open{Credit: 1})
		if n := b.queue.load().OnlineInFlight; n != 0 {
			t.Fatalf("%d in flight", n)
		}
		b.send(structs.Frame{Stream: 1, Cancel: &structs.Cancel{}})
		wantEnd(t, b.entry.answer(1), errs.Cancelled, errs.RanYes)
	})
}

// Symptom: an engine goes on generating for callers that are gone, because the
// entry died in the middle of its streams. What ran is cancelled, what was queued is dropped.
func TestLostSessionCancelsItsStreams(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		var cancelled atomic.Int64
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			_ = sink(token(0, "a"))
			err := hang(ctx)
			cancelled.Add(1)
			return err
		}
		for i := uint64(1); i <= 30; i++ {
			b.open(i, generateOpen())
		}
		started := len(b.target.generations())
		if load := b.queue.load(); started == 0 || load.OnlineQueued == 0 {
			t.Fatalf("%d started, load %+v", started, load)
		}
		b.closed(b.entry, errs.New(errs.SessionLost, "cut"))
		synctest.Wait()
		if int(cancelled.Load()) != started || len(b.target.generations()) != started {
			t.Fatalf("%d of %d cancelled, %d started in the end", cancelled.Load(), started, len(b.target.generations()))
		}
		if load := b.queue.load(); load.OnlineInFlight+load.OnlineQueued != 0 || b.active.Load() != 0 {
			t.Fatalf("left behind: %+v, %d streams", load, b.active.Load())
		}
	})
}

// Symptom: a client is told "not run", sends again, and the effect happens
// twice. "not run" is said only of what the target was never given.
func TestNotRunIsHonest(t *testing.T) {
	refused := errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
	reset := errs.New(errs.TargetFailed, "connection reset")
	cases := map[string]struct {
		call func(ctx context.Context) error
		act  func(b *bench)
		typ  errs.Type
		ran  errs.Ran
	}{
		"connection refused":  {func(context.Context) error { return refused }, nil, errs.TargetFailed, errs.RanNo},
		"connection reset":    {func(context.Context) error { return reset }, nil, errs.TargetFailed, errs.RanUnknown},
		"another error":       {func(context.Context) error { return errs.New(errs.Overloaded, "x") }, nil, errs.Overloaded, errs.RanUnknown},
		"hangs":               {hang, func(*bench) { time.Sleep(time.Minute) }, errs.TargetTimeout, errs.RanUnknown},
		"cancelled as it ran": {hang, func(b *bench) { b.send(structs.Frame{Stream: 1, Cancel: &structs.Cancel{}}) }, errs.Cancelled, errs.RanUnknown},
		"drained as it ran":   {hang, func(b *bench) { b.drain() }, errs.TargetTimeout, errs.RanUnknown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, structs.KindService, func(t *testing.T, b *bench) {
				b.target.call = func(ctx context.Context, _ platform.ServiceCall) (platform.ServiceAnswer, error) {
					return platform.ServiceAnswer{}, c.call(ctx)
				}
				b.open(1, structs.Open{})
				if c.act != nil {
					c.act(b)
				}
				synctest.Wait()
				wantEnd(t, b.entry.answer(1), c.typ, c.ran)
			})
		})
	}
}

// Symptom: as above, by a resume: the first connection took the request, the
// second is refused. The refusal says nothing about the first.
func TestRefusedResumeIsNotCalledNotRun(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, call platform.GenerateCall, sink func(platform.Token) error) error {
			if len(b.target.generations()) == 1 {
				return errs.New(errs.StreamBroken, "cut before the first token")
			}
			return errs.New(errs.TargetFailed, "connection refused").WithRan(errs.RanNo)
		}
		b.open(1, generateOpen())
		time.Sleep(time.Second)
		synctest.Wait()
		wantEnd(t, b.entry.answer(1), errs.TargetFailed, errs.RanUnknown)
	})
}

func TestQueuedRequestIsWithdrawnNotRun(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(ctx context.Context, _ platform.GenerateCall, _ func(platform.Token) error) error {
			return hang(ctx)
		}
		var queued uint64
		for i := uint64(1); queued == 0; i++ {
			b.open(i, generateOpen())
			if b.queue.load().OnlineQueued > 0 {
				queued = i
			}
		}
		started := len(b.target.generations())
		b.send(structs.Frame{Stream: queued, Cancel: &structs.Cancel{}})
		wantEnd(t, b.entry.answer(queued), errs.Cancelled, errs.RanNo)
		if n := len(b.target.generations()); n != started {
			t.Fatalf("%d generations, %d before the cancel", n, started)
		}
	})
}

// Symptom: a target that accepts and never answers keeps being chosen.
func TestHangingTargetCountsAsUnhealthyUntilItAnswers(t *testing.T) {
	bubble(t, structs.KindService, func(t *testing.T, b *bench) {
		b.target.call = func(ctx context.Context, _ platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{}, hang(ctx)
		}
		b.open(1, structs.Open{})
		time.Sleep(b.o.Settings.TargetBudget)
		synctest.Wait()
		wantEnd(t, b.entry.answer(1), errs.TargetTimeout, errs.RanUnknown)
		if !b.entry.answer(1).end.Load.Unhealthy {
			t.Fatal("End does not say that the target is unhealthy")
		}
		b.target.call = func(context.Context, platform.ServiceCall) (platform.ServiceAnswer, error) {
			return platform.ServiceAnswer{Status: 200}, nil
		}
		b.open(2, structs.Open{})
		if b.entry.answer(2).end.Load.Unhealthy {
			t.Fatal("the target answered and still counts as unhealthy")
		}
	})
}

// Symptom: a planned stop cuts off a request.
func TestDrainCutsOffNothing(t *testing.T) {
	bubble(t, structs.KindEngine, func(t *testing.T, b *bench) {
		b.target.generate = func(_ context.Context, _ platform.GenerateCall, sink func(platform.Token) error) error {
			for i := range 5 {
				if err := sink(token(i, "x")); err != nil {
					return err
				}
				time.Sleep(time.Second)
			}
			return nil
		}
		for i := uint64(1); i <= 20; i++ {
			b.open(i, generateOpen())
		}
		started := len(b.target.generations())
		drained := make(chan struct{})
		go func() {
			b.drain()
			close(drained)
		}()
		synctest.Wait()
		b.open(50, generateOpen())
		wantEnd(t, b.entry.answer(50), errs.Draining, errs.RanNo)
		<-drained
		whole := 0
		for i := uint64(1); i <= 20; i++ {
			a := b.entry.answer(i)
			if a.end != nil && a.end.Err == nil && len(a.data) == 5 {
				whole++
				continue
			}
			wantEnd(t, a, errs.Draining, errs.RanNo)
		}
		if whole != started || len(b.target.generations()) != started {
			t.Fatalf("%d of %d started requests finished, %d started in the end", whole, started, len(b.target.generations()))
		}
	})
}

func TestProtocolBreaksCloseTheSession(t *testing.T) {
	for name, f := range map[string]structs.Frame{
		"stream 0":        {Open: &structs.Open{}},
		"stream in use":   {Stream: 9, Open: &structs.Open{}},
		"negative credit": {Stream: 9, Credit: &structs.Credit{Bytes: -1}},
		"not for a side":  {Stream: 9, Data: &structs.Data{}},
	} {
		t.Run(name, func(t *testing.T) {
			bubble(t, structs.KindService, func(t *testing.T, b *bench) {
				b.target.call = func(ctx context.Context, _ platform.ServiceCall) (platform.ServiceAnswer, error) {
					return platform.ServiceAnswer{}, hang(ctx)
				}
				b.open(9, structs.Open{})
				b.send(f)
				if !errs.Is(b.entry.closed, errs.BadFrame) {
					t.Fatalf("closed with %v", b.entry.closed)
				}
			})
		})
	}
}
