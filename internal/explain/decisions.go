package explain

import (
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Messages of the lines with the values behind decisions under load.
const (
	msgOverShare = "over share"
	msgRunCost   = "run cost"
	msgDeferred  = "item deferred"
	msgSuspended = "batch starts suspended"

	msgQuarantined = "quarantined"
	msgCrashed     = "target crashed under request"
)

// maxDecisions bounds the decisions that are printed for one id: a job can have many thousand items.
const maxDecisions = 200

// Decision is a decision on a request or an item, in words, with the values that it was based on.
type Decision struct {
	Time   time.Time
	Source string // process that has decided
	Text   string
}

// Decisions returns why the request or item with an id was rejected, queued, late, deferred or preempted, in the order
// of time: for each line about it the target, the predicted wait and time, the slowness of the target and the share.
func Decisions(id string, lines []Line) []Decision {
	var list []Decision
	for _, l := range lines {
		if !l.about(id) {
			continue
		}
		if text := l.decision(lines); text != "" {
			list = append(list, Decision{l.Time, l.Source, text})
		}
	}
	slices.SortStableFunc(list, func(a, b Decision) int { return a.Time.Compare(b.Time) })
	return list
}

// PrintDecisions writes decisions below a heading; nothing if there are none.
func PrintDecisions(w io.Writer, list []Decision) error {
	return printDecisions(w, "Decisions", list)
}

// decision describes the decision behind a line; "" if it is not about one. all are the lines of all processes.
func (l Line) decision(all []Line) string {
	switch l.text(keyMessage) {
	case msgOverload:
		return l.overloadDecision()
	case msgOverShare:
		return l.shareDecision()
	case msgSent, msgItemSent:
		return l.sentDecision()
	case msgRequest:
		return l.outcome()
	case msgRunCost:
		return fmt.Sprintf("held a slot of %s for %s ms, predicted %s ms; slowness %s, pace %s", l.text("target"), l.value("actual_ms"), l.value("predicted_ms"), l.value("slowness"), l.value("pace"))
	case msgRun:
		return l.preemption(all)
	case msgDeferred:
		return l.deferral(all)
	case msgQuarantined:
		return l.quarantineDecision()
	case msgCrashed:
		return l.crash()
	}
	return ""
}

// quarantineDecision describes why a request was not sent because of the quarantine.
func (l Line) quarantineDecision() string {
	switch {
	case l.text("part") != "":
		return fmt.Sprintf("not sent: %s targets have crashed under requests with the part %s in their prompts; the next trial is due in %s ms at the earliest", l.value("scope_crashes"), l.text("part"), l.value("trial_in_ms"))
	case l.text("kind") != "":
		return fmt.Sprintf("not sent: %s targets have crashed under requests that share the same %s; the next trial is due in %s ms at the earliest", l.value("scope_crashes"), l.text("kind"), l.value("trial_in_ms"))
	}
	return fmt.Sprintf("not sent: %s targets have crashed under this content", l.value("crashes"))
}

// crash describes a crash of a target that counts against a request.
func (l Line) crash() string {
	text := fmt.Sprintf("target %s crashed under it (%s), the crash %s of its content", l.text("target"), l.text("evidence"), l.value("crashes"))
	if parts := l.text("parts"); parts != "" {
		text += "; parts of its prompt: " + parts
	}
	return text
}

// verdicts are the verdicts of admission control in words.
var verdicts = map[string]string{"come back": "rejected, to be sent again", "hold": "queued at the gateway", "refuse": "rejected for good"}

// overloadDecision describes why a request was not sent immediately.
func (l Line) overloadDecision() string {
	verdict, ok := verdicts[l.text("verdict")]
	if !ok {
		verdict = l.text("verdict")
	}
	text := fmt.Sprintf("%s: a slot was expected after %s ms, the caller had %s ms left", verdict, l.value("wait_ms"), l.value("left_ms"))
	if target := l.text("target"); target != "" {
		text += fmt.Sprintf("; earliest target %s, slowness %s, service time %s ms, hold time %s ms", target, l.value("slowness"), l.value("service_ms"), l.value("hold_ms"))
	} else {
		text += fmt.Sprintf("; mean hold time %s ms", l.value("hold_ms"))
	}
	if l.number("capacity_ms") > 0 {
		text += fmt.Sprintf("; capacity was forecast after %s ms", l.value("capacity_ms"))
	}
	if l.number("retry_ms") > 0 {
		text += fmt.Sprintf("; told to retry after %s ms", l.value("retry_ms"))
	}
	return text
}

// shareDecision describes the position of the workspace of a request that was rejected because of its share.
func (l Line) shareDecision() string {
	reason := "no slot was free"
	if isUsedUp, _ := l.Fields["used_up"].(bool); isUsedUp {
		reason = "its share was used up"
	} else if isFree, _ := l.Fields["slot_free"].(bool); isFree {
		reason = "the part of its requests that its share allows had been admitted"
	}
	return fmt.Sprintf("workspace %s is over its share of service %s and %s: it requested %s slots and used %s, its share is %s of %s; oldest report of a peer %s ms old",
		l.text("workspace"), l.text("service"), reason, l.value("offered"), l.value("use"), l.value("share"), l.value("capacity"), l.value("input_age_ms"))
}

// choicePattern matches a chosen target in a line: id, reason, then its load and, by expected time, the prediction.
var choicePattern = regexp.MustCompile(`^(\S+) (.+?) online=(\d+) batch=(\d+) slots=(\d+) peers=\d+(?: wait_ms=(\d+) service_ms=(\d+) slowness=([\d.]+))?`)

// describeChoice describes a chosen target as it stands in a line.
func describeChoice(choice string) string {
	m := choicePattern.FindStringSubmatch(choice)
	if m == nil {
		return choice
	}
	text := fmt.Sprintf("%s (%s): %s online requests and %s items at %s slots", m[1], m[2], m[3], m[4], m[5])
	if m[6] != "" {
		text += fmt.Sprintf(", expected wait %s ms, service time %s ms, slowness %s", m[6], m[7], m[8])
	}
	return text
}

// sentDecision describes the target that a request or an item was sent to.
func (l Line) sentDecision() string {
	text := "sent to " + describeChoice(l.text("target"))
	if _, ok := l.Fields["predicted_ms"]; ok {
		text += fmt.Sprintf("; predicted to hold the slot for %s ms, first event after %s ms, slowness %s", l.value("predicted_ms"), l.value("predicted_first_ms"), l.value("slowness"))
	}
	if _, ok := l.Fields["probability"]; ok {
		text += fmt.Sprintf("; the slot was expected to last with probability %s", l.value("probability"))
	}
	return text
}

// outcome describes a late answer or a failure; "" for an answer in time.
func (l Line) outcome() string {
	targets, _ := l.Fields["targets"].([]any)
	var sent []string
	for _, choice := range targets {
		sent = append(sent, describeChoice(fmt.Sprint(choice)))
	}
	where := "sent to no target"
	if len(sent) > 0 {
		where = "sent to " + strings.Join(sent, ", then to ")
	}
	answer, goal := l.number("answer_ms"), l.number("goal_ms")
	switch outcome := l.text("outcome"); {
	case outcome != "served":
		return fmt.Sprintf("%s after %s ms, %s ms of them in the gateway's queue; %s", outcome, l.value("ms"), l.value("held_ms"), where)
	case goal > 0 && answer > goal:
		return fmt.Sprintf("late: answered after %d ms with a goal of %d ms; %s ms in the gateway's queue, %s ms from sending to the first part; %s", answer, goal, l.value("held_ms"), l.value("first_ms"), where)
	}
	return ""
}

// preemption describes a run of an item that was preempted; "" for others.
func (l Line) preemption(all []Line) string {
	if isPreempted, _ := l.Fields["preempted"].(bool); !isPreempted {
		return ""
	}
	gain := "with events up to " + l.text("to_event")
	if l.text("to_event") == l.text("from_event") {
		gain = "without an event gained"
	}
	text := fmt.Sprintf("preempted at %s after %s ms %s", describeChoice(l.text("target")), l.value("ms"), gain)
	if cause, ok := l.lastSentBefore(all); ok {
		text += fmt.Sprintf("; %s sent request %s there %d ms before", cause.Source, cause.text("request"), l.Time.Sub(cause.Time).Milliseconds())
	}
	return text
}

// lastSentBefore returns the last online request that any process has sent to the target of a run while it lasted. It
// is the likely reason of a preemption; the lines do not say which request a preemption was for.
func (l Line) lastSentBefore(all []Line) (last Line, ok bool) {
	begin := l.Time.Add(-time.Duration(l.number("ms")) * time.Millisecond)
	for _, s := range all {
		if s.text(keyMessage) != msgSent || targetOf(s) != targetOf(l) || s.Time.Before(begin) || s.Time.After(l.Time) {
			continue
		}
		if !ok || s.Time.After(last.Time) {
			last, ok = s, true
		}
	}
	return last, ok
}

// deferral describes why an item has not started although a slot was free.
func (l Line) deferral(all []Line) string {
	text := fmt.Sprintf("start deferred for %s ms", l.value("ms"))
	switch l.text("reason") {
	case "headroom":
		text += fmt.Sprintf(": the best free slot was expected to last with probability %s", l.value("probability"))
	case "overload":
		text += ": batch starts of " + l.text("service") + " were suspended"
		if s, ok := l.suspension(all); ok {
			text += fmt.Sprintf(" because %s rejected or queued online requests, with %s online requests at %s slots", s.text("source"), s.value("online"), s.value("slots"))
		}
	}
	return text + fmt.Sprintf("; online requests %s, mean %s, swing %s, period %s ms", l.value("online"), l.value("mean"), l.value("swing"), l.value("period_ms"))
}

// suspension returns the last line of the same process before l that says that batch starts of its service are
// suspended.
func (l Line) suspension(all []Line) (last Line, ok bool) {
	for _, s := range all {
		isOfService := s.text(keyMessage) == msgSuspended && s.Source == l.Source && s.text("service") == l.text("service")
		if isOfService && !s.Time.After(l.Time) && (!ok || s.Time.After(last.Time)) {
			last, ok = s, true
		}
	}
	return last, ok
}

// value returns a number of the line, rounded to hundredths; "?" if the line has none.
func (l Line) value(key string) string {
	v, ok := l.Fields[key]
	if !ok {
		return "?"
	}
	text := fmt.Sprint(v)
	number, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return text
	}
	rounded := strconv.FormatFloat(number, 'f', 2, 64)
	return strings.TrimSuffix(strings.TrimRight(rounded, "0"), ".")
}
