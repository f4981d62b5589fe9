package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
	"arbutusramp/platform/wiretest"
	"arbutusramp/standin/keyedlog"
)

const (
	hostName = "h.example"
	// itemEvents is how many events a stream of the stand-in has.
	itemEvents = 20
)

const operatorsText = `{"version":1,"routes":[
 {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"stream","timeout_ms":5000,"goal_ms":300,"service":"llm","attempts":2,"resumable":true},
 {"name":"call","host":"h.example","path_prefix":"/call/","kind":"safe","timeout_ms":1500,"goal_ms":300,"service":"llm","attempts":2},
 {"name":"batch","host":"h.example","path_prefix":"/batch/","kind":"bulk","service":"llm","attempts":3,"due_ms":18000,"retain_s":60,"max_queued":100000}],
 "services":[{"name":"llm"}],"limits":{"max_body_bytes":1000000}}`

// system is two gateways on a store and two targets, over real sockets.
type system struct {
	t        *testing.T
	store    platform.Store
	gateways []*Gateway
	stop     []context.CancelFunc
	over     []chan error
}

func newSystem(t *testing.T, gateways int) *system {
	s := &system{t: t, store: keyedlog.New(4).View()}
	storeServer := httptest.NewServer(wiretest.StoreHandler(s.store))
	t.Cleanup(storeServer.Close)
	s.write("keyed.op", "config", operatorsText)
	for i := range 2 {
		id := fmt.Sprintf("i-%d", i)
		target := httptest.NewServer(targetHandler(id))
		t.Cleanup(target.Close)
		s.write("keyed.servers", id, fmt.Sprintf(`{"service":"llm","addr":%q,"zone":"d","slots":8,"state":"ready"}`, target.Listener.Addr()))
	}
	for i := range gateways {
		s.start(fmt.Sprintf("g%d", i), strings.TrimPrefix(storeServer.URL, "http://"))
	}
	return s
}

func (s *system) write(topic, key, value string) {
	s.t.Helper()
	_, err := s.store.Append(context.Background(), platform.Append{
		Partition: platform.Partition{Topic: topic}, Records: []platform.KeyedRecord{{Key: key, Value: []byte(value)}},
	})
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *system) start(id, store string) {
	s.t.Helper()
	const anyPort = "127.0.0.1:0"
	set := settings.Gateway{
		CallerAddr: anyPort, ReadyAddr: anyPort, PeerAddr: anyPort, MetricsAddr: anyPort,
		StoreAddr: store, Shards: 4, MinTTL: 300 * time.Millisecond, Grace: 4 * time.Second,
	}
	set.Host.ID, set.Host.Domain = structs.HostID(id), "d"
	g, err := NewGateway(set, hclog.NewNullLogger(), metrics.NewRegistry())
	if err != nil {
		s.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan error, 1)
	go func() { over <- g.Run(ctx) }()
	s.gateways = append(s.gateways, g)
	s.stop = append(s.stop, cancel)
	s.over = append(s.over, over)
	for status, _ := s.ready(g); status != http.StatusOK; status, _ = s.ready(g) {
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *system) ready(g *Gateway) (int, string) {
	return s.send(g.ReadyAddr(), http.MethodGet, "/-/readyz", "")
}

func (s *system) stopAll() {
	for _, stop := range s.stop {
		stop()
	}
	for _, over := range s.over {
		if err := <-over; err != nil {
			s.t.Error(err)
		}
	}
}

// send sends one request and reads its whole answer.
func (s *system) send(addr, method, path, body string, header ...string) (int, string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Host = hostName
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// targetHandler answers /call/ at once and everything else with events.
func targetHandler(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Arbutusramp-Expect-Instance") != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		request := r.Header.Get("X-Arbutusramp-Request-Id")
		w.Header().Set("X-Arbutusramp-Request-Id", request)
		if strings.HasPrefix(r.URL.Path, "/call/") {
			_, _ = io.Copy(w, r.Body)
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without one
		for i := from + 1; i <= itemEvents; i++ {
			fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, request, i)
			_ = http.NewResponseController(w).Flush()
		}
	})
}

func TestGatewaysServeEveryKindOfRequest(t *testing.T) {
	s := newSystem(t, 2)
	defer s.stopAll()
	a, b := s.gateways[0].CallerAddr(), s.gateways[1].CallerAddr()
	if status, text := s.send(a, http.MethodPost, "/call/x?y", "echo", "X-Arbutusramp-Request-Id", "r1"); status != 200 || text != "echo" {
		t.Errorf("call: %d %s", status, text)
	}
	status, text := s.send(b, http.MethodPost, "/stream/x", "", "X-Arbutusramp-Request-Id", "r2", "X-Arbutusramp-Deadline-Ms", "5000")
	if status != 200 || strings.Count(text, "data: r2-") != itemEvents {
		t.Errorf("stream: %d %s", status, text)
	}
	if status, _ := s.send(a, http.MethodPost, "/none/x", "", "X-Arbutusramp-Request-Id", "r3"); status != 404 {
		t.Errorf("no route: %d", status)
	}
	s.runJob(a, b)
	if _, text := s.send(s.gateways[0].MetricsAddr(), http.MethodGet, "/metrics", ""); !strings.Contains(text, "online.safe.served 1\n") {
		t.Errorf("metrics: %s", text)
	}
}

// runJob hands a job in at one gateway and reads it at another.
func (s *system) runJob(in, out string) {
	s.t.Helper()
	const job = `{"items":[{"id":"i1","path":"/batch/1","body":"aGk=","tokens":10},{"id":"i2","path":"/batch/2","tokens":10}]}`
	if status, text := s.send(in, http.MethodPost, "/batch/", job, "X-Arbutusramp-Request-Id", "job-1"); status != 202 {
		s.t.Fatalf("job: %d %s", status, text)
	}
	if status, text := s.send(out, http.MethodGet, "/-/items/job-1?id=i1", ""); status != 200 || text != "hi" {
		s.t.Errorf("body: %d %q", status, text)
	}
	var page struct {
		Total   int `json:"total"`
		Next    int `json:"next_token"`
		Results []struct{ ID, State, Text string }
	}
	for page.Next < 2 {
		status, text := s.send(out, http.MethodGet, fmt.Sprintf("/-/lots/job-1?after=%d", page.Next), "", "X-Arbutusramp-Wait-Ms", "1000")
		if status != 200 {
			s.t.Fatalf("results: %d %s", status, text)
		}
		if err := json.Unmarshal([]byte(text), &page); err != nil {
			s.t.Fatal(err)
		}
		for _, r := range page.Results {
			if r.State != "complete" || strings.Count(r.Text, "\n") != itemEvents-1 || !strings.HasPrefix(r.Text, r.ID+"-1\n") {
				s.t.Errorf("result %+v", r)
			}
		}
	}
	if page.Total != 2 {
		s.t.Errorf("total %d", page.Total)
	}
	if status, _ := s.send(in, http.MethodDelete, "/-/lots/job-1", ""); status != 200 {
		s.t.Errorf("end: %d", status)
	}
	if status, _ := s.send(in, http.MethodGet, "/-/lots/job-none", ""); status != 404 {
		s.t.Errorf("a job that nobody handed in: %d", status)
	}
}

func TestAGatewayThatStopsSaysSoAndServesOn(t *testing.T) {
	s := newSystem(t, 1)
	g := s.gateways[0]
	s.stop[0]()
	for status, _ := s.ready(g); status == http.StatusOK; status, _ = s.ready(g) {
		time.Sleep(10 * time.Millisecond)
	}
	if status, text := s.send(g.CallerAddr(), http.MethodPost, "/call/x", "echo", "X-Arbutusramp-Request-Id", "r1"); status != 200 || text != "echo" {
		t.Errorf("a call after the signal: %d %s", status, text)
	}
	if err := <-s.over[0]; err != nil {
		t.Error(err)
	}
}
