package httpanswer

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// answers are heads of answers, and whether they are valid.
var answers = []struct {
	name    string
	head    string
	isValid bool
}{
	{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
	{"version 1.0", "HTTP/1.0 404 Not Found\r\n\r\n", true},
	{"no reason", "HTTP/1.1 204\r\n\r\n", true},
	{"unusual status", "HTTP/1.1 599 Unknown\r\n\r\n", true},
	{"status 000", "HTTP/1.1 000 Unknown\r\n\r\n", false},
	{"status 000 without a reason", "HTTP/1.1 000\r\n\r\n", false},
	{"status below those of interim answers", "HTTP/1.1 099 Unknown\r\n\r\n", false},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n\r\n", false},
	{"switch of the protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", false},
	{"status above those of errors", "HTTP/1.1 600 Unknown\r\n\r\n", false},
	{"version 2.0", "HTTP/2.0 200 OK\r\n\r\n", false},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n\r\n", false},
	{"no status", "hello\r\n\r\n", false},
	{"all bytes of a token in a name", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09AZaz: x\r\n\r\n", true},
	{"folded line", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", true},
	{"blank in a name", "HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", false},
	{"blank behind a name", "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n", false},
	{"control byte in a name", "HTTP/1.1 200 OK\r\nX\x01: z\r\n\r\n", false},
	{"byte above ASCII in a name", "HTTP/1.1 200 OK\r\nX\x80: z\r\n\r\n", false},
	{"control byte in a value", "HTTP/1.1 200 OK\r\nX: \x00\r\n\r\n", false},
	{"line without a name", "HTTP/1.1 200 OK\r\n: z\r\n\r\n", false},
	{"line without a colon", "HTTP/1.1 200 OK\r\nX\r\n\r\n", false},
}

// bytesTransport answers each request with the same bytes.
type bytesTransport string

func (b bytesTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	return http.ReadResponse(bufio.NewReader(strings.NewReader(string(b))), req)
}

// Guards against bytes that HTTP clients take for an answer, and that are none.
func TestOnlyAnswersPass(t *testing.T) {
	for _, test := range answers {
		t.Run(test.name, func(t *testing.T) {
			resp, err := (&Transport{bytesTransport(test.head)}).RoundTrip(&http.Request{Method: http.MethodPost})
			if test.isValid && (err != nil || resp == nil) || !test.isValid && !Is(err) {
				t.Errorf("error %v; want none if it is valid (%v), else an *Error", err, test.isValid)
			}
		})
	}
}

// Guards against a chunked answer that counts as whole although a field name behind its body is no token.
func TestInvalidTrailerEndsBody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, test := range []struct {
		name, trailer string
		isValid       bool
	}{{"none", "", true}, {"valid", "X-Y: z\r\n", true}, {"blank in a name", "X Y: z\r\n", false}, {"control byte in a name", "X\x01: z\r\n", false}} {
		resp, err := (&Transport{bytesTransport(head + test.trailer + "\r\n")}).RoundTrip(&http.Request{Method: http.MethodPost})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(resp.Body); (err == nil) != test.isValid || err != nil && !Is(err) {
			t.Errorf("trailer %s: error %v; want none if it is valid (%v), else an *Error", test.name, err, test.isValid)
		}
	}
}

// Guards against errors, and so log lines and answers to callers, that repeat a line of any length.
func TestErrorQuotesLittle(t *testing.T) {
	long := strings.Repeat("x", 32<<10)
	for _, head := range []string{"HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n", long + "\r\n\r\n", "HTTP/1.1 200 OK\r\n\x01" + long + ": x\r\n\r\n"} {
		_, err := (&Transport{bytesTransport(head)}).RoundTrip(&http.Request{Method: http.MethodPost})
		if !Is(err) || len(err.Error()) > 2*maxQuoted {
			t.Errorf("answer %.40q: error %.400q; want an *Error of %d bytes at most", head, err, 2*maxQuoted)
		}
	}
}
