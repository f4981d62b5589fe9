package explain

import (
	"slices"
	"strings"
	"testing"
)

const loadLog = `{"@timestamp":"2026-01-01T10:00:01.000000Z","@message":"over share","request":"r1","workspace":"loud","service":"llm","share":40.0000001,"use":44.5,"offered":270.126,"capacity":160,"used_up":true,"slot_free":false,"input_age_ms":180}
{"@timestamp":"2026-01-01T10:00:02.000000Z","@message":"overload","request":"r2","verdict":"come back","wait_ms":310,"hold_ms":950,"left_ms":900,"target":"i-7","slowness":2.41,"service_ms":57,"capacity_ms":150,"retry_ms":160}
{"@timestamp":"2026-01-01T10:00:03.000000Z","@message":"overload","request":"r3","verdict":"hold","wait_ms":40,"hold_ms":950,"left_ms":900}
{"@timestamp":"2026-01-01T10:00:04.000000Z","@message":"sent","request":"r4","target":"i-7 shortest queue online=9 batch=0 slots=8 peers=2 wait_ms=119 service_ms=57 slowness=2.41"}
{"@timestamp":"2026-01-01T10:00:05.000000Z","@message":"request","request":"r4","outcome":"served","ms":2500,"answer_ms":480,"goal_ms":300,"held_ms":12,"first_ms":460,"targets":["i-7 shortest queue online=9 batch=0 slots=8 peers=2 wait_ms=119 service_ms=57 slowness=2.41"]}
{"@timestamp":"2026-01-01T10:00:05.100000Z","@message":"run cost","request":"r4","target":"i-7","predicted_ms":2200,"actual_ms":2450,"slowness":2.41,"pace":1.2}
{"@timestamp":"2026-01-01T10:00:05.200000Z","@message":"request","request":"r5","outcome":"served","ms":90,"answer_ms":90,"goal_ms":300,"targets":[]}
{"@timestamp":"2026-01-01T10:00:06.000000Z","@message":"batch starts suspended","service":"llm","source":"g-2","online":104,"slots":104}
{"@timestamp":"2026-01-01T10:00:07.500000Z","@message":"item deferred","item":"w/b1","service":"llm","reason":"overload","ms":1001,"online":104,"mean":81.5,"swing":90,"period_ms":6600}
{"@timestamp":"2026-01-01T10:00:07.600000Z","@message":"item deferred","item":"b2","service":"llm","reason":"headroom","ms":1001,"probability":0.314,"online":104,"mean":81.5,"swing":90,"period_ms":0}
{"@timestamp":"2026-01-01T10:00:08.000000Z","@message":"item sent","item":"b3","target":"i-1 free slot online=5 batch=0 slots=8 peers=2","predicted_ms":4500,"predicted_first_ms":60,"slowness":0.9,"probability":0.62}
{"@timestamp":"2026-01-01T10:00:08.050000Z","@message":"sent","request":"r6","target":"i-1 free slot online=6 batch=1 slots=8 peers=2"}
{"@timestamp":"2026-01-01T10:00:08.060000Z","@message":"sent","request":"r7","target":"i-10 free slot online=6 batch=1 slots=8 peers=2"}
{"@timestamp":"2026-01-01T10:00:08.080000Z","@message":"item run","item":"b3","target":"i-1 free slot online=5 batch=0 slots=8 peers=2","from_event":"","to_event":"","ms":80,"preempted":true}
{"@timestamp":"2026-01-01T10:00:09.000000Z","@message":"item run","item":"b4","target":"i-1 free slot online=5 batch=0 slots=8 peers=2","ms":80,"preempted":false,"verdict":"complete"}
{"@timestamp":"2026-01-01T10:00:10.000000Z","@message":"target crashed under request","request":"q1","content":"c0","target":"i-1","evidence":"refused or another start answered","parts":"f1,bad,o1","crashes":1}
{"@timestamp":"2026-01-01T10:00:10.100000Z","@message":"quarantined","request":"q2","content":"c1","why":"scope","crashes":0,"scope_crashes":3,"kind":"part","part":"bad","trial_in_ms":410}
{"@timestamp":"2026-01-01T10:00:10.200000Z","@message":"quarantined","request":"q3","content":"c2","why":"scope","crashes":0,"scope_crashes":4,"kind":"caller","part":"","trial_in_ms":10000}
{"@timestamp":"2026-01-01T10:00:10.300000Z","@message":"quarantined","request":"q4","content":"c3","why":"content","crashes":3,"scope_crashes":3}
`

// Guards against a rejected, late, deferred or preempted request or item whose target, prediction or share is not named, a
// quarantined one without what is blamed, and against decisions for answers in time and runs that ended by themselves.
func TestDecisionsNameTargetPredictionAndShare(t *testing.T) {
	lines, err := Read("g-1", strings.NewReader(loadLog))
	if err != nil {
		t.Fatal(err)
	}
	choice := "i-7 (shortest queue): 9 online requests and 0 items at 8 slots, expected wait 119 ms, service time 57 ms, slowness 2.41"
	for id, want := range map[string][]string{
		"r1": {"workspace loud is over its share of service llm and its share was used up: it requested 270.13 slots and used 44.5, its share is 40 of 160; oldest report of a peer 180 ms old"},
		"r2": {"rejected, to be sent again: a slot was expected after 310 ms, the caller had 900 ms left; earliest target i-7, slowness 2.41, service time 57 ms, hold time 950 ms; capacity was forecast after 150 ms; told to retry after 160 ms"},
		"r3": {"queued at the gateway: a slot was expected after 40 ms, the caller had 900 ms left; mean hold time 950 ms"},
		"r4": {
			"sent to " + choice,
			"late: answered after 480 ms with a goal of 300 ms; 12 ms in the gateway's queue, 460 ms from sending to the first part; sent to " + choice,
			"held a slot of i-7 for 2450 ms, predicted 2200 ms; slowness 2.41, pace 1.2",
		},
		"r5": nil,
		"b1": {"start deferred for 1001 ms: batch starts of llm were suspended because g-2 rejected or queued online requests, with 104 online requests at 104 slots; online requests 104, mean 81.5, swing 90, period 6600 ms"},
		"b2": {"start deferred for 1001 ms: the best free slot was expected to last with probability 0.31; online requests 104, mean 81.5, swing 90, period 0 ms"},
		"b3": {
			"sent to i-1 (free slot): 5 online requests and 0 items at 8 slots; predicted to hold the slot for 4500 ms, first event after 60 ms, slowness 0.9; the slot was expected to last with probability 0.62",
			"preempted at i-1 (free slot): 5 online requests and 0 items at 8 slots after 80 ms without an event gained; g-1 sent request r6 there 30 ms before",
		},
		"b4": nil,
		"q1": {"target i-1 crashed under it (refused or another start answered), the crash 1 of its content; parts of its prompt: f1,bad,o1"},
		"q2": {"not sent: 3 targets have crashed under requests with the part bad in their prompts; the next trial is due in 410 ms at the earliest"},
		"q3": {"not sent: 4 targets have crashed under requests that share the same caller; the next trial is due in 10000 ms at the earliest"},
		"q4": {"not sent: 3 targets have crashed under this content"},
	} {
		var got []string
		for _, d := range Decisions(id, lines) {
			got = append(got, d.Text)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", id, strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}
