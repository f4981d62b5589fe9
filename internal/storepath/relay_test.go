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

// through is a store as seen through a relay, over a real connection.
func through(t *testing.T, s platform.Store) (platform.Store, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(NewRelay(s, hclog.NewNullLogger()))
	t.Cleanup(server.Close)
	return newPeerStore(strings.TrimPrefix(server.URL, "http://")), server
}

func TestEveryCallPassesTheRelay(t *testing.T) {
	view := keyedlog.New(2).View()
	s, _ := through(t, view)
	ctx := t.Context()
	if done, err := s.Append(ctx, write("a")); err != nil || done.First != 0 || done.End != 1 {
		t.Errorf("append: %+v, %v", done, err)
	}
	if page, err := s.Read(ctx, platform.Read{Partition: part, Wait: time.Millisecond}); err != nil || len(page.Records) != 1 || page.Records[0].Key != "a" {
		t.Errorf("read: %+v, %v", page, err)
	}
	if page, err := s.Newest(ctx, part, ""); err != nil || len(page.Records) != 1 || page.End != 1 {
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

func TestTheStoresErrorsPassTheRelay(t *testing.T) {
	store := keyedlog.New(2)
	view := store.View()
	s, _ := through(t, view)
	ctx := t.Context()
	fenced := func(epoch, seq uint64) platform.Append {
		a := write("a")
		a.Producer = &platform.Producer{Name: "p", Epoch: epoch, Seq: seq}
		return a
	}
	at := uint64(7)
	conditional := write("a")
	conditional.At = &at
	var moved *platform.EndMoved
	if _, err := s.Append(ctx, conditional); !errors.As(err, &moved) || moved.End != 0 {
		t.Errorf("condition: %v", err)
	}
	if _, err := s.Append(ctx, fenced(2, 1)); err != nil {
		t.Fatal(err)
	}
	var old *platform.Fenced
	if _, err := s.Append(ctx, fenced(1, 1)); !errors.As(err, &old) {
		t.Errorf("old epoch: %v", err)
	}
	var gap *platform.OutOfSequence
	if _, err := s.Append(ctx, fenced(2, 9)); !errors.As(err, &gap) || gap.Expected != 2 {
		t.Errorf("gap: %v", err)
	}
	store.Forget()
	var expired *platform.Expired
	if _, err := s.Read(ctx, platform.Read{Partition: part}); !errors.As(err, &expired) || expired.First != 1 {
		t.Errorf("history gone: %v", err)
	}
	view.Set(keyedlog.Faults{Refuse: true})
	if _, err := s.Append(ctx, write("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("refused: %v", err)
	}
}

// A peer that dies under a write leaves its outcome open; one that can't be reached has not got it.
func TestAWriteWithoutAnAnswerIsUnknownOnlyIfItWasSent(t *testing.T) {
	dying := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer dying.Close()
	s := newPeerStore(strings.TrimPrefix(dying.URL, "http://"))
	if _, err := s.Append(t.Context(), write("a")); !errs.Is(err, errs.AppendUnknown) {
		t.Errorf("cut off: %v", err)
	}
	if _, err := s.Read(t.Context(), platform.Read{Partition: part}); !errs.Is(err, errs.LogDown) {
		t.Errorf("a read that is cut off: %v", err)
	}
	_, gone := through(t, keyedlog.New(1).View())
	addr := strings.TrimPrefix(gone.URL, "http://")
	gone.Close()
	if _, err := newPeerStore(addr).Append(t.Context(), write("a")); !errs.Is(err, errs.LogDown) {
		t.Errorf("not reached: %v", err)
	}
}

func TestTheRelayRefusesWhatIsNoCall(t *testing.T) {
	_, server := through(t, keyedlog.New(1).View())
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
	// An empty call is readable, and no call of the store.
	s := newPeerStore(strings.TrimPrefix(server.URL, "http://"))
	if _, err := s.call(t.Context(), request{}, time.Second, false); !errs.Is(err, errs.BadFrame) {
		t.Errorf("an empty call: %v", err)
	}
}
