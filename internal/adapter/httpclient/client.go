// Package httpclient sends HTTP requests of the adapters. It takes fasthttp's
// connections and codecs, and adds what the adapters need to tell failures apart: it never
// sends a request twice, knows whether anything was sent, and ends at once with its context.
package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/internal/httpanswer"
)

const (
	dialTimeout = time.Second
	idleTimeout = 10 * time.Second
	maxConns    = 16 << 10
	readBuffer  = 8 << 10 // bytes; bounds an answer's header
	// maxBody bounds the body of an answer that is read whole, in bytes, unless the client has another bound.
	maxBody = 64 << 20
	// maxDrain bounds what is read of a streamed answer behind the part that its reader has taken. Beyond it another
	// connection costs less.
	maxDrain     = 256 << 10
	maxStaleIdle = 64 // idle connections found closed before a new one is dialled
)

// Error is a request that got no whole answer.
type Error struct {
	// Sent says that a part of the request may have left this process.
	Sent bool
	// Answered says that the head of an answer had arrived.
	Answered bool
	Cause    error
}

// Error implements error.
func (e *Error) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Client sends requests to one address. It is safe for concurrent use.
type Client struct {
	maxBody int // bytes
	host    *fasthttp.HostClient
	addr    string
	prefix  string
}

// New returns a Client for a base URL such as "http://127.0.0.1:8080".
func New(baseURL string) *Client {
	addr := strings.TrimPrefix(baseURL, "http://")
	prefix := ""
	if i := strings.IndexByte(addr, '/'); i >= 0 {
		addr, prefix = addr[:i], strings.TrimSuffix(addr[i:], "/")
	}
	return &Client{
		addr:   addr,
		prefix: prefix,

		maxBody: maxBody,
		host: &fasthttp.HostClient{
			Addr:                addr,
			Dial:                dial,
			MaxConns:            maxConns,
			MaxIdleConnDuration: idleTimeout,
			ConnPoolStrategy:    fasthttp.LIFO,
			ReadBufferSize:      readBuffer,
		},
	}
}

// WithMaxBody bounds the bodies of answers to n bytes. It must be called before the first request.
func (c *Client) WithMaxBody(n int) *Client {
	c.maxBody = n
	return c
}

func dial(addr string) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, dialTimeout)
}

// Request returns a request for method and path (with query). Release it with
// fasthttp.ReleaseRequest.
func (c *Client) Request(method, path string) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	req.Header.SetMethod(method)
	req.Header.SetRequestURI(c.prefix + path)
	req.Header.SetHost(c.addr)
	return req
}

// Do sends req once and reads the whole answer. Error: *Error.
func (c *Client) Do(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	return c.Stream(ctx, req, resp, nil)
}

// Stream is Do that hands the answer's body to read while it arrives, for status 200; other
// answers are read whole into resp. An error of read comes back as it is.
func (c *Client) Stream(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response,
	read func(body io.Reader) error) error {
	if err := ctx.Err(); err != nil {
		return &Error{Cause: errors.WithStack(err)}
	}
	conn, release, err := c.acquire()
	if err != nil {
		return &Error{Cause: errors.WithStack(err)}
	}
	// Closing the connection is what ends a request that hangs: reads and writes
	// would otherwise wait for as long as the target does.
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	reusable, err := c.roundTrip(conn, req, resp, read)
	if !stop() {
		reusable = false
	}
	release(reusable)
	if err != nil && ctx.Err() != nil {
		err = withCause(err, ctx.Err())
	}
	return err
}

// withCause replaces the cause of an *Error: once ctx has ended, what the closed connection
// said is of no interest.
func withCause(err error, cause error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	c := *e
	c.Cause = errors.WithStack(cause)
	return &c
}

// acquire returns a connection, idle or new, and what gives it back. An idle connection
// that the target has closed is passed over: a request written to it would be lost, and
// nobody could say whether it had run.
func (c *Client) acquire() (net.Conn, func(reusable bool), error) {
	for range maxStaleIdle {
		cc, err := c.host.AcquireConn(0, false)
		if err != nil {
			return nil, nil, err
		}
		if !cc.LastUseTime().IsZero() && stale(cc.Conn()) {
			c.host.CloseConn(cc)
			continue
		}
		release := func(reusable bool) {
			if reusable {
				c.host.ReleaseConn(cc)
				return
			}
			c.host.CloseConn(cc)
		}
		return cc.Conn(), release, nil
	}
	c.host.CloseIdleConnections()
	cc, err := c.host.AcquireConn(0, false)
	if err != nil {
		return nil, nil, err
	}
	return cc.Conn(), func(bool) { c.host.CloseConn(cc) }, nil
}

func (c *Client) roundTrip(conn net.Conn, req *fasthttp.Request, resp *fasthttp.Response,
	read func(io.Reader) error) (reusable bool, err error) {
	if err := c.write(conn, req); err != nil {
		return false, &Error{Sent: true, Cause: errors.WithStack(err)}
	}
	resp.SkipBody = req.Header.IsHead()
	br := c.host.AcquireReader(conn)
	defer c.host.ReleaseReader(br)
	if err := httpanswer.CheckNext(br); err != nil {
		return false, &Error{Sent: true, Cause: errors.WithStack(err)}
	}
	isAtEnd := true
	if read == nil {
		err = c.readAnswer(br, resp)
	} else {
		isAtEnd, err = c.readStream(br, resp, read)
	}
	return err == nil && isAtEnd && !resp.ConnectionClose(), err
}

func (c *Client) write(conn net.Conn, req *fasthttp.Request) error {
	bw := c.host.AcquireWriter(conn)
	defer c.host.ReleaseWriter(bw)
	if err := req.Write(bw); err != nil {
		return err
	}
	return bw.Flush()
}

// readAnswer reads an answer whole. Error: *Error, with errs.AnswerTooLarge beyond the bound.
func (c *Client) readAnswer(br *bufio.Reader, resp *fasthttp.Response) error {
	err := resp.ReadLimitBody(br, c.maxBody)
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return c.tooLarge()
	}
	if err != nil {
		return &Error{Sent: true, Cause: errors.WithStack(err)}
	}
	return nil
}

// tooLarge returns the error of an answer whose body is beyond the bound.
func (c *Client) tooLarge() error {
	return &Error{Sent: true, Answered: true, Cause: errs.Newf(errs.AnswerTooLarge, "the body of an answer exceeds %d bytes", c.maxBody)}
}

// readStream hands the body of an answer to read. isAtEnd reports whether the whole answer has been read, so that the
// connection can carry another request.
func (c *Client) readStream(br *bufio.Reader, resp *fasthttp.Response, read func(io.Reader) error) (isAtEnd bool, err error) {
	resp.StreamBody = true
	if err := resp.ReadLimitBody(br, 0); err != nil {
		return false, &Error{Sent: true, Cause: errors.WithStack(err)}
	}
	body := resp.BodyStream()
	if body == nil {
		body = strings.NewReader("")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return true, c.readRefusal(body, resp)
	}
	if err := read(body); err != nil {
		return false, err
	}
	switch _, err := io.CopyN(io.Discard, body, maxDrain+1); err {
	case io.EOF:
		return true, nil
	case nil:
		return false, nil
	default:
		return false, &Error{Sent: true, Answered: true, Cause: errors.WithStack(err)}
	}
}

// readRefusal puts the body of an answer other than 200 into resp.
func (c *Client) readRefusal(body io.Reader, resp *fasthttp.Response) error {
	text, err := io.ReadAll(io.LimitReader(body, int64(c.maxBody)+1))
	if err != nil {
		return &Error{Sent: true, Answered: true, Cause: errors.WithStack(err)}
	}
	if len(text) > c.maxBody {
		return c.tooLarge()
	}
	resp.SetBodyRaw(text)
	return nil
}
