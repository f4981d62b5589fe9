package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
)

// The reader must return the same events no matter how the bytes of the stream are divided into reads.
func TestReaderReturnsEvents(t *testing.T) {
	long := strings.Repeat("x", 10_000) // longer than the reader's buffer
	text := "id: 1\ndata: a\n\n" + "id:2\r\ndata: b\r\ndata:c\r\n\r\n" + ": comment\nx-version: 3\n\n" + "id: 4\ndata: " + long + "\n\n"
	wantEvents := []struct{ id, data string }{{"1", "a"}, {"2", "b\nc"}, {"", ""}, {"4", long}}
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		reader := NewReader(r)
		var raw strings.Builder
		for i, want := range wantEvents {
			e, err := reader.Next()
			if err != nil || e.ID != want.id || string(e.Data) != want.data {
				t.Errorf("stream read %s: event %d, counted from 0, has ID %q and %d bytes of data, error %v; want no error, IDs 1, 2, none, 4 and 1, 3, 0, 10000 bytes of the right data", name, i, e.ID, len(e.Data), err)
			}
			raw.Write(e.Raw)
		}
		if _, err := reader.Next(); err != io.EOF {
			t.Errorf("stream read %s: error %v at the end, want io.EOF", name, err)
		}
		if raw.String() != text {
			t.Errorf("stream read %s: raw bytes of the events differ from the bytes of the stream", name)
		}
	}
}

// Guards against an incomplete answer that is taken for a complete one: the stream ends inside an event, and the
// reader reports a regular end.
func TestStreamEndInsideEventIsUnexpected(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for n := 1; n < len(event); n++ {
		if _, err := NewReader(strings.NewReader(event[:n])).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("stream of %d of the %d bytes of an event: error %v, want io.ErrUnexpectedEOF", n, len(event), err)
		}
	}
	errReset := errors.New("reset")
	if _, err := NewReader(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(errReset))).Next(); !errors.Is(err, errReset) {
		t.Errorf("connection reset inside an event: error %v, want the error of the connection", err)
	}
	oversized := strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4))
	if _, err := NewReader(oversized).Next(); err == nil || err == io.ErrUnexpectedEOF {
		t.Errorf("event above maxEventBytes: error %v, want one other than io.ErrUnexpectedEOF", err)
	}
}

// The raw bytes of the events must be a prefix of any stream, whatever its content.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n")
	f.Add("\r\n\r\n:\n\n")
	f.Fuzz(func(t *testing.T, text string) {
		reader := NewReader(strings.NewReader(text))
		var raw strings.Builder
		for {
			e, err := reader.Next()
			if err != nil {
				break
			}
			raw.Write(e.Raw)
		}
		if !strings.HasPrefix(text, raw.String()) {
			t.Errorf("the raw bytes of the events are not a prefix of the stream")
		}
	})
}

// countingReader counts the bytes that are read from it.
type countingReader struct {
	io.Reader
	taken int
}

func (c *countingReader) Read(p []byte) (int, error) {
	n, err := c.Reader.Read(p)
	c.taken += n
	return n, err
}

// endlessReader returns the same text again and again.
type endlessReader struct {
	text string
	at   int
}

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.at]
		r.at = (r.at + 1) % len(r.text)
	}
	return len(p), nil
}

// Guards against a stream that fills the memory of its reader: a line, or lines, that never complete an event.
func TestEndlessEventIsNotReadBeyondItsBound(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", "data:\n", ": x\n", "id: 1\n", "\r"} {
		source := &countingReader{Reader: &endlessReader{text: text}}
		if _, err := NewReader(source).Next(); !errs.Is(err, errs.AnswerTooLarge) || source.taken > maxEventBytes+2*4096 {
			t.Errorf("endless %q: error %v after %d bytes, want answer_too_large after at most %d", text, err, source.taken, maxEventBytes+2*4096)
		}
	}
}

// Guards against a stream that passes for progress although none of its events has an id or data. Events without content
// that are a sign of life between others are returned.
func TestEventsWithoutContentAreBounded(t *testing.T) {
	for _, text := range []string{"\n", "\r\n", ": x\n\n", "event: x\n\n", "data\n\n"} {
		source := &countingReader{Reader: &endlessReader{text: text}}
		reader := NewReader(source)
		var err error
		for err == nil {
			_, err = reader.Next()
		}
		if !errs.Is(err, errs.AnswerTooLarge) || source.taken > maxBytesWithoutContent+2*4096 {
			t.Errorf("endless %q: error %v after %d bytes, want answer_too_large after at most %d", text, err, source.taken, maxBytesWithoutContent+2*4096)
		}
	}
	between := strings.Repeat(": x\n\n", maxBytesWithoutContent/minBytesWithoutContent) + "id: 1\n\n"
	reader := NewReader(strings.NewReader(strings.Repeat(between, 3)))
	events := 0
	for {
		e, err := reader.Next()
		if err == io.EOF {
			break
		}
		if err != nil {
			t.Fatalf("comments between events: error %v, want none", err)
		}
		if e.HasContent() {
			events++
		}
	}
	if events != 3 {
		t.Errorf("%d events with content, want 3", events)
	}
}

// An event of exactly the largest size is returned, one byte more is refused.
func TestLargestEvent(t *testing.T) {
	event := func(size int) string { return "data: " + strings.Repeat("x", size-len("data: \n\n")) + "\n\n" }
	if e, err := NewReader(strings.NewReader(event(maxEventBytes))).Next(); err != nil || len(e.Raw) != maxEventBytes {
		t.Errorf("event of %d bytes: %d bytes, error %v; want the whole event", maxEventBytes, len(e.Raw), err)
	}
	if _, err := NewReader(strings.NewReader(event(maxEventBytes + 1))).Next(); !errs.Is(err, errs.AnswerTooLarge) {
		t.Errorf("event of %d bytes: error %v, want answer_too_large", maxEventBytes+1, err)
	}
}
