package batch

import (
	"bytes"
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// Serve answers a call of another entry, or of this one.
func (m *Manager) Serve(ctx context.Context, r *PeerRequest) *PeerReply {
	switch r.Op {
	case OpProbe:
		return m.serveProbe()
	case OpOffer:
		return m.serveOffer(ctx, r)
	}
	s := m.shard(r.Shard)
	if s == nil {
		return &PeerReply{Err: notOwner(), Owner: m.hint(r.Shard)}
	}
	if s.ownerEpoch() == 0 {
		return &PeerReply{Err: notOwner(), Owner: s.ownerHint()}
	}
	ctx, cancel := context.WithTimeout(ctx, m.tune.CallTimeout)
	defer cancel()
	reply, err := s.serve(ctx, r)
	if err != nil {
		return &PeerReply{Err: errs.As(err)}
	}
	return reply
}

func notOwner() *errs.Error {
	return errs.New(errs.NotOwner, "another entry owns the shard").WithRetry(retryMoved)
}

func (s *shard) ownerHint() *platform.Host {
	host, addr := s.holder()
	if host == "" || host == s.m.self.Host {
		return nil
	}
	return &platform.Host{ID: host, Addr: addr, Role: platform.RoleEntry}
}

func (m *Manager) serveProbe() *PeerReply {
	holds := make(map[structs.Shard]structs.Epoch)
	for _, s := range m.owned() {
		holds[s.id] = s.ownerEpoch()
	}
	return &PeerReply{
		Incarnation: m.self.Incarnation, Holds: holds, Leaving: m.leaving.Load(), LogDown: m.health.down(), LogUp: m.logUp(),
	}
}

// serveOffer answers once this entry has read the offered shard and follows it:
// released earlier, the shard would be without owner while it is read.
func (m *Manager) serveOffer(ctx context.Context, r *PeerRequest) *PeerReply {
	if m.leaving.Load() {
		return &PeerReply{Err: errs.New(errs.Draining, "this entry is leaving")}
	}
	m.mu.Lock()
	m.offered[r.Shard] = m.now()
	m.mu.Unlock()
	m.wakePlace()
	for {
		if s := m.shard(r.Shard); s != nil && s.isRead() {
			return &PeerReply{}
		}
		if !sleep.For(ctx, offerPoll) {
			return &PeerReply{Err: errs.New(errs.Overloaded, "the shard is not read yet")}
		}
	}
}

// offerPoll is how often an offered shard is looked at.
const offerPoll = 5 * time.Millisecond

// serve answers a call as the owner.
func (s *shard) serve(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	switch r.Op {
	case OpStatus, OpList, OpCancel, OpResults:
		return s.serveRead(ctx, r)
	case OpHandover:
		return s.serveHandover(r)
	case OpDone:
		return s.serveDone(ctx, r)
	case OpBegin:
		return s.serveBegin(r)
	case OpSegment:
		return s.serveSegment(ctx, r)
	case OpCommit:
		return s.serveCommit(ctx, r)
	}
	return nil, errs.Newf(errs.BadFrame, "unknown call %q", r.Op)
}

// serveRead answers a question about jobs that were accepted.
func (s *shard) serveRead(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	sure, err := s.catchUp(ctx)
	if err != nil {
		return nil, err
	}
	if !sure && r.Op == OpList {
		return nil, unsure()
	}
	reply, err := s.answerRead(ctx, r)
	if !sure && errs.Is(err, errs.NotFound) {
		return nil, unsure()
	}
	return reply, err
}

func (s *shard) answerRead(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	switch r.Op {
	case OpStatus:
		return s.serveStatus(r)
	case OpList:
		return s.serveList(r)
	case OpCancel:
		return s.serveCancel(ctx, r)
	default:
		return s.serveResults(ctx, r)
	}
}

// serveHandover releases the shard if the asker comes before this entry by this
// entry's own host list. Two entries with different lists could else pass a
// shard back and forth.
func (s *shard) serveHandover(r *PeerRequest) (*PeerReply, error) {
	rank := shardmap.Rank(s.id, s.m.o.Members())
	at := shardmap.Position(rank, r.Host)
	if at == len(rank) || at >= shardmap.Position(rank, s.m.self.Host) {
		return nil, errs.New(errs.Conflict, "the shard belongs here")
	}
	// Handed over to a host that this entry can't reach, the shard would be claimed back at
	// once: while the host list lags behind a replaced address, the two would take it from
	// each other several times a second, and no item would get on.
	if s.m.gone(r.Host) {
		return nil, errs.New(errs.Conflict, "the entry that asks does not answer").WithRetry(askEvery)
	}
	s.mu.Lock()
	busy := s.draining
	s.draining = true
	s.mu.Unlock()
	if !busy {
		go s.release(rank[at])
	}
	return &PeerReply{}, nil
}

// gone says that host has not answered probes for a lease.
func (m *Manager) gone(host structs.HostID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.probed.Gone(m.now(), host)
}

// release hands the shard over while this entry goes on.
func (s *shard) release(to platform.Host) {
	ctx, cancel := context.WithTimeout(s.m.life, handOverTimeout)
	defer cancel()
	s.handOver(ctx, &to)
	s.mu.Lock()
	defer s.mu.Unlock()
	// Where the release did not get into the log, this entry is the owner still.
	s.draining = s.releasing
}

// serveDone takes outcomes and answers when all are in the log or the time is over.
func (s *shard) serveDone(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	acks := make(chan int, len(r.Done))
	for i, d := range r.Done {
		if d.Done == nil {
			return nil, errs.New(errs.BadFrame, "no outcome")
		}
		if !s.itemDone(d.Side, d.Done, func() { acks <- i }) {
			return nil, notOwner()
		}
	}
	reply := &PeerReply{}
	for range r.Done {
		select {
		case i := <-acks:
			reply.Acked = append(reply.Acked, i)
		case <-ctx.Done():
			return reply, nil
		}
	}
	return reply, nil
}

func (s *shard) serveBegin(r *PeerRequest) (*PeerReply, error) {
	if refusal := s.m.health.refusal(s.m.now()); refusal != nil {
		return nil, refusal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.state.Jobs[r.Job]
	if j == nil {
		return &PeerReply{}, nil
	}
	if j.Accepted {
		return &PeerReply{Job: s.m.view(j)}, nil
	}
	reply := &PeerReply{}
	for i := range j.Segments {
		var hash []byte
		if j.Segments[i].Offset != 0 {
			hash = j.Segments[i].Hash()
		}
		reply.Have = append(reply.Have, hash)
	}
	return reply, nil
}

// segmentHash returns the hash of a segment that is folded, nil if it is not; s.mu is held.
func (s *shard) segmentHash(job structs.JobID, seg int) []byte {
	j := s.state.Jobs[job]
	if j == nil || seg >= len(j.Segments) || j.Segments[seg].Offset == 0 {
		return nil
	}
	return j.Segments[seg].Hash()
}

func (s *shard) serveSegment(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	g := r.Segment
	if g == nil || g.Seg < 0 || g.Seg >= jobs.MaxSegments || g.Count <= 0 || g.Count > jobs.MaxSegmentItems {
		return nil, errs.New(errs.BadFrame, "no valid segment")
	}
	if refusal := s.m.health.refusal(s.m.now()); refusal != nil {
		return nil, refusal
	}
	s.mu.Lock()
	if j := s.state.Jobs[g.Job]; j != nil && j.Accepted {
		// Another upload under the same key has been completed in the meantime; the
		// commit compares the contents.
		s.mu.Unlock()
		return &PeerReply{}, nil
	}
	if have := s.segmentHash(g.Job, g.Seg); have != nil {
		s.mu.Unlock()
		return sameHash(have, g.Hash)
	}
	p := &proposal{record: structs.JobRecord{Segment: g}, bytes: len(g.Blob) + 8*(len(g.Bad)+len(g.Once))}
	s.propose(p)
	s.mu.Unlock()
	if err := s.await(ctx, p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.segmentHash(g.Job, g.Seg); have != nil {
		return sameHash(have, g.Hash)
	}
	return &PeerReply{}, nil
}

func sameHash(have, want []byte) (*PeerReply, error) {
	if !bytes.Equal(have, want) {
		return nil, errs.New(errs.KeyReused, "the key is in use for a job with other content")
	}
	return &PeerReply{}, nil
}

func (s *shard) serveCommit(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	a := r.Accept
	if a == nil {
		return nil, errs.New(errs.BadFrame, "nothing to accept")
	}
	if refusal := s.m.health.refusal(s.m.now()); refusal != nil {
		return nil, refusal
	}
	s.mu.Lock()
	j := s.state.Jobs[a.Job]
	if j == nil || !j.Accepted {
		a.Planned = !s.m.granted(&a.Spec, a.Count)
		p := &proposal{record: structs.JobRecord{Accept: a}, bytes: recordOverhead}
		s.propose(p)
		s.mu.Unlock()
		if err := s.await(ctx, p); err != nil {
			return nil, err
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	return s.committed(a)
}

// committed says what became of a commit; s.mu is held.
func (s *shard) committed(a *structs.JobAccept) (*PeerReply, error) {
	j := s.state.Jobs[a.Job]
	if j == nil || !j.Accepted {
		return nil, errs.New(errs.KeyInProgress, "segments of the job are missing or another upload is under way").
			WithRetry(retryMoved)
	}
	if !bytes.Equal(j.Hash, a.Hash) {
		return nil, errs.New(errs.KeyReused, "the key is in use for a job with other content")
	}
	return &PeerReply{Job: s.m.view(j)}, nil
}

// granted says whether a standing grant of the workspace covers a job.
func (m *Manager) granted(spec *structs.JobSpec, count int) bool {
	g, ok := m.o.Config.Current().Grants[spec.Workspace]
	if !ok || g.MaxItems > 0 && count > g.MaxItems {
		return false
	}
	if spec.Service == "" && len(g.Models) > 0 && !slicesContains(g.Models, spec.Model) {
		return false
	}
	if g.DueWithinS == 0 || spec.DueMs == 0 {
		return g.DueWithinS == 0
	}
	latest := m.now().Add(time.Duration(g.DueWithinS) * time.Second)
	return spec.DueMs <= latest.UnixMilli()
}

func slicesContains(models []structs.ModelID, m structs.ModelID) bool {
	for _, x := range models {
		if x == m {
			return true
		}
	}
	return false
}

// job returns an accepted job of the caller's workspace; s.mu is held. A job of
// another workspace is not found, so that ids tell nothing.
func (s *shard) job(r *PeerRequest) (*jobs.Job, error) {
	j := s.state.Jobs[r.Job]
	if j == nil || !j.Accepted || r.Workspace != "" && j.Spec.Workspace != r.Workspace {
		return nil, errs.Newf(errs.NotFound, "no job %s", r.Job)
	}
	return j, nil
}

func (s *shard) serveStatus(r *PeerRequest) (*PeerReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.job(r)
	if err != nil {
		return nil, err
	}
	return &PeerReply{Job: s.m.view(j)}, nil
}

func (s *shard) serveList(r *PeerRequest) (*PeerReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := &PeerReply{}
	for _, j := range s.state.Jobs {
		if j.Accepted && (r.Workspace == "" || j.Spec.Workspace == r.Workspace) {
			reply.Jobs = append(reply.Jobs, *s.m.view(j))
		}
	}
	return reply, nil
}

func (s *shard) serveCancel(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	s.mu.Lock()
	_, err := s.job(r)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if refusal := s.m.health.refusal(s.m.now()); refusal != nil {
		return nil, refusal
	}
	if err := s.cancel(ctx, r.Job, "caller"); err != nil {
		return nil, err
	}
	return s.serveStatus(r)
}

// serveResults returns results from index r.From on, segment by segment, until about
// r.Limit bytes. Items without a result are left out.
func (s *shard) serveResults(ctx context.Context, r *PeerRequest) (*PeerReply, error) {
	reply := &PeerReply{Next: max(0, r.From)}
	for size := 0; ; {
		v, view, err := s.resultSegment(r, reply.Next)
		if err != nil {
			return nil, err
		}
		reply.Job = view
		if v == nil {
			return reply, nil
		}
		results, err := s.collect(ctx, v)
		if err != nil {
			return nil, err
		}
		for _, res := range results {
			if res.Index < reply.Next || r.FailedOnly && res.Err == nil {
				continue
			}
			size += len(res.Body) + recordOverhead
			reply.Results = append(reply.Results, res)
		}
		reply.Next = v.First + v.Count
		if size >= r.Limit {
			return reply, nil
		}
	}
}

// resultSegment returns the next segment from index from on that has results to
// read; nil at the end.
func (s *shard) resultSegment(r *PeerRequest, from int) (*jobs.SegmentView, *JobView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.job(r)
	if err != nil {
		return nil, nil, err
	}
	view := s.m.view(j)
	seg, _, ok := j.Locate(from)
	if !ok {
		return nil, view, nil
	}
	for ; seg < len(j.Segments); seg++ {
		g := &j.Segments[seg]
		if g.Done == 0 || r.FailedOnly && g.Failed == 0 {
			continue
		}
		v := j.View(seg)
		return &v, view, nil
	}
	return nil, view, nil
}
