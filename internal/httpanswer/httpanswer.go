// Package httpanswer decides what counts as an answer in HTTP/1.0 and 1.1. HTTP clients accept more than that; what they accept is
// not passed on and shows nothing, unless it passes these checks. Source: RFC 9110, sections 5 and 15; RFC 9112, section 4.
package httpanswer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// minStatus and maxStatus bound the status of an answer. Lower ones belong to interim answers, which HTTP clients pass over,
	// and to a switch of the protocol, which no request asks for.
	minStatus = 200
	maxStatus = 599
	// maxQuoted bounds what an error quotes of an answer, in bytes.
	maxQuoted = 80
	// defaultDialTimeout bounds the time in which Client opens a connection.
	defaultDialTimeout = 30 * time.Second
	// brokenPrefix begins most errors of net/http about an answer.
	brokenPrefix = "net/http: HTTP/1.x transport connection broken: "
)

// Error says that what was read is no answer. It is short, whatever was read.
type Error struct {
	Fault string
	Cause error // of the HTTP client; nil without one
}

// Error implements error.
func (e *Error) Error() string { return "invalid answer: " + e.Fault }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// newError returns an Error with a formatted fault.
func newError(format string, args ...any) *Error { return &Error{Fault: fmt.Sprintf(format, args...)} }

// Is reports whether err says that what was read is no answer.
func Is(err error) bool {
	var e *Error
	return errors.As(err, &e)
}

// Check checks the head of an answer. Error: *Error.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return newError("version %q", quotable(resp.Proto))
	}
	if err := CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkNames(resp.Header)
}

// checkNames checks the field names of a header or trailer. Error: *Error.
func checkNames(h http.Header) error {
	for name := range h {
		if err := CheckName(name); err != nil {
			return err
		}
	}
	return nil
}

// CheckName checks a field name, which must be a token. Error: *Error.
func CheckName(name string) error {
	if !httpguts.ValidHeaderFieldName(name) {
		return newError("field name %q", quotable(name))
	}
	return nil
}

// CheckStatus checks the status of an answer that is not an interim one. Error: *Error.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus {
		return newError("status %03d", status)
	}
	return nil
}

// quotable returns the beginning of a text of an answer, for an error.
func quotable(text string) string { return text[:min(len(text), maxQuoted)] }

// Client is http.DefaultClient with the checks of this package.
var Client = &http.Client{Transport: &Transport{newDefaultTransport()}}

// newDefaultTransport returns a copy of http.DefaultTransport whose connections are of type Conn.
func newDefaultTransport() *http.Transport {
	t := http.DefaultTransport.(*http.Transport).Clone() // the standard library sets no other
	t.DialContext = Dial(&net.Dialer{Timeout: defaultDialTimeout})
	return t
}

// Transport passes on only the answers of Base that are valid.
type Transport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper. Errors: *Error for what is no answer, and those of Base.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(req)
	if err != nil {
		return nil, typedError(err)
	}
	if err := Check(resp); err != nil {
		_ = resp.Body.Close() // closes the connection, unless the body is empty
		return nil, err
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{resp.Body, resp}
	}
	return resp, nil
}

// chunkedBody is a body in chunks, which a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader. Errors: *Error for a trailer that is not valid, and those of the body.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := checkNames(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	} else if err != nil {
		err = typedError(err)
	}
	return n, err
}

// CloseIdleConnections closes those of Base.
func (t *Transport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}

// typedError returns an *Error for an error of a transport that says that an answer could not be parsed, and any other error as it
// is. The transport quotes a line of any length.
func typedError(err error) error {
	var malformed textproto.ProtocolError
	// net/http has no type for the errors of a status line.
	if text := err.Error(); errors.As(err, &malformed) || strings.Contains(text, "malformed HTTP ") {
		return &Error{Fault: quotable(strings.TrimPrefix(text, brokenPrefix)), Cause: err}
	}
	return err
}
