package backlog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// testJob returns a job of the items i0, i1 and i2, of 10 tokens each, on route r.
func testJob() *Job {
	j := &Job{ID: "job", Route: "r", MaxAttempts: 3}
	for i := range 3 {
		j.Items = append(j.Items, Item{ID: fmt.Sprint("i", i), Tokens: 10, Body: []byte{byte(i)}})
	}
	return j
}

// recordsOfTestJob returns the records of testJob, of results for its first two items and of progress of the
// third. The result of i1 is too large for one record.
func recordsOfTestJob(t *testing.T) []platform.KeyedRecord {
	t.Helper()
	var all []platform.KeyedRecord
	add := func(records []platform.KeyedRecord, err error) {
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, records...)
	}
	add(EncodeJob(testJob()))
	add(EncodeResult(&Result{Job: "job", Position: 0, Item: "i1", Outcome: Complete, Text: strings.Repeat("x", 3*chunkBytes)}))
	add(EncodeResult(&Result{Job: "job", Position: 1, Item: "i0", Outcome: Errored}))
	add(EncodeProgress(&Progress{Job: "job", Item: "i2", LastEventID: "2", Text: "a\nb"}, 7, 2))
	add(EncodeProgress(&Progress{Job: "job", Item: "i2", LastEventID: "1", Text: "a"}, 7, 2))
	return all
}

// The state must not depend on the order in which records are applied, or on how often. A process that loads
// the backlog reads the newest records in key order, and then reads some of them again.
func TestStateIndependentOfRecordOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		records := append(recordsOfTestJob(t), recordsOfTestJob(t)...)
		rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		s := NewState()
		for _, r := range records {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		page := s.Page("job", 0, 1<<30)
		if page.Total != 3 || page.Next != 2 || page.Results[0].Item != "i1" || len(page.Results[0].Text) != 3*chunkBytes || page.Results[1].Outcome != Errored {
			t.Fatalf("page has %d results, next position %d and total %d, want 2 results (all of i1, then i0 errored), next position 2 and total 3", len(page.Results), page.Next, page.Total)
		}
		if p := s.Progress("job", "i2"); p.LastEventID != "2" || p.Text != "a\nb" {
			t.Fatalf("progress of i2 is %+v, want last event 2 and the two lines a and b", p)
		}
		if queued := s.QueuedTokens("", "r"); queued != 10 || s.QueuedTokens("", "other") != 0 {
			t.Fatalf("%d tokens are queued on route r, want 10 there and none on route other", queued)
		}
	}
}

func TestCancelledJobHasNothingQueued(t *testing.T) {
	s := NewState()
	records, err := EncodeCancel("job")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(records, recordsOfTestJob(t)...) { // the cancellation is applied before the job
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	s.EachOpenJob(func(j *Job) { t.Errorf("cancelled job %s is visited as open, want no open job", j.ID) })
	if !s.IsCancelled("job") || s.QueuedTokens("", "r") != 0 || s.ListedCount("job") != 2 {
		t.Errorf("cancelled is %v, queued tokens %d, listed results %d, want true, 0 and 2", s.IsCancelled("job"), s.QueuedTokens("", "r"), s.ListedCount("job"))
	}
}

// Results after a position without a result must not be listed: the position would show another result later,
// after a caller has read it.
func TestListedCountStopsAtFirstGap(t *testing.T) {
	s := NewState()
	for _, p := range []int{2, 0} {
		records, err := EncodeResult(&Result{Job: "job", Position: p, Item: fmt.Sprint("i", p), Outcome: Complete})
		if err != nil {
			t.Fatal(err)
		}
		if err := s.Apply(records[0]); err != nil {
			t.Fatal(err)
		}
	}
	if s.ListedCount("job") != 1 {
		t.Errorf("%d results are listed while position 1 has none, want 1", s.ListedCount("job"))
	}
}

func TestPageHoldsAtLeastOneResult(t *testing.T) {
	s := NewState()
	for _, r := range recordsOfTestJob(t) {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	if p := s.Page("job", 0, 10); len(p.Results) != 1 || p.Next != 1 {
		t.Errorf("page of at most 10 bytes has %d results and next position %d, want 1 and 1", len(p.Results), p.Next)
	}
	if p := s.Page("job", 2, 10); len(p.Results) != 0 || p.Next != 2 || p.Total != 3 {
		t.Errorf("page after the last result is %+v, want no results, next position 2 and total 3", p)
	}
}

func TestJobTombstonesCoverEveryKey(t *testing.T) {
	s := NewState()
	keys := make(map[string]bool)
	cancellation, err := EncodeCancel("job")
	if err != nil {
		t.Fatal(err)
	}
	text := Text{Job: "job", Index: 2, Text: strings.Repeat("x", 3*chunkBytes)}
	texts, err := EncodeText(text)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range texts { // texts are in a partition of their own
		keys[r.Key] = true
	}
	thirdResult, err := EncodeResult(&Result{Job: "job", Position: 2, Item: "i2", Index: 2, Outcome: Complete, TextSize: len(text.Text), TextChecksum: Checksum(text.Text)})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(append(recordsOfTestJob(t), cancellation...), thirdResult...) {
		if !strings.HasPrefix(r.Key, kindProgress) { // progress is deleted by the process that wrote it
			keys[r.Key] = true
		}
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	tombstones, err := s.TombstonesOf("job")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(append(tombstones.Texts, tombstones.Results...), tombstones.Jobs...) {
		delete(keys, r.Key)
		if len(r.Value) != 0 {
			t.Errorf("tombstone of key %s has a value, want none", r.Key)
		}
		if strings.HasPrefix(r.Key, kindText) {
			continue
		}
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	if len(keys) != 0 {
		t.Errorf("keys without a tombstone: %v, want none", keys)
	}
	if _, ok := s.Job("job"); ok {
		t.Error("the job is still in the state after its tombstones were applied, want it gone")
	}
}

// A text must be complete exactly when its last missing record has been added, in whatever order.
func TestTextReassembledFromChunks(t *testing.T) {
	want := Text{Job: "a/b", Index: 3, Text: strings.Repeat("some text ", chunkBytes/4)}
	records, err := EncodeText(want)
	if err != nil || len(records) < 3 {
		t.Fatalf("a text of some chunks has %d records, error %v; want at least 3 records and no error", len(records), err)
	}
	if r := (&Result{TextSize: len(want.Text)}); r.TextRecordCount() != len(records) {
		t.Errorf("the computed number of records is %d, want the %d records of the text", r.TextRecordCount(), len(records))
	}
	records[0], records[1] = records[1], records[0]
	reader := NewTextReader()
	for i, r := range records {
		key, text, isComplete, err := reader.Add(r)
		if err != nil || isComplete != (i == len(records)-1) {
			t.Fatalf("after the record of index %d of %d records: complete is %v, error %v; want complete after the last record only, and no error", i, len(records), isComplete, err)
		}
		if isComplete && (key != TextKey(want.Job, want.Index, Checksum(want.Text)) || text != want.Text) {
			t.Errorf("the complete text has key %s and %d bytes, want the encoded key and text", key, len(text))
		}
	}
	if _, _, _, err := reader.Add(platform.KeyedRecord{Key: "t/a/0/0", Value: []byte{0, 0, 0, 1, 0xa0}}); !errs.Is(err, errs.BadFrame) {
		t.Errorf("a record that is not a text: error is %v, want errs.BadFrame", err)
	}
}

// The computed number of records of a text must not be less than the number that is written, for any length of
// the text: otherwise records of deleted texts stay in the store.
func TestTextRecordCountIsUpperBound(t *testing.T) {
	for size := chunkBytes - 20; size < chunkBytes+20; size++ {
		records, err := EncodeText(Text{Job: "j", Text: strings.Repeat("x", size)})
		if err != nil {
			t.Fatal(err)
		}
		if r := (&Result{TextSize: size}); r.TextRecordCount() < len(records) {
			t.Errorf("a text of %d bytes has %d records, the computed number is %d, want at least as many", size, len(records), r.TextRecordCount())
		}
	}
}

func TestMalformedRecordsRejected(t *testing.T) {
	s := NewState()
	for _, r := range []platform.KeyedRecord{
		{Key: "j/x", Value: []byte{0}},
		{Key: "j/x", Value: []byte{0, 0, 0, 1, 0xff}},
		{Key: "j/x", Value: []byte{0, 5, 0, 2, 1}},
		{Key: "z/x", Value: []byte{0, 0, 0, 1, 0xa0}},
	} {
		if err := s.Apply(r); !errs.Is(err, errs.BadFrame) {
			t.Errorf("record %s with value %v: error is %v, want errs.BadFrame", r.Key, r.Value, err)
		}
	}
}

func TestObsoleteProgress(t *testing.T) {
	s := NewState()
	for _, r := range recordsOfTestJob(t) {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	for key, want := range map[string]bool{
		"p/000007/job/0":    true, // the item has a result
		"p/000007/job/0#1":  true,
		"p/000007/job/2":    false,
		"p/000007/job/9":    true,  // the job has no item of that index
		"p/000007/gone/0":   true,  // no such job
		"p/000007/a/b/0":    true,  // a job id may contain slashes
		"p/000007/job":      false, // not a progress key
		"j/job":             false,
		"p/000007/job/nine": false,
	} {
		if s.IsProgressObsolete(key) != want {
			t.Errorf("key %s: obsolete is %v, want the opposite", key, !want)
		}
	}
}

// Guards against a value that is put together from chunks of two attempts to write it, in any order of the records, and
// against chunks that stay in memory when they are applied again or deleted.
func TestChunksOfTwoAttemptsAreNotCombined(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	encode := func(attempt string) []platform.KeyedRecord {
		j := testJob()
		j.Items[1].Body = []byte(strings.Repeat(attempt, 5*chunkBytes/len(attempt)))
		records, err := EncodeJob(j)
		if err != nil {
			t.Fatal(err)
		}
		return WithAttempt(records, attempt)
	}
	for range 50 {
		accepted, refused := encode("a1"), encode("b2")
		refused = refused[:len(refused)-1] // the last append of this attempt was not done
		records := append(append(accepted, accepted[:2]...), refused...)
		rng.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
		s := NewState()
		for _, r := range records {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		j, ok := s.Job("job")
		if !ok || !strings.HasPrefix(string(j.Items[1].Body), "a1") || len(j.Items) != 3 {
			t.Fatal("the job of the attempt that was done is not the one in the state")
		}
		if s.HasChunks(accepted) || !s.HasChunks(refused) {
			t.Errorf("chunks kept in memory: of the stored job %t, of the other attempt %t; want only the latter", s.HasChunks(accepted), s.HasChunks(refused))
		}
		for _, r := range Tombstones(refused) {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if len(s.chunks.partial) > 0 {
			t.Errorf("%d incomplete values are left after the deletion of their chunks, want none", len(s.chunks.partial))
		}
		tombstones, err := s.TombstonesOf("job")
		if err != nil || len(tombstones.Jobs) != 6+1 {
			t.Errorf("%d tombstones delete the job, error %v; want one for each of 6 chunks and one of the plain key", len(tombstones.Jobs), err)
		}
		for _, r := range tombstones.Jobs {
			if err := s.Apply(r); err != nil {
				t.Fatal(err)
			}
		}
		if _, ok := s.Job("job"); ok {
			t.Error("the job is still there after its deletion")
		}
	}
}

// Guards against a text that is put together from two writes of an item's progress, of which a new owner has read some
// records each.
func TestProgressOfTwoWritesIsNotCombined(t *testing.T) {
	encode := func(text string) []platform.KeyedRecord {
		records, err := EncodeProgress(&Progress{Job: "job", Item: "i2", LastEventID: "2", Text: text}, 7, 2)
		if err != nil {
			t.Fatal(err)
		}
		return records
	}
	first, second := encode(strings.Repeat("a", 2*chunkBytes)), encode(strings.Repeat("b", 2*chunkBytes))
	s := NewState()
	for _, r := range append(second[:1:1], first[1:]...) {
		if err := s.Apply(r); err != nil && !errs.Is(err, errs.BadFrame) {
			t.Fatal(err)
		}
	}
	if p := s.Progress("job", "i2"); p.HasStarted() {
		t.Errorf("progress with a text of %d bytes from two writes, want none", len(p.Text))
	}
	for _, r := range second {
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	if p := s.Progress("job", "i2"); p.Text != strings.Repeat("b", 2*chunkBytes) {
		t.Errorf("progress with a text of %d bytes after all records of one write, want that of the write", len(p.Text))
	}
}
