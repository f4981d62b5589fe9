package faults

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/structs"
	"arbutusramp/internal/client"
	"arbutusramp/test/cluster"
)

// story is a history made by hand: one job of two calls that must not be repeated.
type story struct {
	t      *testing.T
	h      *history
	job    *sentJob
	seq    uint64
	offset structs.Offset
	final  map[string]int
}

var (
	storyOwner = structs.Writer{Host: "entry-1", Incarnation: 1}
	storyStart = time.Unix(1_700_000_000, 0)
)

func newStory(t *testing.T) *story {
	s := &story{t: t, h: newHistory(), final: map[string]int{"k": 2}}
	s.h.online.keys = map[string]struct{}{}
	s.job = &sentJob{key: "k", answer: true, id: jobs.JobIDFor(cluster.Workspace, "k"), seen: make(map[int]string)}
	for _, id := range []string{"a", "b"} {
		s.job.items = append(s.job.items, sentItem{customID: id, once: true, want: `"` + id + `"`})
	}
	s.h.sends(s.job)
	s.h.byID[s.job.id] = s.job
	s.append(storyOwner, 0, structs.JobRecord{Claim: &structs.ShardClaim{}})
	items, err := cbor.Marshal([]structs.JobItem{{CustomID: "a"}, {CustomID: "b"}})
	if err != nil {
		t.Fatal(err)
	}
	s.append(storyOwner, 1,
		structs.JobRecord{Segment: &structs.JobSegment{Job: s.job.id, Count: 2, Blob: items}},
		structs.JobRecord{Accept: &structs.JobAccept{Job: s.job.id, Segments: 1, Count: 2}},
		structs.JobRecord{Start: &structs.ItemStart{Job: s.job.id, Indexes: []int{0, 1}}})
	return s
}

func (s *story) append(w structs.Writer, epoch structs.Epoch, records ...structs.JobRecord) {
	s.seq++
	s.appendSeq(w, epoch, s.seq, records...)
}

func (s *story) appendSeq(w structs.Writer, epoch structs.Epoch, seq uint64, records ...structs.JobRecord) {
	body, err := cbor.Marshal(structs.Envelope{
		Writer: w, Seq: seq, Epoch: epoch, AtMs: storyStart.UnixMilli(), Records: records,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	s.offset++
	s.h.appended("jobs-000", s.offset, body)
}

// done is the result of one item.
func (s *story) done(index int, body string) structs.JobRecord {
	r := structs.ItemResult{Index: index, CustomID: s.job.items[index].customID, Status: 200, Body: []byte(body)}
	blob, err := cbor.Marshal([]structs.ItemResult{r})
	if err != nil {
		s.t.Fatal(err)
	}
	return structs.JobRecord{Done: &structs.ItemsDone{Job: s.job.id, Indexes: []int{index}, Blob: blob}}
}

func (s *story) finish() {
	s.append(storyOwner, 1, s.done(0, `"a"`), s.done(1, `"b"`))
	s.began(0)
	s.began(1)
}

func (s *story) began(index int) {
	request := string(s.job.id) + "/" + string(rune('0'+index)) + "/0"
	s.h.called(request, "POST")
}

func (s *story) judge(keyCalls int) *Report {
	r := &Report{ErrorResults: make(map[errs.Type]int)}
	v := &verdict{
		h: s.h, shards: s.h.fold(), report: r, promise: time.Hour, final: s.final,
		keyCalls: func(string) int { return keyCalls },
	}
	v.judge()
	return r
}

// A check that can't fail proves nothing: each story breaks one promise, and the report
// must say which.
func TestEachBrokenPromiseIsReported(t *testing.T) {
	other := structs.Writer{Host: "entry-2", Incarnation: 2}
	stories := []struct {
		name  string
		spoil func(s *story)
		want  string
	}{
		{"nothing is wrong", func(s *story) { s.finish() }, ""},
		{"a second copy and an old epoch are passed over", func(s *story) {
			s.finish()
			s.appendSeq(storyOwner, 1, s.seq, s.done(0, `"x"`))
			s.append(other, 0, structs.JobRecord{Claim: &structs.ShardClaim{Prev: 1}})
			s.append(storyOwner, 1, structs.JobRecord{Cancel: &structs.JobCancel{Job: s.job.id}})
		}, ""},
		{"an item without a result", func(s *story) { s.append(storyOwner, 1, s.done(0, `"a"`)) }, "lost"},
		{"an accepted job that is not in the log", func(s *story) {
			s.h.records = s.h.records[:1]
		}, "lost"},
		{"a result that is not readable at the end", func(s *story) { s.finish(); s.final["k"] = 1 }, "lost"},
		{"two results read", func(s *story) {
			s.finish()
			s.h.saw(s.job, jobLine("a", 0, `"a"`))
			s.h.saw(s.job, jobLine("a", 0, `"x"`))
		}, "duplicated"},
		{"a result read that is not in the log", func(s *story) {
			s.h.saw(s.job, jobLine("a", 0, `"a"`))
			s.append(storyOwner, 1, s.done(1, `"b"`))
		}, "phantom"},
		{"the answer of another item", func(s *story) {
			s.append(storyOwner, 1, s.done(0, `"b"`), s.done(1, `"b"`))
		}, "wrong_answer"},
		{"a run after a cancel", func(s *story) {
			s.job.asked, s.job.cancelled = true, time.Now().Add(-time.Second)
			s.finish()
		}, "ran_after_cancel"},
		{"a cancel without effect", func(s *story) {
			s.job.asked, s.job.cancelled = true, time.Now().Add(time.Hour)
		}, "cancel_lost"},
		{"a call that ran twice", func(s *story) { s.finish(); s.began(0) }, "nonidempotent_twice"},
		{"a claim of a run that was claimed", func(s *story) {
			s.append(storyOwner, 1, structs.JobRecord{Start: &structs.ItemStart{Job: s.job.id, Indexes: []int{0}}})
			s.finish()
		}, "log"},
		{"results that change when they are packed", func(s *story) {
			s.finish()
			blob := s.done(0, `"x"`).Done.Blob
			s.append(storyOwner, 1, structs.JobRecord{Packed: &structs.ResultsPacked{Job: s.job.id, Blob: blob}})
		}, "log"},
		{"results dropped within the promise", func(s *story) {
			s.finish()
			s.append(storyOwner, 1, structs.JobRecord{Forget: &structs.JobForget{Job: s.job.id}})
		}, "early_forget"},
		{"a keyed online call that ran twice", func(s *story) { s.finish(); s.h.keyUsed("twice") }, "nonidempotent_twice"},
		{"a request that ran and was told not run", func(s *story) {
			s.finish()
			s.h.started("online-1")
			s.h.online.notRun = []string{"online-1"}
		}, "false_not_run"},
	}
	for _, c := range stories {
		t.Run(c.name, func(t *testing.T) {
			s := newStory(t)
			c.spoil(s)
			r := s.judge(2)
			if c.want == "" && r.Violations > 0 {
				t.Errorf("violations without a cause: %v", r.Details)
			}
			if c.want != "" && r.ByName[c.want] == 0 {
				t.Errorf("violations %v, want %s", r.ByName, c.want)
			}
		})
	}
}

func jobLine(customID string, index int, body string) *client.JobLine {
	l := &client.JobLine{CustomID: customID, Index: index}
	l.Response = &client.JobAnswer{Status: 200, Body: []byte(body)}
	return l
}

func TestTakeoverTimes(t *testing.T) {
	at := func(s int) time.Time { return storyStart.Add(time.Duration(s) * time.Second) }
	shards := map[string]*foldedShard{"jobs-000": {tenures: []*tenure{
		{owner: storyOwner, from: at(0), until: at(13)},
		{owner: structs.Writer{Host: "entry-2"}, from: at(13), until: at(30), released: at(29)},
		{owner: storyOwner, from: at(30)},
	}}}
	losses := []loss{
		{host: "entry-1", at: at(10)},                       // taken over after 3 s
		{host: "entry-1", at: at(11), back: at(12)},         // was back before
		{host: "entry-2", at: at(29).Add(time.Millisecond)}, // had handed over
		{host: "entry-3", at: at(5)},                        // owned nothing
	}
	if got := takeovers(shards, losses, nil); len(got) != 1 || got[0] != 3*time.Second {
		t.Errorf("takeovers %v", got)
	}
	if got := takeovers(shards, losses, []period{{at(12), at(14)}}); len(got) != 0 {
		t.Errorf("takeovers while the log was down: %v", got)
	}
}

func TestScheduleFollowsFromTheSeed(t *testing.T) {
	a, b := schedule(7, time.Minute), schedule(7, time.Minute)
	if len(a) == 0 || len(a) != len(b) {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	kinds := make(map[Kind]bool)
	for i := range a {
		if a[i] != b[i] {
			t.Errorf("fault %d differs: %+v, %+v", i, a[i], b[i])
		}
		kinds[a[i].Kind] = true
	}
	if len(kinds) != len(allKinds) {
		t.Errorf("%d of %d kinds in a minute", len(kinds), len(allKinds))
	}
}
