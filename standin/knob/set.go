// Package knob holds the switches by which tests and experiments bring about
// faults in a stand-in, from its own process or over HTTP.
package knob

import (
	"bytes"
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// Set is a set of knobs of type T. Readers see a change at once and can wait for the next.
type Set[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// NewSet returns a Set that starts with value.
func NewSet[T any](value T) *Set[T] {
	return &Set[T]{value: value, changed: make(chan struct{})}
}

// Get returns the knobs as they stand.
func (s *Set[T]) Get() T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value
}

// Watch returns the knobs and a channel that is closed at the next change.
func (s *Set[T]) Watch() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.value, s.changed
}

// Turn changes the knobs by f.
func (s *Set[T]) Turn(f func(*T)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.value)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Hold waits while held says so. It returns false when done was closed first.
func (s *Set[T]) Hold(done <-chan struct{}, held func(T) bool) bool {
	for {
		value, changed := s.Watch()
		if !held(value) {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// Serve answers GET with the knobs as JSON. POST changes those that its JSON body
// names and leaves the others; an unknown name or a wrong type is a 400.
func (s *Set[T]) Serve(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		if err := s.turnJSON(ctx.PostBody()); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
	}
	body, err := json.Marshal(s.Get())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (s *Set[T]) turnJSON(body []byte) error {
	var err error
	s.Turn(func(v *T) {
		next := *v
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err = dec.Decode(&next); err == nil {
			*v = next
		}
	})
	return err
}
