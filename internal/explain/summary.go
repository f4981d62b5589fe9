package explain

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// Messages of the lines that a summary counts.
const (
	msgRequest  = "request"
	msgOverload = "overload"
	msgRun      = "item run"
	msgItem     = "item"
	msgJob      = "job"
	msgLost     = "dependency lost"
	msgSuspect  = "target suspect"
	msgStarted  = "started"
)

// Bounds of the times in a summary, in milliseconds.
const (
	maxTime    = 10 * 60 * 1000
	timeDigits = 3
)

// Account is what became of all requests, jobs and items of some logs, and what else happened meanwhile.
type Account struct {
	Requests  map[string]*Outcomes // by route
	Overload  map[string]int       // verdicts on requests that were not sent at once
	Jobs      map[string]int       // by outcome
	Items     map[string]int       // by outcome
	Runs      map[string]int       // of items, by what they came to
	Events    map[string]int       // starts of processes, lost dependencies, suspect targets
	unwritten int64                // lines that were left out of the logs
}

// Outcomes is what became of the requests of a route.
type Outcomes struct {
	Count  map[string]int // by outcome
	Moved  int            // requests that went to more than one target
	Held   int            // requests that were held for want of room
	served *hdrhistogram.Histogram
}

// Summarize counts the lines of logs. A request's last line at each process counts; a caller that comes again is another
// request.
func Summarize(lines []Line) *Account {
	a := &Account{
		Requests: make(map[string]*Outcomes), Overload: make(map[string]int), Jobs: make(map[string]int),
		Items: make(map[string]int), Runs: make(map[string]int), Events: make(map[string]int),
	}
	for _, l := range lines {
		a.take(l)
	}
	return a
}

func (a *Account) take(l Line) {
	switch l.text(keyMessage) {
	case msgRequest:
		a.request(l)
	case msgOverload:
		a.Overload[l.text("verdict")]++
	case msgRun:
		a.Runs[runOutcome(l)]++
	case msgItem:
		a.Items[l.text("outcome")]++
	case msgJob:
		a.Jobs[jobOutcome(l.text("outcome"))]++
	case msgLost:
		a.Events["lost: "+l.text("dependency")]++
	case msgSuspect:
		a.Events["suspect targets"]++
	case msgStarted:
		a.Events["starts"]++
	}
	a.unwritten += l.number("left_out")
}

func (a *Account) request(l Line) {
	route := l.text("route")
	o, ok := a.Requests[route]
	if !ok {
		o = &Outcomes{Count: make(map[string]int), served: hdrhistogram.New(1, maxTime, timeDigits)}
		a.Requests[route] = o
	}
	outcome := l.text("outcome")
	o.Count[outcome]++
	if targets, _ := l.Fields["targets"].([]any); len(targets) > 1 {
		o.Moved++
	}
	if l.number("held_ms") > 0 {
		o.Held++
	}
	if outcome == "served" {
		_ = o.served.RecordValue(min(maxTime, max(1, l.number("ms")))) // within the bounds
	}
}

// runOutcome is the verdict of a run, or that it was cut off.
func runOutcome(l Line) string {
	if cut, _ := l.Fields["preempted"].(bool); cut {
		return "gave way"
	}
	return l.text("verdict")
}

// jobOutcome is the type of a job's error, without its text.
func jobOutcome(outcome string) string {
	for i, c := range outcome {
		if c == ':' {
			return outcome[:i]
		}
	}
	return outcome
}

func (l Line) text(key string) string {
	s, _ := l.Fields[key].(string)
	return s
}

func (l Line) number(key string) int64 {
	n, ok := l.Fields[key].(json.Number)
	if !ok {
		return 0
	}
	v, err := n.Int64()
	if err != nil {
		return 0 // a fraction: none of the counted fields has one
	}
	return v
}

// PrintSummary writes an account as tables.
func (a *Account) PrintSummary(w io.Writer) error {
	p := &printer{w: w}
	p.printf("%-16s %8s %8s %8s %8s %8s  %s\n", "requests", "served", "p50 ms", "p99 ms", "moved", "held", "not served")
	for _, route := range sortedKeys(a.Requests) {
		o := a.Requests[route]
		p.printf("%-16s %8d %8d %8d %8d %8d  %s\n", route, o.Count["served"], o.served.ValueAtQuantile(50), o.served.ValueAtQuantile(99),
			o.Moved, o.Held, counts(o.Count, "served"))
	}
	for _, part := range []struct {
		title string
		count map[string]int
	}{
		{"overload", a.Overload}, {"jobs", a.Jobs}, {"items", a.Items}, {"runs of items", a.Runs}, {"meanwhile", a.Events},
	} {
		p.printf("%-16s %s\n", part.title, counts(part.count, ""))
	}
	if a.unwritten > 0 {
		p.printf("%d lines were left out under load: the counts are too low by them\n", a.unwritten)
	}
	return errors.Wrap(p.err, "print")
}

// printer keeps the first error of several writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, cmp.Compare[string])
	return keys
}

// counts lists counts but for one key, the largest first.
func counts(m map[string]int, but string) string {
	keys := sortedKeys(m)
	slices.SortStableFunc(keys, func(a, b string) int { return cmp.Compare(m[b], m[a]) })
	text := ""
	for _, k := range keys {
		if k != but {
			text += fmt.Sprintf(" %s=%d", k, m[k])
		}
	}
	if text == "" {
		return "none"
	}
	return text[1:]
}
