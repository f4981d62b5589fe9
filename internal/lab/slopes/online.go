package slopes

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

const (
	rigCallers = 8  // connections that share the rate of requests
	rigSides   = 8  // sides with sessions
	rigStreams = 32 // streams over all sides: 4 a side, as an entry has at the target size
)

// paced runs call on rigCallers goroutines at rate calls a second together for the window, on a
// fixed schedule, and returns the processor time of the process, microseconds a second.
func paced(ctx context.Context, window time.Duration, rate float64, call func(worker int) error) (float64, error) {
	var g errgroup.Group
	settle()
	began := time.Now()
	before := cpuTime()
	every := time.Duration(float64(rigCallers) / rate * float64(time.Second))
	for w := range rigCallers {
		g.Go(func() error {
			next := began.Add(every * time.Duration(w) / rigCallers)
			for ; next.Before(began.Add(window)) && ctx.Err() == nil; next = next.Add(every) {
				time.Sleep(time.Until(next))
				if err := call(w); err != nil {
					return err
				}
			}
			return nil
		})
	}
	err := g.Wait()
	return micros(cpuTime()-before) / time.Since(began).Seconds(), err
}

// sessionEcho is a thin entry before a thin side: the session alone, whose cost is taken off
// what is measured with one real end.
type sessionEcho struct {
	side    *thinSide
	entries []*thinEntry
}

func startSessionEcho(ctx context.Context, n int, answer bool) (*sessionEcho, error) {
	t, err := startThinSide(targetInfo(0, structs.KindService), answer)
	if err != nil {
		return nil, err
	}
	e := &sessionEcho{side: t}
	for i := range n {
		c, err := dialThinEntry(ctx, t.addr(), i)
		if err != nil {
			e.stop()
			return nil, err
		}
		e.entries = append(e.entries, c)
	}
	return e, nil
}

func (e *sessionEcho) stop() {
	for _, c := range e.entries {
		c.close()
	}
	e.side.close()
}

func serviceOpen(i int) *structs.Open {
	return &structs.Open{
		Request: structs.RequestID(fmt.Sprint("request-", i)), Target: targetInfo(0, structs.KindService).ID,
		Workspace: "slopes", Method: "POST", Path: "/echo", Body: serviceAnswer, TimeoutMs: 60_000, Credit: 256 << 10,
	}
}

// measureRequests measures small plain calls at entry and side.
func measureRequests(ctx context.Context, b *bench) error {
	echo, err := startSessionEcho(ctx, rigCallers, true)
	if err != nil {
		return err
	}
	defer echo.stop()
	session := func(rate float64) (float64, error) {
		return paced(ctx, b.window, rate, func(w int) error { return echo.entries[w].call(ctx, serviceOpen(w)) })
	}
	entryCalls, stopEntry, err := entryCaller(ctx, structs.KindService, httpPost("/svc/"+string(rigService)+"/echo", serviceAnswer))
	if err != nil {
		return err
	}
	defer stopEntry()
	sideCalls, stopSide, err := sideCaller(ctx)
	if err != nil {
		return err
	}
	defer stopSide()
	at := func(x float64) ([]float64, error) {
		alone, err := session(x)
		if err != nil {
			return nil, err
		}
		atEntry, err := paced(ctx, b.window, x, entryCalls)
		if err != nil {
			return nil, err
		}
		atSide, err := paced(ctx, b.window, x, sideCalls)
		return []float64{atEntry - alone/2, atSide - alone/2}, err
	}
	return b.measure(ctx, b.few(100, 200, 400, 800), at,
		Slope{Name: EntryCPURequest, Feeds: "entry: processor time of requests (data path)", Unit: "us/request", Base: "us/s", Over: "requests/s",
			Model: "64 B call of a plain service over one session, 1 candidate, decision logged; the caller's read and write are in it, half of the bare session's cost is off"},
		Slope{Name: SideCPURequest, Feeds: "side: processor time of requests (data path)", Unit: "us/request", Base: "us/s", Over: "requests/s",
			Model: "the same call over HTTP to a thin target, whose cost is in it; half of the bare session's cost is off"})
}

// entryCaller returns a call of a real entry before one thin side.
func entryCaller(ctx context.Context, kind structs.TargetKind, request []byte) (func(int) error, func(), error) {
	rig, err := startEntryRig(ctx, 1, kind, true)
	if err != nil {
		return nil, nil, err
	}
	callers := make([]*caller, 0, rigCallers)
	stop := func() {
		for _, c := range callers {
			c.close()
		}
		rig.stop()
	}
	for range rigCallers {
		c, err := dialCaller(rig.entry.CallerAddr())
		if err != nil {
			stop()
			return nil, nil, err
		}
		callers = append(callers, c)
	}
	call := func(w int) error {
		if err := callers[w].write(request); err != nil {
			return err
		}
		return callers[w].answer()
	}
	// The entry knows the target a moment after the side knows the session.
	err = await(ctx, func() bool { return call(0) == nil })
	if err != nil {
		stop()
	}
	return call, stop, err
}

// sideCaller returns a call of a real side of a thin service.
func sideCaller(ctx context.Context) (func(int) error, func(), error) {
	target, err := startThinTarget(serviceAnswer)
	if err != nil {
		return nil, nil, err
	}
	rig, err := startSideRig(targetInfo(0, structs.KindService), target.url())
	if err != nil {
		target.close()
		return nil, nil, err
	}
	var entries []*thinEntry
	stop := func() {
		for _, e := range entries {
			e.close()
		}
		rig.stop()
		target.close()
	}
	for i := range rigCallers {
		e, err := dialThinEntry(ctx, rig.side.Addr(), i)
		if err != nil {
			stop()
			return nil, nil, err
		}
		entries = append(entries, e)
	}
	return func(w int) error { return entries[w].call(ctx, serviceOpen(w)) }, stop, nil
}

// measurePrompts measures what a longer prompt costs an entry: it is parsed, hashed and passed on.
func measurePrompts(ctx context.Context, b *bench) error {
	const rate = 100
	at := func(x float64) ([]float64, error) {
		prompt := bytes.Repeat([]byte("case note "), int(x)*kibi/10)
		body := fmt.Appendf(nil, `{"model":"%s","max_tokens":1,"messages":[{"role":"user","content":"%s"}]}`, modelID(0), prompt)
		calls, stop, err := entryCaller(ctx, structs.KindEngine, httpPost("/v1/chat/completions", body))
		if err != nil {
			return nil, err
		}
		defer stop()
		used, err := paced(ctx, b.window, rate, calls)
		return []float64{used / rate}, err
	}
	return b.measure(ctx, b.few(1, 4, 16, 32), at, Slope{
		Name: EntryCPUPrompt, Feeds: "entry: processor time of requests (data path)", Unit: "us/KiB", Base: "us/request", Over: "KiB of prompt",
		Model: "chat request with one token as answer at 100/s; caller and thin side are in it",
	})
}

// steps calls burst at a fixed pace for the window and returns the processor time, microseconds a second.
func steps(ctx context.Context, window, every time.Duration, burst func()) float64 {
	settle()
	tick := time.NewTicker(every)
	defer tick.Stop()
	began := time.Now()
	used := cpuDuring(func() {
		for time.Since(began) < window && ctx.Err() == nil {
			<-tick.C
			burst()
		}
	})
	return used / time.Since(began).Seconds()
}

// stepFor is the time between two tokens of a stream that gives rate tokens a second over all.
func stepFor(rate float64) time.Duration {
	return time.Duration(rigStreams / rate * float64(time.Second))
}

// measureTokens measures relayed tokens at entry and side.
func measureTokens(ctx context.Context, b *bench) error {
	echo, err := openSessions(ctx)
	if err != nil {
		return err
	}
	defer echo.stop()
	relay, err := openAtEntry(ctx)
	if err != nil {
		return err
	}
	defer relay.stop()
	produced, err := openAtSides(ctx)
	if err != nil {
		return err
	}
	defer produced.stop()
	at := func(x float64) ([]float64, error) {
		step := stepFor(x)
		alone := steps(ctx, b.window, step, echo.burst)
		atEntry := steps(ctx, b.window, step, relay.burst)
		atSide := steps(ctx, b.window, step, produced.burst)
		return []float64{atEntry - alone/2, atSide - alone/2}, relay.check()
	}
	model := fmt.Sprintf("%d streams over %d sessions, %d B a token", rigStreams, rigSides, len(tokenEvent))
	return b.measure(ctx, b.few(1000, 2000, 4000, 8000), at,
		Slope{Name: EntryCPUToken, Feeds: "entry: processor time of tokens (data path)", Unit: "us/token", Base: "us/s", Over: "tokens/s",
			Model: model + "; the caller's reads are in it, half of the bare session's cost is off"},
		Slope{Name: SideCPUToken, Feeds: "side: processor time of tokens (data path)", Unit: "us/token", Base: "us/s", Over: "tokens/s",
			Model: model + fmt.Sprintf(", %d sides; the thin engine's writes are in it, half of the bare session's cost is off", rigSides)})
}

func generateOpen(i int) *structs.Open {
	return &structs.Open{
		Request: structs.RequestID(fmt.Sprint("request-", i)), Target: targetInfo(i%rigSides, structs.KindEngine).ID,
		Workspace: "slopes", Method: "POST", Path: "/v1/chat/completions", Body: generateBody,
		Generate:  &structs.Generate{Model: modelID(0), MaxTokens: 100_000, PromptTokens: 4, Chat: true, Stream: true},
		TimeoutMs: time.Hour.Milliseconds(), Credit: 1 << 30,
	}
}

var generateBody = fmt.Appendf(nil, `{"model":"%s","max_tokens":100000,"stream":true,"messages":[{"role":"user","content":"summarise"}]}`, modelID(0))

// openStreams are streams that get a token at each burst.
type openStreams struct {
	burst func()
	check func() error
	stop  func()
}

// openSessions opens the streams over bare sessions.
func openSessions(ctx context.Context) (*openStreams, error) {
	echo, err := startSessionEcho(ctx, rigSides, false)
	if err != nil {
		return nil, err
	}
	for i := range rigStreams {
		if err := echo.entries[i%rigSides].send(generateOpen(i)); err != nil {
			echo.stop()
			return nil, err
		}
	}
	o := &openStreams{burst: echo.side.burst, stop: echo.stop}
	return o, await(ctx, func() bool { return echo.side.open() == rigStreams })
}

// openAtEntry opens the streams through a real entry.
func openAtEntry(ctx context.Context) (*openStreams, error) {
	rig, err := startEntryRig(ctx, rigSides, structs.KindEngine, false)
	if err != nil {
		return nil, err
	}
	var callers []*caller
	stop := func() {
		for _, c := range callers {
			c.close()
		}
		rig.stop()
	}
	// One stream after another and a first token for each, so that they spread over the sides.
	request := httpPost("/v1/chat/completions", generateBody)
	for i := range rigStreams {
		c, err := dialCaller(rig.entry.CallerAddr())
		if err == nil {
			callers = append(callers, c)
			err = c.write(request)
		}
		if err == nil {
			err = await(ctx, func() bool { return rig.open() == i+1 })
		}
		if err != nil {
			stop()
			return nil, err
		}
		go c.discard()
	}
	check := func() error {
		if n := rig.open(); n != rigStreams {
			return errs.Newf(errs.Internal, "%d streams are open, not %d", n, rigStreams)
		}
		return nil
	}
	return &openStreams{burst: rig.burst, check: check, stop: stop}, nil
}

func (r *entryRig) open() int {
	n := 0
	for _, t := range r.sides {
		n += t.open()
	}
	return n
}

func (r *entryRig) burst() {
	for _, t := range r.sides {
		t.burst()
	}
}

// openAtSides opens the streams at real sides of a thin engine.
func openAtSides(ctx context.Context) (*openStreams, error) {
	target, err := startThinTarget(serviceAnswer)
	if err != nil {
		return nil, err
	}
	stops := []func(){target.close}
	stop := func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	for i := range rigSides {
		rig, err := startSideRig(targetInfo(i, structs.KindEngine), target.url())
		if err != nil {
			stop()
			return nil, err
		}
		stops = append(stops, rig.stop)
		e, err := dialThinEntry(ctx, rig.side.Addr(), i)
		if err != nil {
			stop()
			return nil, err
		}
		stops = append(stops, e.close)
		for s := range rigStreams / rigSides {
			if err := e.send(generateOpen(i + s*rigSides)); err != nil {
				stop()
				return nil, err
			}
		}
	}
	o := &openStreams{burst: target.burst, stop: stop}
	return o, await(ctx, func() bool { return target.open() == rigStreams })
}
