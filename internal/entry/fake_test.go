package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/problem"
	"arbutusramp/internal/settings"
)

const (
	testKey     = "key-of-ws"
	revokedKey  = "old-key-of-ws"
	testModel   = structs.ModelID("draft")
	testService = structs.ServiceID("lookup")
)

// The first meter starts the library's own goroutine, which must stand outside of every
// synctest bubble: inside, the bubble's clock would never move.
var _ = metrics.NewMeter()

func hashHex(s string) string {
	h := sha256.Sum256([]byte(s))
	return hex.EncodeToString(h[:])
}

func testState() *confstate.State {
	return &confstate.State{
		Version: 7,
		Workspaces: map[structs.WorkspaceID]confstate.Workspace{"ws": {
			ID: "ws", KeyHashes: []string{hashHex(testKey)}, RevokedHashes: []string{hashHex(revokedKey)},
		}},
		Models:   map[structs.ModelID]confstate.Model{testModel: {ID: testModel}},
		Services: map[structs.ServiceID]confstate.Service{testService: {ID: testService, NonIdempotent: []string{"POST"}}},
		Targets: map[structs.TargetID]confstate.Target{
			"a": {ID: "a", Kind: structs.KindService, Service: testService},
			"b": {ID: "b", Kind: structs.KindService, Service: testService},
		},
	}
}

func testSettings() settings.Entry {
	const local = "127.0.0.1:0"
	return settings.Entry{
		Host:       settings.Identity{ID: "entry-1", Domain: "d1"},
		CallerAddr: local, AdminAddr: local, PeerAddr: local, StatusAddr: local,
		MaxBody: 1 << 20, DefaultTimeout: 30 * time.Second, DrainTimeout: 10 * time.Second,
		HostListEvery: 100 * time.Millisecond, SessionWindow: 4096, RetryShare: 0.2,
	}
}

// newTestEntry returns an entry that is not running; serve it by call.
func newTestEntry(t *testing.T, state *confstate.State) *Entry {
	t.Helper()
	e, err := New(Options{
		Settings: testSettings(), Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Config: confstate.Static(state), Policy: "best",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.closeListeners)
	return e
}

// fakeSide is a side whose behaviour is a function of each Open.
type fakeSide struct {
	hello  structs.Hello
	onOpen func(f *fakeSide, stream uint64, o *structs.Open)
	// onCredit sends what fits in room and returns what is left of it.
	onCredit func(f *fakeSide, stream uint64, room int) int
	session  *sideSession

	mu      sync.Mutex
	dead    bool
	opens   []*structs.Open
	cancels []uint64
	credit  map[uint64]int
	room    map[uint64]int // bytes that may be sent, for onCredit
	sent    map[uint64]int // parts, for onCredit
}

func (f *fakeSide) Send(fr *structs.Frame) error {
	f.mu.Lock()
	if f.dead {
		f.mu.Unlock()
		return errors.WithStack(errs.New(errs.SessionLost, "closed"))
	}
	switch {
	case fr.Open != nil:
		f.opens = append(f.opens, fr.Open)
	case fr.Cancel != nil:
		f.cancels = append(f.cancels, fr.Stream)
	case fr.Credit != nil:
		f.credit[fr.Stream] += fr.Credit.Bytes
	}
	f.mu.Unlock()
	if fr.Open != nil {
		f.onOpen(f, fr.Stream, fr.Open)
	}
	if f.onCredit != nil && (fr.Open != nil || fr.Credit != nil) {
		f.room[fr.Stream] += creditOf(fr)
		f.room[fr.Stream] = f.onCredit(f, fr.Stream, f.room[fr.Stream])
	}
	return nil
}

func creditOf(fr *structs.Frame) int {
	if fr.Open != nil {
		return fr.Open.Credit
	}
	return fr.Credit.Bytes
}

func (f *fakeSide) Peer() structs.Hello { return f.hello }

func (f *fakeSide) Close(error) {}

func (f *fakeSide) opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.opens)
}

// kill ends the session as a lost host does.
func (f *fakeSide) kill(p *pool) {
	f.mu.Lock()
	f.dead = true
	f.mu.Unlock()
	p.closed(f.session, errs.New(errs.SessionLost, "killed"))
}

func (f *fakeSide) data(stream uint64, seq int, payload string) {
	f.session.frame(&structs.Frame{Stream: stream, Data: &structs.Data{Seq: seq, Payload: []byte(payload)}})
}

func (f *fakeSide) end(stream uint64, parts int, err *errs.Error) {
	f.session.frame(&structs.Frame{Stream: stream, End: &structs.End{Parts: parts, Err: err}})
}

func (f *fakeSide) head(stream uint64, status int) {
	f.session.frame(&structs.Frame{Stream: stream, Head: &structs.Head{Status: status}})
}

// answer sends a whole answer of a plain service.
func (f *fakeSide) answer(stream uint64, body string) {
	f.head(stream, 200)
	f.data(stream, 0, body)
	f.end(stream, 1, nil)
}

// connect joins a fake side with one target to the pool. Its estimate orders the
// targets for the policy "best".
func connect(e *Entry, id structs.TargetID, estimate time.Duration, onOpen func(*fakeSide, uint64, *structs.Open)) *fakeSide {
	f := &fakeSide{onOpen: onOpen, credit: make(map[uint64]int), room: make(map[uint64]int), sent: make(map[uint64]int)}
	f.hello = structs.Hello{Host: structs.HostID("host-" + id), Domain: "d1", Targets: []structs.TargetInfo{
		{ID: id, Kind: structs.KindService, Service: testService, Models: []structs.ModelID{testModel}},
	}}
	f.session = e.pool.opened(f)
	f.load(structs.Load{Target: id, Limit: 8, FirstTokenUs: estimate.Microseconds()})
	return f
}

func (f *fakeSide) load(l structs.Load) { f.session.frame(&structs.Frame{Load: &l}) }

// token is an event of a chat stream.
func token(i int) string {
	return fmt.Sprintf(`{"id":"x","model":"draft","choices":[{"index":0,"delta":{"content":"t%d "},"finish_reason":null}]}`, i)
}

// tokens streams the events from to to-1 and ends the stream.
func (f *fakeSide) tokens(stream uint64, from, to int) {
	for i := from; i < to; i++ {
		f.data(stream, i, token(i))
	}
	f.end(stream, to, nil)
}

type request struct {
	method, uri, body, key string
	headers                map[string]string
}

func chat(stream bool) request {
	body, _ := json.Marshal(map[string]any{
		"model": testModel, "stream": stream, "messages": []any{map[string]string{"role": "user", "content": "hello"}},
	})
	return request{method: "POST", uri: "/v1/chat/completions", body: string(body), key: testKey}
}

// do runs r through the entry and returns the status and the whole body.
func do(e *Entry, r request) (*fasthttp.Response, string) {
	ctx := prepare(r)
	e.serve(ctx)
	return &ctx.Response, string(ctx.Response.Body())
}

func prepare(r request) *fasthttp.RequestCtx {
	var req fasthttp.Request
	req.Header.SetMethod(r.method)
	req.SetRequestURI(r.uri)
	req.SetBodyString(r.body)
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for k, v := range r.headers {
		req.Header.Set(k, v)
	}
	ctx := &fasthttp.RequestCtx{}
	ctx.Init(&req, nil, nil)
	return ctx
}

func problemOf(t *testing.T, body string) *errs.Error {
	t.Helper()
	var p problem.Body
	if err := json.Unmarshal([]byte(body), &p); err != nil || p.Error == nil {
		t.Fatalf("no typed error in %q (%v)", body, err)
	}
	return p.Error
}
