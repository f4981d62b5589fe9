package slopes

import (
	"fmt"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
)

const (
	// segmentItems is how many items an upload puts into a segment.
	segmentItems = 256
	// envelopeItems is how many results one append carries: about those of a shard in
	// one group commit at the target size (22,000 items/s, 16 shards, 100 ms).
	envelopeItems = 128
	// runItems is how many results of one job stand in a row in an envelope.
	runItems    = 16
	resultBytes = 256 // of one result
	foldJobs    = 8   // jobs that run at once in a shard
)

// shardLog makes the stream of one shard for measurements.
type shardLog struct {
	writer structs.Writer
	epoch  structs.Epoch
	seq    uint64
	offset structs.Offset
}

func newShardLog(s *jobs.State) *shardLog {
	l := &shardLog{writer: structs.Writer{Host: "entry-1", Incarnation: 1}}
	l.apply(s, structs.JobRecord{Claim: &structs.ShardClaim{Addr: "10.0.0.1:7000"}})
	l.epoch = structs.Epoch(l.offset)
	return l
}

func (l *shardLog) envelope(records ...structs.JobRecord) *structs.Envelope {
	l.seq++
	return &structs.Envelope{
		Writer: l.writer, Seq: l.seq, Epoch: l.epoch,
		AtMs: int64(l.seq), Records: records,
	}
}

// entry returns the next entry of the stream.
func (l *shardLog) entry(records ...structs.JobRecord) (structs.LogEntry, error) {
	body, err := jobs.Encode(l.envelope(records...))
	if err != nil {
		return structs.LogEntry{}, err
	}
	l.offset++
	return structs.LogEntry{Offset: l.offset, Body: body}, nil
}

func (l *shardLog) apply(s *jobs.State, records ...structs.JobRecord) {
	env := l.envelope(records...)
	l.offset++
	s.Apply(l.offset, env)
}

// upload applies a job of n items and accepts it. Bodies are left out: the fold never opens them.
func (l *shardLog) upload(s *jobs.State, id structs.JobID, n int) error {
	spec := structs.JobSpec{Workspace: "workspace-1", Key: string(id), Model: "model-1"}
	var hashes [][]byte
	for seg := 0; seg*segmentItems < n; seg++ {
		hash := jobs.SegmentHash([]byte(fmt.Sprint(id, seg)))
		hashes = append(hashes, hash)
		count := min(segmentItems, n-seg*segmentItems)
		l.apply(s, structs.JobRecord{Segment: &structs.JobSegment{Job: id, Seg: seg, Count: count, Hash: hash}})
	}
	l.apply(s, structs.JobRecord{Accept: &structs.JobAccept{
		Job: id, Spec: spec, Segments: len(hashes), Count: n,
		Hash: jobs.ContentHash(spec, hashes),
	}})
	if j := s.Jobs[id]; j == nil || !j.Accepted {
		return errs.Newf(errs.Internal, "job %s was not accepted", id)
	}
	return nil
}

// uploadAll applies foldJobs jobs of n items together.
func (l *shardLog) uploadAll(s *jobs.State, n int) error {
	for _, id := range jobIDs(foldJobs) {
		if err := l.upload(s, id, n/foldJobs); err != nil {
			return err
		}
	}
	return nil
}

// results is resultsOf with resultBytes.
func (l *shardLog) results(ids []structs.JobID, n int) ([]structs.LogEntry, error) {
	return l.resultsOf(ids, n, resultBytes)
}

// resultsOf returns the entries that finish items 0..n-1 of each of ids with results of
// size bytes. The jobs take turns by runs of runItems, as the items come from sides.
func (l *shardLog) resultsOf(ids []structs.JobID, n, size int) ([]structs.LogEntry, error) {
	var out []structs.LogEntry
	var records []structs.JobRecord
	flush := func() error {
		if len(records) == 0 {
			return nil
		}
		e, err := l.entry(records...)
		out = append(out, e)
		records = nil
		return err
	}
	for first := 0; first < n; first += runItems {
		for _, id := range ids {
			r, err := doneRun(id, first, min(n, first+runItems), size)
			if err != nil {
				return nil, err
			}
			records = append(records, r)
			if len(records)*runItems < envelopeItems {
				continue
			}
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	return out, flush()
}

func doneRun(id structs.JobID, from, to, size int) (structs.JobRecord, error) {
	var list []structs.ItemResult
	body := make([]byte, size)
	for i := from; i < to; i++ {
		list = append(list, structs.ItemResult{Index: i, Status: 200, Body: body})
	}
	return jobs.DoneRecord(id, list)
}

func newState() *jobs.State { return jobs.NewState(nil, jobs.Broken{}) }

func jobIDs(n int) []structs.JobID {
	ids := make([]structs.JobID, n)
	for i := range ids {
		ids[i] = jobs.JobIDFor("workspace-1", fmt.Sprint("job-", i))
	}
	return ids
}

// uploaded returns a shard with n items in foldJobs jobs, and the entries that finish them.
func uploaded(n int) (*jobs.State, []structs.LogEntry, error) {
	s := newState()
	l := newShardLog(s)
	if err := l.uploadAll(s, n); err != nil {
		return nil, nil, err
	}
	entries, err := l.results(jobIDs(foldJobs), n/foldJobs)
	return s, entries, err
}
