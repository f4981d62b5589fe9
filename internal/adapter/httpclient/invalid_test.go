package httpclient_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/internal/adapter/httpclient"
)

// Guards against bytes that count as an answer although they are none by their status or field names. fasthttp reports status 000
// as 200.
func TestInvalidAnswerIsAFailure(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 Unknown\r\n", "status 000 without a reason": "HTTP/1.1 000\r\n", "status 099": "HTTP/1.1 099 Unknown\r\n", "status 101": "HTTP/1.1 101 Switching Protocols\r\n",
		"status 600": "HTTP/1.1 600 Unknown\r\n", "version": "HTTP/9.9 200 OK\r\n", "status 000 behind an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 000 Unknown\r\n",
		"blank in a name": ok + "X Y: z\r\n", "blank behind a name": ok + "X-Y : z\r\n", "blank behind the length": ok + "Content-Length : 2\r\n",
		"control byte in a name": ok + "X\x01Y: z\r\n", "TAB in a name": ok + "X\tY: z\r\n", "line without a colon": ok + "X\r\n",
		"line end in a name": ok + "X\rY: z\r\n", "blank line before": "\r\n\r\nHTTP/1.1 000 Unknown\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			client := httpclient.New(server(t, func(_ int64, c net.Conn) {
				defer func() { _ = c.Close() }()
				if err := readRequest(c); err == nil {
					_, _ = io.WriteString(c, head+"Content-Length: 4\r\n\r\nevil") // a failure shows as another error
				}
			}))
			var failed *httpclient.Error
			if body, err := get(context.Background(), client); !errors.As(err, &failed) || !failed.Sent {
				t.Errorf("body %q, error %v; want an error that says that the request was sent", body, err)
			}
			read := ""
			err := client.Stream(context.Background(), client.Request(fasthttp.MethodGet, "/"), fasthttp.AcquireResponse(), func(body io.Reader) error {
				data, err := io.ReadAll(body)
				read = string(data)
				return err
			})
			if !errors.As(err, &failed) || !failed.Sent || read != "" {
				t.Errorf("stream: %q read, error %v; want nothing read and an error that says that the request was sent", read, err)
			}
		})
	}
}

// Guards against a rule that rejects sound answers: behind interim answers, byte by byte, with folded lines.
func TestSoundAnswersPass(t *testing.T) {
	for name, text := range map[string]string{
		"plain":                    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"behind an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"folded line":              "HTTP/1.1 200 OK\r\nX: a\r\n  b c: d\r\nContent-Length: 2\r\n\r\nok",
		"without a length":         "HTTP/1.0 200 OK\r\nConnection: close\r\n\r\nok",
	} {
		t.Run(name, func(t *testing.T) {
			client := httpclient.New(server(t, func(_ int64, c net.Conn) {
				defer func() { _ = c.Close() }()
				if err := readRequest(c); err != nil {
					return
				}
				for i := range text {
					if _, err := io.WriteString(c, text[i:i+1]); err != nil {
						return // shows as an error of the client
					}
				}
			}))
			if body, err := get(context.Background(), client); err != nil || body != "ok" {
				t.Errorf("body %q, error %v; want ok and none", body, err)
			}
		})
	}
}
