package singlesend

import (
	"bytes"
	"io"
	"net"
	"reflect"
	"slices"
	"testing"
)

// Guards against a second send that depends on the HTTP client's rules: a connection must refuse a request by itself that may
// be sent only once and has been written to another one, and a request that has failed.
func TestConnectionWritesOnlyPermittedRequest(t *testing.T) {
	newConnection := func() (*connection, *bytesConn) {
		raw := &bytesConn{}
		return &connection{Conn: raw}, raw
	}
	first, firstRaw := newConnection()
	second, secondRaw := newConnection()
	if n, err := first.Write([]byte("a")); n != 0 || err == nil {
		t.Errorf("without a request: %d bytes written, error %v, want an error", n, err)
	}
	once, other, failed := &Request{id: "once", isOnce: true}, &Request{id: "other"}, &Request{id: "failed"}
	exchangeOfFirst := first.begin(once)
	second.begin(once)
	firstRaw.err = io.ErrClosedPipe
	if n, err := first.Write([]byte("b")); n != 0 || err == nil || once.isSpent() {
		t.Errorf("write that fails before its first byte: %d bytes written, error %v, send used up %t, want an error and a send that is left", n, err, once.isSpent())
	}
	firstRaw.err = nil
	for range 2 {
		if n, err := first.Write([]byte("c")); n != 1 || err != nil {
			t.Errorf("first connection: %d bytes written, error %v, want 1", n, err)
		}
	}
	if n, err := second.Write([]byte("d")); n != 0 || err == nil {
		t.Errorf("second connection: %d bytes written, error %v, want an error", n, err)
	}
	exchangeOfFirst.isIdentified = true
	close(exchangeOfFirst.ended)
	third, thirdRaw := newConnection()
	for _, c := range []*connection{first, third} {
		c.begin(other)
		if n, err := c.Write([]byte("e")); n != 1 || err != nil {
			t.Errorf("request that may be repeated: %d bytes written, error %v, want 1", n, err)
		}
	}
	fourth, fourthRaw := newConnection()
	fourth.begin(failed)
	if failed.Close() != 0 {
		t.Error("request that was not written counts as written")
	}
	if n, err := fourth.Write([]byte("f")); n != 0 || err == nil {
		t.Errorf("request that has failed: %d bytes written, error %v, want an error", n, err)
	}
	if firstRaw.String() != "cce" || secondRaw.String()+fourthRaw.String() != "" || thirdRaw.String() != "e" || other.writes != 2 {
		t.Errorf("connections carry %q, %q, %q and %q, %d connections counted, want cce, nothing, e and nothing, 2", &firstRaw.Buffer, &secondRaw.Buffer, &thirdRaw.Buffer, &fourthRaw.Buffer, other.writes)
	}
}

// bytesConn keeps what is written to it, unless err is set.
type bytesConn struct {
	net.Conn
	bytes.Buffer
	err error
}

func (b *bytesConn) Read(p []byte) (int, error) { return b.Buffer.Read(p) }

func (b *bytesConn) Write(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	return b.Buffer.Write(p)
}

// Guards against bytes that leave by another method than Write, as ReadFrom of a TCP connection, which io.Copy prefers.
func TestConnectionHasNoOtherWayToWrite(t *testing.T) {
	want, got := reflect.TypeFor[net.Conn](), reflect.TypeFor[*connection]()
	for i := range got.NumMethod() {
		if name := got.Method(i).Name; !slices.Contains([]string{"Close", "LocalAddr", "Read", "RemoteAddr", "SetDeadline", "SetReadDeadline", "SetWriteDeadline", "Write"}, name) {
			t.Errorf("a connection has the method %s", name)
		}
	}
	if !got.Implements(want) {
		t.Error("a connection is not a net.Conn")
	}
}

// Guards against a request that runs, and counts as not run because of a rejection that was on the connection before it: as the
// first answer of a connection it needs no id.
func TestNothingIsWrittenAfterEarlyAnswer(t *testing.T) {
	raw := &bytesConn{}
	raw.WriteString("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n") // bytes.Buffer.WriteString returns no error
	c, request := &connection{Conn: raw}, &Request{id: "r1"}
	request.current = c.begin(request)
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v, want 1", n, err)
	}
	if n, err := c.Write([]byte("a")); n != 0 || err == nil {
		t.Errorf("%d bytes written, error %v, want an error", n, err)
	}
	if request.NoteAnswer() != 0 || request.Close() != 0 {
		t.Error("the request counts as written")
	}
}

// Guards against the same where the answer is read in the place of the request's own, before any byte of the request is
// written, and against bytes of it that follow.
func TestAnswerBeforeRequestIsNoAnswer(t *testing.T) {
	c, request := &connection{Conn: &bytesConn{}}, &Request{id: "r1"}
	request.current = c.begin(request)
	if writes := request.NoteAnswer(); writes != 0 {
		t.Errorf("%d connections with the request, want none", writes)
	}
	if n, err := c.Write([]byte("a")); n != 0 || err == nil {
		t.Errorf("%d bytes written after the answer, error %v, want an error", n, err)
	}
}

// Guards against a request that counts as not run because of a rejection that was read while its first write began: the write
// has found no early bytes, and is slow to begin.
func TestAnswerReadWhileWriteBeginsIsNotFirst(t *testing.T) {
	raw := &bytesConn{}
	c, request := &connection{Conn: raw}, &Request{id: "r1"}
	request.current = c.begin(request)
	request.mu.Lock() // holds the write after it has looked for early bytes
	hasWritten := make(chan error)
	go func() {
		_, err := c.Write([]byte("a"))
		hasWritten <- err
	}()
	raw.WriteString("HTTP/1.1 503 Service Unavailable\r\n\r\n") // bytes.Buffer.WriteString returns no error
	if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Fatalf("read %d bytes, error %v, want 1", n, err)
	}
	request.mu.Unlock()
	err := <-hasWritten
	if request.IsFirstOnConnection() {
		t.Errorf("write error %v; the answer counts as the first one on its connection, want that it shows nothing", err)
	}
}
