package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
)

// maxSocketBytes is how much the kernel may hold of what was written and not read: its receive buffer has 6 MB at most.
const maxSocketBytes = 8 << 20

// floodServer answers the first request on each connection with head and then with text, maxBytes of it at most, until the
// connection is closed by its caller. It returns the address, and a channel with the number of bytes that were written.
func floodServer(t *testing.T, head, text string, maxBytes int) (addr string, written chan int) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	written = make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetWriteBuffer(64 << 10) // otherwise more bytes count as written than were read
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			written <- 0 // the call was given up before it was sent
			return
		}
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		sent := 0
		for sent < maxBytes {
			n, err := io.WriteString(conn, text)
			sent += n
			if err != nil {
				break
			}
		}
		written <- sent
	}()
	return listener.Addr().String(), written
}

// chunkOf1K is a chunk of a chunked body.
var chunkOf1K = "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"

// Guards against a stream whose reader has all that it needs, and that is then read on without end before the call returns.
func TestRestOfStreamIsNotReadWithoutEnd(t *testing.T) {
	addr, written := floodServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf1K, 4*maxSocketBytes)
	client := New("http://" + addr)
	req, resp := client.Request(fasthttp.MethodGet, "/"), fasthttp.AcquireResponse()
	err := client.Stream(context.Background(), req, resp, func(body io.Reader) error {
		_, err := io.ReadFull(body, make([]byte, 10))
		return err
	})
	if sent := <-written; err != nil || sent > maxSocketBytes {
		t.Errorf("error %v after %d bytes, want none: its reader has had what it needs, and at most %d bytes", err, sent, maxSocketBytes)
	}
}

// Guards against a refusal of which the beginning counts as all of it, and whose rest is then read as the answer to the next
// request on its connection.
func TestRefusalBeyondItsBoundIsNoAnswer(t *testing.T) {
	const bound = 2000
	addr, written := floodServer(t, "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf1K, 4*maxSocketBytes)
	client := New("http://" + addr).WithMaxBody(bound)
	req, resp := client.Request(fasthttp.MethodGet, "/"), fasthttp.AcquireResponse()
	err := client.Stream(context.Background(), req, resp, func(io.Reader) error { return nil })
	var failed *Error
	if sent := <-written; !errs.Is(err, errs.AnswerTooLarge) || !errors.As(err, &failed) || !failed.Sent || !failed.Answered || sent > maxSocketBytes {
		t.Errorf("error %v after %d bytes, want answer_too_large, an answer that has begun, and at most %d bytes", err, sent, maxSocketBytes)
	}
}
