package entry

import (
	"sync"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// maxEarly bounds the parts that wait for an earlier one.
const maxEarly = 256

// stream collects the frames of one attempt and puts them in order. The session's reader
// pushes, the request's goroutine takes; neither waits for the other.
type stream struct {
	id   uint64
	wake chan struct{} // holds one token while there is something to take

	mu    sync.Mutex
	next  int // Seq of the next part
	head  *structs.Head
	parts [][]byte
	early map[int][]byte
	end   *structs.End
	err   *errs.Error
	room  int // bytes that the side may still send
}

func newStream(from, window int) *stream {
	return &stream{wake: make(chan struct{}, 1), next: from, room: window}
}

// push takes in a frame. A part that was already taken or is already waiting is
// dropped; one that is too far ahead, or beyond the credit given, breaks the stream.
func (s *stream) push(f *structs.Frame) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Head != nil:
		s.pushHead(f.Head)
	case f.Data != nil:
		s.pushData(f.Data)
	case f.End != nil:
		s.pushEnd(f.End)
	default:
		return
	}
	s.signal()
}

func (s *stream) pushHead(h *structs.Head) {
	if s.head == nil {
		s.head = h
	}
}

func (s *stream) pushEnd(e *structs.End) {
	if s.end == nil {
		s.end = e
	}
}

func (s *stream) pushData(d *structs.Data) {
	if d.Seq < s.next || s.err != nil {
		return
	}
	if _, waiting := s.early[d.Seq]; waiting {
		return
	}
	s.room -= len(d.Payload)
	if s.room < 0 {
		s.err = errs.New(errs.BadFrame, "the side sent more than its credit")
		return
	}
	if d.Seq > s.next {
		s.pushEarly(d)
		return
	}
	s.accept(d.Payload)
	for {
		p, ok := s.early[s.next]
		if !ok {
			return
		}
		delete(s.early, s.next)
		s.accept(p)
	}
}

func (s *stream) pushEarly(d *structs.Data) {
	if len(s.early) >= maxEarly {
		s.err = errs.New(errs.StreamBroken, "a part of the answer is missing")
		return
	}
	if s.early == nil {
		s.early = make(map[int][]byte)
	}
	s.early[d.Seq] = d.Payload
}

func (s *stream) accept(p []byte) {
	s.parts = append(s.parts, p)
	s.next++
}

// fail ends the stream from this side of the session.
func (s *stream) fail(err *errs.Error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && !s.whole() {
		s.err = err
	}
	s.signal()
}

// whole says that the end and every part before it have come.
func (s *stream) whole() bool {
	return s.end != nil && (s.end.Err != nil || s.next >= s.end.Parts)
}

func (s *stream) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// taken is what has come since the last take, in order.
type taken struct {
	head  *structs.Head
	parts [][]byte
	end   *structs.End // set once every part before it was taken
	err   *errs.Error
	// missing says that the end has come and a part before it has not.
	missing bool
}

// take returns what is ready. The parts go back to the stream by reuse.
func (s *stream) take(reuse [][]byte) taken {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := taken{head: s.head, parts: s.parts, err: s.err}
	s.parts = reuse[:0]
	if s.whole() {
		t.end, t.err = s.end, nil
	}
	t.missing = s.end != nil && t.end == nil && t.err == nil
	return t
}

// grant raises what the side may send.
func (s *stream) grant(n int) {
	s.mu.Lock()
	s.room += n
	s.mu.Unlock()
}

// isMissing says that the end has come and a part before it has not.
func (s *stream) isMissing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.end != nil && !s.whole()
}
