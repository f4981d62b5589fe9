package enginehttp_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/weights"
)

func TestWholeAnswerAndResume(t *testing.T) {
	s, e := start(t, fast)
	for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
		c := call("r"+path, `{"model":"m","messages":[{"role":"user","content":"hi \"you\""}],"max_tokens":30}`)
		c.Path = path
		whole, err := collect(t.Context(), e, c)
		if err != nil || whole != engine.Expect(c.Body, 30) {
			t.Errorf("%s: %q, %v", path, whole, err)
		}
		c.ResumeFrom = 11
		rest, err := collect(t.Context(), e, c)
		if err != nil || engine.Expect(c.Body, 11)+rest != whole {
			t.Errorf("%s: resumed with %q, %v", path, rest, err)
		}
		c.ResumeFrom = 30
		if rest, err = collect(t.Context(), e, c); err != nil || rest != "" {
			t.Errorf("%s: resumed at the end with %q, %v", path, rest, err)
		}
		if got := s.Request("r" + path); got != (engine.RequestStats{Arrivals: 3, Starts: 2}) {
			t.Errorf("%s: %+v", path, got)
		}
	}
}

func TestManyStreamsShareTheBatch(t *testing.T) {
	_, e := start(t, fast)
	const streams = 300
	results := make(chan error, streams)
	for i := range streams {
		c := call("r", `{"model":"m","prompt":"`+strings.Repeat("x", i)+`","max_tokens":5}`)
		go func() {
			text, err := collect(t.Context(), e, c)
			if err == nil && text != engine.Expect(c.Body, 5) {
				err = errors.Errorf("got %q", text)
			}
			results <- err
		}()
	}
	for range streams {
		if err := <-results; err != nil {
			t.Error(err)
		}
	}
}

// Symptom: after a preemption the engine stays busy with what nobody reads. Events:
// the caller's context is cancelled while its stream runs and another waits for the
// only place. Cause: an adapter that neither closes the connection nor says cancel.
func TestCancelGivesThePlaceToTheNext(t *testing.T) {
	o := fast
	o.MaxRunning = 1
	s, e := start(t, o)
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- e.Generate(ctx, call("a", `{"model":"m","prompt":"a","max_tokens":100000000}`), func(platform.Token) error {
			select {
			case first <- struct{}{}:
			default:
			}
			return nil
		})
	}()
	<-first
	cancel()
	wantError(t, <-ended, errs.Cancelled, errs.RanUnknown)
	b := call("b", `{"model":"m","prompt":"b","max_tokens":5}`)
	if text, err := collect(t.Context(), e, b); err != nil || text != engine.Expect(b.Body, 5) {
		t.Errorf("%q, %v", text, err)
	}
	if got := s.Stats(false); got.Cancels != 1 {
		t.Errorf("%d cancels", got.Cancels)
	}
}

// Symptom: a waiting sequence that was given up on starts minutes later. Events: its
// connection closes before its first token. Cause: an engine notices a closed connection
// only when it writes, so the adapter has to say cancel as well.
func TestCancelOfAWaitingSequence(t *testing.T) {
	o := fast
	o.MaxRunning = 1
	s, e := start(t, o)
	hold, release := context.WithCancel(t.Context())
	go func() {
		_ = e.Generate(hold, call("a", `{"model":"m","prompt":"a","max_tokens":100000000}`),
			func(platform.Token) error { return nil })
	}()
	eventually(t, "a runs", func() bool { return s.Request("a").Starts == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := collect(ctx, e, call("b", `{"model":"m","prompt":"b"}`))
		ended <- err
	}()
	eventually(t, "b waits", func() bool { return s.Stats(false).Waiting == 1 })
	cancel()
	wantError(t, <-ended, errs.Cancelled, errs.RanUnknown)
	eventually(t, "b is dropped", func() bool { return s.Stats(false).Waiting == 0 })
	release()
	eventually(t, "a is dropped", func() bool { return s.Stats(false).Running == 0 })
	if got := s.Request("b").Starts; got != 0 {
		t.Errorf("b started %d times", got)
	}
}

func TestSinkErrorEndsTheStream(t *testing.T) {
	s, e := start(t, fast)
	stop := errors.New("enough")
	err := e.Generate(t.Context(), call("a", `{"model":"m","prompt":"a","max_tokens":100000000}`),
		func(platform.Token) error { return stop })
	if !errors.Is(err, stop) {
		t.Errorf("got %v", err)
	}
	eventually(t, "the stream is dropped", func() bool { return s.Stats(false).Running == 0 })
}

func TestHungEngineIsCancellable(t *testing.T) {
	s, e := start(t, fast)
	s.Turn(func(k *engine.Knobs) { k.Hang = true })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := collect(ctx, e, call("a", `{"model":"m","prompt":"a"}`))
		ended <- err
	}()
	eventually(t, "the request arrives", func() bool { return s.Request("a").Arrivals == 1 })
	cancel()
	wantError(t, <-ended, errs.Cancelled, errs.RanUnknown)
	short, cancelShort := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancelShort()
	_, err := collect(short, e, call("b", `{"model":"m","prompt":"a"}`))
	wantError(t, err, errs.TargetTimeout, errs.RanUnknown)
}

func TestRefusals(t *testing.T) {
	s, e := start(t, fast)
	for body, status := range map[string]string{
		`{"model":"m","prompt":`:                         "400",
		`{"model":"m"}`:                                  "400",
		`{"model":"other","prompt":"x"}`:                 "404",
		`{"model":"m","prompt":"\"poison\":\"refuse\""}`: "422",
	} {
		_, err := collect(t.Context(), e, call("a", body))
		wantError(t, err, errs.TargetRefused, errs.RanYes)
		if !strings.Contains(err.Error(), "answered "+status) {
			t.Errorf("%s: %v", body, err)
		}
	}
	if got := s.Request("a").Starts; got != 0 {
		t.Errorf("refused requests started %d times", got)
	}
}

// Symptom: a request that was said not to have run did run. Events: the engine's process is gone,
// then comes a request; another engine crashes with a stream under way. Cause: calling both
// cases "not run", while only a refused connection proves it.
func TestOnlyARefusedConnectionIsNotRun(t *testing.T) {
	s, e := start(t, fast)
	if _, err := collect(t.Context(), e, call("warm", `{"model":"m","prompt":"a"}`)); err != nil {
		t.Fatal(err)
	}
	_, err := collect(t.Context(), e, call("a", `{"model":"m","prompt":"x","poison":"crash"}`))
	if !errs.Is(err, errs.StreamBroken) && !errs.Is(err, errs.TargetFailed) {
		t.Errorf("crash: %v", err)
	}
	if errs.As(err).Ran != errs.RanUnknown {
		t.Errorf("crash: %s", errs.As(err).Ran)
	}
	_, err = collect(t.Context(), e, call("b", `{"model":"m","prompt":"x"}`))
	wantError(t, err, errs.TargetFailed, errs.RanNo)
	if got := s.Request("b").Arrivals; got != 0 {
		t.Errorf("the refused request arrived %d times", got)
	}
}

func TestCrashCutsAllStreamsAndTheEngineComesBack(t *testing.T) {
	o := fast
	o.RestartTime = time.Millisecond
	s, e := start(t, o)
	first := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- e.Generate(t.Context(), call("a", `{"model":"m","prompt":"a","max_tokens":100000000}`), func(platform.Token) error {
			select {
			case first <- struct{}{}:
			default:
			}
			return nil
		})
	}()
	<-first
	s.Crash()
	wantError(t, <-ended, errs.StreamBroken, errs.RanUnknown)
	c := call("b", `{"model":"m","prompt":"b","max_tokens":3}`)
	eventually(t, "the engine is back", func() bool {
		text, err := collect(t.Context(), e, c)
		return err == nil && text == engine.Expect(c.Body, 3)
	})
}

func TestOrdersWithOldFencingNumbers(t *testing.T) {
	for _, checks := range []bool{true, false} {
		o := fast
		o.ChecksFence = checks
		s, e := start(t, o)
		if err := e.Order(t.Context(), platform.Order{Fence: 7, Op: platform.OpLoad, Model: "n", Version: "2"}); err != nil {
			t.Fatal(err)
		}
		eventually(t, "n is loaded", func() bool {
			load, err := e.Load(t.Context())
			return err == nil && load.Versions["n"] == "2"
		})
		err := e.Order(t.Context(), platform.Order{Fence: 6, Op: platform.OpUnload, Model: "n"})
		if checks {
			wantError(t, err, errs.StaleFence, errs.RanNo)
		} else if err != nil {
			t.Error(err)
		}
		if got := len(s.Stats(false).Orders); got != map[bool]int{true: 1, false: 2}[checks] {
			t.Errorf("%d orders were carried out", got)
		}
	}
}

func TestLoadTakesItsWeightsFromTheStore(t *testing.T) {
	const size = 1 << 20
	w, err := weights.Start("127.0.0.1:0", weights.Options{
		Sizes:     map[structs.ModelID]int64{"n:lora": size},
		BytesPerS: 64 << 20,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Close() }()
	o := fast
	o.WeightsURL = w.URL()
	_, e := start(t, o)
	order := platform.Order{Op: platform.OpLoad, Model: "n", Adapter: "lora"}
	if err := e.Order(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the adapter is loaded", func() bool {
		load, err := e.Load(t.Context())
		return err == nil && len(load.Models) == 2
	})
	if got := w.Stats(); got.Downloads != 1 || got.Bytes != size {
		t.Errorf("%+v", got)
	}
}

func TestCacheEvents(t *testing.T) {
	o := fast
	o.EventLag = time.Millisecond
	_, e := start(t, o)
	prompt := strings.Repeat("y", 2*structs.PrefixBlock)
	if _, err := collect(t.Context(), e, call("a", `{"model":"m","prompt":"`+prompt+`"}`)); err != nil {
		t.Fatal(err)
	}
	want := structs.PromptPrefixes([]byte(`"` + prompt + `"`))
	eventually(t, "both events", func() bool {
		events, err := e.CacheEvents(t.Context(), 0)
		return err == nil && len(events) == 2 && events[1].Prefix == want[1] && events[1].Added
	})
	if events, err := e.CacheEvents(t.Context(), 2); err != nil || len(events) != 0 {
		t.Errorf("%v, %v", events, err)
	}
}
