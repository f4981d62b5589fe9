package batch

import (
	"context"
	"time"

	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// housekeepLoop does what time calls for: leases that ran out, decisions of
// operators, snapshots, records that near the end of retention.
func (s *shard) housekeepLoop(ctx context.Context) {
	for sleep.For(ctx, s.m.tune.HousekeepEvery) {
		now := s.m.now()
		if s.m.cutOff(now) {
			s.giveUp()
			return
		}
		s.mu.Lock()
		if s.epoch == 0 || s.draining {
			s.mu.Unlock()
			continue
		}
		if s.mayDispatch(now) {
			s.expire(now)
		}
		s.followIntents()
		s.forgetOld(now)
		due := s.snapshotDue(now)
		s.mu.Unlock()
		if s.m.health.down() {
			continue
		}
		if due {
			s.writeSnapshot(ctx)
		}
		if now.Sub(s.lastRewrite) >= s.m.tune.RewriteEvery {
			s.lastRewrite = now
			s.keepReadable(ctx)
		}
	}
}

// cutOff says whether this entry has been without the log service for the lease time
// while others reach it: they take its shards over.
func (m *Manager) cutOff(now time.Time) bool {
	return m.health.downFor(now) >= m.tune.Lease && !m.outage.Load()
}

// giveUp ends an ownership that this entry can do nothing with. As owner it would
// answer callers with an old state; what sides have reported to it they still hold.
func (s *shard) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.m.log.Warn("cut off from the log service, shard given up", "shard", s.id, "epoch", s.epoch)
	s.epoch = 0
	s.ending()
}

// followIntents takes over operators' decisions on jobs; s.mu is held.
func (s *shard) followIntents() {
	for id, intent := range s.m.o.Config.Current().Jobs {
		j := s.state.Jobs[id]
		if j == nil || !j.Accepted || j.Ended() {
			continue
		}
		switch {
		case intent.Cancel && !s.intents["cancel "+id]:
			s.intents["cancel "+id] = true
			s.propose(&proposal{
				record: structs.JobRecord{Cancel: &structs.JobCancel{Job: id, By: "operator"}},
				bytes:  recordOverhead,
			})
		case intent.Run && !intent.Cancel && j.Planned && !s.intents["run "+id]:
			s.intents["run "+id] = true
			s.propose(&proposal{
				record: structs.JobRecord{Run: &structs.JobRun{Job: id}},
				bytes:  recordOverhead,
			})
		}
	}
}

// forgetOld drops jobs past their promised time and uploads that were given up; s.mu is held.
func (s *shard) forgetOld(now time.Time) {
	ended := now.Add(-s.m.set.ResultsFor).UnixMilli()
	touched := now.Add(-s.m.tune.UploadTTL).UnixMilli()
	for id, j := range s.state.Jobs {
		old := j.EndedMs != 0 && j.EndedMs < ended || !j.Accepted && j.TouchedMs < touched
		if !old || s.intents["forget "+id] {
			continue
		}
		s.intents["forget "+id] = true
		s.propose(&proposal{
			record:  structs.JobRecord{Forget: &structs.JobForget{Job: id}},
			bytes:   recordOverhead,
			applied: func() { s.forgetIntents(id) },
		})
	}
}

func (s *shard) forgetIntents(id structs.JobID) {
	for _, prefix := range []structs.JobID{"cancel ", "run ", "forget "} {
		delete(s.intents, prefix+id)
	}
}

// snapshotDue says whether it is time for a snapshot; s.mu is held. An idle shard
// writes one now and then too: its claim would be trimmed otherwise, and with it the epoch.
func (s *shard) snapshotDue(now time.Time) bool {
	c := &s.sinceSnapshot
	if c.count >= s.m.tune.SnapshotCount || c.bytes >= s.m.tune.SnapshotBytes {
		return true
	}
	if now.Sub(c.at) >= s.m.set.LogRetention/8 {
		return true
	}
	return c.through < s.trimHorizon() && c.count > 0
}

// writeSnapshot appends the state to the snapshot stream. A part that fails leaves
// the snapshot incomplete; readers pass it over, and the next one comes in time.
func (s *shard) writeSnapshot(ctx context.Context) {
	s.mu.Lock()
	parts, err := s.state.Snapshot()
	through, count := s.state.Through, s.sinceSnapshot.count
	s.mu.Unlock()
	if err != nil {
		s.m.log.Error("can't encode a snapshot", "shard", s.id, "err", err)
		return
	}
	for _, body := range parts {
		if err := s.appendOnce(ctx, jobs.SnapshotStream(s.id), body); err != nil {
			s.m.log.Warn("snapshot not written", "shard", s.id, "err", err)
			return
		}
	}
	s.m.metrics.snapshots.Inc(1)
	s.m.log.Debug("snapshot written", "shard", s.id, "through", through, "parts", len(parts))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sinceSnapshot.count -= count
	s.sinceSnapshot.bytes = 0
	s.sinceSnapshot.at = s.m.now()
	s.sinceSnapshot.through = through
}

const (
	// maxRewrites is how many segments one round appends again at most.
	maxRewrites = 64
	// packRefs is at how many places the results of a finished segment may stand
	// before they are put together.
	packRefs = 48
)

// stale is a segment with records that must be appended again.
type stale struct {
	view   jobs.SegmentView
	bodies structs.Offset // of the items, 0 if they need not move
	pack   bool
	at     structs.Offset // the fold's offset when it was found
}

// keepReadable appends again what retention would trim while it is still
// needed, and puts results together that are scattered.
func (s *shard) keepReadable(ctx context.Context) {
	for _, st := range s.findStale(s.m.now()) {
		if st.bodies != 0 {
			s.moveBodies(ctx, &st)
		}
		if st.pack {
			s.packResults(ctx, &st)
		}
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *shard) findStale(now time.Time) []stale {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := max(s.state.WrittenBefore(now.Add(-s.m.set.LogRetention/2)), s.trimHorizon())
	var out []stale
	for _, j := range s.state.Jobs {
		if !j.Accepted {
			continue
		}
		for i := range j.Segments {
			st, ok := s.staleSegment(j, i, horizon)
			if !ok {
				continue
			}
			if out = append(out, st); len(out) == maxRewrites {
				return out
			}
		}
	}
	return out
}

// trimHorizon returns an offset up to which records may be trimmed next, by what the
// log service has trimmed already; s.mu is held. A service that keeps less than the
// settings say (less time, or only so many bytes) shows it that way.
func (s *shard) trimHorizon() structs.Offset {
	if s.firstKept <= 1 || s.firstKept > s.state.Through {
		return 0
	}
	return s.firstKept + (s.state.Through-s.firstKept)/4
}

func (s *shard) staleSegment(j *jobs.Job, i int, horizon structs.Offset) (stale, bool) {
	g := &j.Segments[i]
	st := stale{at: s.state.Through}
	if !j.Ended() && g.Done < g.Count && g.Offset <= horizon {
		st.bodies = g.Offset
	}
	oldest := g.OldestResult()
	st.pack = oldest != 0 && oldest <= horizon || g.Done == g.Count && g.Refs() > packRefs
	if st.bodies == 0 && !st.pack {
		return st, false
	}
	st.view = j.View(i)
	return st, true
}

func (s *shard) moveBodies(ctx context.Context, st *stale) {
	env, err := s.envelopeAt(ctx, st.bodies)
	if err != nil {
		s.m.log.Warn("segment not readable", "job", st.view.Job, "segment", st.view.Seg, "err", err)
		return
	}
	for i := range env.Records {
		r := env.Records[i].Segment
		if r == nil || r.Job != st.view.Job || r.Seg != st.view.Seg {
			continue
		}
		s.rewrite(ctx, structs.JobRecord{Segment: r}, len(r.Blob))
		return
	}
}

func (s *shard) packResults(ctx context.Context, st *stale) {
	results, err := s.collect(ctx, &st.view)
	if err != nil {
		s.m.log.Warn("results not readable", "job", st.view.Job, "segment", st.view.Seg, "err", err)
		return
	}
	// A packed record replaces all that it was made from: one that lacks a result
	// would lose it for good.
	whole := len(results) == st.view.Done()
	s.m.check.Check(whole, invariant.Readable, "results of a segment are incomplete: "+string(st.view.Job))
	if !whole {
		return
	}
	records, err := jobs.PackedRecords(st.view.Job, st.view.Seg, st.at, results)
	if err != nil {
		s.m.log.Error("can't encode results", "err", err)
		return
	}
	for _, r := range records {
		s.rewrite(ctx, r, len(r.Packed.Blob))
	}
}

// rewrite appends a record that moves something and waits for it, so that one
// round adds at most one record to each append.
func (s *shard) rewrite(ctx context.Context, r structs.JobRecord, bytes int) {
	p := &proposal{record: r, bytes: bytes}
	s.mu.Lock()
	ok := s.propose(p)
	s.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-p.done:
		s.m.metrics.rewrites.Inc(1)
	case <-ctx.Done():
	}
}

// collect reads the results of a segment from the log.
func (s *shard) collect(ctx context.Context, v *jobs.SegmentView) ([]structs.ItemResult, error) {
	var envs []*structs.Envelope
	for _, off := range v.Offsets {
		env, err := s.envelopeAt(ctx, off)
		if err != nil {
			return nil, err
		}
		envs = append(envs, env)
	}
	return v.Collect(envs)
}
