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
	// peerTimeout bounds a small call through a peer. The store usually answers within 4 ms, and within 300 ms
	// while it is slow. A peer that takes longer does not reach the store either.
	peerTimeout = 600 * time.Millisecond
	// peerReadTimeout bounds a read through a peer, not counting the time that the store may wait for new
	// records. 1 MB takes 0.3 s on each of two links of 30 Mbit/s.
	peerReadTimeout = 1500 * time.Millisecond
	// peerPageTimeout bounds a read of the newest records through a peer. The context of the caller usually ends
	// earlier.
	peerPageTimeout = 10 * time.Second
	// maxResponseBytes bounds the response of a relay, which holds an answer of the store of 4 MiB at most, encoded anew.
	maxResponseBytes = 8 << 20
)

// peerStore is a platform.Store that makes each call through the relay of one peer.
type peerStore struct{ client *httpclient.Client }

// newPeerStore returns a store that makes its calls through the relay at addr (IP:port).
func newPeerStore(addr string) *peerStore {
	return &peerStore{httpclient.New("http://" + addr).WithMaxBody(maxResponseBytes)}
}

// call sends a request to the relay and returns its response. isWrite says that the request changes the store:
// without an answer, the outcome is then unknown. Errors: those of the store; those of unansweredError.
func (p *peerStore) call(ctx context.Context, r request, timeout time.Duration, isWrite bool) (response, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return response{}, errs.Newf(errs.Internal, "encode a store call for the relay: %v", err)
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
		return response{}, unansweredError(errors.Errorf("the peer answered with status %d", resp.StatusCode()), isWrite)
	}
	var decoded response
	if err := cbor.Unmarshal(resp.Body(), &decoded); err != nil {
		return response{}, unansweredError(err, isWrite)
	}
	return decoded, decoded.Failure.decode()
}

// unansweredError returns the error for a call that got no valid answer because of err: errs.AppendUnknown for a
// write that may have reached the peer, else errs.LogDown.
func unansweredError(err error, isWrite bool) error {
	var clientErr *httpclient.Error
	if isWrite && !(errors.As(err, &clientErr) && !clientErr.Sent) {
		return errs.Newf(errs.AppendUnknown, "no answer to a store call through a peer: %v", err)
	}
	return errs.Newf(errs.LogDown, "no answer to a store call through a peer: %v", err)
}

// Append implements platform.Store.
func (p *peerStore) Append(ctx context.Context, write platform.Append) (platform.Appended, error) {
	resp, err := p.call(ctx, request{Append: &write}, peerTimeout, true)
	return resp.Appended, err
}

// Read implements platform.Store.
func (p *peerStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	resp, err := p.call(ctx, request{Read: &r}, r.Wait+peerReadTimeout, false)
	return resp.Records, err
}

// Newest implements platform.Store.
func (p *peerStore) Newest(ctx context.Context, partition platform.Partition, after string) (platform.NewestPage, error) {
	resp, err := p.call(ctx, request{Newest: &newestRequest{Partition: partition, After: after}}, peerPageTimeout, false)
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
