package backlog

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/internal/telemetry"
)

// listing is one write of a shard's results. The texts that lie apart are written before them, so that whoever reads a
// result finds its text.
type listing struct {
	ends    int // of the shard's queue that it takes in
	results []backlog.Result
	texts   []backlog.Text         // of the results that have theirs apart
	records []platform.KeyedRecord // of the results, once their texts are written
}

// flush writes the ends that wait, as many as fit into one append. It reports whether it should
// be called again at once.
func (s *shard) flush(ctx context.Context) bool {
	l := s.collect()
	if l.ends == 0 {
		return false
	}
	if len(l.results) > 0 && !(s.prepare(ctx, l) && s.write(ctx, l.records)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.queue[:l.ends] {
		telemetry.Observe(s.m.reg, listMetric, time.Since(o.known))
		s.m.log.Info("item", "job", o.job.ID, "item", o.item(), "outcome", o.outcome, "bytes", len(o.text), "shard", s.index, "epoch", s.epoch)
	}
	s.queue = s.queue[l.ends:]
	s.open = nil
	return len(s.queue) > 0
}

// collect gives positions to the ends that wait.
func (s *shard) collect() *listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open != nil {
		return s.open
	}
	l := &listing{}
	size := 0
	for _, o := range s.queue {
		size += len(o.text)
		if l.ends > 0 && size > maxCallBytes/2 {
			break
		}
		l.ends++
		if !s.listed(o) {
			s.list(l, o)
		}
	}
	if l.ends > 0 {
		s.open = l
	}
	return l
}

// list takes an end into a listing. The caller holds the lock.
func (s *shard) list(l *listing, o *outcome) {
	s.given[o.key()] = true
	r := backlog.Result{Job: o.job.ID, Position: s.position(o.job.ID), Item: o.item(), Outcome: o.outcome, Index: o.index}
	if s.m.inline(o.text) {
		r.Text = o.text
	} else {
		r.Size, r.Sum = len(o.text), backlog.Sum(o.text)
		l.texts = append(l.texts, backlog.Text{Job: r.Job, Index: r.Index, Text: o.text})
	}
	s.next[o.job.ID]++
	l.results = append(l.results, r)
}

// inline says whether a text stands in the record of its result. Every process reads that, so with a few of
// them it is cheaper than a call of each that is asked for the text; with many it is not.
func (m *Manager) inline(text string) bool {
	return len(text)*(1+m.view.Peers()) <= m.opts.SpreadBytes
}

// prepare writes the texts of a listing and encodes its results.
func (s *shard) prepare(ctx context.Context, l *listing) bool {
	if l.records != nil {
		return true
	}
	at, ok := s.m.texts.write(ctx, l.texts)
	if !ok {
		return false
	}
	var records []platform.KeyedRecord
	for i := range l.results {
		r := &l.results[i]
		r.TextAt = at[r.TextKey()]
		encoded, err := backlog.EncodeResult(r)
		if err != nil {
			s.m.log.Error("result can't be encoded", "job", r.Job, "item", r.Item, "error", err)
			return false
		}
		records = append(records, encoded...)
	}
	l.records = records
	return true
}

// listed says whether an item has its result already. An item that ends twice here, since a run
// of it was begun while its first end was being written, must not get a second position.
func (s *shard) listed(o *outcome) (done bool) {
	if s.given[o.key()] {
		return true
	}
	s.m.replica.with(func(st *backlog.State) { done = st.Done(o.job.ID, o.item()) })
	return done
}

// position is where the job's next result goes. The caller holds the lock.
func (s *shard) position(job string) int {
	if _, ok := s.next[job]; !ok {
		s.m.replica.with(func(st *backlog.State) { s.next[job] = st.Listed(job) })
	}
	return s.next[job]
}

// write appends records until the store has them or a newer owner exists. A lost answer is made
// good by the same write with the same number, which the store does once.
func (s *shard) write(ctx context.Context, records []platform.KeyedRecord) bool {
	first := true
	for tries := 0; ; tries++ {
		_, err := s.m.store.Append(ctx, platform.Append{Partition: resultPartition, Records: records, Producer: s.producer()})
		if err == nil {
			s.seq++
			s.m.replica.applyOwn(records)
			return true
		}
		var gap *platform.OutOfSequence
		if errors.As(err, &gap) && first && s.seq == 1 {
			// The store may count the write that set the epoch.
			s.seq = gap.Expected
			continue
		}
		if errors.As(err, &gap) {
			s.m.log.Error("out of sequence", "shard", s.index, "epoch", s.epoch, "seq", s.seq, "expected", gap.Expected)
			s.refused(&platform.Fenced{Epoch: s.epoch})
			return false
		}
		if errs.Is(err, errs.AppendUnknown) {
			first = false
		}
		if tries == 0 {
			s.m.log.Warn("results not written yet", "shard", s.index, "epoch", s.epoch, "seq", s.seq, "records", len(records), "error", err)
		}
		if s.refused(err) || !sleep.For(ctx, writePause) {
			return false
		}
	}
}
