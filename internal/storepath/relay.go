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
	// relayPath is where a relay takes calls.
	relayPath = "/store"
	// mediaType is that of calls and answers.
	mediaType = "application/cbor"
	// maxRequest bounds a call: the largest append of the store is 2 MB.
	maxRequest = 4 << 20
)

// Relay serves peers that can't reach the store themselves.
type Relay struct {
	store platform.Store
	log   hclog.Logger
}

// NewRelay returns a relay to store, which must be this process's own way to it: a call that went on to
// another peer could travel in a circle.
func NewRelay(store platform.Store, log hclog.Logger) *Relay { return &Relay{store: store, log: log} }

// ServeHTTP implements http.Handler.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != relayPath || req.Method != http.MethodPost {
		http.NotFound(w, req)
		return
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxRequest))
	if err != nil {
		return // the caller has gone
	}
	var call request
	if err := cbor.Unmarshal(body, &call); err != nil {
		r.log.Warn("relayed call can't be read", "from", req.RemoteAddr, "error", err)
		http.Error(w, "not a call of the store", http.StatusBadRequest)
		return
	}
	data, err := cbor.Marshal(r.pass(req.Context(), call))
	if err != nil {
		r.log.Error("answer to a relayed call can't be encoded", "error", err)
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	_, _ = w.Write(data) // a caller that has gone asks again elsewhere
}

// pass makes one call of the store.
func (r *Relay) pass(ctx context.Context, c request) (a answer) {
	var err error
	switch {
	case c.Append != nil:
		a.Appended, err = r.store.Append(ctx, *c.Append)
	case c.Read != nil:
		a.Records, err = r.store.Read(ctx, *c.Read)
	case c.Newest != nil:
		a.Page, err = r.store.Newest(ctx, c.Newest.Partition, c.Newest.After)
	case c.Join != nil:
		a.Assignment, err = r.store.Join(ctx, *c.Join)
	case c.Leave != nil:
		err = r.store.Leave(ctx, c.Leave.Group, c.Leave.Member)
	default:
		err = errs.New(errs.BadFrame, "no call of the store")
	}
	a.Failure = failureOf(err)
	return a
}
