package explain

import (
	"slices"
	"strings"
	"testing"
)

const streamLog = `{"@timestamp":"2026-01-01T10:00:01.000000Z","@message":"sent","request":"r1","target":"i-1 free slot online=0 batch=0 slots=8 peers=2","version":"v1","after_event":"","attempt":1}
{"@timestamp":"2026-01-01T10:00:01.500000Z","@message":"sent","request":"r1","target":"i-2 free slot online=0 batch=0 slots=8 peers=2","version":"v1","after_event":"4","attempt":2}
{"@timestamp":"2026-01-01T10:00:02.000000Z","@message":"stream resumed","request":"r2","resumes":"r1","after_event":"7","source":"peer","service":"llm","version":"v1","ms":3}
{"@timestamp":"2026-01-01T10:00:02.001000Z","@message":"sent","request":"r2","resumes":"r1","target":"i-9 free slot online=0 batch=0 slots=8 peers=2","version":"v2","after_event":"7","attempt":1}
{"@timestamp":"2026-01-01T10:00:03.000000Z","@message":"stream resumed","request":"r3","resumes":"r1","after_event":"9","source":"none","service":"","version":"","ms":200}
{"@timestamp":"2026-01-01T10:00:03.001000Z","@message":"request","request":"r3","outcome":"stream_unknown","error":"stream_unknown: no gateway that was asked knows it"}
{"@timestamp":"2026-01-01T10:00:04.000000Z","@message":"sent","request":"r4","target":"i-2 free slot online=0 batch=0 slots=8 peers=2","version":"v1","after_event":""}
{"@timestamp":"2026-01-01T10:00:05.000000Z","@message":"item sent","item":"b1","epoch":3,"target":"i-1 turn 0 online=0 batch=0 slots=8 peers=2","version":"v1","from_event":""}
{"@timestamp":"2026-01-01T10:00:06.000000Z","@message":"item restarted","item":"b1","service":"llm","version":"v1","events":12}
{"@timestamp":"2026-01-01T10:00:06.001000Z","@message":"item sent","item":"b1","epoch":3,"target":"i-2 turn 0 online=0 batch=0 slots=8 peers=2","version":"v2","from_event":""}
`

// Guards against an account of a stream that leaves out a request by which its caller has resumed it, why it did not go
// on, or a change of its version.
func TestStreamStepsFollowAllRequestsOfAStream(t *testing.T) {
	lines, err := Read("g-1", strings.NewReader(streamLog))
	if err != nil {
		t.Fatal(err)
	}
	stream := []string{
		"sent from the beginning to i-1, version v1, by request r1",
		"goes on after event 4 at i-2, version v1, by request r1",
		`request r2 asks to go on after event 7 of "r1"; version: v1, told by a peer, after 3 ms`,
		"goes on after event 7 at i-9, version v2, by request r2 (ANOTHER VERSION: v1 before)",
		`request r3 asks to go on after event 9 of "r1"; version: not known to any gateway that was asked, after 200 ms`,
		"does not go on (stream_unknown): stream_unknown: no gateway that was asked knows it",
	}
	for id, want := range map[string][]string{
		"r1": stream, "r2": stream, "r3": stream, "r4": nil,
		"b1": {"sent from the beginning to i-1, version v1, by shard epoch 3", "begins again, 12 events of version v1 are dropped", "sent from the beginning to i-2, version v2, by shard epoch 3"},
	} {
		var got []string
		for _, step := range StreamSteps(id, lines) {
			got = append(got, step.Text)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", id, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}
