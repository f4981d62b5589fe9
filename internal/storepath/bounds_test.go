package storepath

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// maxSocketBytes is how much the kernel may hold of what was written and not read: its receive buffer has 6 MB at most.
const maxSocketBytes = 8 << 20

// floodPeer answers one call with head and then with text, without end, until the connection is closed by its caller. It
// returns the address, and a channel with the number of bytes that were written.
func floodPeer(t *testing.T, head, text string) (addr string, written chan int) {
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
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			written <- 0 // the call was given up before it was sent
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // a failure shows with the next write
		if _, err := io.WriteString(conn, head); err != nil {
			return
		}
		part, sent := strings.Repeat(text, max(1, 16<<10/len(text))), 0
		for sent < 32*maxResponseBytes {
			n, err := io.WriteString(conn, part)
			sent += n
			if err != nil {
				break
			}
		}
		written <- sent
	}()
	return listener.Addr().String(), written
}

// Guards against a peer that fills the memory of the process with a response without end. A write whose response is lost
// may have been executed.
func TestResponseWithoutEndIsLost(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for _, test := range []struct {
		name, head, text string
		maxWritten       int
	}{
		{"no length", ok + "Connection: close\r\n\r\n", "x", 2*maxResponseBytes + maxSocketBytes},
		{"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", chunk, 2*maxResponseBytes + maxSocketBytes},
		{"length beyond the bound", ok + "Content-Length: 9000000000000\r\n\r\n", "x", maxSocketBytes},
		{"extension of a chunk", ok + "Transfer-Encoding: chunked\r\n\r\n1;", "x", maxSocketBytes},
		{"trailer", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n", maxSocketBytes},
		{"header lines", ok, "X-A: b\r\n", maxSocketBytes},
		{"header line", ok + "X-A: ", "x", maxSocketBytes},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", maxSocketBytes},
	} {
		t.Run(test.name, func(t *testing.T) {
			addr, written := floodPeer(t, test.head, test.text)
			_, err := newPeerStore(addr).Read(t.Context(), platform.Read{Partition: testPartition})
			sent := <-written
			t.Logf("read: %d bytes written, error %v", sent, err)
			if !errs.Is(err, errs.LogDown) || sent > test.maxWritten {
				t.Errorf("read: %d bytes written, error %v; want log_down and at most %d bytes", sent, err, test.maxWritten)
			}
			addr, written = floodPeer(t, test.head, test.text)
			_, err = newPeerStore(addr).Append(t.Context(), newWrite("a"))
			if sent := <-written; !errs.Is(err, errs.AppendUnknown) || sent > test.maxWritten {
				t.Errorf("append: %d bytes written, error %v; want append_unknown and at most %d bytes", sent, err, test.maxWritten)
			}
		})
	}
}
