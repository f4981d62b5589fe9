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
	"arbutusramp/standin/keyedlog"
)

// newRelayedStore returns s as seen through a relay over a real connection, and the server of the relay.
func newRelayedStore(t *testing.T, s platform.Store) (platform.Store, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(NewRelay(s, hclog.NewNullLogger()))
	t.Cleanup(server.Close)
	return newPeerStore(strings.TrimPrefix(server.URL, "http://")), server
}

func TestRelayForwardsEveryCall(t *testing.T) {
	view := keyedlog.New(2).View()
	s, _ := newRelayedStore(t, view)
	ctx := t.Context()
	if done, err := s.Append(ctx, newWrite("a")); err != nil || done.First != 0 || done.End != 1 {
		t.Errorf("append: %+v, %v", done, err)
	}
	if page, err := s.Read(ctx, platform.Read{Partition: testPartition, Wait: time.Millisecond}); err != nil || len(page.Records) != 1 || page.Records[0].Key != "a" {
		t.Errorf("read: %+v, %v", page, err)
	}
	if page, err := s.Newest(ctx, testPartition, ""); err != nil || len(page.Records) != 1 || page.End != 1 {
		t.Errorf("newest: %+v, %v", page, err)
	}
	m := platform.Membership{Group: "g", Member: "m", Topics: []string{"s"}, TTL: time.Second}
	if a, err := s.Join(ctx, m); err != nil || len(a.Held) != 2 {
		t.Errorf("join: %+v, %v", a, err)
	}
	if err := s.Leave(ctx, "g", "m"); err != nil {
		t.Errorf("leave: %v", err)
	}
}

func TestRelayForwardsStoreErrors(t *testing.T) {
	store := keyedlog.New(2)
	view := store.View()
	s, _ := newRelayedStore(t, view)
	ctx := t.Context()
	newFencedWrite := func(epoch, seq uint64) platform.Append {
		a := newWrite("a")
		a.Producer = &platform.Producer{Name: "p", Epoch: epoch, Seq: seq}
		return a
	}
	at := uint64(7)
	conditional := newWrite("a")
	conditional.At = &at
	var moved *platform.EndMoved
	if _, err := s.Append(ctx, conditional); !errors.As(err, &moved) || moved.End != 0 {
		t.Errorf("condition: %v", err)
	}
	if _, err := s.Append(ctx, newFencedWrite(2, 1)); err != nil {
		t.Fatal(err)
	}
	var old *platform.Fenced
	if _, err := s.Append(ctx, newFencedWrite(1, 1)); !errors.As(err, &old) {
		t.Errorf("old epoch: %v", err)
	}
	var gap *platform.OutOfSequence
	if _, err := s.Append(ctx, newFencedWrite(2, 9)); !errors.As(err, &gap) || gap.Expected != 2 {
		t.Errorf("gap: %v", err)
	}
	store.Forget()
	var expired *platform.Expired
	if _, err := s.Read(ctx, platform.Read{Partition: testPartition}); !errors.As(err, &expired) || expired.First != 1 {
		t.Errorf("discarded history: %v", err)
	}
	view.Set(keyedlog.Faults{Refuse: true})
	if _, err := s.Append(ctx, newWrite("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("refused: %v", err)
	}
}

// A peer that dies during a write leaves the outcome unknown; one that cannot be reached has not received
// the write.
func TestUnansweredWriteIsUnknownOnlyIfSent(t *testing.T) {
	dying := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dying.Close()
	s := newPeerStore(strings.TrimPrefix(dying.URL, "http://"))
	if _, err := s.Append(t.Context(), newWrite("a")); !errs.Is(err, errs.AppendUnknown) {
		t.Errorf("aborted write: %v", err)
	}
	if _, err := s.Read(t.Context(), platform.Read{Partition: testPartition}); !errs.Is(err, errs.LogDown) {
		t.Errorf("aborted read: %v", err)
	}
	_, stoppedServer := newRelayedStore(t, keyedlog.New(1).View())
	addr := strings.TrimPrefix(stoppedServer.URL, "http://")
	stoppedServer.Close()
	if _, err := newPeerStore(addr).Append(t.Context(), newWrite("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("unreachable peer: %v", err)
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
			t.Errorf("%s %s %q: %d, want %d", c.method, c.path, c.body, resp.StatusCode, c.want)
		}
	}
	// An empty request can be decoded but contains no store call.
	s := newPeerStore(strings.TrimPrefix(server.URL, "http://"))
	if _, err := s.call(t.Context(), request{}, time.Second, false); !errs.Is(err, errs.BadFrame) {
		t.Errorf("empty request: %v", err)
	}
}
