package storepath

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/adapter/httpclient"
)

const (
	// peerTimeout bounds a call through a peer. The store usually answers within 4 ms, and within 300 ms
	// while it is slow; a peer whose own call hangs cannot help.
	peerTimeout = 600 * time.Millisecond
	// peerReadTimeout is the same for reads, in addition to the wait that the store is asked for: a page of
	// 1 MB takes 0.3 s on each of two links of 30 Mbit/s.
	peerReadTimeout = 1500 * time.Millisecond
	// peerPageTimeout is the upper bound for a page of the newest records; the context of the caller sets
	// the actual one.
	peerPageTimeout = 10 * time.Second
)

// peerStore is the store as reached through the relay of one peer. It implements platform.Store.
type peerStore struct{ client *httpclient.Client }

// newPeerStore returns a client for the relay at addr (IP:port).
func newPeerStore(addr string) *peerStore { return &peerStore{httpclient.New("http://" + addr)} }

// call sends one request. isWrite means that a call without an answer may have been executed.
func (p *peerStore) call(ctx context.Context, r request, timeout time.Duration, isWrite bool) (response, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return response{}, errs.Newf(errs.Internal, "encode call of the store: %v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := p.client.Request(fasthttp.MethodPost, relayPath)
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetContentType(mediaType)
	req.SetBodyRaw(data)
	if err := p.client.Do(ctx, req, resp); err != nil {
		return response{}, unansweredError(err, isWrite)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return response{}, unansweredError(errors.Errorf("peer answered with status %d", resp.StatusCode()), isWrite)
	}
	var decoded response
	if err := cbor.Unmarshal(resp.Body(), &decoded); err != nil {
		return response{}, unansweredError(err, isWrite)
	}
	return decoded, decoded.Failure.decode()
}

// unansweredError returns the error of a call without an answer: errs.AppendUnknown for a write that may
// have been sent, else errs.LogDown.
func unansweredError(err error, isWrite bool) error {
	var e *httpclient.Error
	if isWrite && !(errors.As(err, &e) && !e.Sent) {
		return errs.Newf(errs.AppendUnknown, "through a peer: %v", err)
	}
	return errs.Newf(errs.LogDown, "through a peer: %v", err)
}

// Append implements platform.Store.
func (p *peerStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	resp, err := p.call(ctx, request{Append: &a}, peerTimeout, true)
	return resp.Appended, err
}

// Read implements platform.Store.
func (p *peerStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	resp, err := p.call(ctx, request{Read: &r}, r.Wait+peerReadTimeout, false)
	return resp.Records, err
}

// Newest implements platform.Store.
func (p *peerStore) Newest(ctx context.Context, part platform.Partition, after string) (platform.NewestPage, error) {
	resp, err := p.call(ctx, request{Newest: &newestRequest{Partition: part, After: after}}, peerPageTimeout, false)
	return resp.Page, err
}

// Join implements platform.Store.
func (p *peerStore) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	resp, err := p.call(ctx, request{Join: &m}, peerTimeout, false)
	return resp.Assignment, err
}

// Leave implements platform.Store.
func (p *peerStore) Leave(ctx context.Context, group, member string) error {
	_, err := p.call(ctx, request{Leave: &leaveRequest{Group: group, Member: member}}, peerTimeout, false)
	return err
}
