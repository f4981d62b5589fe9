package follow

import (
	"bytes"
	"context"
	"crypto/hmac"
	"net"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/httpanswer"
	"arbutusramp/internal/settings"
)

// PeerPath is where entries ask each other for configuration on their peer listeners.
const PeerPath = "/peer/v1/config"

const (
	maxWait      = 10 * time.Second
	idleConn     = 10 * time.Second
	connsPerPeer = 4
)

// Fetcher asks another entry for what comes after version from, waiting up to wait
// when there is nothing. Errors: errs.SessionLost when it doesn't answer, else its refusal.
type Fetcher interface {
	Fetch(ctx context.Context, peer platform.Host, from structs.Version, wait time.Duration) (*structs.ConfigMsg, error)
}

// PeerHandler serves PeerPath.
func (f *Follower) PeerHandler(ctx *fasthttp.RequestCtx) {
	q, err := f.auth.check(string(ctx.Request.Header.Peek(headerPeer)), string(ctx.RequestURI()))
	if err != nil {
		f.log.Warn("question for configuration refused", "from", ctx.RemoteAddr().String(), "error", err)
		refuse(ctx, err)
		return
	}
	if !f.isReady() {
		refuse(ctx, errs.New(errs.Draining, "this process does not have the configuration yet").WithRetry(backoffMax))
		return
	}
	args := ctx.QueryArgs()
	from := args.GetUintOrZero("from")
	wait := min(maxWait, msToDuration(int64(args.GetUintOrZero("wait"))))
	m, err := f.answer(structs.Version(from), wait)
	if err != nil {
		refuse(ctx, err)
		return
	}
	body, err := confstate.Encode(m)
	if err != nil {
		refuse(ctx, err)
		return
	}
	ctx.Response.Header.SetNoDefaultContentType(true)
	ctx.Response.Header.Set(headerPeer, q.answerProof(body))
	ctx.SetBody(body)
}

// refuse answers with the error in CBOR.
func refuse(ctx *fasthttp.RequestCtx, err error) {
	e := errs.As(err)
	ctx.SetStatusCode(errs.Lookup(e.Type).Status)
	if body, encErr := confstate.Encode(e); encErr == nil {
		ctx.SetBody(body)
	}
}

// httpFetcher asks over HTTP.
type httpFetcher struct {
	self   structs.HostID
	auth   *auth
	client *fasthttp.Client
}

// NewHTTPFetcher returns the Fetcher of the host self over HTTP. dial is nil for TCP.
func NewHTTPFetcher(self structs.HostID, keys func() []settings.PeerKey, dial fasthttp.DialFunc) Fetcher {
	return newHTTPFetcher(self, &auth{keys: keys}, dial)
}

func newHTTPFetcher(self structs.HostID, a *auth, dial fasthttp.DialFunc) *httpFetcher {
	if dial == nil {
		dial = func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, pollGrace/2) }
	}
	return &httpFetcher{
		self: self,
		auth: a,
		client: &fasthttp.Client{
			Dial:                      httpanswer.DialChecked(dial),
			NoDefaultUserAgentHeader:  true,
			MaxConnsPerHost:           connsPerPeer,
			MaxIdleConnDuration:       idleConn,
			MaxResponseBodySize:       maxClient,
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// Fetch implements Fetcher.
func (h *httpFetcher) Fetch(ctx context.Context, peer platform.Host, from structs.Version, wait time.Duration) (*structs.ConfigMsg, error) {
	type result struct {
		m   *structs.ConfigMsg
		err error
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(wait + pollGrace)
	}
	done := make(chan result, 1)
	go func() {
		m, err := h.do(peer, from, wait, deadline)
		done <- result{m, err}
	}()
	select {
	case r := <-done:
		return r.m, r.err
	case <-ctx.Done():
		return nil, errors.WithStack(errs.Newf(errs.SessionLost, "%s did not answer in time", peer.ID))
	}
}

func (h *httpFetcher) do(peer platform.Host, from structs.Version, wait time.Duration, deadline time.Time) (*structs.ConfigMsg, error) {
	q, err := h.auth.newQuestion(h.self)
	if err != nil {
		return nil, err
	}
	uri := peerURI(from, wait)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + peer.Addr + uri)
	req.Header.Set(headerPeer, q.header(uri))
	if err := h.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errors.WithStack(errs.Newf(errs.SessionLost, "%s: %v", peer.ID, err))
	}
	return readAnswer(q, peer.ID, resp)
}

func peerURI(from structs.Version, wait time.Duration) string {
	uri := PeerPath + "?from=" + strconv.FormatUint(uint64(from), 10)
	if wait > 0 {
		uri += "&wait=" + strconv.FormatInt(wait.Milliseconds(), 10)
	}
	return uri
}

// readAnswer decodes an answer and checks its proof: configuration of anybody who
// can reach the port would else be taken.
func readAnswer(q question, peer structs.HostID, resp *fasthttp.Response) (*structs.ConfigMsg, error) {
	body := bytes.Clone(resp.Body())
	if resp.StatusCode() != fasthttp.StatusOK {
		var e errs.Error
		if err := confstate.Decode(body, &e); err != nil {
			return nil, errs.Newf(errs.SessionLost, "%s answered %d", peer, resp.StatusCode())
		}
		return nil, errors.Wrapf(&e, "%s", peer)
	}
	if !hmac.Equal([]byte(q.answerProof(body)), resp.Header.Peek(headerPeer)) {
		return nil, errs.Newf(errs.Unauthenticated, "wrong proof in the answer of %s", peer)
	}
	var m structs.ConfigMsg
	if err := confstate.Decode(body, &m); err != nil {
		return nil, err
	}
	return &m, nil
}
