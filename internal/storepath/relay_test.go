package storepath

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/internal/inbound/inboundtest"
	"arbutusramp/standin/keyedlog"
)

// newRelayedStore starts an HTTP server with a relay to s. It returns a store that makes its calls through this
// relay, and the server.
func newRelayedStore(t *testing.T, s platform.Store) (platform.Store, *httptest.Server) {
	t.Helper()
	server := inboundtest.NewServer(t, NewRelay(s, hclog.NewNullLogger()))
	return newPeerStore(strings.TrimPrefix(server.URL, "http://")), server
}

func TestRelayForwardsEveryCall(t *testing.T) {
	view := keyedlog.New(2).View()
	s, _ := newRelayedStore(t, view)
	ctx := t.Context()
	if appended, err := s.Append(ctx, newWrite("a")); err != nil || appended.First != 0 || appended.End != 1 {
		t.Errorf("Append of one record: %+v, error %v, want first 0, end 1", appended, err)
	}
	if read, err := s.Read(ctx, platform.Read{Partition: testPartition, Wait: time.Millisecond}); err != nil || len(read.Records) != 1 || read.Records[0].Key != "a" {
		t.Errorf("Read: %+v, error %v, want one record with key a", read, err)
	}
	if page, err := s.Newest(ctx, testPartition, ""); err != nil || len(page.Records) != 1 || page.End != 1 {
		t.Errorf("Newest: %+v, error %v, want one record, end 1", page, err)
	}
	m := platform.Membership{Group: "g", Member: "m", Topics: []string{"s"}, TTL: time.Second}
	if assignment, err := s.Join(ctx, m); err != nil || len(assignment.Held) != 2 {
		t.Errorf("Join: %+v, error %v, want 2 partitions held", assignment, err)
	}
	if err := s.Leave(ctx, "g", "m"); err != nil {
		t.Errorf("Leave: error %v, want none", err)
	}
}

func TestRelayForwardsStoreErrors(t *testing.T) {
	store := keyedlog.New(2)
	view := store.View()
	s, _ := newRelayedStore(t, view)
	ctx := t.Context()
	newProducerWrite := func(epoch, seq uint64) platform.Append {
		write := newWrite("a")
		write.Producer = &platform.Producer{Name: "p", Epoch: epoch, Seq: seq}
		return write
	}
	at := uint64(7)
	conditional := newWrite("a")
	conditional.At = &at
	var moved *platform.EndMoved
	if _, err := s.Append(ctx, conditional); !errors.As(err, &moved) || moved.End != 0 {
		t.Errorf("write on condition of end 7 to an empty partition: error %v, want platform.EndMoved with end 0", err)
	}
	if _, err := s.Append(ctx, newProducerWrite(2, 1)); err != nil {
		t.Fatal(err)
	}
	var fenced *platform.Fenced
	if _, err := s.Append(ctx, newProducerWrite(1, 1)); !errors.As(err, &fenced) {
		t.Errorf("write with epoch 1 after epoch 2: error %v, want platform.Fenced", err)
	}
	var outOfSequence *platform.OutOfSequence
	if _, err := s.Append(ctx, newProducerWrite(2, 9)); !errors.As(err, &outOfSequence) || outOfSequence.Expected != 2 {
		t.Errorf("write with sequence number 9 after 1: error %v, want platform.OutOfSequence with 2 expected", err)
	}
	store.Forget()
	var expired *platform.Expired
	if _, err := s.Read(ctx, platform.Read{Partition: testPartition}); !errors.As(err, &expired) || expired.First != 1 {
		t.Errorf("read of discarded records: error %v, want platform.Expired with first 1", err)
	}
	view.Set(keyedlog.Faults{Refuse: true})
	if _, err := s.Append(ctx, newWrite("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("write while the store is down: error %v, want errs.LogDown", err)
	}
}

// If a peer crashes during a write, the outcome of the write is unknown. If the peer cannot be reached, the
// write was certainly not executed.
func TestUnansweredWriteIsUnknownOnlyIfSent(t *testing.T) {
	crashingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer crashingServer.Close()
	s := newPeerStore(strings.TrimPrefix(crashingServer.URL, "http://"))
	if _, err := s.Append(t.Context(), newWrite("a")); !errs.Is(err, errs.AppendUnknown) {
		t.Errorf("write whose connection is aborted: error %v, want errs.AppendUnknown", err)
	}
	if _, err := s.Read(t.Context(), platform.Read{Partition: testPartition}); !errs.Is(err, errs.LogDown) {
		t.Errorf("read whose connection is aborted: error %v, want errs.LogDown", err)
	}
	_, stoppedServer := newRelayedStore(t, keyedlog.New(1).View())
	addr := strings.TrimPrefix(stoppedServer.URL, "http://")
	stoppedServer.Close()
	if _, err := newPeerStore(addr).Append(t.Context(), newWrite("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("write through an unreachable peer: error %v, want errs.LogDown", err)
	}
}

func TestRelayRejectsInvalidCalls(t *testing.T) {
	_, server := newRelayedStore(t, keyedlog.New(1).View())
	cases := []struct {
		method, path, body string
		want               int
	}{
		{http.MethodGet, relayPath, "", http.StatusNotFound},
		{http.MethodPost, "/other", "", http.StatusNotFound},
		{http.MethodPost, relayPath, "not cbor", http.StatusBadRequest},
	}
	for _, c := range cases {
		req, err := http.NewRequestWithContext(t.Context(), c.method, server.URL+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.want {
			t.Errorf("%s %s with body %q: status %d, want %d", c.method, c.path, c.body, resp.StatusCode, c.want)
		}
	}
	// An empty request can be decoded but contains no store call.
	s := newPeerStore(strings.TrimPrefix(server.URL, "http://"))
	if _, err := s.call(t.Context(), request{}, time.Second, false); !errs.Is(err, errs.BadFrame) {
		t.Errorf("request without a store call: error %v, want errs.BadFrame", err)
	}
}
