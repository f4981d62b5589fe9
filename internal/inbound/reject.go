package inbound

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"arbutusramp/core/errs"
)

const (
	// rejectTime is how long a rejected connection stays open, so that its client reads the answer: a connection that is closed
	// with unread bytes is reset, which may discard the answer.
	rejectTime = 500 * time.Millisecond
	// maxDiscardedBytes bounds what is read and discarded of a rejected connection meanwhile.
	maxDiscardedBytes = 256 << 10
)

// rejectConn answers with err on a connection whose request is not read to its end, and closes the connection. err says that
// the request has not run.
func rejectConn(conn net.Conn, err error) {
	defer conn.Close()
	typed := errs.As(err)
	status, body := errs.Lookup(typed.Type).Status, encodeError(typed)
	answer := fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\nConnection: close\r\n", status, http.StatusText(status), len(body))
	if wait := typed.RetryAfter(); wait != "" {
		answer += "Retry-After: " + wait + "\r\n"
	}
	if conn.SetDeadline(time.Now().Add(rejectTime)) != nil {
		return // the client has closed it
	}
	if _, writeErr := io.WriteString(conn, answer+"\r\n"+string(body)); writeErr != nil {
		return
	}
	if closer, ok := conn.(interface{ CloseWrite() error }); !ok || closer.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, conn, maxDiscardedBytes) // until the client closes it, or the time has passed
}

// writeRejection answers a request with err.
func writeRejection(w http.ResponseWriter, err *errs.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Connection", "close")
	if wait := err.RetryAfter(); wait != "" {
		w.Header().Set("Retry-After", wait)
	}
	w.WriteHeader(errs.Lookup(err.Type).Status)
	_, _ = w.Write(encodeError(err)) // a client that has left needs no answer
}

// encodeError returns an error as callers get it.
func encodeError(err *errs.Error) []byte {
	data, encodeErr := json.Marshal(err)
	if encodeErr != nil {
		return []byte(`{}`)
	}
	return data
}
