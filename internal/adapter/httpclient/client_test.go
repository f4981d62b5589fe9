package httpclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/internal/adapter/httpclient"
)

// server accepts connections and hands each to serve, with its number from 1.
func server(t *testing.T, serve func(n int64, c net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	var n atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(n.Add(1), c)
		}
	}()
	return "http://" + ln.Addr().String()
}

func get(ctx context.Context, c *httpclient.Client) (string, error) {
	req := c.Request(fasthttp.MethodGet, "/x?y=1")
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	err := c.Do(ctx, req, resp)
	return string(resp.Body()), err
}

func readRequest(c net.Conn) error {
	var req fasthttp.Request
	return req.Read(bufio.NewReader(c))
}

// Symptom: a call that must run at most once ran twice. Events: the target reads the
// request and closes the connection without an answer, on a connection that had carried one
// before. Cause: HTTP libraries send requests again that met a closed kept-alive connection.
func TestNothingIsSentTwice(t *testing.T) {
	var requests atomic.Int64
	url := server(t, func(_ int64, c net.Conn) {
		defer func() { _ = c.Close() }()
		for i := 0; ; i++ {
			if readRequest(c) != nil {
				return
			}
			requests.Add(1)
			if i == 1 {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	c := httpclient.New(url)
	if body, err := get(t.Context(), c); err != nil || body != "ok" {
		t.Fatal(body, err)
	}
	_, err := get(t.Context(), c)
	var failed *httpclient.Error
	if !errors.As(err, &failed) || !failed.Sent {
		t.Errorf("got %v", err)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("%d requests arrived for 2 calls", got)
	}
}

// Symptom: after a target's restart the first calls fail with "unknown", and may not be
// repeated. Events: the target closes a connection while it is idle in the pool. Cause: writing to it.
func TestClosedIdleConnectionsArePassedOver(t *testing.T) {
	closed := make(chan struct{})
	url := server(t, func(n int64, c net.Conn) {
		if readRequest(c) != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if n == 1 {
			_ = c.Close()
			close(closed)
		}
	})
	c := httpclient.New(url)
	for range 2 {
		if body, err := get(t.Context(), c); err != nil || body != "ok" {
			t.Fatal(body, err)
		}
		<-closed
	}
}

func TestTargetError(t *testing.T) {
	for _, c := range []struct {
		err  *httpclient.Error
		kind errs.Type
		ran  errs.Ran
	}{
		{&httpclient.Error{Cause: io.EOF}, errs.TargetFailed, errs.RanNo},
		{&httpclient.Error{Cause: context.Canceled}, errs.Cancelled, errs.RanNo},
		{&httpclient.Error{Sent: true, Cause: io.EOF}, errs.TargetFailed, errs.RanUnknown},
		{&httpclient.Error{Sent: true, Answered: true, Cause: io.EOF}, errs.StreamBroken, errs.RanUnknown},
		{&httpclient.Error{Sent: true, Answered: true, Cause: context.Canceled}, errs.Cancelled, errs.RanUnknown},
		{&httpclient.Error{Sent: true, Cause: context.DeadlineExceeded}, errs.TargetTimeout, errs.RanUnknown},
	} {
		got := errs.As(httpclient.TargetError(c.err))
		if got.Type != c.kind || got.Ran != c.ran {
			t.Errorf("%+v: %s (%s)", c.err, got.Type, got.Ran)
		}
	}
}
