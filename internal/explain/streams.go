package explain

import (
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// Messages of the lines about where streams and texts of items began and went on.
const (
	msgResumed   = "stream resumed"
	msgUncertain = "origin of stream uncertain"
	msgRestarted = "item restarted"
)

// Outcomes of requests that could not go on with a stream.
const (
	outcomeVersionGone   = "version_gone"
	outcomeStreamUnknown = "stream_unknown"
)

// sources says in words where the version that began a stream was known from.
var sources = map[string]string{
	"self": "known here", "peer": "told by a peer", "only": "the only version that the service has had",
	"uncertain": "not certain any more", "none": "not known to any gateway that was asked",
}

// StreamSteps returns where the stream of a request, or the text of an item, began, where it went on and why it did not, in
// the order of time, over all requests by which its caller has resumed it. It returns nil if nothing was resumed.
func StreamSteps(id string, lines []Line) []Decision {
	root := rootOf(id, lines)
	members := requestsOf(root, lines)
	var steps []Decision
	isResumed, version := false, ""
	for _, l := range inOrder(lines) {
		if !l.about(root) && !members[l.text("request")] {
			continue
		}
		text := l.streamStep(&version)
		if text == "" {
			continue
		}
		isResumed = isResumed || l.text("after_event") != "" || l.text("from_event") != "" || l.text(keyMessage) == msgRestarted
		steps = append(steps, Decision{l.Time, l.Source, text})
	}
	if !isResumed {
		return nil
	}
	return steps
}

// rootOf returns the id of the request that began the stream of a request: the one that it resumes, or else itself.
func rootOf(id string, lines []Line) string {
	for _, l := range lines {
		if resumes := l.text("resumes"); resumes != "" && l.text("request") == id {
			return resumes
		}
	}
	return id
}

// requestsOf returns the ids of the requests that resume the stream of root. Only some of their lines name root.
func requestsOf(root string, lines []Line) map[string]bool {
	requests := make(map[string]bool)
	for _, l := range lines {
		if request := l.text("request"); request != "" && l.text("resumes") == root {
			requests[request] = true
		}
	}
	return requests
}

func inOrder(lines []Line) []Line {
	sorted := slices.Clone(lines)
	slices.SortStableFunc(sorted, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return sorted
}

// streamStep describes the step that a line is about; "" if it is about none. version is that of the events so far.
func (l Line) streamStep(version *string) string {
	switch l.text(keyMessage) {
	case msgSent:
		return l.sendStep("request "+l.text("request"), l.text("after_event"), version)
	case msgItemSent:
		return l.sendStep("shard epoch "+l.value("epoch"), l.text("from_event"), version)
	case msgResumed:
		return l.resumption()
	case msgUncertain:
		return fmt.Sprintf("uncertain from here on: %s (target %s, version %s)", l.text("why"), l.text("target"), l.text("version"))
	case msgRestarted:
		*version = ""
		return fmt.Sprintf("begins again, %s events of version %s are dropped", l.value("events"), l.text("version"))
	case msgRequest:
		if outcome := l.text("outcome"); outcome == outcomeVersionGone || outcome == outcomeStreamUnknown {
			return fmt.Sprintf("does not go on (%s): %s", outcome, l.text("error"))
		}
	}
	return ""
}

// sendStep describes a send that begins a stream or a text, or goes on with it.
func (l Line) sendStep(by, after string, version *string) string {
	now := l.text("version")
	where := fmt.Sprintf("%s, version %s, by %s", targetOf(l), now, by)
	if after == "" {
		*version = now
		return "sent from the beginning to " + where
	}
	text := fmt.Sprintf("goes on after event %s at %s", after, where)
	if *version != "" && *version != now {
		text += fmt.Sprintf(" (ANOTHER VERSION: %s before)", *version)
	}
	*version = now
	return text
}

// resumption describes a request of a caller that resumes a stream.
func (l Line) resumption() string {
	source, ok := sources[l.text("source")]
	if !ok {
		source = l.text("source")
	}
	text := fmt.Sprintf("request %s asks to go on after event %s of %q; version: ", l.text("request"), l.text("after_event"), l.text("resumes"))
	if version := l.text("version"); version != "" {
		text += version + ", "
	}
	return text + fmt.Sprintf("%s, after %s ms", source, l.value("ms"))
}

// PrintStream writes the steps of a stream below a heading; nothing if there are none.
func PrintStream(w io.Writer, steps []Decision) error {
	return printDecisions(w, "Stream", steps)
}

// printDecisions writes decisions below a heading; nothing if there are none.
func printDecisions(w io.Writer, heading string, list []Decision) error {
	if len(list) == 0 {
		return nil
	}
	p := &printer{w: w}
	p.printf("\n%s:\n", heading)
	for _, d := range list[:min(maxDecisions, len(list))] {
		p.printf("%s %s %s\n", d.Time.Format("15:04:05.000000"), d.Source, d.Text)
	}
	if n := len(list) - maxDecisions; n > 0 {
		p.printf("%d more left out\n", n)
	}
	return errors.Wrap(p.err, "print")
}
