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
	// peerTimeout is how long a peer may take. The store answers within 4 ms as a rule and within 300 ms while
	// it is slow; a peer whose own call hangs is of no use.
	peerTimeout = 600 * time.Millisecond
	// peerReadTimeout is the same for reads, beyond the wait that the store was asked for: a page of 1 MB takes 0.3 s on each
	// of two links of 30 Mbit/s.
	peerReadTimeout = 1500 * time.Millisecond
	// peerPageTimeout is the most that a page of the newest records may take; callers say how long they wait.
	peerPageTimeout = 10 * time.Second
)

// peerStore is the store as reached through one peer. It implements platform.Store.
type peerStore struct{ client *httpclient.Client }

func newPeerStore(addr string) *peerStore { return &peerStore{httpclient.New("http://" + addr)} }

// call sends one request. writes says that without an answer it may have been done.
func (p *peerStore) call(ctx context.Context, r request, timeout time.Duration, writes bool) (answer, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return answer{}, errs.Newf(errs.Internal, "call of the store: %v", err)
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
		return answer{}, unanswered(err, writes)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer{}, unanswered(errors.Errorf("the peer answers %d", resp.StatusCode()), writes)
	}
	var a answer
	if err := cbor.Unmarshal(resp.Body(), &a); err != nil {
		return answer{}, unanswered(err, writes)
	}
	return a, a.Failure.err()
}

// unanswered is the error of a call without an answer.
func unanswered(err error, writes bool) error {
	var e *httpclient.Error
	if writes && !(errors.As(err, &e) && !e.Sent) {
		return errs.Newf(errs.AppendUnknown, "through a peer: %v", err)
	}
	return errs.Newf(errs.LogDown, "through a peer: %v", err)
}

// Append implements platform.Store.
func (p *peerStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	ans, err := p.call(ctx, request{Append: &a}, peerTimeout, true)
	return ans.Appended, err
}

// Read implements platform.Store.
func (p *peerStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	ans, err := p.call(ctx, request{Read: &r}, r.Wait+peerReadTimeout, false)
	return ans.Records, err
}

// Newest implements platform.Store.
func (p *peerStore) Newest(ctx context.Context, part platform.Partition, after string) (platform.NewestPage, error) {
	ans, err := p.call(ctx, request{Newest: &newestRequest{Partition: part, After: after}}, peerPageTimeout, false)
	return ans.Page, err
}

// Join implements platform.Store.
func (p *peerStore) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	ans, err := p.call(ctx, request{Join: &m}, peerTimeout, false)
	return ans.Assignment, err
}

// Leave implements platform.Store.
func (p *peerStore) Leave(ctx context.Context, group, member string) error {
	_, err := p.call(ctx, request{Leave: &leaveRequest{Group: group, Member: member}}, peerTimeout, false)
	return err
}
