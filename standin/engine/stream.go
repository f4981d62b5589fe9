package engine

import "io"

// eventStream is the body of a streamed answer: each Read returns the events of the
// tokens that were generated since the last, and waits when there are none.
type eventStream struct {
	q      *sequence
	format *eventFormat
	pos    int // next position to write
	stop   func(*sequence)

	buf     []byte
	pending []byte // part of buf that was not read yet
	ended   bool
}

// Read implements io.Reader. A sequence that was stopped ends with
// io.ErrUnexpectedEOF, which cuts the connection.
func (e *eventStream) Read(p []byte) (int, error) {
	for len(e.pending) == 0 {
		if e.ended {
			return 0, io.EOF
		}
		if err := e.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, e.pending)
	e.pending = e.pending[n:]
	return n, nil
}

func (e *eventStream) fill() error {
	// The state is read first: once it is finished, next is final.
	state := sequenceState(e.q.state.Load())
	next := int(e.q.next.Load())
	if state == sequenceStopped {
		return io.ErrUnexpectedEOF
	}
	if e.pos == next && state == sequenceOpen {
		<-e.q.wake
		return nil
	}
	e.buf = e.buf[:0]
	for ; e.pos < next; e.pos++ {
		e.buf = e.format.appendToken(e.buf, e.q, e.pos)
	}
	if state == sequenceFinished {
		e.buf = append(e.buf, "data: [DONE]\n\n"...)
		e.ended = true
	}
	e.pending = e.buf
	return nil
}

// Close implements io.Closer. The server calls it after the last Read, or when
// writing to the caller failed.
func (e *eventStream) Close() error {
	e.stop(e.q)
	return nil
}
