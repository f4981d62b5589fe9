package batch

import (
	"bytes"
	"context"
	"io"

	"golang.org/x/sync/errgroup"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
)

const (
	// segmentItems and segmentBytes end a segment. They decide the segments' hashes, so
	// they must be the same at every entry.
	segmentItems = 256
	segmentBytes = 256 << 10
	// maxLine bounds one line: a segment holds up to segmentBytes and one line more.
	maxLine = 512 << 10
	// segmentsInFlight is how many segments of one upload wait for the log at a time.
	segmentsInFlight = 4
)

// Submit reads a job's file from body and returns the accepted job. It holds a
// few segments in memory, never the file. Errors: errs.LogDown, errs.KeyReused, errs.BadRequest,
// errs.UnknownModel, errs.NotOwner, errs.AppendUnknown.
func (m *Manager) Submit(ctx context.Context, spec structs.JobSpec, body io.Reader) (*JobView, error) {
	if spec.Key == "" {
		return nil, errs.New(errs.BadRequest, "a job needs an Idempotency-Key")
	}
	if refusal := m.health.refusal(m.now()); refusal != nil {
		return nil, refusal
	}
	config := m.o.Config.Current()
	if known, ok := config.Models[spec.Model]; spec.Model != "" && (!ok || known.Retired) {
		return nil, errs.Newf(errs.UnknownModel, "model %q is not served", spec.Model)
	}
	u := &upload{m: m, id: jobs.JobIDFor(spec.Workspace, spec.Key), spec: spec}
	begin, err := m.call(ctx, m.shardOf(u.id), &PeerRequest{Op: OpBegin, Job: u.id})
	if err != nil {
		return nil, err
	}
	u.have, u.known = begin.Have, begin.Job
	if err := u.send(ctx, newLineReader(body, maxLine, config, &u.spec)); err != nil {
		return nil, err
	}
	return u.commit(ctx)
}

// upload is one run of a caller's file into the log.
type upload struct {
	m    *Manager
	id   structs.JobID
	spec structs.JobSpec
	// have are the segments of an earlier run; known is the job if it is accepted
	// already, in which case nothing is sent and only the content is compared.
	have   [][]byte
	known  *JobView
	hashes [][]byte
	count  int
}

// send cuts the lines into segments and passes on those that are not there yet.
func (u *upload) send(ctx context.Context, lines *lineReader) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(segmentsInFlight)
	err := u.cut(lines, func(seg *structs.JobSegment) error {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		g.Go(func() error {
			_, err := u.m.call(ctx, u.m.shardOf(u.id), &PeerRequest{Op: OpSegment, Job: u.id, Segment: seg})
			return err
		})
		return nil
	})
	// The error of a segment comes first: that of the cutting may only follow from it.
	if sent := g.Wait(); sent != nil {
		return sent
	}
	return err
}

// cut reads all lines and calls emit for each segment that is not in the log yet.
func (u *upload) cut(lines *lineReader, emit func(*structs.JobSegment) error) error {
	var items []structs.JobItem
	size := 0
	flush := func() error {
		if len(items) == 0 {
			return nil
		}
		seg, err := u.segment(items)
		if err != nil {
			return err
		}
		items, size = nil, 0
		if u.has(seg) {
			return nil
		}
		return emit(seg)
	}
	for {
		item, err := lines.next()
		if err == io.EOF {
			return flush()
		}
		if err != nil {
			return err
		}
		items = append(items, item)
		size += len(item.Body) + itemOverhead
		if len(items) < segmentItems && size < segmentBytes {
			continue
		}
		if err := flush(); err != nil {
			return err
		}
	}
}

func (u *upload) segment(items []structs.JobItem) (*structs.JobSegment, error) {
	if len(u.hashes) >= jobs.MaxSegments {
		return nil, errs.Newf(errs.BodyTooLarge, "a job has at most %d segments", jobs.MaxSegments)
	}
	blob, err := jobs.EncodeItems(items)
	if err != nil {
		return nil, err
	}
	seg := &structs.JobSegment{
		Job: u.id, Seg: len(u.hashes), Count: len(items), Hash: jobs.SegmentHash(blob), Blob: blob,
	}
	for pos := range items {
		if items[pos].Err != nil {
			seg.Bad = append(seg.Bad, pos)
		}
		if items[pos].Once {
			seg.Once = append(seg.Once, pos)
		}
	}
	u.hashes = append(u.hashes, seg.Hash)
	u.count += len(items)
	return seg, nil
}

func (u *upload) has(seg *structs.JobSegment) bool {
	if u.known != nil {
		return true
	}
	return seg.Seg < len(u.have) && bytes.Equal(u.have[seg.Seg], seg.Hash)
}

func (u *upload) commit(ctx context.Context) (*JobView, error) {
	if u.count == 0 {
		return nil, errs.New(errs.BadRequest, "the job has no items")
	}
	hash := jobs.ContentHash(u.spec, u.hashes)
	if u.known != nil {
		if !bytes.Equal(hash, u.known.Hash) {
			return nil, errs.New(errs.KeyReused, "the key is in use for a job with other content")
		}
		return u.known, nil
	}
	reply, err := u.m.call(ctx, u.m.shardOf(u.id), &PeerRequest{Op: OpCommit, Job: u.id, Accept: &structs.JobAccept{
		Job: u.id, Spec: u.spec, Segments: len(u.hashes), Count: u.count, Hash: hash,
	}})
	if err != nil {
		return nil, err
	}
	u.m.log.Info("job accepted", "job", u.id, "workspace", u.spec.Workspace,
		"items", u.count, "status", string(reply.Job.Status))
	return reply.Job, nil
}

// Status returns a job of workspace; an empty workspace stands for all. Errors:
// errs.NotFound, errs.NotOwner.
func (m *Manager) Status(ctx context.Context, ws structs.WorkspaceID, job structs.JobID) (*JobView, error) {
	reply, err := m.call(ctx, m.shardOf(job), &PeerRequest{Op: OpStatus, Workspace: ws, Job: job})
	if err != nil {
		return nil, err
	}
	return reply.Job, nil
}

// Cancel cancels a job of workspace and returns when no item of it starts any
// more. Errors: errs.NotFound, errs.LogDown, errs.AppendUnknown, errs.NotOwner.
func (m *Manager) Cancel(ctx context.Context, ws structs.WorkspaceID, job structs.JobID) (*JobView, error) {
	reply, err := m.call(ctx, m.shardOf(job), &PeerRequest{Op: OpCancel, Workspace: ws, Job: job})
	if err != nil {
		return nil, err
	}
	return reply.Job, nil
}

// listCalls is how many shards are asked at a time for a list of jobs.
const listCalls = 8

// List returns the jobs of workspace over all shards; an empty workspace stands
// for all. Errors: errs.NotOwner, errs.SessionLost.
func (m *Manager) List(ctx context.Context, ws structs.WorkspaceID) ([]JobView, error) {
	lists := make([][]JobView, m.set.Shards)
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(listCalls)
	for i := range lists {
		g.Go(func() error {
			reply, err := m.call(ctx, structs.Shard(i), &PeerRequest{Op: OpList, Workspace: ws})
			if err == nil {
				lists[i] = reply.Jobs
			}
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	var out []JobView
	for _, l := range lists {
		out = append(out, l...)
	}
	return out, nil
}

// resultPage is about how many bytes of results one call between entries carries.
const resultPage = 1 << 20

// Results calls each with the results of a job from index from on, in item order,
// page by page. Errors: errs.NotFound, errs.LogDown, errs.NotOwner, or that of each.
func (m *Manager) Results(ctx context.Context, ws structs.WorkspaceID, job structs.JobID, from int, failedOnly bool,
	each func(structs.ItemResult) error) error {
	for {
		reply, err := m.call(ctx, m.shardOf(job), &PeerRequest{
			Op: OpResults, Workspace: ws, Job: job, From: from, Limit: resultPage, FailedOnly: failedOnly,
		})
		if err != nil {
			return err
		}
		for _, r := range reply.Results {
			if err := each(r); err != nil {
				return err
			}
		}
		if reply.Next <= from {
			return nil
		}
		from = reply.Next
	}
}

// Result returns the result of one item. Errors: errs.NotFound while there is
// none, and those of Results.
func (m *Manager) Result(ctx context.Context, ws structs.WorkspaceID, job structs.JobID, index int) (structs.ItemResult, error) {
	reply, err := m.call(ctx, m.shardOf(job), &PeerRequest{
		Op: OpResults, Workspace: ws, Job: job, From: index, Limit: 1,
	})
	if err != nil {
		return structs.ItemResult{}, err
	}
	if len(reply.Results) == 0 || reply.Results[0].Index != index {
		return structs.ItemResult{}, errs.Newf(errs.NotFound, "item %d has no result", index)
	}
	return reply.Results[0], nil
}
