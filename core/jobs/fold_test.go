package jobs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusramp/core/errs"
	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

// stream applies envelopes at rising offsets.
type stream struct {
	*State
	off     structs.Offset
	nextSeq map[structs.Writer]uint64
}

func newStream(broken Broken) (*stream, *invariant.Checker) {
	check := invariant.NewChecker(nil)
	return &stream{State: NewState(check, broken), nextSeq: make(map[structs.Writer]uint64)}, check
}

func (s *stream) put(env structs.Envelope) Effects {
	s.off++
	return s.Apply(s.off, &env)
}

func (s *stream) env(w structs.Writer, epoch structs.Epoch, records ...structs.JobRecord) structs.Envelope {
	s.nextSeq[w]++
	return structs.Envelope{Writer: w, Seq: s.nextSeq[w], Epoch: epoch, AtMs: int64(s.off), Records: records}
}

func (s *stream) claim(w structs.Writer) Effects {
	return s.put(s.env(w, 0, structs.JobRecord{Claim: &structs.ShardClaim{Prev: s.Epoch}}))
}

var (
	writerA = structs.Writer{Host: "a", Incarnation: 1}
	writerB = structs.Writer{Host: "b", Incarnation: 1}
)

const testJob = structs.JobID("job")

func testSegment(t testing.TB, seg int, items []structs.JobItem) structs.JobRecord {
	blob, err := EncodeItems(items)
	if err != nil {
		t.Fatal(err)
	}
	r := &structs.JobSegment{Job: testJob, Seg: seg, Count: len(items), Hash: SegmentHash(blob), Blob: blob}
	for pos, item := range items {
		if item.Err != nil {
			r.Bad = append(r.Bad, pos)
		}
		if item.Once {
			r.Once = append(r.Once, pos)
		}
	}
	return structs.JobRecord{Segment: r}
}

// acceptJob uploads and accepts testJob with n items a segment under the present owner.
func (s *stream) acceptJob(t testing.TB, spec structs.JobSpec, segments ...[]structs.JobItem) {
	var hashes [][]byte
	count := 0
	var records []structs.JobRecord
	for i, items := range segments {
		r := testSegment(t, i, items)
		hashes = append(hashes, r.Segment.Hash)
		count += len(items)
		records = append(records, r)
	}
	records = append(records, structs.JobRecord{Accept: &structs.JobAccept{
		Job: testJob, Spec: spec, Segments: len(segments), Count: count, Hash: ContentHash(spec, hashes),
	}})
	eff := s.put(s.env(s.Owner, s.Epoch, records...))
	if len(eff.Accepted) != 1 {
		t.Fatalf("not accepted: %+v", eff)
	}
}

func items(n int) []structs.JobItem {
	out := make([]structs.JobItem, n)
	for i := range out {
		out[i] = structs.JobItem{CustomID: fmt.Sprint(i), Body: []byte("{}")}
	}
	return out
}

func doneRecord(t testing.TB, body string, indexes ...int) structs.JobRecord {
	var results []structs.ItemResult
	for _, i := range indexes {
		results = append(results, structs.ItemResult{Index: i, Status: 200, Body: []byte(body)})
	}
	r, err := DoneRecord(testJob, results)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

var spec = structs.JobSpec{Workspace: "w", Key: "k", Model: "m"}

// Symptom: two owners act on one shard. Sequence: two entries claim at once
// after a loss. Cause: a claim that counts although another came first.
func TestFirstOfRacingClaimsWins(t *testing.T) {
	s, _ := newStream(Broken{})
	claimA := s.env(writerA, 0, structs.JobRecord{Claim: &structs.ShardClaim{Prev: 0}})
	claimB := s.env(writerB, 0, structs.JobRecord{Claim: &structs.ShardClaim{Prev: 0}})
	if eff := s.put(claimA); !eff.Claimed {
		t.Fatalf("first claim is void: %+v", eff)
	}
	if eff := s.put(claimB); eff.Void != VoidClaim {
		t.Fatalf("second claim: %+v", eff)
	}
	if eff := s.put(claimA); eff.Void != VoidClaim {
		t.Fatalf("second copy of the first claim: %+v", eff)
	}
	if s.Owner != writerA || s.Epoch != 1 {
		t.Fatalf("owner %v epoch %d", s.Owner, s.Epoch)
	}
}

// Symptom: a finished item gets another result. Sequence: an owner is paused,
// another takes over and finishes the item, the first wakes and appends its own
// outcome. Cause: a record of an older epoch that takes effect.
func TestStaleOwnerIsVoid(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s, check := newStream(Broken{IgnoreEpochs: broken})
		s.claim(writerA)
		s.acceptJob(t, spec, items(2))
		stale := s.env(writerA, s.Epoch, doneRecord(t, "stale", 0))
		s.claim(writerB)
		eff := s.put(stale)
		if got := eff.Void == VoidEpoch; got == broken {
			t.Errorf("broken %v: void %q", broken, eff.Void)
		}
		if caught := check.Total() > 0; caught != broken {
			t.Errorf("broken %v: violations %v", broken, check.Counts())
		}
	}
}

// Symptom: an item is charged twice for one failure and ends before its budget.
// Sequence: the answer of an append is lost, it is sent again, both copies are in
// the log. Cause: the second copy is applied.
func TestSecondCopyIsVoid(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s, check := newStream(Broken{IgnoreIdentities: broken})
		s.claim(writerA)
		s.acceptJob(t, spec, items(2))
		env := s.env(writerA, s.Epoch, structs.JobRecord{Charge: &structs.ItemCharge{Job: testJob}})
		s.put(env)
		s.put(env)
		want := 1
		if broken {
			want = 2
		}
		if got := s.Jobs[testJob].Trouble(0).Charges; got != want {
			t.Errorf("broken %v: %d charges, want %d", broken, got, want)
		}
		if caught := check.Total() > 0; caught != broken {
			t.Errorf("broken %v: violations %v", broken, check.Counts())
		}
	}
}

// Symptom: a caller reads one result and later another. Sequence: an item is
// handed out again after its side fell silent, both runs finish. Cause: the
// later result counts.
func TestFirstResultCounts(t *testing.T) {
	for _, broken := range []bool{false, true} {
		s, check := newStream(Broken{IgnoreIdentities: broken})
		s.claim(writerA)
		s.acceptJob(t, spec, items(2))
		first := s.env(writerA, s.Epoch, doneRecord(t, "first", 0))
		second := s.env(writerA, s.Epoch, doneRecord(t, "second", 0, 1))
		s.put(first)
		eff := s.put(second)
		if !broken && (eff.Late != 1 || len(eff.Done) != 1) {
			t.Errorf("effects %+v", eff)
		}
		if caught := check.Total() > 0; caught != broken {
			t.Errorf("broken %v: violations %v", broken, check.Counts())
		}
		if broken {
			continue
		}
		v := s.Jobs[testJob].View(0)
		got, err := v.Collect([]*structs.Envelope{&first, &second})
		if err != nil || len(got) != 2 || string(got[0].Body) != "first" || string(got[1].Body) != "second" {
			t.Errorf("results %v, err %v", got, err)
		}
	}
}

// Symptom: a cancelled job shows a result that came after the cancel. Sequence:
// result, cancel and a later result share one append. Cause: a reader that takes all
// results of the envelope.
func TestResultAfterCancelIsVoid(t *testing.T) {
	s, _ := newStream(Broken{})
	s.claim(writerA)
	s.acceptJob(t, spec, items(3))
	env := s.env(writerA, s.Epoch, doneRecord(t, "x", 0),
		structs.JobRecord{Cancel: &structs.JobCancel{Job: testJob}}, doneRecord(t, "x", 1))
	eff := s.put(env)
	if len(eff.Done) != 1 || len(eff.Cancelled) != 1 || eff.Late != 1 {
		t.Fatalf("effects %+v", eff)
	}
	j := s.Jobs[testJob]
	if j.Status() != StatusCancelled || j.Open(1) || j.Finished != 1 {
		t.Fatalf("status %s, finished %d", j.Status(), j.Finished)
	}
	v := j.View(0)
	got, err := v.Collect([]*structs.Envelope{&env})
	if err != nil || len(got) != 1 || got[0].Index != 0 {
		t.Fatalf("results %v, err %v", got, err)
	}
}

// Symptom: one key names two contents. Sequence: a client sends another file
// under a key that is in use. Cause: the segment that is there is replaced.
func TestOtherContentUnderSameKeyIsVoid(t *testing.T) {
	s, _ := newStream(Broken{})
	s.claim(writerA)
	first, other := testSegment(t, 0, items(2)), testSegment(t, 0, items(3))
	s.put(s.env(writerA, s.Epoch, first, other))
	if got := s.Jobs[testJob].Segments[0].Hash(); !bytes.Equal(got, first.Segment.Hash) {
		t.Fatal("the first segment was replaced")
	}
	eff := s.put(s.env(writerA, s.Epoch, structs.JobRecord{Accept: &structs.JobAccept{
		Job: testJob, Spec: spec, Segments: 1, Count: 3,
		Hash: ContentHash(spec, [][]byte{other.Segment.Hash}),
	}}))
	if len(eff.Accepted) != 0 {
		t.Fatal("accepted with another content")
	}
}

func TestBadLinesHaveResults(t *testing.T) {
	s, _ := newStream(Broken{})
	s.claim(writerA)
	list := items(2)
	list[1].Err = errs.New(errs.BadItem, "no body").WithLine(2)
	r := testSegment(t, 0, list)
	env := s.env(writerA, s.Epoch, r, structs.JobRecord{Accept: &structs.JobAccept{
		Job: testJob, Spec: spec, Segments: 1, Count: 2,
		Hash: ContentHash(spec, [][]byte{r.Segment.Hash}),
	}})
	s.put(env)
	j := s.Jobs[testJob]
	if j.Finished != 1 || j.Failed != 1 || j.Open(1) || !j.Open(0) {
		t.Fatalf("job %+v", j)
	}
	v := j.View(0)
	got, err := v.Collect([]*structs.Envelope{&env})
	if err != nil || len(got) != 1 || got[0].Err.Line != 2 {
		t.Fatalf("results %v, err %v", got, err)
	}
}

// Random streams of two writers with stale and doubled envelopes: the state from
// any snapshot equals the state from the start, results are never lost, and no guard
// lets through what it should void.
func TestFoldProperties(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s, check := newStream(Broken{})
		s.claim(writerA)
		s.acceptJob(t, spec, items(70), items(3))
		var sent []structs.Envelope
		var fork *State
		done := make(map[int]bool)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			var env structs.Envelope
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				w := rapid.SampledFrom([]structs.Writer{writerA, writerB}).Draw(rt, "writer")
				env = s.env(w, 0, structs.JobRecord{Claim: &structs.ShardClaim{Prev: s.Epoch}})
			case 1:
				if len(sent) == 0 {
					continue
				}
				env = rapid.SampledFrom(sent).Draw(rt, "again")
			case 2:
				if s.Epoch < 2 {
					continue
				}
				env = s.env(writerA, s.Epoch-1, doneRecord(t, "stale", 1))
			default:
				n := rapid.IntRange(0, 72).Draw(rt, "index")
				env = s.env(s.Owner, s.Epoch, doneRecord(t, "ok", n, (n+1)%73))
			}
			sent = append(sent, env)
			for _, key := range s.put(env).Done {
				if done[key.Index] {
					rt.Fatalf("item %d has two results", key.Index)
				}
				done[key.Index] = true
			}
			if fork != nil {
				fork.Apply(s.off, &env)
			} else if rapid.Bool().Draw(rt, "snapshot") {
				fork = restored(t, s.State)
			}
		}
		if fork == nil {
			fork = restored(t, s.State)
		}
		if got := s.Jobs[testJob].Finished; got != len(done) {
			rt.Fatalf("%d finished, want %d", got, len(done))
		}
		if check.Total() > 0 {
			rt.Fatalf("violations %v", check.Counts())
		}
		if !bytes.Equal(snapshotBytes(t, fork), snapshotBytes(t, s.State)) {
			rt.Fatal("state from a snapshot differs from the state from the start")
		}
	})
}

func snapshotBytes(t testing.TB, s *State) []byte {
	parts, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Join(parts, nil)
}

func restored(t testing.TB, s *State) *State {
	parts, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var entries []structs.LogEntry
	for i, p := range parts {
		entries = append(entries, structs.LogEntry{Offset: structs.Offset(i + 1), Body: p})
	}
	body, ok := NewestSnapshot(entries)
	if !ok {
		t.Fatal("no snapshot found")
	}
	got, err := Restore(body, nil, Broken{})
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func TestRefs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var r refs
		var want []structs.Offset
		off := structs.Offset(0)
		for _, d := range rapid.SliceOf(rapid.IntRange(1, 100000)).Draw(rt, "steps") {
			off += structs.Offset(d)
			r.add(off)
			r.add(off)
			want = append(want, off)
		}
		cut := structs.Offset(rapid.IntRange(0, int(off)+1).Draw(rt, "cut"))
		r.dropThrough(cut)
		var kept []structs.Offset
		for _, o := range want {
			if o > cut {
				kept = append(kept, o)
			}
		}
		if fmt.Sprint(r.list()) != fmt.Sprint(kept) {
			rt.Fatalf("got %v want %v", r.list(), kept)
		}
	})
}

// Symptom: a result can't be read although its promise holds. Sequence: a
// record is taken for younger than it is, retention trims it before it is appended
// again. Cause: ages rounded the wrong way.
func TestAgeErrsToTheOldSide(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewState(nil, Broken{})
		at := int64(1_000_000)
		times := make(map[structs.Offset]int64)
		for off := range structs.Offset(rapid.IntRange(1, 200).Draw(rt, "n")) {
			at += int64(rapid.IntRange(0, 200_000).Draw(rt, "gap"))
			times[off+1] = at
			s.Apply(off+1, &structs.Envelope{Epoch: 1, AtMs: at})
		}
		cut := rapid.Int64Range(900_000, at+100_000).Draw(rt, "cut")
		old := s.WrittenBefore(time.UnixMilli(cut))
		for off, ms := range times {
			if ms < cut && off > old {
				rt.Fatalf("offset %d of %d ms is taken for younger than %d", off, ms, cut)
			}
		}
	})
}

// Symptom: results of a segment are gone. Sequence: they are packed into several
// appends, the owner is lost between two of them. Cause: the first part already
// replaces what it was made from.
func TestPackedResultsReplaceOnlyWhenWhole(t *testing.T) {
	s, _ := newStream(Broken{})
	s.claim(writerA)
	s.acceptJob(t, spec, items(4))
	s.put(s.env(writerA, s.Epoch, doneRecord(t, "x", 0, 1)))
	s.put(s.env(writerA, s.Epoch, doneRecord(t, "x", 2, 3)))
	before := fmt.Sprint(s.Jobs[testJob].View(0).Offsets)
	var results []structs.ItemResult
	for i := range 4 {
		results = append(results, structs.ItemResult{Index: i, Body: make([]byte, maxPackedPart-100)})
	}
	records, err := PackedRecords(testJob, 0, s.off, results)
	if err != nil || len(records) != 4 {
		t.Fatalf("%d parts, %v", len(records), err)
	}
	s.put(s.env(writerA, s.Epoch, records[0]))
	s.put(s.env(writerA, s.Epoch, records[2]))
	if got := fmt.Sprint(s.Jobs[testJob].View(0).Offsets); got != before {
		t.Fatalf("offsets %s after a part, before %s", got, before)
	}
	var envs []*structs.Envelope
	for _, r := range records {
		env := s.env(writerA, s.Epoch, r)
		s.put(env)
		envs = append(envs, &env)
	}
	v := restored(t, s.State).Jobs[testJob].View(0)
	if len(v.Offsets) != 4 {
		t.Fatalf("offsets %v, want those of the four parts", v.Offsets)
	}
	if got, err := v.Collect(envs); err != nil || len(got) != 4 {
		t.Fatalf("%d results, %v", len(got), err)
	}
}
