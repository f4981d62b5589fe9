package batch

import (
	"context"
	"encoding/json"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// dispatchEvery is how often items are looked for without an event: for those
	// whose wait before another attempt is over.
	dispatchEvery = 250 * time.Millisecond
	// takeChunk is how many items one shard gives before it is the next one's turn.
	takeChunk = 16
	// frameBytes is about how many bytes of items one frame carries.
	frameBytes = 256 << 10
	// leaseSlack is added to an item's time limit before it is handed out again.
	leaseSlack = 10 * time.Second
	// loadTimeout bounds the wait for the bodies of a segment.
	loadTimeout = 3 * time.Second
	// resultGuess is the size of a result before any was seen, in bytes.
	resultGuess = 4 << 10
)

// handout is what one side gets from one shard at a time.
type handout struct {
	side   structs.HostID
	target structs.TargetID
	send   Send
	picks  []jobs.Pick
}

// dispatchLoop gives items to the targets that have room.
func (m *Manager) dispatchLoop(ctx context.Context) error {
	t := sleep.NewTimer(dispatchEvery)
	defer t.Stop()
	for {
		select {
		case <-m.dispatchCh:
		case <-t.C:
			t.Reset(dispatchEvery)
		case <-ctx.Done():
			return nil
		}
		m.dispatch()
	}
}

// dispatch makes one round over the offers.
func (m *Manager) dispatch() {
	shards := m.owned()
	if len(shards) == 0 {
		return
	}
	for _, p := range m.sides.withRoom() {
		if !m.mayHold(shards) {
			return
		}
		m.fill(p, shards)
	}
	m.metrics.heldBytes.Update(m.held.Load())
}

// fill uses up the room of one offer, a chunk from each shard in turn. Offers begin
// where the one before ended: small offers that all began at the first shard would
// leave the others with nothing until it has run dry.
func (m *Manager) fill(p pull, shards []*shard) {
	room := p.Room
	start := m.nextShard
	for progress := true; progress && room > 0; {
		progress = false
		for k := range shards {
			m.nextShard = (start + k + 1) % len(shards)
			s := shards[(start+k)%len(shards)]
			n := s.take(p, min(room, takeChunk))
			if n == 0 {
				continue
			}
			progress = true
			room -= n
			m.sides.used(p.Target, n)
			if room <= 0 {
				return
			}
		}
	}
}

// mayHold says whether the outcomes of items that are out, and of a further
// chunk, fit into the bound on held outcomes. While the log service is down they
// can't leave this host: without the bound its memory fills until it is killed, and
// all that it held is run again.
func (m *Manager) mayHold(shards []*shard) bool {
	out := takeChunk
	for _, s := range shards {
		s.mu.Lock()
		if s.sched != nil {
			out += s.sched.InFlight()
		}
		s.mu.Unlock()
	}
	m.metrics.inFlight.Update(int64(out - takeChunk))
	need := m.held.Load() + int64(out)*m.resultSize()
	return need <= int64(m.set.MaxHeldBytes)
}

// resultSize returns the mean size of a result, in bytes.
func (m *Manager) resultSize() int64 {
	n, bytes := m.seenResults.Load(), m.seenBytes.Load()
	if n == 0 {
		return resultGuess
	}
	return bytes/n + recordOverhead
}

// take picks up to n items for p and queues them to be sent.
func (s *shard) take(p pull, n int) int {
	now := s.m.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.mayDispatch(now) {
		return 0
	}
	picks := s.sched.Take(now, jobs.Query{
		Side: p.side, Models: p.Models, Service: p.Service, Room: n,
		Weight: s.m.weight, Lease: s.m.set.ItemTimeout + leaseSlack, Ready: s.ready,
	})
	if len(picks) == 0 {
		return 0
	}
	s.outbox = append(s.outbox, handout{side: p.side, target: p.Target, send: p.send, picks: picks})
	select {
	case s.outCh <- struct{}{}:
	default:
	}
	return len(picks)
}

// mayDispatch says whether this entry may act as owner now; s.mu is held. A
// process that was paused wakes with an old view: until a read of the stream has
// gone through again it can't know whether another has taken over, or a job was cancelled there. The same
// holds for one that is cut off from the log service. In an outage, which the
// other entries see too, no other can take over.
func (s *shard) mayDispatch(now time.Time) bool {
	if s.epoch == 0 || s.draining || now.Before(s.quietUntil) {
		return false
	}
	fresh := now.Sub(s.lastRead) < s.m.tune.ReadWait+s.m.tune.Lease/2
	return fresh || s.m.health.down() && s.m.outage.Load()
}

// ready says whether the bodies of a segment can be had now.
func (s *shard) ready(job structs.JobID, seg int) bool {
	return !s.m.health.down() || s.m.cache.has(segmentKey{job, seg})
}

func (m *Manager) weight(ws structs.WorkspaceID) int {
	return m.o.Config.Current().Workspaces[ws].Weight
}

// sendLoop loads the bodies of what was picked and sends it.
func (s *shard) sendLoop(ctx context.Context) {
	for {
		select {
		case <-s.outCh:
		case <-ctx.Done():
			return
		}
		s.mu.Lock()
		out := s.outbox
		s.outbox = nil
		s.mu.Unlock()
		for _, h := range out {
			s.hand(ctx, h)
		}
	}
}

// hand sends one handout; items that run at most once are claimed before.
func (s *shard) hand(ctx context.Context, h handout) {
	bodies := make([]structs.JobItem, 0, len(h.picks))
	picks := h.picks[:0:0]
	for _, p := range h.picks {
		item, err := s.item(ctx, p.Job, p.Seg, p.Index)
		if err != nil {
			s.m.log.Warn("item body not readable", "job", p.Job, "item", p.Index, "err", err)
			s.giveBack([]jobs.Pick{p})
			continue
		}
		picks = append(picks, p)
		bodies = append(bodies, item)
	}
	var plain, once handoutItems
	for i, p := range picks {
		if p.Once {
			once.add(p, bodies[i])
			continue
		}
		plain.add(p, bodies[i])
	}
	if len(plain.picks) > 0 {
		s.sendNow(h, plain)
	}
	if len(once.picks) > 0 {
		s.startOnce(h, once)
	}
}

// handoutItems are picks with their bodies.
type handoutItems struct {
	picks  []jobs.Pick
	bodies []structs.JobItem
}

func (l *handoutItems) add(p jobs.Pick, body structs.JobItem) {
	l.picks = append(l.picks, p)
	l.bodies = append(l.bodies, body)
}

func (s *shard) giveBack(picks []jobs.Pick) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.giveBackLocked(picks)
}

func (s *shard) giveBackLocked(picks []jobs.Pick) {
	if s.sched == nil {
		return
	}
	now := s.m.now()
	for _, p := range picks {
		s.sched.Return(now, p.Key, 0)
	}
	s.signal()
}

func (s *shard) sendNow(h handout, l handoutItems) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.send(h, l)
}

// send checks the picks once more and sends them; s.mu is held, so that the
// ItemStop of a cancel that is folded next goes out after them on the same session. It
// returns those that were not sent.
func (s *shard) send(h handout, l handoutItems) (unsent []jobs.Pick) {
	if s.epoch == 0 {
		return l.picks
	}
	now := s.m.now()
	var frame []structs.Item
	var sent []jobs.Pick
	size := 0
	flush := func() {
		if len(frame) == 0 {
			return
		}
		if err := h.send(&structs.Frame{Items: &structs.Items{Items: frame}}); err != nil {
			s.m.log.Debug("side does not take items", "side", h.side, "err", err)
			unsent = append(unsent, sent...)
		} else {
			s.m.metrics.itemsSent.Inc(int64(len(sent)))
			s.m.log.Debug("items sent", "shard", s.id, "side", h.side, "target", h.target,
				"items", len(sent), "job", sent[0].Job, "first", sent[0].Index)
		}
		frame, sent, size = nil, nil, 0
	}
	for i, p := range l.picks {
		j := s.state.Jobs[p.Job]
		if j == nil || !j.Runnable() || !j.Open(p.Index) {
			s.sched.Drop(p.Key)
			continue
		}
		s.check(j, p)
		body := &l.bodies[i]
		s.sched.Sent(p.Key, now.Add(s.m.set.ItemTimeout+leaseSlack), body.CustomID)
		frame = append(frame, s.frameItem(j, p, h.target, body))
		sent = append(sent, p)
		if size += len(body.Body); size >= frameBytes {
			flush()
		}
	}
	flush()
	s.signal()
	if len(unsent) > 0 && !unsent[0].Once {
		s.giveBackLocked(unsent)
	}
	return unsent
}

// check asserts what must hold when an item goes to a side.
func (s *shard) check(j *jobs.Job, p jobs.Pick) {
	s.m.check.Check(!j.Cancelled, invariant.NoStartAfterCancel, "item sent of job "+string(p.Job))
	s.m.check.Check(s.epoch == s.state.Epoch, invariant.CurrentEpoch, "item sent under an old epoch: "+s.stream)
	s.m.check.Check(!p.Once || j.Started(p.Index), invariant.OneStart, "item sent without its claim: "+string(p.Job))
}

func (s *shard) frameItem(j *jobs.Job, p jobs.Pick, target structs.TargetID, body *structs.JobItem) structs.Item {
	item := structs.Item{
		Ref:    structs.ItemRef{Shard: s.id, Epoch: s.epoch, Job: p.Job, Index: p.Index, Attempt: p.Attempt},
		Target: target, Workspace: j.Spec.Workspace,
		Method: body.Method, Path: body.Path, Body: body.Body,
		NonIdempotent: p.Once, Alone: p.Alone,
		TimeoutMs: s.m.set.ItemTimeout.Milliseconds(),
	}
	if j.Spec.Service == "" {
		item.Generate = generateOf(j.Spec.Model, body)
	}
	return item
}

// bytesPerToken estimates the length of a prompt.
const bytesPerToken = 4

// generateOf returns what admission needs to know of a model request.
func generateOf(model structs.ModelID, body *structs.JobItem) *structs.Generate {
	var fields struct {
		MaxTokens           int `json:"max_tokens"`
		MaxCompletionTokens int `json:"max_completion_tokens"`
	}
	// A body that is no object was refused at the upload.
	_ = json.Unmarshal(body.Body, &fields)
	return &structs.Generate{
		Model:        model,
		MaxTokens:    max(fields.MaxTokens, fields.MaxCompletionTokens),
		PromptTokens: len(body.Body) / bytesPerToken,
		Chat:         body.Path == pathChat,
	}
}

// startOnce claims the one run of items in the log and sends them once the
// claim is folded.
func (s *shard) startOnce(h handout, l handoutItems) {
	byJob := make(map[structs.JobID][]int)
	for _, p := range l.picks {
		byJob[p.Job] = append(byJob[p.Job], p.Index)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for job, indexes := range byJob {
		mine := l.of(job)
		ok := s.propose(&proposal{
			record:  structs.JobRecord{Start: &structs.ItemStart{Job: job, Indexes: indexes}},
			bytes:   8 * len(indexes),
			applied: func() { s.sendStarted(h, mine) },
		})
		if !ok {
			s.giveBackLocked(mine.picks)
		}
	}
}

func (l *handoutItems) of(job structs.JobID) handoutItems {
	var out handoutItems
	for i, p := range l.picks {
		if p.Job == job {
			out.add(p, l.bodies[i])
		}
	}
	return out
}

// sendStarted sends items whose claim was just folded; s.mu is held. What can't be
// sent did not run: its claim is taken back.
func (s *shard) sendStarted(h handout, l handoutItems) {
	for _, p := range s.send(h, l) {
		s.reopen(p.Key)
	}
}

// reopen takes the claim of an item back; s.mu is held.
func (s *shard) reopen(key jobs.Key) {
	s.sched.Reported(key)
	s.propose(&proposal{
		record:  structs.JobRecord{Reopen: &structs.ItemReopen{Job: key.Job, Indexes: []int{key.Index}}},
		bytes:   recordOverhead,
		applied: func() { s.sched.Return(s.m.now(), key, 0) },
	})
}

// item returns the body of one item.
func (s *shard) item(ctx context.Context, job structs.JobID, seg, index int) (structs.JobItem, error) {
	s.mu.Lock()
	j := s.state.Jobs[job]
	if j == nil || seg >= len(j.Segments) {
		s.mu.Unlock()
		return structs.JobItem{}, errs.New(errs.NotFound, "the job is gone")
	}
	off, first := j.Segments[seg].Offset, int(j.Segments[seg].First)
	s.mu.Unlock()
	items, err := s.segment(ctx, segmentKey{job, seg}, off)
	if err != nil {
		return structs.JobItem{}, err
	}
	if pos := index - first; pos >= 0 && pos < len(items) {
		return items[pos], nil
	}
	return structs.JobItem{}, errs.Newf(errs.Internal, "segment %d of %s has no item %d", seg, job, index)
}

// segment returns the items of a segment, from memory or from the log.
func (s *shard) segment(ctx context.Context, key segmentKey, off structs.Offset) ([]structs.JobItem, error) {
	if items, ok := s.m.cache.get(key); ok {
		return items, nil
	}
	env, err := s.envelopeAt(ctx, off)
	if err != nil {
		return nil, err
	}
	for i := range env.Records {
		r := env.Records[i].Segment
		if r == nil || r.Job != key.job || r.Seg != key.seg {
			continue
		}
		items, err := jobs.DecodeItems(r.Blob)
		if err == nil {
			s.m.cache.put(key, items)
		}
		return items, err
	}
	return nil, errs.Newf(errs.Internal, "no segment %d of %s at offset %d", key.seg, key.job, off)
}

// envelopeAt reads one envelope of the stream again.
func (s *shard) envelopeAt(ctx context.Context, off structs.Offset) (*structs.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	page, err := s.m.o.Log.Read(ctx, s.stream, off, 1, 0)
	s.m.health.note(s.m.now(), err)
	s.m.check.Check(!errs.Is(err, errs.LogTrimmed), invariant.Readable, "offset trimmed while needed: "+s.stream)
	if err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 {
		return nil, errs.Newf(errs.Internal, "offset %d of %s is not there", off, s.stream)
	}
	return jobs.Decode(page.Entries[0].Body)
}
