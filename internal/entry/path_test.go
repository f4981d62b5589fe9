package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/dedup"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/enginehttp"
	"arbutusramp/internal/adapter/servicehttp"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/side"
	"arbutusramp/standin/engine"
	"arbutusramp/standin/service"
)

// wire carries connections to a side until it is cut, which looks to both ends
// like the loss of the other host.
type wire struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
	trip  *trip
}

// trip cuts the first wire on which more than bytes came from the side.
type trip struct {
	bytes int
	once  sync.Once
}

func startWire(t *testing.T, to string) *wire {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &wire{ln: ln}
	go w.accept(to)
	t.Cleanup(w.cut)
	return w
}

func (w *wire) accept(to string) {
	for {
		in, err := w.ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", to)
		if err != nil {
			in.Close()
			return
		}
		w.mu.Lock()
		w.conns = append(w.conns, in, out)
		w.mu.Unlock()
		go io.Copy(out, in)
		go w.carry(in, out)
	}
}

// carry copies what the side sends.
func (w *wire) carry(in io.Writer, out io.Reader) {
	buf := make([]byte, 32<<10)
	count := 0
	for {
		n, err := out.Read(buf)
		if err != nil {
			return
		}
		w.mu.Lock()
		tr := w.trip
		w.mu.Unlock()
		if tr != nil {
			if count += n; count > tr.bytes {
				tr.once.Do(w.cut)
			}
		}
		if _, err := in.Write(buf[:n]); err != nil {
			return
		}
	}
}

func (w *wire) arm(tr *trip) {
	w.mu.Lock()
	w.trip = tr
	w.mu.Unlock()
}

func (w *wire) cut() {
	w.ln.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.Close()
	}
}

// startSide runs a side until the test ends and lists it.
func startSide(t *testing.T, id structs.TargetID, set func(*settings.Side, *side.Options)) (platform.Host, *wire) {
	t.Helper()
	s := settings.DefaultSide()
	s.Host.ID = structs.HostID("host-" + id)
	s.PeerKeys = peerKeys
	s.DrainTimeout = 100 * time.Millisecond
	s.Target = structs.TargetInfo{ID: id}
	o := side.Options{Logger: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()}
	set(&s, &o)
	o.Settings = s
	p, err := side.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	w := startWire(t, p.Addr())
	return sideHost(s.Host.ID, w.ln.Addr().String(), platform.HostLive), w
}

func startEngineSide(t *testing.T, id structs.TargetID) (platform.Host, *wire) {
	t.Helper()
	eng, err := engine.Start("127.0.0.1:0", engine.Options{Models: []structs.ModelID{testModel}, Base: 2 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { eng.Close() })
	return startSide(t, id, func(s *settings.Side, o *side.Options) {
		s.Target.Kind, s.Target.Models, s.TargetURL = structs.KindEngine, []structs.ModelID{testModel}, eng.URL()
		o.Engine = enginehttp.New(eng.URL(), enginehttp.Options{})
	})
}

func startServiceSide(t *testing.T, id structs.TargetID) (platform.Host, *wire, *service.Server) {
	t.Helper()
	svc, err := service.Start("127.0.0.1:0", service.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { svc.Close() })
	h, w := startSide(t, id, func(s *settings.Side, o *side.Options) {
		s.Target.Kind, s.Target.Service, s.TargetURL = structs.KindService, testService, svc.URL()
		o.Service = servicehttp.New(svc.URL(), servicehttp.Options{})
	})
	return h, w, svc
}

func post(t *testing.T, url, body string, headers map[string]string) *http.Response {
	t.Helper()
	return postBody(t, url, strings.NewReader(body), headers)
}

func postBody(t *testing.T, url string, body io.Reader, headers map[string]string) *http.Response {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

const storyTokens = 40

const story = `{"model":"draft","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"a story"}]}`

// Symptom: a caller's stream is cut off, or goes on with another text, when a host is lost.
// Sequence: the host of the running stream is cut off in the middle of the answer, over real
// sessions and engines.
// Cause: the stream was not resumed at its position.
func TestLostHostMidStreamOverSockets(t *testing.T) {
	hosts := &hostTable{}
	a, wireA := startEngineSide(t, "a")
	b, wireB := startEngineSide(t, "b")
	hosts.set(a, b)
	e := startEntry(t, hosts)
	eventually(t, "both sides connected", func() bool { return e.pool.connected() == 2 })
	url := "http://" + e.CallerAddr() + "/v1/chat/completions"
	whole := readEvents(t, post(t, url, story, nil).Body)
	if len(whole) != storyTokens+1 || whole[storyTokens] != "[DONE]" {
		t.Fatalf("%d events, the last %q", len(whole), whole[len(whole)-1])
	}

	tr := &trip{bytes: storyTokens / 2 * len(whole[0])}
	wireA.arm(tr)
	wireB.arm(tr)
	got := readEvents(t, post(t, url, story, nil).Body)
	if len(got) != len(whole) || textOf(t, got) != textOf(t, whole) {
		t.Errorf("got %d events:\n%s\nwant %d:\n%s", len(got), textOf(t, got), len(whole), textOf(t, whole))
	}
	if e.rec.resumes.Count() != 1 {
		t.Errorf("%d resumes, want 1", e.rec.resumes.Count())
	}
}

func readEvents(t *testing.T, r io.Reader) []string {
	t.Helper()
	body, err := io.ReadAll(r)
	if err != nil {
		t.Fatal(err)
	}
	var events []string
	for ev := range strings.SplitSeq(strings.TrimSuffix(string(body), "\n\n"), "\n\n") {
		events = append(events, strings.TrimPrefix(ev, "data: "))
	}
	return events
}

// textOf joins the text of all events; their ids differ between requests.
func textOf(t *testing.T, events []string) string {
	t.Helper()
	var p progress
	for _, ev := range events[:len(events)-1] {
		if err := p.add([]byte(ev)); err != nil {
			t.Fatalf("%q: %v", ev, err)
		}
	}
	return p.text()
}

// Symptom: two runs of one keyed call.
// Sequence: the client gets no answer, since the home's host is cut off; it
// resends with the same key through another entry, before and after the host is back.
// Cause: another target ran it, or the home had no memory of it.
func TestKeyedCallRunsOnceOverEntriesAndALostHost(t *testing.T) {
	hosts := &hostTable{}
	a, wireA, svcA := startServiceSide(t, "a")
	b, wireB, svcB := startServiceSide(t, "b")
	hosts.set(a, b)
	entries := []*Entry{startEntry(t, hosts), startEntry(t, hosts)}
	for _, e := range entries {
		eventually(t, "both sides connected", func() bool { return e.pool.connected() == 2 })
	}
	headers := map[string]string{"Idempotency-Key": "letter-7", "Idempotency-Issued": issuedNow()}
	first := post(t, "http://"+entries[0].CallerAddr()+"/svc/lookup/letters", "send", headers)
	if first.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(first.Body)
		t.Fatalf("status %d: %s", first.StatusCode, body)
	}
	again := post(t, "http://"+entries[1].CallerAddr()+"/svc/lookup/letters", "send", headers)
	if again.StatusCode != http.StatusOK || again.Header.Get("X-Replayed") != "true" {
		t.Errorf("resend: status %d, replayed %q", again.StatusCode, again.Header.Get("X-Replayed"))
	}
	home := first.Header.Get("X-Target")
	map[string]*wire{"a": wireA, "b": wireB}[home].cut()
	for _, e := range entries {
		eventually(t, "the home's loss noticed", func() bool { return e.pool.connected() == 1 })
		resp := post(t, "http://"+e.CallerAddr()+"/svc/lookup/letters", "send", headers)
		body, _ := io.ReadAll(resp.Body)
		if err := problemOf(t, string(body)); err.Type != errs.KeyUnverifiable {
			t.Errorf("got %+v, want key_unverifiable", err)
		}
	}
	if n := svcA.KeyCalls("letter-7") + svcB.KeyCalls("letter-7"); n != 1 {
		t.Errorf("the service ran %d times, want 1", n)
	}
}

// issuedNow is as late as a client's clock may be: a side refuses keys that may have been issued
// before it started, and this one has just started.
func issuedNow() string {
	return strconv.FormatInt(time.Now().Add(dedup.DefaultSkew).UnixMilli(), 10)
}
