//go:build review

package stand

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/platform/wiretest"
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
	all := wiretest.StoreHandler(v)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/log-read", v.serveRead)
	mux.Handle("/", all)
	return httptest.NewServer(mux)
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

// serveRead serves a read of records. Unlike that of wiretest, it keeps to max_kb.
func (v *view) serveRead(w http.ResponseWriter, r *http.Request) {
	number := func(name string) uint64 {
		n, _ := strconv.ParseUint(r.FormValue(name), 10, 64) // gateways send valid numbers
		return n
	}
	page, err := v.Read(r.Context(), platform.Read{
		Partition: platform.Partition{Topic: r.FormValue("topic"), Index: int(number("part"))}, From: number("from"), Wait: time.Duration(number("wait_ms")) * time.Millisecond,
	})
	var expired *platform.Expired
	switch {
	case errors.As(err, &expired):
		w.WriteHeader(http.StatusGone)
		fmt.Fprintf(w, `{"first":%d}`, expired.First)
		return
	case err != nil:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	maxBytes := maxPageBytes
	if kb := number("max_kb"); kb > 0 {
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

var _ platform.Store = (*view)(nil)
