package batch

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/settings"
)

// PeerPath is the path of calls between entries on the peer listener.
const PeerPath = "/peer/batch"

const (
	headerPeerKey   = "X-Peer-Key"
	headerPeerProof = "X-Peer-Proof"
	// maxPeerReply bounds an answer, in bytes.
	maxPeerReply = 64 << 20
)

// proof returns the HMAC over body under secret. Calls can be repeated without
// harm, so a replayed one does none either.
func proof(secret, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(PeerPath))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// httpPeers calls other entries over HTTP with CBOR bodies.
type httpPeers struct {
	client fasthttp.Client
	keys   func() []settings.PeerKey
}

func newHTTPPeers(keys func() []settings.PeerKey) *httpPeers {
	return &httpPeers{
		keys: keys,
		client: fasthttp.Client{
			MaxConnsPerHost:     256,
			MaxResponseBodySize: maxPeerReply,
			MaxIdleConnDuration: 30 * time.Second,
		},
	}
}

// Call implements PeerCaller.
func (p *httpPeers) Call(ctx context.Context, host platform.Host, r *PeerRequest) (*PeerReply, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "peer call: %v", err)
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host.Addr + PeerPath)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if keys := p.keys(); len(keys) > 0 {
		req.Header.Set(headerPeerKey, keys[0].ID)
		req.Header.Set(headerPeerProof, proof(keys[0].Secret, body))
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callPatience)
	}
	if err := p.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errs.Newf(errs.SessionLost, "entry %s: %v", host.ID, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errs.Newf(errs.SessionLost, "entry %s answers with status %d", host.ID, resp.StatusCode())
	}
	var reply PeerReply
	if err := cbor.Unmarshal(resp.Body(), &reply); err != nil {
		return nil, errs.Newf(errs.BadFrame, "entry %s: %v", host.ID, err)
	}
	if reply.Err != nil {
		return &reply, reply.Err
	}
	return &reply, nil
}

// PeerHandler serves PeerPath on the peer listener.
func (m *Manager) PeerHandler(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	if !m.authentic(ctx, body) {
		ctx.SetStatusCode(fasthttp.StatusUnauthorized)
		return
	}
	var r PeerRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	out, err := cbor.Marshal(m.Serve(ctx, &r))
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(out)
}

// authentic checks the proof of a call. Without keys in the settings every call passes, as
// for sessions.
func (m *Manager) authentic(ctx *fasthttp.RequestCtx, body []byte) bool {
	keys := m.set.ValidPeerKeys()
	if len(keys) == 0 {
		return true
	}
	id := string(ctx.Request.Header.Peek(headerPeerKey))
	given := ctx.Request.Header.Peek(headerPeerProof)
	for _, k := range keys {
		if k.ID == id {
			return hmac.Equal([]byte(proof(k.Secret, body)), given)
		}
	}
	return false
}
