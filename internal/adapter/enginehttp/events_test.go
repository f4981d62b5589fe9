package enginehttp

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/httpclient"
)

// read returns the tokens that came, and the error's type or "cut".
func read(stream string, next int) (tokens string, outcome string) {
	var got []string
	err, _ := readEvents(strings.NewReader(stream), next, func(t platform.Token) error {
		got = append(got, fmt.Sprintf("%d=%s", t.Pos, t.Data))
		return nil
	})
	tokens = strings.Join(got, " ")
	var cut *httpclient.Error
	switch {
	case err == nil:
		return tokens, "whole"
	case errors.As(err, &cut) && errors.Is(err, io.ErrUnexpectedEOF):
		return tokens, "cut"
	default:
		return tokens, string(errs.As(err).Type)
	}
}

func TestReadEvents(t *testing.T) {
	long := strings.Repeat("x", 3*eventBuffer)
	for name, c := range map[string]struct {
		stream          string
		next            int
		tokens, outcome string
	}{
		"whole":         {"id: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", 0, "0=a 1=b", "whole"},
		"line endings":  {": note\r\nid:0\r\ndata:a\r\n\r\ndata:[DONE]\r\n\r\n", 0, "0=a", "whole"},
		"long line":     {"id: 0\ndata: " + long + "\n\ndata: [DONE]\n\n", 0, "0=" + long, "whole"},
		"resumed":       {"id: 4\ndata: e\n\ndata: [DONE]\n\n", 4, "4=e", "whole"},
		"doubled":       {"id: 0\ndata: a\n\nid: 0\ndata: a\n\nid: 1\ndata: b\n\ndata: [DONE]\n\n", 0, "0=a 1=b", "whole"},
		"gap":           {"id: 0\ndata: a\n\nid: 2\ndata: c\n\ndata: [DONE]\n\n", 0, "0=a", "stream_broken"},
		"no position":   {"data: a\n\ndata: [DONE]\n\n", 0, "", "stream_broken"},
		"odd position":  {"id: one\ndata: a\n\n", 0, "", "stream_broken"},
		"no end":        {"id: 0\ndata: a\n\n", 0, "0=a", "cut"},
		"cut in a line": {"id: 0\ndata: a\n\nid: 1\nda", 0, "0=a", "cut"},
		"nothing":       {"", 0, "", "cut"},
	} {
		if tokens, outcome := read(c.stream, c.next); tokens != c.tokens || outcome != c.outcome {
			t.Errorf("%s: got %.80q, %s; want %.80q, %s", name, tokens, outcome, c.tokens, c.outcome)
		}
	}
}

func FuzzReadEvents(f *testing.F) {
	f.Add("id: 0\ndata: a\n\ndata: [DONE]\n\n")
	f.Add("id: 9\r\ndata:{}\r\n\r\n")
	f.Fuzz(func(t *testing.T, stream string) {
		next := 0
		_, _ = readEvents(strings.NewReader(stream), 0, func(tok platform.Token) error {
			if tok.Pos != next {
				t.Errorf("token %d came when %d was due", tok.Pos, next)
			}
			next++
			return nil
		})
	})
}
