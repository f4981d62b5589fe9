// Package events reads server-sent events, the format of streamed answers.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

// Event is one event of a stream.
type Event struct {
	Raw  []byte // all its bytes, with the blank line that ends it
	ID   string // empty when it has none
	Data []byte // its data lines, joined by line feeds
}

// Reader reads events one by one.
type Reader struct{ r *bufio.Reader }

// NewReader returns a reader of the stream r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReader(r)} }

// Next returns the next event. Errors: io.EOF at the end of the stream between two events,
// io.ErrUnexpectedEOF where it ends inside of one, else the stream's own.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.r.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return Event{}, endOf(err, len(e.Raw)+len(line))
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("an event of over %d bytes", maxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			rest, err := r.r.ReadBytes('\n')
			if err != nil {
				return Event{}, endOf(err, len(e.Raw)+len(rest))
			}
			e.Raw = append(e.Raw, rest...)
			line = e.Raw[bytes.LastIndexByte(e.Raw[:len(e.Raw)-1], '\n')+1:]
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		hasData = e.field(line, hasData)
	}
}

// endOf tells an end between two events from one inside of an event.
func endOf(err error, read int) error {
	if err == io.EOF && read > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// field takes in one line. It reports whether the event has data by now.
func (e *Event) field(line []byte, hasData bool) bool {
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
