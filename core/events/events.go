// Package events reads server-sent events, the format in which targets stream answers. It keeps the raw bytes of
// each event, so that a process can forward them unchanged.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the size of one event, including line ends.
const maxEventBytes = 1 << 20

// Event is one server-sent event.
type Event struct {
	Raw  []byte // all bytes of the event, including the blank line that ends it
	ID   string // value of the id line; empty if the event has none
	Data []byte // the values of the data lines, joined by line feeds
}

// Reader reads events one by one from a stream. It is not safe for concurrent use.
type Reader struct{ buffered *bufio.Reader }

// NewReader returns a Reader that reads its stream from r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReader(r)} }

// Next returns the next event. Errors: io.EOF if the stream ends between two events; io.ErrUnexpectedEOF if it
// ends inside an event; an untyped error if the event exceeds maxEventBytes; any other error of the stream as it
// is.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.buffered.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return Event{}, endError(err, len(e.Raw)+len(line))
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			rest, err := r.buffered.ReadBytes('\n')
			if err != nil {
				return Event{}, endError(err, len(e.Raw)+len(rest))
			}
			e.Raw = append(e.Raw, rest...)
			line = e.Raw[bytes.LastIndexByte(e.Raw[:len(e.Raw)-1], '\n')+1:]
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		hasData = e.addLine(line, hasData)
	}
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
