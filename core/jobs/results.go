package jobs

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// SegmentView is what a reader of results needs of a segment; it stays valid
// while the State goes on.
type SegmentView struct {
	Job     structs.JobID
	Seg     int
	First   int
	Count   int
	Offsets []structs.Offset // where the results are, in the order in which the first counts
	Failed  int
	done    bitset // nil: all have a result
}

// View returns the view of segment seg.
func (j *Job) View(seg int) SegmentView {
	g := &j.Segments[seg]
	v := SegmentView{
		Job: j.ID, Seg: seg, First: int(g.First), Count: int(g.Count),
		Offsets: g.ResultOffsets(), Failed: int(g.Failed),
	}
	if g.open != nil {
		v.done = slices.Clone(g.open.Done)
	}
	return v
}

// Done returns how many items of the segment have a result.
func (v *SegmentView) Done() int {
	if v.done == nil {
		return v.Count
	}
	return v.done.count()
}

// Collect returns the results that count of the segment among envs, which are the
// envelopes at v.Offsets in that order. The results are in item order. Error: errs.BadFrame.
func (v *SegmentView) Collect(envs []*structs.Envelope) ([]structs.ItemResult, error) {
	c := collector{view: v, seen: newBitset(v.Count)}
	for _, env := range envs {
		for i := range env.Records {
			if err := c.record(&env.Records[i]); err != nil {
				return nil, err
			}
		}
	}
	slices.SortFunc(c.out, func(a, b structs.ItemResult) int { return a.Index - b.Index })
	return c.out, nil
}

type collector struct {
	view *SegmentView
	seen bitset
	out  []structs.ItemResult
}

func (c *collector) record(r *structs.JobRecord) error {
	switch {
	case r.Packed != nil && r.Packed.Job == c.view.Job && r.Packed.Seg == c.view.Seg:
		return c.results(r.Packed.Blob)
	case r.Done != nil && r.Done.Job == c.view.Job:
		return c.results(r.Done.Blob)
	case r.Segment != nil && r.Segment.Job == c.view.Job && r.Segment.Seg == c.view.Seg:
		return c.badLines(r.Segment)
	}
	return nil
}

func (c *collector) results(blob []byte) error {
	var list []structs.ItemResult
	if err := cbor.Unmarshal(blob, &list); err != nil {
		return errs.Newf(errs.BadFrame, "results: %v", err)
	}
	for _, r := range list {
		c.add(r)
	}
	return nil
}

func (c *collector) badLines(r *structs.JobSegment) error {
	items, err := DecodeItems(r.Blob)
	if err != nil {
		return err
	}
	for _, pos := range r.Bad {
		if pos >= 0 && pos < len(items) {
			c.add(structs.ItemResult{
				Index: c.view.First + pos, Err: items[pos].Err, CustomID: items[pos].CustomID,
			})
		}
	}
	return nil
}

func (c *collector) add(r structs.ItemResult) {
	pos := r.Index - c.view.First
	if pos < 0 || pos >= c.view.Count || c.seen.has(pos) {
		return
	}
	// An envelope can hold a result that came too late (after a cancel in the
	// same envelope): the fold did not count it, so a reader must not see it.
	if c.view.done != nil && !c.view.done.has(pos) {
		return
	}
	c.seen.set(pos)
	c.out = append(c.out, r)
}

// EncodeItems returns the blob of a segment. Error: errs.Internal.
func EncodeItems(items []structs.JobItem) ([]byte, error) {
	b, err := cbor.Marshal(items)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "items: %v", err)
	}
	return b, nil
}

// DecodeItems opens the blob of a segment. Error: errs.BadFrame.
func DecodeItems(blob []byte) ([]structs.JobItem, error) {
	var items []structs.JobItem
	if err := cbor.Unmarshal(blob, &items); err != nil {
		return nil, errs.Newf(errs.BadFrame, "items: %v", err)
	}
	return items, nil
}

// DoneRecord returns the record that gives results of job. Error: errs.Internal.
func DoneRecord(job structs.JobID, results []structs.ItemResult) (structs.JobRecord, error) {
	blob, err := cbor.Marshal(results)
	if err != nil {
		return structs.JobRecord{}, errs.Newf(errs.Internal, "results: %v", err)
	}
	done := &structs.ItemsDone{Job: job, Blob: blob}
	for _, r := range results {
		done.Indexes = append(done.Indexes, r.Index)
		if r.Err != nil {
			done.Failed = append(done.Failed, r.Index)
		}
	}
	return structs.JobRecord{Done: done}, nil
}

// maxPackedPart is about how many bytes of results one ResultsPacked carries.
const maxPackedPart = 256 << 10

// PackedRecords returns the records that carry results of a segment again, to be
// appended in order. Error: errs.Internal.
func PackedRecords(job structs.JobID, seg int, through structs.Offset, results []structs.ItemResult) ([]structs.JobRecord, error) {
	parts := splitResults(results)
	records := make([]structs.JobRecord, 0, len(parts))
	for i, part := range parts {
		blob, err := cbor.Marshal(part)
		if err != nil {
			return nil, errs.Newf(errs.Internal, "results: %v", err)
		}
		records = append(records, structs.JobRecord{Packed: &structs.ResultsPacked{
			Job: job, Seg: seg, Through: through, Blob: blob, Part: i, Parts: len(parts),
		}})
	}
	return records, nil
}

func splitResults(results []structs.ItemResult) [][]structs.ItemResult {
	var parts [][]structs.ItemResult
	size := 0
	for i := range results {
		n := len(results[i].Body)
		if len(parts) == 0 || size+n > maxPackedPart {
			parts = append(parts, nil)
			size = 0
		}
		size += n
		last := len(parts) - 1
		parts[last] = append(parts[last], results[i])
	}
	return parts
}
