package backlog

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

func testJob() *Job {
	j := &Job{ID: "job", Route: "r", Attempts: 3}
	for i := range 3 {
		j.Items = append(j.Items, Item{ID: fmt.Sprint("i", i), Tokens: 10, Body: []byte{byte(i)}})
	}
	return j
}

// recordsOfTestJob returns the records of a job with results for its first two items, one of them larger than
// a record may be, and with progress of the third.
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
	add(EncodeProgress(&Progress{Job: "job", Item: "i2", LastID: "2", Text: "a\nb"}, 7, 2))
	add(EncodeProgress(&Progress{Job: "job", Item: "i2", LastID: "1", Text: "a"}, 7, 2))
	return all
}

// The state must not depend on the order in which records are read or on how often: the newest records are
// read in key order, and a read that follows returns some of them again.
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
			t.Fatalf("page %d to %d of %d", len(page.Results), page.Next, page.Total)
		}
		if p := s.Progress("job", "i2"); p.LastID != "2" || p.Text != "a\nb" {
			t.Fatalf("progress %+v", p)
		}
		if q := s.Queued("", "r"); q != 10 || s.Queued("", "other") != 0 {
			t.Fatalf("%d tokens are queued, want 10", q)
		}
	}
}

func TestCancelledJobHasNothingQueued(t *testing.T) {
	s := NewState()
	records, err := EncodeEnd("job")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(records, recordsOfTestJob(t)...) { // the cancellation is read before the job
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	s.Open(func(j *Job) { t.Errorf("job %s is open", j.ID) })
	if !s.Ended("job") || s.Queued("", "r") != 0 || s.Listed("job") != 2 {
		t.Errorf("cancelled %v, queued %d, listed %d", s.Ended("job"), s.Queued("", "r"), s.Listed("job"))
	}
}

// A gap in the positions hides the results behind it: positions must not change once they have been returned.
func TestResultsListedWithoutGaps(t *testing.T) {
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
	if s.Listed("job") != 1 {
		t.Errorf("%d results are listed", s.Listed("job"))
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
		t.Errorf("%d results, next position %d", len(p.Results), p.Next)
	}
	if p := s.Page("job", 2, 10); len(p.Results) != 0 || p.Next != 2 || p.Total != 3 {
		t.Errorf("page at the end: %+v", p)
	}
}

func TestForgetDeletesEveryKey(t *testing.T) {
	s := NewState()
	keys := make(map[string]bool)
	end, err := EncodeEnd("job")
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
	listed, err := EncodeResult(&Result{Job: "job", Position: 2, Item: "i2", Index: 2, Outcome: Complete, Size: len(text.Text), Sum: Sum(text.Text)})
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(append(recordsOfTestJob(t), end...), listed...) {
		if !strings.HasPrefix(r.Key, kindProgress) { // deleted by the process that wrote it
			keys[r.Key] = true
		}
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	f, err := s.Forget("job")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range append(append(f.Texts, f.Results...), f.Jobs...) {
		delete(keys, r.Key)
		if len(r.Value) != 0 {
			t.Errorf("record of key %s has a value, want a tombstone", r.Key)
		}
		if strings.HasPrefix(r.Key, kindText) {
			continue
		}
		if err := s.Apply(r); err != nil {
			t.Fatal(err)
		}
	}
	if len(keys) != 0 {
		t.Errorf("keys without a tombstone: %v", keys)
	}
	if _, ok := s.Job("job"); ok {
		t.Error("the deleted job is still in the state")
	}
}

// The last missing chunk completes a text, in whatever order the records are read.
func TestTextReassembledFromChunks(t *testing.T) {
	want := Text{Job: "a/b", Index: 3, Text: strings.Repeat("some text ", chunkBytes/4)}
	records, err := EncodeText(want)
	if err != nil || len(records) < 3 {
		t.Fatalf("%d records, %v", len(records), err)
	}
	if r := (&Result{Size: len(want.Text)}); r.TextRecords() != len(records) {
		t.Errorf("TextRecords is %d, the text has %d records", r.TextRecords(), len(records))
	}
	records[0], records[1] = records[1], records[0]
	reader := NewTextReader()
	for i, r := range records {
		key, text, isComplete, err := reader.Put(r)
		if err != nil || isComplete != (i == len(records)-1) {
			t.Fatalf("record %d of %d: complete %v, %v", i, len(records), isComplete, err)
		}
		if isComplete && (key != TextKey(want.Job, want.Index, Sum(want.Text)) || text != want.Text) {
			t.Errorf("key %s, %d bytes", key, len(text))
		}
	}
	if _, _, _, err := reader.Put(platform.KeyedRecord{Key: "t/a/0/0", Value: []byte{0, 0, 0, 1, 0xa0}}); !errs.Is(err, errs.BadFrame) {
		t.Errorf("a record that is not a text: %v", err)
	}
}

// TextRecords must match the number of records that are written, for any length of the text.
func TestTextRecordCountMatchesEncoding(t *testing.T) {
	for size := chunkBytes - 20; size < chunkBytes+20; size++ {
		records, err := EncodeText(Text{Job: "j", Text: strings.Repeat("x", size)})
		if err != nil {
			t.Fatal(err)
		}
		if r := (&Result{Size: size}); r.TextRecords() < len(records) {
			t.Errorf("a text of %d bytes has %d records, TextRecords is %d", size, len(records), r.TextRecords())
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
			t.Errorf("%s %v: %v", r.Key, r.Value, err)
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
		"p/000007/job/9":    true, // no such item
		"p/000007/gone/0":   true,
		"p/000007/a/b/0":    true,  // a job id may contain slashes
		"p/000007/job":      false, // not a progress key
		"j/job":             false,
		"p/000007/job/nine": false,
	} {
		if s.Unneeded(key) != want {
			t.Errorf("%s: %v", key, !want)
		}
	}
}
