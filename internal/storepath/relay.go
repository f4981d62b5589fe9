package storepath

import (
	"context"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

const (
	// relayPath is the URL path at which a relay accepts calls.
	relayPath = "/store"
	// mediaType is the content type of calls and responses.
	mediaType = "application/cbor"
	// maxRequestBytes bounds an encoded call: the largest append that the store accepts is 2 MB.
	maxRequestBytes = 4 << 20
)

// Relay forwards calls of peers that cannot reach the store directly.
type Relay struct {
	store platform.Store
	log   hclog.Logger
}

// NewRelay returns a relay to store, which must be the direct path of this process: a call that is
// forwarded to another peer could loop.
func NewRelay(store platform.Store, log hclog.Logger) *Relay { return &Relay{store: store, log: log} }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != relayPath || req.Method != http.MethodPost {
		http.NotFound(w, req)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes))
	if err != nil {
		return // the caller has closed the connection
	}
	var call request
	if err := cbor.Unmarshal(body, &call); err != nil {
		r.log.Warn("relayed call unreadable", "from", req.RemoteAddr, "error", err)
		http.Error(w, "not a valid store call", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(r.forward(req.Context(), call))
	if err != nil {
		r.log.Error("response to a relayed call not encoded", "error", err)
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	_, _ = w.Write(data) // a caller that has closed the connection retries through another peer
}

// forward makes one call of the store.
func (r *Relay) forward(ctx context.Context, c request) (resp response) {
	var err error
	switch {
	case c.Append != nil:
		resp.Appended, err = r.store.Append(ctx, *c.Append)
	case c.Read != nil:
		resp.Records, err = r.store.Read(ctx, *c.Read)
	case c.Newest != nil:
		resp.Page, err = r.store.Newest(ctx, c.Newest.Partition, c.Newest.After)
	case c.Join != nil:
		resp.Assignment, err = r.store.Join(ctx, *c.Join)
	case c.Leave != nil:
		err = r.store.Leave(ctx, c.Leave.Group, c.Leave.Member)
	default:
		err = errs.New(errs.BadFrame, "request contains no store call")
	}
	resp.Failure = encodeError(err)
	return resp
}
