package batch

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

func keysOf(ids ...string) func() []settings.PeerKey {
	var list []settings.PeerKey
	for _, id := range ids {
		list = append(list, settings.PeerKey{ID: id, Secret: []byte("secret of " + id)})
	}
	return func() []settings.PeerKey { return list }
}

// servePeer serves h on loopback until the test ends.
func servePeer(t *testing.T, h fasthttp.RequestHandler) platform.Host {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: h, CloseOnShutdown: true}
	go s.Serve(ln)
	t.Cleanup(func() {
		if err := s.Shutdown(); err != nil {
			t.Error(err)
		}
	})
	return platform.Host{ID: "owner", Addr: ln.Addr().String()}
}

// Symptom: whoever reaches the peer listener reads and ends jobs, or a process that a rotation
// has left out is refused without a word. An owner tells each kind of bad key apart.
func TestCallsUnderABadPeerKeyAreRefused(t *testing.T) {
	valid := keysOf("new", "next")
	m := New(Options{
		Log: logmem.New(1), Members: func() []platform.Host { return nil },
		PeerKeys:   func() []settings.PeerKey { return valid() },
		RetiredKey: func(id string) bool { return id == "old" },
	})
	owner := servePeer(t, m.PeerHandler)
	call := func(keys func() []settings.PeerKey) error {
		_, err := newHTTPPeers(keys, hclog.NewNullLogger()).Call(t.Context(), owner, &PeerRequest{Op: OpProbe})
		return err
	}
	for _, id := range []string{"new", "next"} {
		if err := call(keysOf(id)); err != nil {
			t.Errorf("key %s: %v", id, err)
		}
	}
	wrong := func() []settings.PeerKey { return []settings.PeerKey{{ID: "new", Secret: []byte("guess")}} }
	for says, keys := range map[string]func() []settings.PeerKey{
		`peer key "old" is an old one`: keysOf("old"),
		`peer key "k9" is not known`:   keysOf("k9"),
		"wrong proof":                  wrong,
		"no peer key is set":           keysOf(),
	} {
		// Not Unauthenticated: the caller whose request it works on has a good key.
		if err := call(keys); !errs.Is(err, errs.SessionLost) || !strings.Contains(err.Error(), says) {
			t.Errorf("%q: %v", says, err)
		}
	}
	status, body, err := fasthttp.Post(nil, "http://"+owner.Addr+PeerPath, nil)
	var why errs.Error
	if decErr := cbor.Unmarshal(body, &why); err != nil || decErr != nil || status != fasthttp.StatusUnauthorized || why.Type != errs.Unauthenticated {
		t.Errorf("without a key: status %d, %+v, %v", status, why, err)
	}
}

// Symptom: a caller is told that a job is accepted, and nobody has it.
// Sequence: a process that holds no key answers at the address of an owner that is gone.
func TestAReplyWithoutAProofIsNotTaken(t *testing.T) {
	reply, err := cbor.Marshal(&PeerReply{})
	if err != nil {
		t.Fatal(err)
	}
	var earlier string
	impostor := servePeer(t, func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.Set(headerPeerProof, earlier)
		ctx.SetBody(reply)
	})
	p := newHTTPPeers(keysOf("k"), hclog.NewNullLogger())
	for name, given := range map[string]string{
		"no proof":                  "",
		"the proof of another call": replyProof([]byte("secret of k"), proof([]byte("secret of k"), []byte("another")), reply),
	} {
		earlier = given
		_, err := p.Call(context.Background(), impostor, &PeerRequest{Op: OpProbe, Host: structs.HostID("e1")})
		if !errs.Is(err, errs.SessionLost) || !strings.Contains(err.Error(), "wrong proof") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a reply that counts although its status or a field name of it is none of an answer.
func TestReplyThatIsNoAnswerIsNotTaken(t *testing.T) {
	reply, err := cbor.Marshal(&PeerReply{})
	if err != nil {
		t.Fatal(err)
	}
	for _, head := range []string{"HTTP/1.1 000 Unknown\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n"} {
		peer := servePeer(t, func(ctx *fasthttp.RequestCtx) {
			given := replyProof([]byte("secret of k"), string(ctx.Request.Header.Peek(headerPeerProof)), reply)
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) {
				fmt.Fprintf(c, "%s%s: %s\r\nContent-Length: %d\r\n\r\n%s", head, headerPeerProof, given, len(reply), reply)
			})
		})
		p := newHTTPPeers(keysOf("k"), hclog.NewNullLogger())
		if _, err := p.Call(context.Background(), peer, &PeerRequest{Op: OpProbe, Host: structs.HostID("e1")}); !errs.Is(err, errs.SessionLost) {
			t.Errorf("reply %q: error %v, want session_lost", head, err)
		}
	}
}
