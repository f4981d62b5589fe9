package faults

import (
	"strings"
	"sync"
	"time"

	"arbutusramp/core/structs"
)

// history is what happened, as seen from outside of the system. It is safe for concurrent use.
type history struct {
	mu      sync.Mutex
	records []record
	begun   []begun
	losses  []loss
	logBad  []period // times in which the log service did not answer as it should
	jobs    map[string]*sentJob
	byID    map[structs.JobID]*sentJob
	online  onlineHistory
	bad     map[string]int // violations seen during the run, by name
	details []string
}

// begun is one run of something at a target.
type begun struct {
	request string
	at      time.Time
	service bool
	method  string
}

// loss is the time in which a host could not act as owner.
type loss struct {
	host structs.HostID
	at   time.Time
	back time.Time // zero if it did not come back as it was
}

type period struct{ from, until time.Time }

// sentJob is a job that callers have sent.
type sentJob struct {
	key    string
	tokens int // of each completion; 0 for a job of the plain service
	items  []sentItem
	file   string

	id         structs.JobID
	answer     bool // an accept was answered
	acceptedAt time.Time
	// cancelled is when a cancel was answered; zero if none was.
	cancelled time.Time
	asked     bool           // a cancel was sent
	seen      map[int]string // results that callers have read
}

// sentItem is one line of a job's file.
type sentItem struct {
	customID string
	poison   string // of the engine; "line" for a line that can't be run
	once     bool
	want     string // the text or body that the answer must have
}

func newHistory() *history {
	return &history{
		jobs: make(map[string]*sentJob),
		byID: make(map[structs.JobID]*sentJob),
		bad:  make(map[string]int),
	}
}

// maxDetails bounds the details that are kept of each name.
const maxDetails = 8

// violation counts one violation of what name stands for.
func (h *history) violation(name, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violationLocked(name, detail)
}

func (h *history) violationLocked(name, detail string) {
	h.bad[name]++
	if h.bad[name] <= maxDetails {
		h.details = append(h.details, time.Now().Format(clock)+" "+name+": "+detail)
	}
}

// appended is told of each append by the log service.
func (h *history) appended(stream string, offset structs.Offset, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.records = append(h.records, record{stream, offset, time.Now(), body})
}

func (h *history) started(request string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = append(h.begun, begun{request: request, at: time.Now()})
}

func (h *history) called(request, method string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = append(h.begun, begun{request: request, at: time.Now(), service: true, method: method})
}

// lost notes the loss of a host; back is zero if it is gone for good.
func (h *history) lost(host structs.HostID, at, back time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.losses = append(h.losses, loss{host, at, back})
}

func (h *history) logWasBad(from, until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.logBad = append(h.logBad, period{from, until})
}

// shardPrefix begins the names of the shards' streams.
const shardPrefix = "jobs-"

// fold folds all streams of shards so far, from their first record.
func (h *history) fold() map[string]*foldedShard {
	h.mu.Lock()
	records := h.records[:len(h.records):len(h.records)]
	h.mu.Unlock()
	shards := make(map[string]*foldedShard)
	for i := range records {
		r := &records[i]
		if !strings.HasPrefix(r.stream, shardPrefix) {
			continue
		}
		if shards[r.stream] == nil {
			shards[r.stream] = newFoldedShard()
		}
		shards[r.stream].apply(r)
	}
	return shards
}

// sent returns the jobs that callers have sent.
func (h *history) sent() []*sentJob {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make([]*sentJob, 0, len(h.jobs))
	for _, j := range h.jobs {
		all = append(all, j)
	}
	return all
}
