//go:build review

package stand

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/standin/keyedlog"
)

const (
	maxPageBytes      = 1 << 20 // of the records that one read or one page of the newest records returns
	recordHeaderBytes = 5       // length of the record and of its key
	storeAnswerTime   = 4 * time.Millisecond
)

// LateWrites is the disruption platform_lost with how = "late": a share of the writes gets no answer, and is done some
// seconds later, if its condition still holds.
type LateWrites struct {
	Share    float64
	MinDelay time.Duration
	MaxDelay time.Duration
}

// Store is a stand-in of the platform's store for all gateways.
type Store struct {
	Log    *keyedlog.Store
	record *Record

	mu    sync.Mutex
	late  LateWrites
	stats map[string]int // writes by what became of them
}

// NewStore returns an empty store.
func NewStore(partitions int, record *Record) *Store {
	return &Store{Log: keyedlog.New(partitions), record: record, stats: make(map[string]int)}
}

// SetLateWrites begins a disruption or, with the zero value, ends it.
func (s *Store) SetLateWrites(l LateWrites) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = l
}

// Count returns the number of writes of the given kind: "answered", "late" and "late, refused".
func (s *Store) Count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats[kind]
}

func (s *Store) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats[kind]++
}

// Serve serves the store on a loopback port.
func (s *Store) Serve() *httptest.Server {
	v := &view{Store: s, inner: s.Log.View()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+Names.Paths.Append, v.serveAppend)
	mux.HandleFunc("GET "+Names.Paths.Read, v.serveRead)
	mux.HandleFunc("GET "+Names.Paths.Newest, v.serveNewest)
	mux.HandleFunc("POST "+Names.Paths.Join, v.serveJoin)
	mux.HandleFunc("POST "+Names.Paths.Leave, v.serveLeave)
	return httptest.NewServer(mux)
}

// Put writes a record to partition 0 of a topic.
func Put(ctx context.Context, s platform.Store, topic, key string, value []byte) error {
	_, err := s.Append(ctx, platform.Append{Partition: platform.Partition{Topic: topic}, Records: []platform.KeyedRecord{{Key: key, Value: value}}})
	return err
}

// view is the store as its HTTP handler calls it.
type view struct {
	*Store
	inner platform.Store
}

// Append implements platform.Store.
func (v *view) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	time.Sleep(storeAnswerTime)
	v.mu.Lock()
	late := v.late
	v.mu.Unlock()
	if rand.Float64() >= late.Share {
		v.count("answered")
		return v.inner.Append(ctx, a)
	}
	v.count("late")
	delay := late.MinDelay + rand.N(late.MaxDelay-late.MinDelay)
	v.record.Addf("store: write of %d records to %s, first key %s: no answer, done in %d ms if its condition holds then", len(a.Records), a.Partition.Topic, firstKey(a), delay.Milliseconds())
	time.AfterFunc(delay, func() {
		_, err := v.inner.Append(context.Background(), a)
		if err != nil {
			v.count("late, refused")
		}
		v.record.Addf("store: late write to %s, first key %s: %s", a.Partition.Topic, firstKey(a), outcome(err))
	})
	// "A channel on which a response is lost returns nothing further": it stays open until its caller closes it.
	<-ctx.Done()
	return platform.Appended{}, errs.New(errs.AppendUnknown, "the answer is lost")
}

func firstKey(a platform.Append) string {
	if len(a.Records) == 0 {
		return "(none)"
	}
	return a.Records[0].Key
}

func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "done"
}

// Read implements platform.Store.
func (v *view) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	return v.inner.Read(ctx, r)
}

// Newest implements platform.Store. Its pages are cut at maxPageBytes.
func (v *view) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := v.inner.Newest(ctx, p, after)
	if n := fitting(page.Records, maxPageBytes); n < len(page.Records) {
		page.Records, page.More = page.Records[:n], true
	}
	return page, err
}

// Join implements platform.Store.
func (v *view) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	return v.inner.Join(ctx, m)
}

// Leave implements platform.Store.
func (v *view) Leave(ctx context.Context, group, member string) error {
	return v.inner.Leave(ctx, group, member)
}

// fitting returns how many leading records, at least one, have at most maxBytes.
func fitting(records []platform.StoredRecord, maxBytes int) int {
	size := 0
	for i, r := range records {
		size += recordHeaderBytes + len(r.Key) + len(r.Value)
		if i > 0 && size > maxBytes {
			return i
		}
	}
	return len(records)
}

// number returns the number in a parameter, 0 if it is missing.
func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.FormValue(name), 10, 64) // gateways send valid numbers
	return n
}

func partitionOf(r *http.Request) platform.Partition {
	return platform.Partition{Topic: r.FormValue("topic"), Index: int(number(r, "part"))}
}

func (v *view) serveAppend(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := platform.Append{Partition: platform.Partition{Topic: query.Get("topic")}, Records: decodeRecords(body)}
	a.Partition.Index, _ = strconv.Atoi(query.Get("part")) // gateways send valid numbers
	if query.Has("at") {
		at, _ := strconv.ParseUint(query.Get("at"), 10, 64)
		a.At = &at
	}
	if name := query.Get("producer"); name != "" {
		a.Producer = &platform.Producer{Name: name}
		a.Producer.Epoch, _ = strconv.ParseUint(query.Get("epoch"), 10, 64)
		a.Producer.Seq, _ = strconv.ParseUint(query.Get("seq"), 10, 64)
	}
	done, err := v.Append(r.Context(), a)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"offset": done.First, "end": done.End})
}

// decodeRecords decodes the body of an append: for each record its length, that of its key, the key and the value.
func decodeRecords(body []byte) (records []platform.KeyedRecord) {
	for len(body) > 0 {
		length := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+length]
		key := 1 + int(record[0])
		records = append(records, platform.KeyedRecord{Key: string(record[1:key]), Value: record[key:]})
		body = body[4+length:]
	}
	return records
}

func (v *view) serveRead(w http.ResponseWriter, r *http.Request) {
	page, err := v.Read(r.Context(), platform.Read{Partition: partitionOf(r), From: number(r, "from"), Wait: time.Duration(number(r, "wait_ms")) * time.Millisecond})
	if err != nil {
		writeError(w, err)
		return
	}
	maxBytes := maxPageBytes
	if kb := number(r, "max_kb"); kb > 0 {
		maxBytes = min(maxBytes, int(kb)<<10)
	}
	out := binary.BigEndian.AppendUint64(nil, page.End)
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range page.Records[:fitting(page.Records, maxBytes)] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
		out = append(out, byte(len(record.Key)))
		out = append(out, record.Key...)
		out = append(out, record.Value...)
	}
	_, _ = w.Write(out) // a write error is ignored: the caller disconnected
}

func (v *view) serveNewest(w http.ResponseWriter, r *http.Request) {
	page, err := v.Newest(r.Context(), partitionOf(r), r.FormValue("after"))
	if err != nil {
		writeError(w, err)
		return
	}
	items := make([]map[string]any, 0, len(page.Records))
	for _, record := range page.Records {
		items = append(items, map[string]any{"key": record.Key, "value": record.Value, "offset": record.Offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": page.More, "end": page.End})
}

// membership is the body of a call about a group.
type membership struct {
	Group, Member string
	Topics        []string
	TTL           int64 `json:"ttl_ms"`
	Generation    uint64
}

func (v *view) serveJoin(w http.ResponseWriter, r *http.Request) {
	var m membership
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	dealt, err := v.Join(r.Context(), platform.Membership{Group: m.Group, Member: m.Member, Topics: m.Topics, TTL: time.Duration(m.TTL) * time.Millisecond, Generation: m.Generation})
	if err != nil {
		writeError(w, err)
		return
	}
	parts := make([][]any, 0, len(dealt.Held))
	for _, p := range dealt.Held {
		parts = append(parts, []any{p.Topic, p.Index, 0})
	}
	writeJSON(w, http.StatusOK, map[string]any{"generation": dealt.Generation, "ttl_ms": m.TTL, "parts": parts})
}

func (v *view) serveLeave(w http.ResponseWriter, r *http.Request) {
	var m membership
	if json.NewDecoder(r.Body).Decode(&m) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if err := v.Leave(context.WithoutCancel(r.Context()), m.Group, m.Member); err != nil {
		writeError(w, err)
	}
}

// writeError answers a call with an error as the platform's store does. A call whose answer is lost gets none.
func writeError(w http.ResponseWriter, err error) {
	var moved *platform.EndMoved
	var fenced *platform.Fenced
	var gap *platform.OutOfSequence
	var expired *platform.Expired
	switch {
	case errors.As(err, &moved):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": moved.End})
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
	case errors.As(err, &gap):
		writeJSON(w, http.StatusConflict, map[string]any{"why": "seq", "seq": gap.Expected})
	case errors.As(err, &expired):
		writeJSON(w, http.StatusGone, map[string]any{"first": expired.First})
	case errs.Is(err, errs.AppendUnknown):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a write error is ignored: the caller disconnected
}

var _ platform.Store = (*view)(nil)
