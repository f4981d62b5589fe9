//go:build review

package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// queuePerRunner is how many requests wait at a runner.
	queuePerRunner = 24
)

// Engine holds the figures of the engine of a model runner, as the sheet of a site states them.
type Engine struct {
	Step              time.Duration // for an output token
	PromptTokensPerMS float64
}

// prefill is the time for reading a prompt of that many tokens.
func (e Engine) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.PromptTokensPerMS * float64(time.Millisecond))
}

// Runner is a stand-in for a model runner. It answers with one event for each output token that the request may have.
type Runner struct {
	ID, Service, Zone string
	Slots             int
	Engine            Engine
	EventBytes        int // length to which the data of events are filled up; 0 leaves them short
	// OnReached, if it is not nil, is called when a request has arrived, and OnRun when its run begins, with its first token.
	OnReached, OnRun func(runner, request string, at time.Time)
	// OnLeft, if it is not nil, is called when a request that has reached a slot has left it; isWhole says that all its
	// events were sent, otherwise its channel was closed.
	OnLeft func(runner, request string, held time.Duration, isWhole bool)

	// BreaksOff, if it is not nil, reports whether the runner breaks off its answer to a request in the middle of an event.
	BreaksOff func(request string, event int) bool

	addr    string
	record  *Record
	free    chan struct{}
	waiting atomic.Int64
	runs    atomic.Int64
}

// ServeHTTP implements http.Handler.
func (r *Runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if req.Header.Get(names.ExpectInstance) != "" && req.Header.Get(names.ExpectInstance) != r.ID {
		r.reject(w, http.StatusMisdirectedRequest)
		return
	}
	if req.URL.Path == names.ReportPath {
		fmt.Fprint(w, `{"stage":"mixed","running":0}`)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.OnReached != nil {
		r.OnReached(r.ID, id, time.Now())
	}
	ctx := req.Context()
	if ms, err := strconv.ParseFloat(req.Header.Get(names.Deadline), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	if r.waiting.Add(1) > queuePerRunner {
		r.waiting.Add(-1)
		r.reject(w, http.StatusServiceUnavailable)
		return
	}
	select {
	case r.free <- struct{}{}:
		r.waiting.Add(-1)
		defer func() { <-r.free }()
		if r.OnLeft != nil {
			isWhole, began := false, time.Now()
			defer func() { r.OnLeft(r.ID, id, time.Since(began), isWhole) }()
			r.stream(ctx, w, req, id)
			isWhole = true
			return
		}
	case <-ctx.Done():
		r.waiting.Add(-1)
		panic(http.ErrAbortHandler) // the channel was closed, or the time is over
	}
	r.stream(ctx, w, req, id)
}

// reject answers that a request was not run.
func (r *Runner) reject(w http.ResponseWriter, status int) {
	w.Header().Set(names.NotRun, "1")
	w.WriteHeader(status)
}

// stream runs a request and sends its events.
func (r *Runner) stream(ctx context.Context, w http.ResponseWriter, req *http.Request, id string) {
	prompt, output, _ := strings.Cut(req.Header.Get(names.TokenCount), ",")
	promptTokens, _ := strconv.Atoi(prompt) // 0 if it is not stated
	events, err := strconv.Atoi(output)
	if err != nil {
		events = 1
	}
	after, _ := strconv.Atoi(req.Header.Get(names.LastEventID)) // 0 without the header
	if !sleep(ctx, r.Engine.prefill(promptTokens)) {
		panic(http.ErrAbortHandler)
	}
	if r.OnRun != nil {
		r.OnRun(r.ID, id, time.Now())
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(names.Stamp, fmt.Sprintf("%s.%d", r.ID, r.runs.Add(1)))
	w.Header().Set(names.ServerLoad, fmt.Sprintf("%d,%d,%d", len(r.free), r.waiting.Load(), r.Slots))
	for i := after + 1; i <= events; i++ {
		if r.BreaksOff != nil && r.BreaksOff(id, i) {
			fmt.Fprintf(w, "id: %d\ndata: ", i)
			_ = http.NewResponseController(w).Flush() // the connection is closed next
			r.record.Add("runner %s breaks off its answer to %s in event %d", r.ID, id, i)
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, eventData(id, i, r.EventBytes))
		_ = http.NewResponseController(w).Flush() // the context ends if the channel is closed
		if i < events && !sleep(ctx, r.Engine.Step) {
			panic(http.ErrAbortHandler)
		}
	}
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// eventData returns the data of an event.
func eventData(id string, event, size int) string {
	data := fmt.Sprintf("%s:%d", id, event)
	return data + strings.Repeat("x", max(0, size-len(data)))
}

// ItemText is the whole output of an item with that many events, whose data were filled up to eventBytes.
func ItemText(id string, events, eventBytes int) string {
	var lines []string
	for i := 1; i <= events; i++ {
		lines = append(lines, eventData(id, i, eventBytes))
	}
	return strings.Join(lines, "\n")
}
