// Package events reads server-sent events, the format of streamed answers.
package events

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// maxEventBytes bounds the raw size of one event.
const maxEventBytes = 1 << 20

// Event is one event of a stream.
type Event struct {
	Raw  []byte // all bytes of the event, including the blank line that ends it
	ID   string // empty if the event has none
	Data []byte // the values of the data lines, joined by line feeds
}

// Reader reads the events of a stream. It is not safe for concurrent use.
type Reader struct{ r *bufio.Reader }

// NewReader returns a reader of the events in r.
func NewReader(r io.Reader) *Reader { return &Reader{bufio.NewReader(r)} }

// Next returns the next event. Errors: io.EOF if the stream ends between two events, io.ErrUnexpectedEOF if
// it ends inside an event, an error for an event that is too large, else the error of the stream.
func (r *Reader) Next() (Event, error) {
	var e Event
	hasData := false
	for {
		line, err := r.r.ReadSlice('\n')
		if err != nil && err != bufio.ErrBufferFull {
			return Event{}, endError(err, len(e.Raw)+len(line))
		}
		e.Raw = append(e.Raw, line...)
		if len(e.Raw) > maxEventBytes {
			return Event{}, errors.Errorf("event exceeds %d bytes", maxEventBytes)
		}
		if err == bufio.ErrBufferFull {
			rest, err := r.r.ReadBytes('\n')
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

// endError returns io.ErrUnexpectedEOF for an end inside an event, of which bytesRead bytes have been read,
// else err.
func endError(err error, bytesRead int) error {
	if err == io.EOF && bytesRead > 0 {
		return io.ErrUnexpectedEOF
	}
	return err
}

// addLine adds one line of the event. hasData says whether an earlier line carried data; addLine returns
// whether any line has by now.
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
