package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
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
