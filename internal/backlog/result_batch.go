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

// resultBatch is one write of a shard's results. Separately stored texts are written before the results, so
// that every reader of a result finds its text.
type resultBatch struct {
	pendingCount int // number of leading results in shard.pending that are removed once the batch is written
	results      []backlog.Result
	texts        []backlog.Text         // texts that are stored separately from their results
	records      []platform.KeyedRecord // records of the results; set once the texts are written
}

// resultOverheadBytes is the maximum size of the record of a result without its text: key, ids, framing and encoding.
const resultOverheadBytes = 1 << 10

// flush writes pending results, as many as fit into one append. It reports whether further results are
// pending after a successful write.
func (s *shard) flush(ctx context.Context) bool {
	b := s.nextBatch()
	if b.pendingCount == 0 {
		return false
	}
	if len(b.results) > 0 && !(s.prepare(ctx, b) && s.writeResults(ctx, b.records)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pending[:b.pendingCount] {
		telemetry.Observe(s.m.registry, storeMetric, time.Since(p.receivedAt))
		s.m.log.Info("item", "job", p.job.ID, "item", p.item(), "outcome", p.outcome, "bytes", len(p.text), "shard", s.index, "epoch", s.epoch)
	}
	s.pending = s.pending[b.pendingCount:]
	s.unconfirmed = nil
	return len(s.pending) > 0
}

// nextBatch assigns positions to pending results and returns the batch that writes them. It leaves out
// results of items that have one already. A batch whose write is unconfirmed is returned again.
func (s *shard) nextBatch() *resultBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unconfirmed != nil {
		return s.unconfirmed
	}
	b := &resultBatch{}
	size := 0
	for _, p := range s.pending {
		size += len(p.text) + resultOverheadBytes
		if b.pendingCount > 0 && size > maxAppendBytes/2 {
			break
		}
		b.pendingCount++
		if !s.hasPosition(p) {
			s.addToBatch(b, p)
		}
	}
	if b.pendingCount > 0 {
		s.unconfirmed = b
	}
	return b
}

// addToBatch assigns the next position of its job to a result and adds it to a batch. The caller holds the
// shard's lock.
func (s *shard) addToBatch(b *resultBatch, p *pendingResult) {
	s.positioned[p.key()] = true
	r := backlog.Result{Job: p.job.ID, Position: s.nextPosition(p.job.ID), Item: p.item(), Outcome: p.outcome, Index: p.index}
	if s.m.storesInline(p.text) {
		r.Text = p.text
	} else {
		r.TextSize, r.TextChecksum = len(p.text), backlog.Checksum(p.text)
		b.texts = append(b.texts, backlog.Text{Job: r.Job, Index: r.Index, Text: p.text})
	}
	s.nextPositions[p.job.ID]++
	b.results = append(b.results, r)
}

// storesInline reports whether a text is stored in the record of its result, which every process reads. With
// few processes these reads cost less than one separate read for each text that a caller asks for; see
// Options.MaxInlineReadBytes.
func (m *Manager) storesInline(text string) bool {
	return len(text) <= maxAppendBytes/2 && len(text)*(1+m.view.LivePeerCount()) <= m.opts.MaxInlineReadBytes
}

// prepare writes the separately stored texts of a batch and encodes its results. It returns false if the
// batch can't be written now.
func (s *shard) prepare(ctx context.Context, b *resultBatch) bool {
	if b.records != nil {
		return true
	}
	offsets, ok := s.m.textStore.write(ctx, b.texts)
	if !ok {
		return false
	}
	var records []platform.KeyedRecord
	for i := range b.results {
		r := &b.results[i]
		r.TextOffset = offsets[r.TextKey()]
		encoded, err := backlog.EncodeResult(r)
		if err != nil {
			s.m.log.Error("can't encode result", "job", r.Job, "item", r.Item, "error", err)
			return false
		}
		records = append(records, encoded...)
	}
	b.records = records
	return true
}

// hasPosition reports whether the result of p's item has a position already. If an item is run again while its
// first result is being written, this process gets two results for it; the second must not get a position of its
// own. The caller holds the shard's lock.
func (s *shard) hasPosition(p *pendingResult) (hasResult bool) {
	if s.positioned[p.key()] {
		return true
	}
	s.m.replica.withState(func(st *backlog.State) { hasResult = st.HasResult(p.job.ID, p.item()) })
	return hasResult
}

// nextPosition returns the position of a job's next result. The caller holds the shard's lock.
func (s *shard) nextPosition(job string) int {
	if _, ok := s.nextPositions[job]; !ok {
		s.m.replica.withState(func(st *backlog.State) { s.nextPositions[job] = st.ListedCount(job) })
	}
	return s.nextPositions[job]
}

// writeResults writes the records of a batch and returns whether the store has them. It retries until a newer
// owner exists or ctx ends. After a lost answer it repeats the write with the same sequence number, so that
// the store does it only once.
func (s *shard) writeResults(ctx context.Context, records []platform.KeyedRecord) bool {
	isUnstored := true // true as long as it is certain that the store has done no earlier attempt of this write
	for tries := 0; ; tries++ {
		_, err := s.m.store.Append(ctx, platform.Append{Partition: resultPartition, Records: records, Producer: s.producer()})
		if err == nil {
			s.seq++
			s.m.replica.applyOwn(records)
			return true
		}
		var outOfSequence *platform.OutOfSequence
		if errors.As(err, &outOfSequence) && isUnstored && s.seq == 1 {
			// takeOver has sent an append without records under sequence number 0. It is uncertain whether the store
			// has counted it, so the first write of results takes the number that the store expects.
			s.seq = outOfSequence.Expected
			continue
		}
		if errors.As(err, &outOfSequence) {
			s.m.log.Error("result write out of sequence", "shard", s.index, "epoch", s.epoch, "seq", s.seq, "expected", outOfSequence.Expected)
			s.handleFenced(&platform.Fenced{Epoch: s.epoch})
			return false
		}
		if errs.Is(err, errs.AppendUnknown) {
			isUnstored = false
		}
		if tries == 0 {
			s.m.log.Warn("results not written yet", "shard", s.index, "epoch", s.epoch, "seq", s.seq, "records", len(records), "error", err)
		}
		if s.handleFenced(err) || !sleep.For(ctx, writeRetryPause) {
			return false
		}
	}
}
