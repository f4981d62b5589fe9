package explain

import (
	"bytes"
	"slices"
	"strings"
	"testing"
)

// Logs of two gateways. g-1 sends r1 to two targets and is answered foreign by a third. g-2 serves a request with the
// same id. r2 is in doubt at a process that dies, r3 has a second write, r4 was sent from a build without single sends. The
// target of r5 takes up no run. The item b1 goes on after an event.
const sendsLog1 = `{"@timestamp":"2026-01-01T10:00:01.000000Z","@message":"sent","request":"r1","attempt":1,"target":"i-1 free slot online=6 batch=1 slots=8 peers=2","after_event":""}
{"@timestamp":"2026-01-01T10:00:01.090000Z","@message":"request","request":"r1","outcome":"target_failed","ms":90,"may_have_run":1,"targets":["i-1 x","i-2 x","i-3 x"],"sends":[{"n":1,"target":"i-1","at_ms":0,"ms":12,"writes":1,"reused":true,"local":"10.0.0.1:4711","status":503,"counted":"not run","evidence":"rejection with the id of the request"},{"n":2,"target":"i-2","at_ms":12,"ms":8,"writes":0,"counted":"not run","evidence":"nothing written","error":"connection refused"},{"n":3,"target":"i-3","at_ms":20,"ms":70,"writes":1,"status":200,"answer_id":"r0","foreign":true,"counted":"may have run","error":"target_failed: the answer belongs to another request"}]}
{"@timestamp":"2026-01-01T10:00:02.000000Z","@message":"sent","request":"r2","attempt":1,"target":"i-1 free slot online=6 batch=1 slots=8 peers=2","after_event":""}
{"@timestamp":"2026-01-01T10:00:02.010000Z","@message":"sent","request":"r2","attempt":2,"target":"i-2 free slot online=6 batch=1 slots=8 peers=2","after_event":"","before":{"n":1,"target":"i-1","at_ms":0,"ms":9,"writes":1,"counted":"may have run","error":"reset"}}
{"@timestamp":"2026-01-01T10:00:03.000000Z","@message":"request","request":"r3","outcome":"served","ms":50,"may_have_run":1,"sends":[{"n":1,"target":"i-1","at_ms":0,"ms":12,"writes":2,"status":503,"counted":"not run","evidence":"none"},{"n":2,"target":"i-2","at_ms":12,"ms":38,"writes":1,"status":200,"counted":"ran"}]}
{"@timestamp":"2026-01-01T10:00:04.000000Z","@message":"request","request":"r4","outcome":"served","ms":50,"may_have_run":1,"targets":["i-1 x","i-2 x"]}
{"@timestamp":"2026-01-01T10:00:05.000000Z","@message":"request","request":"r5","outcome":"no_target","ms":50,"may_have_run":0,"targets":["i-1 x"],"sends":[{"n":1,"target":"i-1","at_ms":3,"ms":2,"writes":0,"status":503,"counted":"not run","evidence":"rejection with the id of the request"}],"sends_left_out":12}
{"@timestamp":"2026-01-01T10:00:05.100000Z","@message":"request","request":"r6","outcome":"overloaded","ms":0,"may_have_run":0,"targets":null}
{"@timestamp":"2026-01-01T10:00:06.000000Z","@message":"item sent","item":"b1","job":"j","attempt":1,"target":"i-1 free slot","from_event":""}
{"@timestamp":"2026-01-01T10:00:06.500000Z","@message":"item run","item":"b1","job":"j","ms":500,"verdict":"go on","sends":[{"n":1,"target":"i-1","at_ms":0,"ms":500,"writes":1,"status":200,"counted":"ran"}]}
{"@timestamp":"2026-01-01T10:00:07.000000Z","@message":"item sent","item":"b1","job":"j","attempt":2,"target":"i-2 free slot","from_event":"4"}
`

const sendsLog2 = `{"@timestamp":"2026-01-01T10:00:01.300000Z","@message":"request","request":"r1","outcome":"served","ms":100,"may_have_run":1,"sends":[{"n":1,"target":"i-4","at_ms":1,"ms":99,"writes":1,"status":200,"counted":"ran"}]}
{"@timestamp":"2026-01-01T10:00:04.500000Z","@message":"log lines left out","lines":7,"since":"2026-01-01T10:00:03.800000Z"}
{"@timestamp":"2026-01-01T10:00:15.000000Z","@message":"sent","request":"r9","target":"i-1 x","left_out":3,"left_out_since":"2026-01-01T10:00:14.900000Z"}
{"@timestamp":"2026-01-01T10:00:15.000000Z","@message":"overload","request":"r9","left_out":3,"left_out_since":"2026-01-01T10:00:14.900000Z"}
`

func readBoth(t *testing.T, first, second string) []Line {
	t.Helper()
	a, err := Read("g-1", strings.NewReader(first))
	if err != nil {
		t.Fatal(err)
	}
	b, err := Read("g-2", strings.NewReader(second))
	if err != nil {
		t.Fatal(err)
	}
	return append(b, a...)
}

// Guards against a send that is not told, told twice or in the wrong order, and against a wrong word on how often a
// request may have run: the sends of a second process, a process that died, a second write, a build without single sends.
func TestSendsAreToldInOrderWithEvidence(t *testing.T) {
	lines := readBoth(t, sendsLog1, strings.Split(sendsLog2, "\n")[0]) // without lines left out
	for id, want := range map[string][]string{
		"r1": {
			"10:00:01.000 g-1 send 1 to i-1, 12 ms: written, last on a used one from 10.0.0.1:4711; answer 503; counted as not run, evidence: rejection with the id of the request",
			"10:00:01.012 g-1 send 2 to i-2, 8 ms: written to no connection; no answer; counted as not run, evidence: nothing written; connection refused",
			`10:00:01.020 g-1 send 3 to i-3, 70 ms: written; FOREIGN answer 200 with id "r0"; counted as may have run; target_failed: the answer belongs to another request`,
			"10:00:01.201 g-2 send 1 to i-4, 99 ms: written; answer 200; counted as ran",
			"MAY HAVE RUN MORE THAN ONCE: up to 2 times in 4 sends; 2 requests with this id, or runs of the item, have ended",
		},
		"r2": {
			"10:00:02.000 g-1 send 1 to i-1, 9 ms: written; no answer; counted as may have run; reset",
			"10:00:02.010 g-1 sent to i-2: no line says how it ended",
			"MAY HAVE RUN MORE THAN ONCE: up to 2 times in 2 sends; 1 sends without an end count as runs: the process has ended, the line was left out, or the request is not finished",
		},
		"r3": {
			"10:00:02.950 g-1 send 1 to i-1, 12 ms: WRITTEN TO 2 CONNECTIONS; answer 503; counted as not run, evidence: none",
			"10:00:02.962 g-1 send 2 to i-2, 38 ms: written; answer 200; counted as ran",
			"MAY HAVE RUN MORE THAN ONCE: up to 2 times in 2 sends; 1 second writes of a send to another connection; 1 sends counted as not run WITHOUT EVIDENCE",
		},
		"r4": {
			"10:00:04.000 g-1 sent to 2 targets, 1 of which may have run it; the line is of a build that does not log single sends",
			"has run at most once, in 2 sends",
		},
		"r5": {
			"10:00:04.953 g-1 send 1 to i-1, 2 ms: connection not recorded; answer 503; counted as not run, evidence: rejection with the id of the request",
			"10:00:05.000 g-1 12 more sends are left out of the line; 0 sends of all ran or may have run",
			"has not run: none of 13 sends ran or may have run",
		},
		"r6": {"was sent to no target"},
		"b1": {
			"10:00:06.000 g-1 send 1 to i-1, 500 ms: written; answer 200; counted as ran",
			"10:00:07.000 g-1 sent to i-2: no line says how it ended",
			"MAY HAVE RUN MORE THAN ONCE: up to 2 times in 2 sends; 1 sends only asked to go on after an event; 1 sends without an end count as runs: the process has ended, the line was left out, or the request is not finished",
		},
	} {
		trace := Sends(id, lines)
		var got []string
		for _, s := range trace.Steps {
			got = append(got, s.Time.Format("15:04:05.000")+" "+s.Source+" "+s.Text)
		}
		got = append(got, trace.Conclusion())
		if !slices.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", id, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// Guards against a trace that is taken for complete although a process left out lines while the request was under way.
func TestLeftOutLinesAreTold(t *testing.T) {
	lines := readBoth(t, sendsLog1, sendsLog2)
	var out bytes.Buffer
	if err := PrintSends(&out, Sends("r5", lines)); err != nil {
		t.Fatal(err)
	}
	want := `
Sends:
10:00:04.953000 g-1 send 1 to i-1, 2 ms: connection not recorded; answer 503; counted as not run, evidence: rejection with the id of the request
10:00:05.000000 g-1 12 more sends are left out of the line; 0 sends of all ran or may have run
g-2 left out 7 lines between 10:00:03.800 and 10:00:04.500
g-2 left out 3 lines "sent" between 10:00:14.900 and 10:00:15.000
r5 has not run: none of 13 sends ran or may have run; INCOMPLETE: lines were left out at this time, so that there may be more sends
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	out.Reset()
	if err := PrintSends(&out, Sends("nobody", lines)); err != nil || out.Len() > 0 {
		t.Errorf("the sends of an unknown id are told as %q, %v; want nothing", out.String(), err)
	}
}
