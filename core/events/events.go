// Package events reads server-sent events, the format in which targets stream answers. It keeps the raw bytes of
// each event, so that a process can forward them unchanged.
package events

import (
	"bufio"
	"bytes"
	"io"

	"arbutusramp/core/errs"
)

const (
	// maxEventBytes bounds the size of one event, including line ends. The largest events of the deployments have 1 KB.
	maxEventBytes = 1 << 20
	// maxBytesWithoutContent bounds the events without content between two events with content, in bytes. Targets send
	// them, if at all, as a sign of life every few seconds.
	maxBytesWithoutContent = 64 << 10
	// minBytesWithoutContent is what an event without content counts at least, in bytes: each costs a write to a caller,
	// and 64 Ki blank lines take longer than some time limits.
	minBytesWithoutContent = 64
	// freeBytes is the size up to which an event takes nothing from a Budget. Then it takes stepBytes, each time it grows by
	// a copiesPerEvent-th of that: an event is held up to three times, as its bytes, its data, and an array it outgrows.
	freeBytes      = 64 << 10
	stepBytes      = copiesPerEvent * (64 << 10)
	copiesPerEvent = 3
)

// Budget bounds what several Readers hold together.
type Budget interface {
	// Take takes n bytes and reports true if they were free.
	Take(n int64) bool
	// Return gives back n bytes.
	Return(n int64)
}

// ErrNoMemory is the error of Next for an event that found its budget used up. It says nothing of the stream: others hold
// the memory.
var ErrNoMemory = errs.New(errs.AnswerTooLarge, "no memory is left for a large event")

// Event is one server-sent event.
type Event struct {
	Raw  []byte // all bytes of the event, including the blank line that ends it
	ID   string // value of the id line; empty if the event has none
	Data []byte // the values of the data lines, joined by line feeds
}

// HasContent reports whether the event has an id or data. Blank lines and comments are events without content, which a
// target can send without end although it does not get on.
func (e *Event) HasContent() bool { return e.ID != "" || len(e.Data) > 0 }

// Reader reads events one by one from a stream. It is not safe for concurrent use.
type Reader struct {
	buffered     *bufio.Reader
	withoutBytes int // what is counted of the events without content since the last one with content
	budget       Budget
	taken        int64 // from budget, for the event that Next has returned last
}

// SetBudget makes the Reader take from b what large events hold. It must be called before the first call of Next, and
// Close after the last one.
func (r *Reader) SetBudget(b Budget) { r.budget = b }

// Close gives back what the Reader has taken from its budget. The event that Next has returned last must not be used any
// more.
func (r *Reader) Close() {
	if r.taken > 0 {
		r.budget.Return(r.taken)
		r.taken = 0
	}
}

// reserve takes from the budget what an event of a size holds. Error: ErrNoMemory if that is not free.
func (r *Reader) reserve(size int) error {
	for r.budget != nil && size > freeBytes+int(r.taken/copiesPerEvent) {
		if !r.budget.Take(stepBytes) {
			return ErrNoMemory
		}
		r.taken += stepBytes
	}
	return nil
}

// NewReader returns a Reader that reads its stream from r.
func NewReader(r io.Reader) *Reader { return &Reader{buffered: bufio.NewReader(r)} }

// Next returns the next event. Errors: io.EOF if the stream ends between two events; io.ErrUnexpectedEOF if it
// ends inside an event; errs.AnswerTooLarge if the event exceeds maxEventBytes, or the events without
// content maxBytesWithoutContent; ErrNoMemory, which is of that type, if its budget is used up; any other error of the stream
// as it is. It reads at most one buffer beyond these bounds. The event may be used until the next call of Next or Close.
func (r *Reader) Next() (Event, error) {
	r.Close() // the event before
	var e Event
	hasData := false
	for {
		lineStart := len(e.Raw)
		if err := r.readLine(&e); err != nil {
			return Event{}, err
		}
		line := bytes.TrimRight(e.Raw[lineStart:], "\r\n")
		if len(line) == 0 {
			return e, r.checkContent(&e)
		}
		hasData = e.addLine(line, hasData)
	}
}

// readLine adds the next line to the bytes of e. Its errors are those of Next.
func (r *Reader) readLine(e *Event) error {
	for {
		part, err := r.buffered.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return endError(err, len(e.Raw)+len(part))
		}
		if len(e.Raw)+len(part) > maxEventBytes {
			return errs.Newf(errs.AnswerTooLarge, "an event exceeds %d bytes", maxEventBytes)
		}
		if err := r.reserve(len(e.Raw) + len(part)); err != nil {
			return err
		}
		e.Raw = append(e.Raw, part...)
		if err == nil {
			return nil
		}
	}
}

// checkContent returns an error of type errs.AnswerTooLarge if e has no content, like too many bytes before it.
func (r *Reader) checkContent(e *Event) error {
	if e.HasContent() {
		r.withoutBytes = 0
		return nil
	}
	r.withoutBytes += max(len(e.Raw), minBytesWithoutContent)
	if r.withoutBytes > maxBytesWithoutContent {
		return errs.Newf(errs.AnswerTooLarge, "more than %d bytes without an event that has an id or data", maxBytesWithoutContent)
	}
	return nil
}

// endError returns the error of Next when reading the stream has failed with err after bytesRead bytes of an
// event: io.ErrUnexpectedEOF for an end inside the event, else err.
func endError(err error, bytesRead int) error {
	if err == io.EOF && bytesRead > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addLine adds the ID or data in a line to the event; other lines are ignored. hasData says whether the event
// has a data line already, and the result whether it has one now.
func (e *Event) addLine(line []byte, hasData bool) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.ID = string(value)
	case "data":
		if hasData {
			e.Data = append(e.Data, '\n')
		}
		e.Data = append(e.Data, value...)
		return true
	}
	return hasData
}
