package slopes

import (
	"context"
	"fmt"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
)

const (
	kibi = 1 << 10
	// smallJob is the size of the jobs that the cost of a job itself is taken from.
	smallJob = 16
	// takeRoom is how many items a side is given at a time.
	takeRoom = 16
)

func applyAll(s *jobs.State, entries []structs.LogEntry) {
	for _, e := range entries {
		s.ApplyEntry(e)
	}
}

// finished returns a shard of n items that all have their result.
func finished(n int) (*jobs.State, error) {
	s, entries, err := uploaded(n)
	applyAll(s, entries)
	return s, err
}

// measureJobFold measures the fold of results: decode and apply of log entries.
func measureJobFold(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		s, entries, err := uploaded(int(x))
		if err != nil {
			return nil, err
		}
		settle()
		used := cpuDuring(func() { applyAll(s, entries) })
		if last := entries[len(entries)-1].Offset; s.Through != last {
			return nil, errs.Newf(errs.Internal, "folded up to %d, not %d", s.Through, last)
		}
		return []float64{used}, nil
	}
	return b.measure(ctx, b.few(64*kibi, 128*kibi, 256*kibi), at, Slope{
		Name: JobFoldCPU, Feeds: "owner of job shards: processor time",
		Unit: "us/item", Base: "us", Over: "items with results",
		Model: fmt.Sprintf("decode and fold, %d results of %d B an append, %d jobs at once", envelopeItems, resultBytes, foldJobs),
	})
}

// measureShardMemory measures what a shard's fold holds.
func measureShardMemory(ctx context.Context, b *bench) error {
	items := func(x float64) ([]float64, error) {
		done, err := liveOf(func() (any, error) { return finished(int(x)) })
		if err != nil {
			return nil, err
		}
		open, err := liveOf(func() (any, error) {
			s := newState()
			return s, newShardLog(s).uploadAll(s, int(x))
		})
		return []float64{done, open}, err
	}
	err := b.measureOnce(ctx, b.sizes(256*kibi, 512*kibi, kibi*kibi), items,
		Slope{Name: JobItemMemory, Feeds: "owner of job shards: memory", Unit: "B/item", Base: "B",
			Over: "items with results", Model: "live heap of a fold whose items all have a result"},
		Slope{Name: JobOpenMemory, Feeds: "owner of job shards: memory", Unit: "B/item", Base: "B",
			Over: "items without result", Model: "live heap of a fold that has accepted jobs only"})
	if err != nil {
		return err
	}
	return b.measureOnce(ctx, b.few(1000, 2000, 4000), memoryOfJobs, Slope{
		Name: JobMemory, Feeds: "owner of job shards: memory", Unit: "B/job", Base: "B",
		Over: "finished jobs", Model: fmt.Sprintf("jobs of %d items", smallJob),
	})
}

func memoryOfJobs(x float64) ([]float64, error) {
	live, err := liveOf(func() (any, error) {
		s := newState()
		l := newShardLog(s)
		for _, id := range jobIDs(int(x)) {
			if err := l.upload(s, id, smallJob); err != nil {
				return nil, err
			}
			entries, err := l.results([]structs.JobID{id}, smallJob)
			if err != nil {
				return nil, err
			}
			applyAll(s, entries)
		}
		return s, nil
	})
	return []float64{live}, err
}

// measureSnapshot measures snapshots and what a takeover does: restore, then replay.
func measureSnapshot(ctx context.Context, b *bench) error {
	snapshot := func(x float64) ([]float64, error) {
		s, err := finished(int(x))
		if err != nil {
			return nil, err
		}
		var parts [][]byte
		taken := cpuEach(func() { parts, err = s.Snapshot() })
		if err != nil {
			return nil, err
		}
		entries := make([]structs.LogEntry, 0, len(parts))
		bytes := 0
		for i, p := range parts {
			entries = append(entries, structs.LogEntry{Offset: structs.Offset(i + 1), Body: p})
			bytes += len(p)
		}
		restored := cpuEach(func() {
			if e := restore(entries); e != nil {
				err = e
			}
		})
		return []float64{float64(bytes), taken, restored}, err
	}
	return b.measureOnce(ctx, b.sizes(256*kibi, 512*kibi, kibi*kibi), snapshot,
		Slope{Name: SnapshotBytes, Feeds: "log: bytes of shard snapshots", Unit: "B/item", Base: "B", Over: "items with results"},
		Slope{Name: SnapshotCPU, Feeds: "owner of job shards: processor time", Unit: "us/item", Base: "us", Over: "items with results"},
		Slope{Name: RestoreCPU, Feeds: "takeover of a job shard", Unit: "us/item", Base: "us", Over: "items with results"})
}

func restore(entries []structs.LogEntry) error {
	body, ok := jobs.NewestSnapshot(entries)
	if !ok {
		return errs.New(errs.Internal, "the snapshot is not whole")
	}
	s, err := jobs.Restore(body, nil, jobs.Broken{})
	if err != nil {
		return err
	}
	_ = jobs.NewSched(s, time.Time{}, 0)
	return nil
}

// measureReplay measures the fold of the log after the newest snapshot, by its length.
func measureReplay(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		s, entries, err := uploaded(int(x) * envelopeItems)
		if err != nil {
			return nil, err
		}
		settle()
		return []float64{cpuDuring(func() { applyAll(s, entries) })}, nil
	}
	return b.measure(ctx, b.few(512, 1024, 2048), at, Slope{
		Name: ReplayCPU, Feeds: "takeover of a job shard", Unit: "us/append", Base: "us",
		Over:  "appends since the newest snapshot",
		Model: fmt.Sprintf("%d results of %d B an append", envelopeItems, resultBytes),
	})
}

// measureDispatch measures the choice of items for sides, with the leases of those that are out.
func measureDispatch(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		s := newState()
		if err := newShardLog(s).uploadAll(s, int(x)); err != nil {
			return nil, err
		}
		now := time.Unix(1, 0)
		sched := jobs.NewSched(s, now, time.Second)
		q := jobs.Query{Side: "side-1", Models: []structs.ModelID{"model-1"}, Room: takeRoom, Lease: time.Minute}
		settle()
		taken := 0
		used := cpuDuring(func() {
			for picks := sched.Take(now, q); len(picks) > 0; picks = sched.Take(now, q) {
				taken += len(picks)
			}
		})
		if taken != int(x) {
			return nil, errs.Newf(errs.Internal, "%d items were handed out, not %d", taken, int(x))
		}
		return []float64{used}, nil
	}
	return b.measure(ctx, b.few(16*kibi, 32*kibi, 64*kibi, 128*kibi), at, Slope{
		Name: TakeCPU, Feeds: "owner of job shards: processor time", Unit: "us/item", Base: "us", Over: "items handed out",
		Model: fmt.Sprintf("%d items a side at a time, %d jobs; no frame is made", takeRoom, foldJobs),
	})
}

// measureRecords measures the bytes in the log of results and of items' bodies, by their size.
func measureRecords(ctx context.Context, b *bench) error {
	results := func(x float64) ([]float64, error) {
		l := &shardLog{}
		entries, err := l.resultsOf(jobIDs(foldJobs), envelopeItems, int(x))
		if err != nil {
			return nil, err
		}
		bytes := 0
		for _, e := range entries {
			bytes += len(e.Body)
		}
		perItem := float64(bytes) / (foldJobs * envelopeItems)
		body, err := segmentBody(int(x))
		return []float64{perItem, body}, err
	}
	return b.measureOnce(ctx, b.few(0, 256, 1024, 4096), results,
		Slope{Name: ResultBytes, Feeds: "log: bytes of results", Unit: "B/B", Base: "B/item", Over: "bytes of one result"},
		Slope{Name: SegmentBytes, Feeds: "log: bytes of uploads", Unit: "B/B", Base: "B/item", Over: "bytes of one item"})
}

// segmentBody returns the bytes in the log of one item of size bytes, in a full segment.
func segmentBody(size int) (float64, error) {
	items := make([]structs.JobItem, segmentItems)
	for i := range items {
		items[i] = structs.JobItem{
			CustomID: fmt.Sprint("request-", i), Method: "POST", Path: "/v1/chat/completions", Body: make([]byte, size),
		}
	}
	blob, err := jobs.EncodeItems(items)
	if err != nil {
		return 0, err
	}
	l := &shardLog{}
	e, err := l.entry(structs.JobRecord{Segment: &structs.JobSegment{
		Job: jobIDs(1)[0], Count: len(items), Hash: jobs.SegmentHash(blob), Blob: blob,
	}})
	return float64(len(e.Body)) / segmentItems, err
}
