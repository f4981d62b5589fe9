package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/internal/sendlog"
)

// msgLeftOut is the message of the line that says how many lines the queue of a process's log has left out.
const msgLeftOut = "log lines left out"

// maxGaps bounds the gaps of logs that are printed for one id.
const maxGaps = 10

// SendTrace is what logs tell of the sends of a request or an item to targets.
type SendTrace struct {
	ID    string
	Steps []Decision // one for each send that is known, in the order of time
	Gaps  []Gap      // lines that are missing around the sends
	// Finals is the number of final lines: of requests that came with the id, or of runs of the item.
	Finals int
	// Sends is the number of sends, including those that final lines leave out.
	Sends int
	// PossibleRuns is how often the request may have run, SecondWrites how many of these are second writes of one send.
	PossibleRuns, SecondWrites int
	// Continued is how many sends asked the target to go on after an event.
	Continued int
	// Unfinished is how many sends there are of which no line says how they ended. They are PossibleRuns.
	Unfinished int
	// Unproven is how many sends counted as not run without evidence.
	Unproven int
	begin    time.Time
	end      time.Time
}

// Gap is a time in which a process left out lines.
type Gap struct {
	Source     string
	Message    string // of the lines; empty if they are of all kinds
	Lines      int64
	Begin, End time.Time
}

// Sends returns the sends of the request or item with an id, which the logs of all processes tell. A request's final line
// tells all its sends. Without it, each line "sent" tells that send and how the one before it ended.
func Sends(id string, lines []Line) *SendTrace {
	r := &sendReader{trace: &SendTrace{ID: id}, open: make(map[string][]openSend)}
	for _, l := range inOrder(lines) {
		if l.text("request") == id || l.text("item") == id {
			r.take(l)
		}
	}
	r.finish()
	if r.trace.Sends > 0 || r.trace.Finals > 0 {
		r.trace.Gaps = gaps(lines, r.trace.begin.Add(-around), r.trace.end.Add(around))
	}
	return r.trace
}

// openSend is a line about a send that no final line covers yet.
type openSend struct {
	line  Line
	ended *sendlog.Send // how it ended, from the line of the next send; nil if not known
}

// sendReader reads the lines about one id in the order of time.
type sendReader struct {
	trace *SendTrace
	open  map[string][]openSend // by process
}

func (r *sendReader) take(l Line) {
	switch l.text(keyMessage) {
	case msgSent, msgItemSent:
		r.sent(l)
	case msgRequest, msgRun:
		r.final(l)
	}
}

// sent takes a line that precedes a send.
func (r *sendReader) sent(l Line) {
	open := r.open[l.Source]
	if before, ok := l.sends("before"); ok && len(open) > 0 {
		open[len(open)-1].ended = &before[0]
	}
	r.open[l.Source] = append(open, openSend{line: l})
	r.cover(l.Time, l.Time)
}

// final takes the line about a request that has ended, or a run of an item, which covers all sends of its process so far.
func (r *sendReader) final(l Line) {
	delete(r.open, l.Source)
	t := r.trace
	t.Finals++
	arrived := l.Time.Add(-time.Duration(l.number("ms")) * time.Millisecond)
	r.cover(arrived, l.Time)
	sends, ok := l.sends("sends")
	if targets, _ := l.Fields["targets"].([]any); !ok && len(targets) > 0 {
		t.Sends += len(targets)
		t.PossibleRuns += int(l.number("may_have_run"))
		r.step(l.Time, l.Source, fmt.Sprintf("sent to %d targets, %s of which may have run it; the line is of a build that does not log single sends", len(targets), l.value("may_have_run")))
		return
	}
	runs := t.PossibleRuns
	for _, s := range sends {
		r.ended(arrived.Add(time.Duration(s.AtMs)*time.Millisecond), l.Source, s)
	}
	if n := l.number("sends_left_out"); n > 0 {
		t.Sends += int(n)
		r.step(l.Time, l.Source, fmt.Sprintf("%d more sends are left out of the line; %s sends of all ran or may have run", n, l.value("may_have_run")))
	}
	t.PossibleRuns = max(t.PossibleRuns, runs+int(l.number("may_have_run")))
}

// ended adds a send whose end is known.
func (r *sendReader) ended(at time.Time, source string, s sendlog.Send) {
	t := r.trace
	t.Sends++
	t.PossibleRuns += s.PossibleRuns()
	t.SecondWrites += max(0, s.Writes-1)
	if s.AfterEvent != "" {
		t.Continued++
	}
	if s.IsUnproven() {
		t.Unproven++
	}
	r.step(at, source, describeSend(s))
}

// finish adds the sends that no final line covers.
func (r *sendReader) finish() {
	for source, open := range r.open {
		for _, o := range open {
			if o.ended != nil {
				r.ended(o.line.Time, source, *o.ended)
				continue
			}
			r.trace.Sends++
			r.trace.PossibleRuns++
			r.trace.Unfinished++
			if o.line.text("after_event") != "" || o.line.text("from_event") != "" {
				r.trace.Continued++
			}
			r.step(o.line.Time, source, "sent to "+targetOf(o.line)+": no line says how it ended")
		}
	}
	slices.SortStableFunc(r.trace.Steps, func(a, b Decision) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Source, b.Source))
	})
}

func (r *sendReader) step(at time.Time, source, text string) {
	r.trace.Steps = append(r.trace.Steps, Decision{at, source, text})
}

// cover extends the time that the trace spans.
func (r *sendReader) cover(begin, end time.Time) {
	t := r.trace
	if t.begin.IsZero() || begin.Before(t.begin) {
		t.begin = begin
	}
	if end.After(t.end) {
		t.end = end
	}
}

// sends returns the sends in a field, which is one or a list of them; ok is false without it.
func (l Line) sends(key string) (list []sendlog.Send, ok bool) {
	value, ok := l.Fields[key]
	if !ok {
		return nil, false
	}
	if _, isList := value.([]any); !isList {
		value = []any{value}
	}
	data, err := json.Marshal(value)
	if err != nil || json.Unmarshal(data, &list) != nil || len(list) == 0 {
		return nil, false // written by another build
	}
	return list, true
}

// describeSend describes a send that has ended.
func describeSend(s sendlog.Send) string {
	var b strings.Builder
	fmt.Fprintf(&b, "send %d to %s", s.Number, s.Target)
	if s.AfterEvent != "" {
		fmt.Fprintf(&b, " to go on after event %s", s.AfterEvent)
	}
	fmt.Fprintf(&b, ", %d ms: ", s.TookMs)
	switch {
	case s.Writes == 0 && s.Evidence != platform.EvidenceNotWritten.String():
		b.WriteString("connection not recorded")
	case s.Writes == 0:
		b.WriteString("written to no connection")
	case s.Writes == 1:
		b.WriteString("written")
	default:
		fmt.Fprintf(&b, "WRITTEN TO %d CONNECTIONS", s.Writes)
	}
	if s.LocalAddr != "" {
		kind := "new"
		if s.IsReused {
			kind = "used"
		}
		fmt.Fprintf(&b, ", last on a %s one from %s", kind, s.LocalAddr)
	}
	switch {
	case s.IsForeign && s.AnswerID == "":
		fmt.Fprintf(&b, "; FOREIGN answer %d without an id", s.Status)
	case s.IsForeign:
		fmt.Fprintf(&b, "; FOREIGN answer %d with id %q", s.Status, s.AnswerID)
	case s.Status != 0:
		fmt.Fprintf(&b, "; answer %d", s.Status)
	default:
		b.WriteString("; no answer")
	}
	if s.AnswerID != "" && !s.IsForeign {
		fmt.Fprintf(&b, " with id %q", s.AnswerID)
	}
	fmt.Fprintf(&b, "; counted as %s", s.Verdict)
	if s.Evidence != "" {
		b.WriteString(", evidence: " + s.Evidence)
	}
	if s.Error != "" {
		b.WriteString("; " + s.Error)
	}
	return b.String()
}

// Conclusion says whether the request or item may have run more than once.
func (t *SendTrace) Conclusion() string {
	text := ""
	switch {
	case t.Sends == 0:
		text = "was sent to no target"
	case t.PossibleRuns == 0:
		text = fmt.Sprintf("has not run: none of %d sends ran or may have run", t.Sends)
	case t.PossibleRuns == 1:
		text = fmt.Sprintf("has run at most once, in %d sends", t.Sends)
	default:
		text = fmt.Sprintf("MAY HAVE RUN MORE THAN ONCE: up to %d times in %d sends", t.PossibleRuns, t.Sends)
	}
	for _, part := range []struct {
		count int
		text  string
	}{
		{t.SecondWrites, "%d second writes of a send to another connection"},
		{t.Continued, "%d sends only asked to go on after an event"},
		{t.Unfinished, "%d sends without an end count as runs: the process has ended, the line was left out, or the request is not finished"},
		{t.Unproven, "%d sends counted as not run WITHOUT EVIDENCE"},
	} {
		if part.count > 0 {
			text += "; " + fmt.Sprintf(part.text, part.count)
		}
	}
	if t.Finals > 1 {
		text += fmt.Sprintf("; %d requests with this id, or runs of the item, have ended", t.Finals)
	}
	if len(t.Gaps) > 0 {
		text += "; INCOMPLETE: lines were left out at this time, so that there may be more sends"
	}
	return text
}

// PrintSends writes the sends below a heading, lines that were left out, and the conclusion; nothing if the logs tell of
// no request or run.
func PrintSends(w io.Writer, t *SendTrace) error {
	if t.Sends == 0 && t.Finals == 0 {
		return nil
	}
	p := &printer{w: w}
	p.printf("\nSends:\n")
	for _, s := range t.Steps[:min(maxDecisions, len(t.Steps))] {
		p.printf("%s %s %s\n", s.Time.Format("15:04:05.000000"), s.Source, s.Text)
	}
	if n := len(t.Steps) - maxDecisions; n > 0 {
		p.printf("%d more left out\n", n)
	}
	for _, g := range t.Gaps[:min(maxGaps, len(t.Gaps))] {
		kind := "lines"
		if g.Message != "" {
			kind = fmt.Sprintf("lines %q", g.Message)
		}
		p.printf("%s left out %d %s between %s and %s\n", g.Source, g.Lines, kind, g.Begin.Format("15:04:05.000"), g.End.Format("15:04:05.000"))
	}
	if n := len(t.Gaps) - maxGaps; n > 0 {
		p.printf("%d more gaps\n", n)
	}
	p.printf("%s %s\n", t.ID, t.Conclusion())
	return errors.Wrap(p.err, "print")
}

// gaps returns the times from begin to end in which processes left out lines about sends.
func gaps(lines []Line, begin, end time.Time) []Gap {
	var list []Gap
	for _, l := range inOrder(lines) {
		g := Gap{Source: l.Source, End: l.Time}
		var since string
		switch message := l.text(keyMessage); message {
		case msgLeftOut:
			g.Lines, since = l.number("lines"), l.text("since")
		case msgSent, msgRequest, msgItemSent, msgRun:
			g.Message, g.Lines, since = message, l.number("left_out"), l.text("left_out_since")
		}
		if g.Lines == 0 {
			continue
		}
		g.Begin = l.Time // a build that does not say since when
		if at, err := time.Parse(time.RFC3339Nano, since); err == nil {
			g.Begin = at
		}
		if !g.Begin.After(end) && !g.End.Before(begin) {
			list = append(list, g)
		}
	}
	return list
}
