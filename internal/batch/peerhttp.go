package batch

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/httpanswer"
	"arbutusramp/internal/keyring"
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
func proof(secret, body []byte) string { return keyedSum(secret, PeerPath, "", body) }

// replyProof binds a reply to the proof of its call: whoever holds no key could else answer in an
// owner's place that a job is accepted.
func replyProof(secret []byte, call string, body []byte) string {
	return keyedSum(secret, PeerPath+"/reply", call, body)
}

// keyedSum separates its parts by a byte that neither path nor call holds.
func keyedSum(secret []byte, path, call string, body []byte) string {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(path + "\n" + call + "\n"))
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// httpPeers calls other entries over HTTP with CBOR bodies.
type httpPeers struct {
	client fasthttp.Client
	keys   func() []settings.PeerKey
	log    hclog.Logger
}

func newHTTPPeers(keys func() []settings.PeerKey, log hclog.Logger) *httpPeers {
	return &httpPeers{
		keys: keys,
		log:  log,
		client: fasthttp.Client{
			MaxConnsPerHost:     256,
			MaxResponseBodySize: maxPeerReply,
			MaxIdleConnDuration: 30 * time.Second,
			Dial:                httpanswer.DialChecked(fasthttp.Dial),
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
	keys := p.keys()
	if len(keys) == 0 {
		return nil, errs.New(errs.SessionLost, "no peer key is set")
	}
	call := proof(keys[0].Secret, body)
	req.Header.Set(headerPeerKey, keys[0].ID)
	req.Header.Set(headerPeerProof, call)
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callPatience)
	}
	if err := p.client.DoDeadline(req, resp, deadline); err != nil {
		return nil, errs.Newf(errs.SessionLost, "entry %s: %v", host.ID, err)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, p.refused(host, resp)
	}
	given := resp.Header.Peek(headerPeerProof)
	if !hmac.Equal([]byte(replyProof(keys[0].Secret, call, resp.Body())), given) {
		return nil, errs.Newf(errs.SessionLost, "entry %s: wrong proof of its reply under peer key %q", host.ID, keys[0].ID)
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

// refused turns a refusal into an error. It concerns this process and not the caller whose request it
// works on, so it does not keep its type: an Unauthenticated would have the caller look for
// a fault in its own key.
func (p *httpPeers) refused(host platform.Host, resp *fasthttp.Response) error {
	var why errs.Error
	if err := cbor.Unmarshal(resp.Body(), &why); err != nil || why.Type == "" {
		return errs.Newf(errs.SessionLost, "entry %s answers with status %d", host.ID, resp.StatusCode())
	}
	p.log.Warn("call refused by an entry", "entry", host.ID, "type", why.Type, "why", why.Detail)
	return errs.Newf(errs.SessionLost, "entry %s refuses the call: %s", host.ID, why.Detail)
}

// PeerHandler serves PeerPath on the peer listener.
func (m *Manager) PeerHandler(ctx *fasthttp.RequestCtx) {
	body := ctx.PostBody()
	key, err := m.authentic(ctx, body)
	if err != nil {
		m.log.Warn("call of an entry refused", "from", ctx.RemoteAddr().String(), "error", err)
		refusePeer(ctx, err)
		return
	}
	var r PeerRequest
	if err := cbor.Unmarshal(body, &r); err != nil {
		refusePeer(ctx, errs.Newf(errs.BadRequest, "peer call: %v", err))
		return
	}
	out, err := cbor.Marshal(m.Serve(ctx, &r))
	if err != nil {
		refusePeer(ctx, errs.Newf(errs.Internal, "peer reply: %v", err))
		return
	}
	call := string(ctx.Request.Header.Peek(headerPeerProof))
	ctx.Response.Header.Set(headerPeerProof, replyProof(key.Secret, call, out))
	ctx.SetContentType("application/cbor")
	ctx.SetBody(out)
}

// refusePeer answers with the error in CBOR.
func refusePeer(ctx *fasthttp.RequestCtx, err error) {
	e := errs.As(err)
	ctx.SetStatusCode(errs.Lookup(e.Type).Status)
	if body, encErr := cbor.Marshal(e); encErr == nil {
		ctx.SetBody(body)
	}
}

// authentic returns the key under which a call is proved. Error: errs.Unauthenticated, which says
// whether the key is missing, old or not known, or the proof wrong.
func (m *Manager) authentic(ctx *fasthttp.RequestCtx, body []byte) (settings.PeerKey, error) {
	id := string(ctx.Request.Header.Peek(headerPeerKey))
	key, err := keyring.FindPeerKey(m.o.PeerKeys(), m.o.RetiredKey, id)
	if err != nil {
		return key, err
	}
	given := ctx.Request.Header.Peek(headerPeerProof)
	if !hmac.Equal([]byte(proof(key.Secret, body)), given) {
		return key, errs.Newf(errs.Unauthenticated, "wrong proof of a call under peer key %q", id)
	}
	return key, nil
}
