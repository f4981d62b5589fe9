package batch

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// maxEnvelope is about how many bytes one append carries. Log services bound a
	// record, often at 1 MiB: what is over it would be refused for ever, and nothing after it
	// gets in. The largest single record, a segment, stays under that too.
	maxEnvelope = 512 << 10
	// appendTimeout bounds the wait for one answer.
	appendTimeout = 5 * time.Second
	// recordOverhead is counted for each record besides its bodies.
	recordOverhead = 64
	// resendLeast and resendMost bound the wait before an append is sent again.
	resendLeast = 50 * time.Millisecond
	resendMost  = 2 * time.Second
)

// proposal is a record, or the result of an item, that waits for its append.
type proposal struct {
	record structs.JobRecord
	job    structs.JobID       // with result
	result *structs.ItemResult // results of one job are put into one record
	bytes  int
	held   bool // counted as a held outcome
	// applied runs under the shard's lock once the record is folded.
	applied func()
	done    chan struct{}
	err     *errs.Error // after done; nil: it is folded
}

// flight is the one append of a shard that is under way.
type flight struct {
	seq       uint64
	proposals []*proposal
	done      chan struct{} // closed when the fold has seen it, or the shard is lost
}

func (f *flight) finish() { close(f.done) }

// propose queues p for the next append; s.mu is held. It says false, and p is
// settled, when this entry can't append to the shard.
func (s *shard) propose(p *proposal) bool {
	p.done = make(chan struct{})
	if s.epoch == 0 || s.releasing {
		p.err = errs.New(errs.NotOwner, "the shard has moved").WithRetry(retryMoved)
		close(p.done)
		return false
	}
	if p.held {
		s.m.held.Add(int64(p.bytes))
	}
	s.waiting = append(s.waiting, p)
	s.wakeWriter()
	return true
}

func (s *shard) wakeWriter() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// settle ends p; s.mu is held.
func (s *shard) settle(p *proposal, err *errs.Error) {
	if p.held {
		s.m.held.Add(-int64(p.bytes))
	}
	p.err = err
	if err == nil && p.applied != nil {
		p.applied()
	}
	close(p.done)
}

// landed settles the flight that the fold has just seen; s.mu is held.
func (s *shard) landed(f *flight, void jobs.Void) {
	var err *errs.Error
	if void != jobs.Applied {
		err = errs.Newf(errs.StaleEpoch, "the record is void: %s", void).WithRetry(retryMoved)
	}
	for _, p := range f.proposals {
		s.settle(p, err)
	}
	s.flying = nil
	f.finish()
}

// await waits until p is folded. A record that is not on its way yet is
// withdrawn when ctx ends: then it surely was not accepted.
func (s *shard) await(ctx context.Context, p *proposal) error {
	select {
	case <-p.done:
	case <-ctx.Done():
		if err := s.withdraw(p); err != nil {
			return err
		}
		<-p.done
	}
	if p.err != nil {
		return p.err
	}
	return nil
}

// withdraw takes p back. It returns nil if p is settled already.
func (s *shard) withdraw(p *proposal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w != p {
			continue
		}
		s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
		if p.held {
			s.m.held.Add(-int64(p.bytes))
		}
		if err := s.m.health.refusal(s.m.now()); err != nil {
			return err
		}
		return errs.New(errs.LogBusy, "the log service is slow; nothing was accepted").WithRetry(retryLeast)
	}
	select {
	case <-p.done:
		return nil
	default:
	}
	return errs.New(errs.AppendUnknown, "the log service has not answered").WithRetry(retryLeast)
}

// writeLoop appends what was proposed, one append at a time and at most one
// per CommitEvery.
func (s *shard) writeLoop(ctx context.Context) {
	var last time.Time
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		if left := s.m.set.CommitEvery - s.m.now().Sub(last); left > 0 && !sleep.For(ctx, left) {
			return
		}
		last = s.m.now()
		f, body := s.nextFlight()
		if f == nil {
			continue
		}
		s.appendUntilFolded(ctx, f, body)
		if ctx.Err() != nil {
			return
		}
	}
}

// nextFlight makes the next envelope from what waits.
func (s *shard) nextFlight() (*flight, []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || len(s.waiting) == 0 || s.flying != nil {
		return nil, nil
	}
	f := &flight{seq: s.seq + 1, done: make(chan struct{})}
	bytes := 0
	for len(s.waiting) > 0 && (bytes == 0 || bytes+s.waiting[0].bytes <= s.limit) {
		p := s.waiting[0]
		s.waiting[0] = nil
		s.waiting = s.waiting[1:]
		bytes += p.bytes + recordOverhead
		f.proposals = append(f.proposals, p)
	}
	if len(s.waiting) > 0 {
		s.wakeWriter()
	}
	records, err := gather(f.proposals)
	if err != nil {
		s.failFlight(f, err)
		return nil, nil
	}
	body, err := jobs.Encode(s.envelope(f.seq, s.epoch, records))
	if err != nil {
		s.failFlight(f, err)
		return nil, nil
	}
	s.seq = f.seq
	s.flying = f
	return f, body
}

func (s *shard) failFlight(f *flight, err error) {
	s.m.log.Error("can't encode an append", "shard", s.id, "err", err)
	for _, p := range f.proposals {
		s.settle(p, errs.As(err))
	}
}

func (s *shard) envelope(seq uint64, epoch structs.Epoch, records []structs.JobRecord) *structs.Envelope {
	return &structs.Envelope{
		Writer: s.m.self, Seq: seq, Epoch: epoch,
		AtMs: s.m.now().UnixMilli(), Records: records,
	}
}

// gather returns the records of proposals, with the results of a job that follow
// each other in one record. The order of records of different kinds is kept.
func gather(proposals []*proposal) ([]structs.JobRecord, error) {
	var records []structs.JobRecord
	results := make(map[structs.JobID][]structs.ItemResult)
	var order []structs.JobID
	flush := func() error {
		for _, job := range order {
			r, err := jobs.DoneRecord(job, results[job])
			if err != nil {
				return err
			}
			records = append(records, r)
		}
		clear(results)
		order = nil
		return nil
	}
	for _, p := range proposals {
		if p.result != nil {
			if results[p.job] == nil {
				order = append(order, p.job)
			}
			results[p.job] = append(results[p.job], *p.result)
			continue
		}
		if err := flush(); err != nil {
			return nil, err
		}
		records = append(records, p.record)
	}
	if err := flush(); err != nil {
		return nil, err
	}
	return records, nil
}

// appendUntilFolded sends body again and again, always under the same identity,
// until the fold has seen it. An answer can be lost after the effect: sent under a
// new identity the records would count twice.
func (s *shard) appendUntilFolded(ctx context.Context, f *flight, body []byte) {
	wait := resendLeast
	for first := true; ; first = false {
		if !first {
			s.m.metrics.appendRetries.Inc(1)
		}
		err := s.appendOnce(ctx, s.stream, body)
		if err == nil {
			// The reader will see it; only a lost shard ends the wait earlier.
			select {
			case <-f.done:
			case <-ctx.Done():
			}
			return
		}
		if errs.Is(err, errs.BodyTooLarge) {
			s.tooLarge(f)
			return
		}
		t := sleep.NewTimer(wait)
		select {
		case <-f.done:
			t.Stop()
			return
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		wait = min(2*wait, resendMost)
	}
}

// tooLarge takes back an append that the log service refuses for its size: sent again
// as it is, it would hold up all that comes after it for ever.
func (s *shard) tooLarge(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flying != f {
		return
	}
	s.flying = nil
	f.finish()
	s.limit = max(minEnvelope, s.limit/2)
	s.m.log.Warn("append refused as too large", "shard", s.id, "records", len(f.proposals), "limit", s.limit)
	back := f.proposals
	if len(back) == 1 {
		back = s.shrink(back[0])
	}
	s.waiting = append(back, s.waiting...)
	s.wakeWriter()
}

// minEnvelope is what an append carries at least where there is more than one record, in bytes.
const minEnvelope = 16 << 10

// shrink returns what is to be sent in place of a single record that is too large:
// an error in place of a result, nothing for other records, which fail; s.mu is held.
func (s *shard) shrink(p *proposal) []*proposal {
	err := errs.New(errs.BodyTooLarge, "too large for one record of the log service")
	if p.result == nil || p.result.Body == nil {
		s.settle(p, err)
		return nil
	}
	p.result.Body, p.result.Err = nil, err.WithRan(errs.RanYes)
	return []*proposal{p}
}

func (s *shard) appendOnce(ctx context.Context, stream string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.m.o.Log.Append(ctx, stream, body)
	s.m.health.note(s.m.now(), err)
	if err == nil {
		s.m.metrics.appends.Inc(1)
		s.m.metrics.appendBytes.Inc(int64(len(body)))
	}
	return err
}
