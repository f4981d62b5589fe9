package httpanswer

import (
	"bufio"
	"bytes"
	"net"
	"strings"

	"github.com/pkg/errors"
)

// errBytesBefore is the error of a request for whose answer bytes have come before it was written.
var errBytesBefore = errors.New("the server has sent bytes that belong to no request")

// CheckNext checks the head of the answer that r begins with, and those of interim answers before it, without reading them. fasthttp
// takes status 000 for 200, so its answers can only be checked as bytes. Errors: *Error, also for heads that are larger than the
// buffer of r; those of r.
func CheckNext(r *bufio.Reader) error {
	c := headChecker{}
	for {
		if _, err := r.Peek(c.size + 1); errors.Is(err, bufio.ErrBufferFull) {
			return newError("head of more than %d bytes", r.Size())
		} else if err != nil {
			return err
		}
		data, err := r.Peek(r.Buffered())
		if err != nil {
			return err
		}
		if isDone, err := c.check(data); isDone || err != nil {
			return err
		}
		c.size = len(data)
	}
}

// headChecker checks the lines of heads. The zero value begins with a status line.
type headChecker struct {
	size      int  // bytes that have been looked at
	next      int  // position of the line that comes next
	hasStatus bool // the status line has been checked
	isInterim bool // the head is that of an interim answer
}

// check checks the whole lines of data, which begins with the first head, from the next one on. isDone reports whether the head of
// an answer is complete. Error: *Error.
func (c *headChecker) check(data []byte) (isDone bool, err error) {
	for {
		length := bytes.IndexByte(data[c.next:], '\n')
		if length < 0 {
			return false, nil
		}
		line := strings.TrimSuffix(string(data[c.next:c.next+length]), "\r")
		c.next += length + 1
		if isDone, err := c.checkLine(line); isDone || err != nil {
			return isDone, err
		}
	}
}

// checkLine checks a line without its end. isDone reports whether it ends the head of an answer. Error: *Error.
func (c *headChecker) checkLine(line string) (isDone bool, err error) {
	switch {
	case !c.hasStatus && line == "":
		return false, nil // clients pass over blank lines before an answer
	case !c.hasStatus:
		c.hasStatus = true
		c.isInterim, err = checkStatusLine(line)
		return false, err
	case line == "" && c.isInterim:
		c.hasStatus, c.isInterim = false, false
		return false, nil
	case line == "":
		return true, nil
	case line[0] == ' ' || line[0] == '\t':
		return false, nil // goes on with the value of the line before
	}
	name, _, ok := strings.Cut(line, ":")
	if !ok {
		return false, newError("line without a colon %q", quotable(line))
	}
	return false, CheckName(name)
}

// checkStatusLine checks a status line. isInterim reports whether it begins an interim answer. Error: *Error.
func checkStatusLine(line string) (isInterim bool, err error) {
	version, rest, _ := strings.Cut(line, " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return false, newError("status line %q", quotable(line))
	}
	digits, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(digits) != 3 || strings.Trim(digits, "0123456789") != "" {
		return false, newError("status line %q", quotable(line))
	}
	if digits[0] == '1' && digits != "101" {
		return true, nil
	}
	return false, CheckStatus(100*int(digits[0]-'0') + 10*int(digits[1]-'0') + int(digits[2]-'0'))
}

// CheckedConn is a connection of an HTTP client on which only answers that are valid can be read. A client that writes a request before
// it reads its answer, and one request at a time, can use it. Bytes of an answer that are left fail the next request.
type CheckedConn struct {
	net.Conn
	answers   *bufio.Reader
	isChecked bool // the head of the newest answer has been checked
}

// maxHeadBytes bounds the heads of the answer to a request on a CheckedConn.
const maxHeadBytes = 8 << 10

// NewCheckedConn returns a CheckedConn on conn, on which nothing has been written or read.
func NewCheckedConn(conn net.Conn) *CheckedConn {
	return &CheckedConn{Conn: conn, answers: bufio.NewReaderSize(conn, maxHeadBytes)}
}

// DialChecked returns a function that opens connections with dial and returns each as a CheckedConn, for a fasthttp.Client.
func DialChecked(dial func(addr string) (net.Conn, error)) func(addr string) (net.Conn, error) {
	return func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, err
		}
		return NewCheckedConn(conn), nil
	}
}

// Write implements net.Conn.
func (c *CheckedConn) Write(p []byte) (int, error) {
	if c.answers.Buffered() > 0 {
		return 0, errBytesBefore
	}
	c.isChecked = false
	return c.Conn.Write(p)
}

// Read implements net.Conn. Errors: those of CheckNext, at the beginning of an answer, and those of the connection.
func (c *CheckedConn) Read(p []byte) (int, error) {
	if !c.isChecked {
		if err := CheckNext(c.answers); err != nil {
			return 0, err
		}
		c.isChecked = true
	}
	return c.answers.Read(p)
}
