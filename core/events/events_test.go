package events

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

func TestReaderReturnsEvents(t *testing.T) {
	long := strings.Repeat("x", 10_000) // longer than the reader's buffer
	text := "id: 1\ndata: a\n\n" + "id:2\r\ndata: b\r\ndata:c\r\n\r\n" + ": comment\nx-version: 3\n\n" + "id: 4\ndata: " + long + "\n\n"
	want := []struct{ id, data string }{{"1", "a"}, {"2", "b\nc"}, {"", ""}, {"4", long}}
	for name, r := range map[string]io.Reader{
		"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
	} {
		reader := NewReader(r)
		var raw strings.Builder
		for i, w := range want {
			e, err := reader.Next()
			if err != nil || e.ID != w.id || string(e.Data) != w.data {
				t.Errorf("%s: event %d is %q with %d bytes, %v", name, i, e.ID, len(e.Data), err)
			}
			raw.Write(e.Raw)
		}
		if _, err := reader.Next(); err != io.EOF {
			t.Errorf("%s: at the end of the stream: %v", name, err)
		}
		if raw.String() != text {
			t.Errorf("%s: raw bytes of the events differ from the stream", name)
		}
	}
}

// A stream that ends inside an event must not be treated as one that ends after it.
func TestStreamEndInsideEventIsUnexpected(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for n := 1; n < len(event); n++ {
		if _, err := NewReader(strings.NewReader(event[:n])).Next(); err != io.ErrUnexpectedEOF {
			t.Errorf("%d of %d bytes: %v", n, len(event), err)
		}
	}
	errReset := errors.New("reset")
	if _, err := NewReader(io.MultiReader(strings.NewReader("id: 1\n"), iotest.ErrReader(errReset))).Next(); !errors.Is(err, errReset) {
		t.Errorf("connection reset: %v", err)
	}
	endless := strings.NewReader(strings.Repeat("data: x\n", maxEventBytes/4))
	if _, err := NewReader(endless).Next(); err == nil || err == io.ErrUnexpectedEOF {
		t.Errorf("event without an end: %v", err)
	}
}

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
			t.Errorf("raw bytes of the events are not a prefix of the stream")
		}
	})
}
