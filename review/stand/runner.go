//go:build review

package stand

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Run is one run of a request at a runner.
type Run struct {
	Runner string
	Began  time.Time
	// LastEventID is the event after which the runner was asked to go on; empty for a run from the start.
	LastEventID string
}

// Runs are the runs of all runners by request id. It is safe for concurrent use.
type Runs struct {
	mu   sync.Mutex
	byID map[string][]Run
}

// NewRuns returns an empty set.
func NewRuns() *Runs { return &Runs{byID: make(map[string][]Run)} }

func (r *Runs) add(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], run)
}

// Of returns the runs of a request.
func (r *Runs) Of(id string) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.byID[id]...)
}

// Each calls visit for each request that has run.
func (r *Runs) Each(visit func(id string, runs []Run)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, runs := range r.byID {
		visit(id, runs)
	}
}

// Runner is a stand-in of a model runner. It answers each request with a stream of events.
type Runner struct {
	ID       string
	Slots    int           // requests that run at once
	Queue    int           // requests that wait for a slot; more are rejected as not run
	Events   int           // events of a stream
	EventGap time.Duration // time for each event

	runs     *Runs
	record   *Record
	listener net.Listener
	slots    chan struct{}

	mu      sync.Mutex
	waiting int
	// weightVersion is the version of its weights, which its answers tell; 0 for none.
	weightVersion int
	lastArrival   time.Time // of a request
	// secondAnswers is the share of the answers that are sent a second time, at the point where the next answer on the
	// channel is expected.
	secondAnswers float64
	rejected      int
	sentAgain     map[string]int // second answers by the status of the first one
}

// Start listens on a loopback port.
func (r *Runner) Start(runs *Runs, record *Record) error {
	r.runs, r.record, r.slots, r.sentAgain = runs, record, make(chan struct{}, r.Slots), make(map[string]int)
	var err error
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			conn, err := r.listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

// Entry returns the runner's entry in the list of runners, as it writes it for the seq-th time.
func (r *Runner) Entry(zone string, seq int) []byte {
	return fmt.Appendf(nil, `{"service":"llm","addr":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"stage":"mixed","models":[{"name":"m","version":%d,"adapters":[]}],"seq":%d}`, r.listener.Addr().String(), zone, r.Slots, r.weights(), seq)
}

// weights returns the version of the runner's weights.
func (r *Runner) weights() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.weightVersion
}

// SetWeightVersion puts weights of another version in place.
func (r *Runner) SetWeightVersion(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weightVersion = version
}

// hasExpectedWeights reports whether the runner has the version of weights that a request expects, if it names one.
func (r *Runner) hasExpectedWeights(req *http.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expected := req.Header.Get(Names.Headers.ExpectVersion)
	return expected == "" || expected == strconv.Itoa(r.weightVersion)
}

// LastArrival returns when the last request arrived that names this runner.
func (r *Runner) LastArrival() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastArrival
}

// weightHeader returns the header line that tells the version of the weights.
func (r *Runner) weightHeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastArrival = time.Now()
	if r.weightVersion == 0 {
		return ""
	}
	return fmt.Sprintf("%s: %d\r\n", Names.Headers.WeightVersions, r.weightVersion)
}

// SetSecondAnswers begins the disruption garble with how = "extra late" with a share of the answers; 0 ends it.
func (r *Runner) SetSecondAnswers(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.secondAnswers = share
}

// Stats returns how many requests the runner has rejected as not run, and how many answers it has sent a second time, by
// their status.
func (r *Runner) Stats() (rejected int, sentAgain map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	sentAgain = make(map[string]int)
	for status, n := range r.sentAgain {
		sentAgain[status] = n
	}
	return r.rejected, sentAgain
}

// channel is one channel of a caller. Its writes are also kept, for a second answer.
type channel struct {
	net.Conn
	answer bytes.Buffer
}

// Write implements io.Writer.
func (c *channel) Write(p []byte) (int, error) {
	c.answer.Write(p)
	return c.Conn.Write(p)
}

// serve serves the requests of a channel, one at a time.
func (r *Runner) serve(conn net.Conn) {
	defer conn.Close()
	c := &channel{Conn: conn}
	reader := bufio.NewReader(conn)
	var second []byte // the answer before, if it is to be sent again
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		id := req.Header.Get(Names.Headers.RequestID)
		if second != nil {
			r.record.Addf("%s: second answer of the request before, sent where the answer to %s is expected: %q", r.ID, id, firstLine(second))
			if _, err := conn.Write(second); err != nil {
				return
			}
			second = nil
		}
		c.answer.Reset()
		if !r.answer(c, reader, req, id) {
			return
		}
		if r.isSecondAnswerDue(c.answer.Bytes()) {
			second = bytes.Clone(c.answer.Bytes())
		}
	}
}

func firstLine(answer []byte) string {
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}

func (r *Runner) isSecondAnswerDue(answer []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rand.Float64() >= r.secondAnswers {
		return false
	}
	r.sentAgain[firstLine(answer)]++
	return true
}

// answer answers one request and reports whether the channel can be used for the next one.
func (r *Runner) answer(c *channel, reader *bufio.Reader, req *http.Request, id string) bool {
	if req.Header.Get(Names.Headers.ExpectInstance) != r.ID || !r.hasExpectedWeights(req) {
		r.record.Addf("%s: answers 421 to %s", r.ID, id)
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", Names.Headers.RequestID, id, Names.Headers.InstanceID, r.ID)
		return err == nil
	}
	if req.URL.Path == Names.Paths.Report {
		_, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 13\r\n\r\n{\"running\":0}")
		return err == nil
	}
	// A request is dropped when its channel closes.
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := reader.Peek(1); err != nil {
			cancel()
		}
	}()
	isKept := r.run(ctx, c, req, id)
	if !isKept {
		c.Close()
	}
	if ctx.Err() != nil {
		return false
	}
	if isKept {
		<-watched // the next request, or the end of the channel
	}
	return isKept && ctx.Err() == nil
}

// run runs a request or rejects it.
func (r *Runner) run(ctx context.Context, c *channel, req *http.Request, id string) bool {
	if !r.takeSlot(ctx) {
		if ctx.Err() != nil {
			return false
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", Names.Headers.RequestID, id, Names.Headers.NotRun)
		return err == nil
	}
	defer func() { <-r.slots }()
	lastEventID := req.Header.Get(Names.Headers.LastEventID)
	r.runs.add(id, Run{Runner: r.ID, Began: time.Now(), LastEventID: lastEventID})
	r.record.Addf("%s: runs %s from event %q", r.ID, id, lastEventID)
	first, _ := strconv.Atoi(lastEventID) // 0 without the header
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s.%s\r\n%sTransfer-Encoding: chunked\r\n\r\n", Names.Headers.RequestID, id, Names.Headers.Stamp, r.ID, id, r.weightHeader()); err != nil {
		return false
	}
	for i := first + 1; i <= r.Events; i++ {
		time.Sleep(r.EventGap)
		event := fmt.Sprintf("id: %d\ndata: %s:%d\n\n", i, id, i)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || ctx.Err() != nil {
			r.record.Addf("%s: %s was dropped by its caller after event %d", r.ID, id, i)
			return false
		}
	}
	r.record.Addf("%s: %s has run to its end", r.ID, id)
	_, err := fmt.Fprint(c, "0\r\n\r\n")
	return err == nil
}

// takeSlot waits for a slot. It returns false if the queue is full or ctx ends.
func (r *Runner) takeSlot(ctx context.Context) bool {
	select {
	case r.slots <- struct{}{}:
		return true
	default:
	}
	r.mu.Lock()
	if r.waiting >= r.Queue {
		r.rejected++
		r.mu.Unlock()
		return false
	}
	r.waiting++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.waiting--
		r.mu.Unlock()
	}()
	select {
	case r.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}
