package batch

import (
	"context"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/jobs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// readEntries is how many entries one read of a shard's stream asks for.
	readEntries = 64
	// readBackoff is the wait after a failed read.
	readBackoff = 200 * time.Millisecond
)

// readTail waits up to wait for the next entries of the stream and folds them.
// It says false when the work on the shard must end.
func (s *shard) readTail(ctx context.Context, wait time.Duration) bool {
	s.mu.Lock()
	from := s.state.Through + 1
	s.mu.Unlock()
	begun := s.m.now()
	page, err := s.m.o.Log.Read(ctx, s.stream, from, readEntries, wait)
	if ctx.Err() != nil {
		return false
	}
	s.m.health.note(s.m.now(), err)
	if errs.Is(err, errs.LogTrimmed) {
		// This process was paused for longer than the retention. It starts
		// again from the newest snapshot.
		s.m.log.Warn("shard stream trimmed past the reader", "shard", s.id, "from", from, "first", page.First)
		return false
	}
	if err != nil {
		return sleep.For(ctx, readBackoff)
	}
	envs := decodeAll(page.Entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = begun
	s.firstKept = page.First
	if len(page.Entries) > 0 {
		s.apply(page.Entries, envs)
	}
	return true
}

// decodeAll opens entries outside of the shard's lock; what can't be opened is nil.
func decodeAll(entries []structs.LogEntry) []*structs.Envelope {
	envs := make([]*structs.Envelope, len(entries))
	for i, e := range entries {
		if env, err := jobs.Decode(e.Body); err == nil {
			envs[i] = env
		}
	}
	return envs
}

// recover reads the newest snapshot and then the stream to its end. It says
// false when ctx has ended.
func (s *shard) recover(ctx context.Context) bool {
	for ctx.Err() == nil {
		begun := s.m.now()
		state, err := s.readState(ctx)
		s.m.health.note(s.m.now(), err)
		if err == nil {
			s.mu.Lock()
			s.state = state
			s.sinceSnapshot.at = begun
			s.sinceSnapshot.through = state.Through
			s.signal()
			s.mu.Unlock()
			s.m.log.Info("shard read", "shard", s.id, "through", state.Through,
				"jobs", len(state.Jobs), "took", s.m.now().Sub(begun))
			return true
		}
		if !sleep.For(ctx, readBackoff) {
			return false
		}
	}
	return false
}

func (s *shard) readState(ctx context.Context) (*jobs.State, error) {
	state, err := s.readSnapshot(ctx)
	if err != nil {
		return nil, err
	}
	state.MarkEvery = s.m.markEvery()
	for {
		page, err := s.m.o.Log.Read(ctx, s.stream, state.Through+1, readEntries, 0)
		if errs.Is(err, errs.LogTrimmed) && page.First > state.Through+1 {
			// No snapshot leads up to what the log still keeps: records were lost.
			s.m.check.Check(false, invariant.Readable, "shard stream trimmed before its snapshot: "+s.stream)
			state.Through = page.First - 1
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			return state, nil
		}
		for _, e := range page.Entries {
			state.ApplyEntry(e)
		}
	}
}

// markEvery is how finely the age of records must be known.
func (m *Manager) markEvery() time.Duration {
	return min(jobs.DefaultMarkEvery, m.set.LogRetention/64)
}

// snapshotEntries is how many entries of the snapshot stream are read at first;
// where no whole snapshot is among them, more are.
const snapshotEntries = 16

// readSnapshot returns the newest snapshot, or an empty state if there is none.
func (s *shard) readSnapshot(ctx context.Context) (*jobs.State, error) {
	stream := jobs.SnapshotStream(s.id)
	first, next, err := s.streamBounds(ctx, stream)
	if err != nil {
		return nil, err
	}
	for n := structs.Offset(snapshotEntries); next > first; n *= 8 {
		from := first
		if next > first+n {
			from = next - n
		}
		entries, err := s.readRange(ctx, stream, from, next)
		if err != nil {
			return nil, err
		}
		if body, ok := jobs.NewestSnapshot(entries); ok {
			return jobs.Restore(body, s.m.check, s.m.o.Broken)
		}
		if from == first {
			break
		}
	}
	return jobs.NewState(s.m.check, s.m.o.Broken), nil
}

// streamBounds returns the offsets that stream keeps: from first to before next.
func (s *shard) streamBounds(ctx context.Context, stream string) (first, next structs.Offset, err error) {
	page, err := s.m.o.Log.Read(ctx, stream, 1, 1, 0)
	if errs.Is(err, errs.LogTrimmed) {
		page, err = s.m.o.Log.Read(ctx, stream, page.First, 1, 0)
	}
	return page.First, page.Next, err
}

func (s *shard) readRange(ctx context.Context, stream string, from, next structs.Offset) ([]structs.LogEntry, error) {
	var out []structs.LogEntry
	for from < next {
		page, err := s.m.o.Log.Read(ctx, stream, from, snapshotEntries, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			break
		}
		out = append(out, page.Entries...)
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return out, nil
}
