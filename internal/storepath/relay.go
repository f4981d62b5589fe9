package storepath

import (
	"context"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/inbound"
)

const (
	// relayPath is the URL path to which a peer posts its store calls.
	relayPath = "/store"
	// mediaType is the content type of an encoded request or response.
	mediaType = "application/cbor"
	// MaxRequestBytes bounds an encoded request. The largest append that the store accepts is 2 MB.
	MaxRequestBytes = 4 << 20
	// relayReadTime bounds the time for reading a request of a peer, which gives up after less.
	relayReadTime = 10 * time.Second
)

// Relay is an HTTP handler that makes the store calls of peers which cannot reach the store directly.
type Relay struct {
	store platform.Store
	log   hclog.Logger
}

// NewRelay returns a relay to store. store must be the direct path of this process, not a Paths: a call that a
// relay forwards to another relay could loop.
func NewRelay(store platform.Store, log hclog.Logger) *Relay { return &Relay{store: store, log: log} }

// ServeHTTP implements http.Handler. It reads a request in CBOR and writes the response, which also carries an
// error of the store.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != relayPath || req.Method != http.MethodPost {
		http.NotFound(w, req)
		return
	}
	body, err := inbound.ReadBody(w, req, inbound.BodyLimits{MaxBytes: MaxRequestBytes, Until: time.Now().Add(relayReadTime)})
	if err != nil {
		http.Error(w, err.Error(), errs.Lookup(errs.As(err).Type).Status) // the peer takes any status but 200 for a lost call
		return
	}
	var call request
	if err := cbor.Unmarshal(body, &call); err != nil {
		r.log.Warn("store call of a peer not decoded", "from", req.RemoteAddr, "error", err)
		http.Error(w, "the body is not a valid store call", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(r.forward(req.Context(), call))
	if err != nil {
		r.log.Error("response to the store call of a peer not encoded", "error", err)
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	_, _ = w.Write(data) // a caller that has disconnected repeats the call through another peer
}

// forward makes the store call that is set in call, and returns its result. A request without a call results in
// errs.BadFrame.
func (r *Relay) forward(ctx context.Context, call request) (resp response) {
	var err error
	switch {
	case call.Append != nil:
		resp.Appended, err = r.store.Append(ctx, *call.Append)
	case call.Read != nil:
		resp.Records, err = r.store.Read(ctx, *call.Read)
	case call.Newest != nil:
		resp.Page, err = r.store.Newest(ctx, call.Newest.Partition, call.Newest.After)
	case call.Join != nil:
		resp.Assignment, err = r.store.Join(ctx, *call.Join)
	case call.Leave != nil:
		err = r.store.Leave(ctx, call.Leave.Group, call.Leave.Member)
	default:
		err = errs.New(errs.BadFrame, "the request contains no store call")
	}
	resp.Failure = encodeError(err)
	return resp
}
