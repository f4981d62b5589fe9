package follow

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

// keyList is a set of keys that a test changes.
type keyList struct {
	keys atomic.Pointer[[]settings.PeerKey]
}

func (k *keyList) set(ids ...string) {
	keys := make([]settings.PeerKey, 0, len(ids))
	for _, id := range ids {
		keys = append(keys, settings.PeerKey{ID: id, Secret: []byte("secret of " + id)})
	}
	k.keys.Store(&keys)
}

func (k *keyList) get() []settings.PeerKey { return *k.keys.Load() }

// serveOverTCP starts a follower whose log has one record, and returns it with its
// peer address and keys.
func serveOverTCP(t *testing.T) (*Follower, platform.Host, *keyList) {
	t.Helper()
	c := &cluster{t: t, log: logmem.New(1)}
	c.change()
	var keys keyList
	keys.set("k1")
	f := New(Options{
		Self:     settings.Entry{Host: settings.Identity{ID: "e1", Domain: "d"}},
		Log:      c.log,
		Members:  func() []platform.Host { return nil },
		PeerKeys: keys.get,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: f.PeerHandler, NoDefaultServerHeader: true, NoDefaultDate: true}
	go server.Serve(ln)
	t.Cleanup(func() {
		cancel()
		<-done
		server.Shutdown()
	})
	<-f.Ready()
	return f, platform.Host{ID: "e1", Addr: ln.Addr().String()}, &keys
}

func asker(ids ...string) *httpFetcher {
	var keys keyList
	keys.set(ids...)
	return newHTTPFetcher("e2", &auth{keys: keys.get}, nil)
}

func TestEntryAsksAnotherOverTCP(t *testing.T) {
	f, peer, _ := serveOverTCP(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	m, err := asker("k1").Fetch(ctx, peer, 0, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if m.To != f.Current().Version || len(m.Records) != 1 {
		t.Errorf("message %+v", m)
	}
	m, err = asker("k1").Fetch(ctx, peer, m.To, time.Millisecond)
	if err != nil || m.To != f.Current().Version || len(m.Records) != 0 {
		t.Errorf("message %+v, error %v", m, err)
	}
}

// Symptom: the configuration, with its key hashes, goes to whoever asks, or comes
// from whoever answers.
func TestPeerKeysAreChecked(t *testing.T) {
	_, peer, keys := serveOverTCP(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	wrong := &httpFetcher{self: "e2", client: asker("k1").client, auth: &auth{keys: func() []settings.PeerKey {
		return []settings.PeerKey{{ID: "k1", Secret: []byte("other")}}
	}}}
	for name, ask := range map[string]struct {
		from *httpFetcher
		says string
	}{
		"unknown key": {asker("k9"), "not known"},
		"wrong key":   {wrong, "wrong proof"},
		"no key":      {asker(), "no peer key is set"},
	} {
		_, err := ask.from.Fetch(ctx, peer, 0, 0)
		if !errs.Is(err, errs.Unauthenticated) || !strings.Contains(err.Error(), ask.says) {
			t.Errorf("%s: %v", name, err)
		}
	}
	_, body, err := fasthttp.Get(nil, "http://"+peer.Addr+PeerPath+"?from=0")
	if err != nil || !strings.Contains(string(body), string(errs.Unauthenticated)) {
		t.Errorf("without a proof: %q, %v", body, err)
	}
	keys.set("k2", "k1") // rotation: the new one first, the old one still valid
	for _, id := range []string{"k1", "k2"} {
		if _, err := asker(id).Fetch(ctx, peer, 0, 0); err != nil {
			t.Errorf("key %s during the rotation: %v", id, err)
		}
	}
	keys.set("k2")
	if _, err := asker("k1").Fetch(ctx, peer, 0, 0); !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("old key after the rotation: %v", err)
	}
}

// Symptom: a follower takes configuration of an impostor at a relay's address.
func TestAnswerOfAnImpostorIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody([]byte{0xa0}) }}
	go server.Serve(ln)
	defer server.Shutdown()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = asker("k1").Fetch(ctx, platform.Host{ID: "e1", Addr: ln.Addr().String()}, 0, 0)
	if !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("error %v", err)
	}
}

func TestAnswerBelongsToItsQuestion(t *testing.T) {
	a := auth{keys: func() []settings.PeerKey { return []settings.PeerKey{{ID: "k", Secret: []byte("s")}} }}
	q1, err := a.newQuestion("e")
	if err != nil {
		t.Fatal(err)
	}
	q2, _ := a.newQuestion("e")
	if q1.answerProof([]byte("x")) == q2.answerProof([]byte("x")) {
		t.Error("an old answer can be played again")
	}
	if _, err := a.check(q1.header("/a"), "/b"); !errs.Is(err, errs.Unauthenticated) {
		t.Errorf("proof of another question: %v", err)
	}
	if got, err := a.check(q1.header("/a"), "/a"); err != nil || got.host != structs.HostID("e") {
		t.Errorf("question %+v, error %v", got, err)
	}
}
