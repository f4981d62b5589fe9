package sendlog

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
)

// send returns a send that has ended as e says.
func send(number int, e End) Send {
	s := Send{Number: number, Target: "t"}
	if e.Record == nil {
		e.Record = &platform.SendRecord{}
	}
	e.RequestID = "r-1"
	s.SetEnd(e)
	return s
}

// rejection returns a send that was rejected with an id.
func rejection(number int) Send {
	return send(number, End{Record: &platform.SendRecord{Writes: 1, Evidence: platform.EvidenceRejection, AnswerID: "r-1"}, Status: 503, IsNotRun: true, Err: errors.New("rejected")})
}

// Guards against a log line from which it can't be told what a send counted as and why.
func TestSendSaysWhatItCountedAs(t *testing.T) {
	lost := errors.New("connection reset by peer")
	for name, c := range map[string]struct {
		end          End
		want         string
		possibleRuns int
		isDoubtful   bool
	}{
		"answered": {End{Record: &platform.SendRecord{Writes: 1, IsReused: true, LocalAddr: "l:1", AnswerID: "r-1"}, Status: 200},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"reused":true,"local":"l:1","status":200,"counted":"ran"}`, 1, false},
		"busy without a promise": {End{Record: &platform.SendRecord{Writes: 1, AnswerID: "r-1"}, Status: 503},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"status":503,"counted":"may have run"}`, 1, false},
		"rejected": {End{Record: &platform.SendRecord{Writes: 1, AnswerID: "r-1", Evidence: platform.EvidenceRejection}, Status: 503, IsNotRun: true, Err: errors.New("status 503")},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"status":503,"counted":"not run","evidence":"rejection with the id of the request"}`, 0, false},
		"rejected after a second write": {End{Record: &platform.SendRecord{Writes: 2, AnswerID: "r-1", Evidence: platform.EvidenceRejection}, Status: 503, IsNotRun: true},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":2,"status":503,"counted":"not run","evidence":"rejection with the id of the request"}`, 1, true},
		"not connected": {End{Record: &platform.SendRecord{Evidence: platform.EvidenceNotWritten}, IsNotRun: true, Err: errors.New("connection refused")},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":0,"counted":"not run","evidence":"nothing written","error":"connection refused"}`, 0, false},
		"not run without evidence": {End{Record: &platform.SendRecord{Writes: 1}, Status: 503, IsNotRun: true},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"status":503,"counted":"not run","evidence":"none"}`, 0, true},
		"lost": {End{Record: &platform.SendRecord{Writes: 1}, Err: lost},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"counted":"may have run","error":"connection reset by peer"}`, 1, false},
		"foreign": {End{Record: &platform.SendRecord{Writes: 1, AnswerID: "r-0"}, Status: 200, IsForeign: true, Err: lost},
			`{"n":1,"target":"t","at_ms":0,"ms":0,"writes":1,"status":200,"answer_id":"r-0","foreign":true,"counted":"may have run","error":"connection reset by peer"}`, 1, true},
	} {
		s := send(1, c.end)
		got, err := json.Marshal(s)
		if err != nil || string(got) != c.want {
			t.Errorf("%s: got %s, %v; want %s", name, got, err, c.want)
		}
		if s.PossibleRuns() != c.possibleRuns || s.IsDoubtful() != c.isDoubtful {
			t.Errorf("%s: %d possible runs, doubtful %v; want %d, %v", name, s.PossibleRuns(), s.IsDoubtful(), c.possibleRuns, c.isDoubtful)
		}
	}
}

// Guards against a line without bound for a request that many targets reject, and against one that leaves out the only
// send that may have run.
func TestListKeepsFirstLastAndPossibleRuns(t *testing.T) {
	const sends, lost = 1000, 17
	var l List
	for n := 1; n <= sends; n++ {
		if n == lost {
			l.Add(send(n, End{Record: &platform.SendRecord{Writes: 1}, Err: errors.New(strings.Repeat("x", 1<<20))}))
			continue
		}
		l.Add(rejection(n))
	}
	var numbers []int
	for _, s := range l.sends {
		numbers = append(numbers, s.Number)
	}
	want := []int{1, 2, 3, 4, lost, 998, 999, 1000}
	if len(numbers) != len(want) {
		t.Fatalf("kept sends %v, want %v", numbers, want)
	}
	for i := range want {
		if numbers[i] != want[i] {
			t.Fatalf("kept sends %v, want %v", numbers, want)
		}
	}
	if l.Len() != sends || l.leftOut != sends-len(want) {
		t.Errorf("%d sends, %d left out; want %d and %d", l.Len(), l.leftOut, sends, sends-len(want))
	}
	line, err := json.Marshal(l.sends)
	if maxBytes := 2000; err != nil || len(line) > maxBytes {
		t.Errorf("the sends take %d bytes, %v; want at most %d", len(line), err, maxBytes)
	}
}

// Guards against lists of which more sends may have run than a line holds: the newest are kept.
func TestListIsBoundedIfAllSendsMayHaveRun(t *testing.T) {
	var l List
	for n := 1; n <= 100; n++ {
		l.Add(send(n, End{Err: errors.New("lost")}))
	}
	if len(l.sends) != maxFirst+maxLast || l.sends[len(l.sends)-1].Number != 100 || l.Len() != 100 {
		t.Errorf("kept %d sends up to number %d of %d, want %d up to 100 of 100", len(l.sends), l.sends[len(l.sends)-1].Number, l.Len(), maxFirst+maxLast)
	}
}

// Guards against a line that is left out although an investigation needs it.
func TestImportance(t *testing.T) {
	answered := send(2, End{Record: &platform.SendRecord{Writes: 1}, Status: 200})
	for name, c := range map[string]struct {
		sends []Send
		want  Importance
	}{
		"no send":                         {nil, Routine},
		"answered":                        {[]Send{answered}, Routine},
		"rejected":                        {[]Send{rejection(1)}, Moved},
		"rejected, then answered":         {[]Send{rejection(1), answered}, Moved},
		"two that may have run":           {[]Send{send(1, End{Err: errors.New("lost")}), answered}, Doubtful},
		"rejected after a second write":   {[]Send{send(1, End{Record: &platform.SendRecord{Writes: 2, Evidence: platform.EvidenceRejection}, Status: 503, IsNotRun: true})}, Doubtful},
		"not run without evidence, moved": {[]Send{send(1, End{IsNotRun: true}), answered}, Doubtful},
		"foreign":                         {[]Send{send(1, End{Status: 200, IsForeign: true})}, Doubtful},
	} {
		var l List
		for _, s := range c.sends {
			l.Add(s)
		}
		if got := l.Importance(); got != c.want {
			t.Errorf("%s: importance %d, want %d", name, got, c.want)
		}
	}
}

func TestMetricsCountByEvidence(t *testing.T) {
	reg := metrics.NewRegistry()
	m := NewMetrics(reg, "online")
	for evidence := platform.EvidenceNone; evidence <= platform.EvidenceFirstRejection+1; evidence++ {
		m.Count(&Send{Verdict: NotRun, Writes: 3}, evidence)
		m.Count(&Send{Verdict: Ran, Writes: 1}, evidence)
	}
	for name, want := range map[string]int64{
		"online.not_run.none": 1, "online.not_run.not_written": 1, "online.not_run.rejection": 1, "online.not_run.first_rejection": 1,
		"online.not_run.other": 1, "online.second_writes": 10,
	} {
		if got := metrics.GetOrRegisterCounter(name, reg).Count(); got != want {
			t.Errorf("%s is %d, want %d", name, got, want)
		}
	}
}
