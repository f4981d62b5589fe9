// Package sendlog describes the sends of requests and items to targets for log lines and metrics.
package sendlog

import (
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/platform"
)

// Verdict is what a send counted as when it ended.
type Verdict string

const (
	// Ran says that the target has begun to answer the request with success.
	Ran Verdict = "ran"
	// MayHaveRun says that nothing shows whether the request has run. An answer of the target with another status does not.
	MayHaveRun Verdict = "may have run"
	// NotRun says that the target has not begun with the request.
	NotRun Verdict = "not run"
)

// maxErrorBytes bounds the text of an error in a log line. It fits an error of the network with both addresses.
const maxErrorBytes = 200

// Send is one send of a request as it stands in a log line. Times are in milliseconds.
type Send struct {
	Number     int     `json:"n"`                   // of the attempt, from 1
	Target     string  `json:"target"`              // id
	AtMs       int64   `json:"at_ms"`               // from the arrival of the request to the send
	TookMs     int64   `json:"ms"`                  // from the send to the end of the answer
	AfterEvent string  `json:"after,omitempty"`     // the event after which the target was asked to go on
	Writes     int     `json:"writes"`              // connections to which any byte was written
	IsReused   bool    `json:"reused,omitempty"`    // the last of them had carried another request
	LocalAddr  string  `json:"local,omitempty"`     // address of this process on it
	Status     int     `json:"status,omitempty"`    // of the answer
	AnswerID   string  `json:"answer_id,omitempty"` // request id in the answer; empty for that of the request unless IsForeign
	IsForeign  bool    `json:"foreign,omitempty"`   // the answer shows nothing of the request; see platform.TargetAnswer
	Verdict    Verdict `json:"counted"`
	Evidence   string  `json:"evidence,omitempty"` // that the target has not begun; set for each send that counted as not run
	Error      string  `json:"error,omitempty"`
}

// End is how a send ended.
type End struct {
	Record    *platform.SendRecord
	RequestID string
	// Status is that of the answer; 0 without one.
	Status    int
	IsForeign bool
	// IsNotRun says that the send was counted as not run.
	IsNotRun bool
	Err      error // nil after a complete answer
}

// SetEnd fills in how the send ended.
func (s *Send) SetEnd(e End) {
	s.Writes, s.IsReused, s.LocalAddr = e.Record.Writes, e.Record.IsReused, e.Record.LocalAddr
	s.Status, s.IsForeign = max(e.Status, e.Record.Status), e.IsForeign
	if e.IsForeign || e.Record.AnswerID != e.RequestID {
		s.AnswerID = e.Record.AnswerID
	}
	switch {
	case e.IsNotRun:
		s.Verdict = NotRun
	case e.Status/100 == 2 && !e.IsForeign:
		s.Verdict = Ran
	default:
		s.Verdict = MayHaveRun
	}
	if e.IsNotRun || e.Record.Evidence != platform.EvidenceNone {
		s.Evidence = e.Record.Evidence.String()
	}
	if e.Err != nil && (!e.IsNotRun || s.Status == 0) { // the text for a rejection has no more than its status
		s.Error = e.Err.Error()
		s.Error = s.Error[:min(len(s.Error), maxErrorBytes)]
	}
}

// PossibleRuns returns how often the request may have run because of this send. The evidence that a request has not run
// is that of the last connection it was written to; what became of it at earlier ones is not known.
func (s *Send) PossibleRuns() int {
	if s.Verdict == NotRun {
		return max(0, s.Writes-1)
	}
	return max(1, s.Writes)
}

// IsDoubtful reports whether the send shows a fault that can make a request run twice: a foreign answer, more than one
// write, or no evidence of what it counted as.
func (s *Send) IsDoubtful() bool {
	return s.IsForeign || s.Writes > 1 || s.IsUnproven()
}

// IsUnproven reports whether the send counted as not run without evidence.
func (s *Send) IsUnproven() bool {
	return s.Verdict == NotRun && s.Evidence == platform.EvidenceNone.String()
}

// String formats the send for logs that are not JSON.
func (s Send) String() string {
	text := fmt.Sprintf("%d %s at %d ms, took %d ms, writes=%d reused=%v local=%s status=%d: %s", s.Number, s.Target, s.AtMs, s.TookMs, s.Writes, s.IsReused, s.LocalAddr, s.Status, s.Verdict)
	if s.AfterEvent != "" {
		text += ", after event " + s.AfterEvent
	}
	if s.IsForeign {
		text += fmt.Sprintf(", foreign answer with id %q", s.AnswerID)
	}
	if s.Evidence != "" {
		text += ", evidence: " + s.Evidence
	}
	if s.Error != "" {
		text += ", " + s.Error
	}
	return text
}

const (
	// maxFirst and maxLast are how many of the first and of the last sends of a request a List keeps. Most requests have
	// one or two; beyond eight all but a few are rejections of an overload, which their number describes.
	maxFirst = 4
	maxLast  = 4
)

// List keeps the sends of one request for its log line. The zero value is empty.
type List struct {
	sends   []Send
	leftOut int
}

// Add adds a send that has ended. If there are too many, the list leaves out one between the first and the last ones, if
// possible one that has certainly not run.
func (l *List) Add(s Send) {
	l.sends = append(l.sends, s)
	if len(l.sends) <= maxFirst+maxLast {
		return
	}
	drop := maxFirst
	for i := maxFirst; i < len(l.sends)-1; i++ {
		if l.sends[i].PossibleRuns() == 0 && !l.sends[i].IsDoubtful() {
			drop = i
			break
		}
	}
	l.sends = append(l.sends[:drop], l.sends[drop+1:]...)
	l.leftOut++
}

// Len returns the number of sends, including those that are left out.
func (l *List) Len() int { return len(l.sends) + l.leftOut }

// Last returns the send that was added last; nil if there is none.
func (l *List) Last() *Send {
	if len(l.sends) == 0 {
		return nil
	}
	return &l.sends[len(l.sends)-1]
}

// Fields appends the fields of a log line about the sends to fields; none if there was no send.
func (l *List) Fields(fields []any) []any {
	if len(l.sends) == 0 {
		return fields
	}
	fields = append(fields, "sends", l.sends)
	if l.leftOut > 0 {
		fields = append(fields, "sends_left_out", l.leftOut)
	}
	return fields
}

// Importance is how much an investigation depends on the log line of a request.
type Importance uint8

const (
	// Routine is a request that was sent once, and answered.
	Routine Importance = iota
	// Moved is a request that was sent more than once, or of which a send counted as not run.
	Moved
	// Doubtful is a request that may have run more than once, or of which a send is doubtful.
	Doubtful
)

// Importance returns the importance of the log line about the sends.
func (l *List) Importance() Importance {
	runs, importance := 0, Routine
	for i := range l.sends {
		s := &l.sends[i]
		runs += s.PossibleRuns()
		if s.IsDoubtful() || runs > 1 {
			return Doubtful
		}
		if s.Verdict == NotRun {
			importance = Moved
		}
	}
	if l.Len() > 1 {
		importance = Moved
	}
	return importance
}

// evidenceNames are the names of evidence in metrics.
var evidenceNames = map[platform.Evidence]string{
	platform.EvidenceNone: "none", platform.EvidenceNotWritten: "not_written",
	platform.EvidenceRejection: "rejection", platform.EvidenceFirstRejection: "first_rejection",
}

// Metrics counts sends. Its names begin with a prefix.
type Metrics struct {
	reg    metrics.Registry
	prefix string
}

// NewMetrics returns the metrics of sends whose names begin with prefix.
func NewMetrics(reg metrics.Registry, prefix string) Metrics { return Metrics{reg, prefix} }

// Count counts a send that has ended: PREFIX.not_run.EVIDENCE if it counted as not run, PREFIX.second_writes for each
// connection beyond the first to which it was written.
func (m Metrics) Count(s *Send, evidence platform.Evidence) {
	if s.Verdict == NotRun {
		name, ok := evidenceNames[evidence]
		if !ok {
			name = "other"
		}
		metrics.GetOrRegisterCounter(m.prefix+".not_run."+name, m.reg).Inc(1)
	}
	if s.Writes > 1 {
		metrics.GetOrRegisterCounter(m.prefix+".second_writes", m.reg).Inc(int64(s.Writes - 1))
	}
}

// Milliseconds returns d in whole milliseconds, rounded.
func Milliseconds(d time.Duration) int64 { return d.Round(time.Millisecond).Milliseconds() }
