package explain

import (
	"bytes"
	"math"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/errs"
)

// Two targets of one slot each, seen by gateways a and b. The first second is quiet. At 1 s item i1 begins at t1, at 2 s it is cut off for
// a request that holds t1 until 3 s; i1 goes on at t2 from 2.5 s. Gateway b is lost with it at 3.5 s; gateway a runs all of its
// events again from 5 s to 8 s. The job's other item waits from 1 s to the end of its job at 9 s, and the logs end at 10 s.
const slotsDay = `a {"@timestamp":"2026-01-01T10:00:00Z","@message":"target","target":"t1","service":"llm","slots":1}
a {"@timestamp":"2026-01-01T10:00:00Z","@message":"target","target":"t2","service":"llm","slots":1}
a {"@timestamp":"2026-01-01T10:00:00Z","@message":"target","target":"p1","service":"plain","slots":9}
a {"@timestamp":"2026-01-01T10:00:01Z","@message":"job","request":"j","items":2,"outcome":"done"}
b {"@timestamp":"2026-01-01T10:00:01Z","@message":"job","request":"j","items":2,"outcome":"done"}
a {"@timestamp":"2026-01-01T10:00:01Z","@message":"item sent","job":"j","item":"i1","target":"t1 turn 0 slots=1","from_event":""}
a {"@timestamp":"2026-01-01T10:00:02Z","@message":"item run","job":"j","item":"i1","from_event":"","to_event":"8","first_ms":100,"idle_ms":100,"verdict":"go on","preempted":true}
a {"@timestamp":"2026-01-01T10:00:02Z","@message":"sent","request":"r1","target":"t1 batch makes way slots=1"}
b {"@timestamp":"2026-01-01T10:00:02.5Z","@message":"item sent","job":"j","item":"i1","target":"t2 turn 0 slots=1","from_event":"8"}
a {"@timestamp":"2026-01-01T10:00:03Z","@message":"request","request":"r1","first_ms":200,"outcome":"served"}
b {"@timestamp":"2026-01-01T10:00:03.5Z","@message":"started"}
a {"@timestamp":"2026-01-01T10:00:05Z","@message":"item sent","job":"j","item":"i1","target":"t1 turn 0 slots=1","from_event":""}
a {"@timestamp":"2026-01-01T10:00:08Z","@message":"item run","job":"j","item":"i1","from_event":"","to_event":"16","first_ms":200,"idle_ms":0,"verdict":"complete","preempted":false}
a {"@timestamp":"2026-01-01T10:00:08.5Z","@message":"item","job":"j","item":"i1","outcome":"complete"}
a {"@timestamp":"2026-01-01T10:00:09Z","@message":"job end","job":"j","outcome":"done"}
a {"@timestamp":"2026-01-01T10:00:10Z","@message":"stopped"}
`

func accountOf(t *testing.T, logs string, window time.Duration) *SlotAccount {
	t.Helper()
	lines, err := Read("day.log", strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	a, err := AccountSlots(lines, window)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestSlotsOfAKnownRun(t *testing.T) {
	sum := accountOf(t, slotsDay, 5*time.Second).Total()
	for _, c := range []struct {
		what      string
		got, want float64
	}{
		{"online: 2.2 s to 3 s", sum.Online, 0.8},
		{"starts: 0.1 and 0.2 s of the item, 0.2 s of the request", sum.Starts, 0.5},
		{"tails: of the run that was cut off", sum.Tails, 0.1},
		{"again: half of the last run's 2.8 s", sum.Again, 1.4},
		{"batch: 0.8 s of the first run, 1.4 s of the last", sum.Batch, 2.2},
		{"unseen: the run at the lost gateway, as long as runs are on average", sum.Unseen, 2},
		{"lost", sum.Lost, 0},
		{"queued", sum.Queued, 0},
		// The second item waits from 1 s to 9 s, the first one from 2 s to 2.5 s and from 3.5 s to 5 s.
		{"waiting", sum.Waiting, 10},
		// One target is free while something waits from 1 s to 2.5 s, 3 s to 4.5 s and 5 s to 8 s; both from 4.5 s to 5 s, and one of
		// them is wanted from 8 s to 9 s.
		{"wanted", sum.Wanted, 1.5 + 1.5 + 1 + 3 + 1},
		{"all", sum.total(), 20},
	} {
		if math.Abs(c.got-c.want) > 0.02 {
			t.Errorf("%s: %.2f, want %.2f", c.what, c.got, c.want)
		}
	}
}

// Each window has the time that passed in it, whatever spans its borders.
func TestSlotsOfWindows(t *testing.T) {
	a := accountOf(t, slotsDay, 2*time.Second)
	for i, u := range a.Windows[:5] {
		if got := u.total(); math.Abs(got-4) > 0.05 {
			t.Errorf("window %d has %.2f slot-seconds of 2 slots in 2 s", i, got)
		}
	}
}

// Two requests at a target of one slot: one of them waits, which is no use of a slot.
func TestSlotsOfAQueue(t *testing.T) {
	sum := accountOf(t, `a {"@timestamp":"2026-01-01T10:00:00Z","@message":"target","target":"t1","service":"llm","slots":1}
a {"@timestamp":"2026-01-01T10:00:00Z","@message":"item sent","job":"j","item":"i1","target":"t1 turn 0 slots=1"}
a {"@timestamp":"2026-01-01T10:00:00Z","@message":"sent","request":"r1","target":"t1 shortest queue slots=1"}
a {"@timestamp":"2026-01-01T10:00:01Z","@message":"item run","job":"j","item":"i1","to_event":"","first_ms":1000,"idle_ms":1000,"verdict":"go on"}
a {"@timestamp":"2026-01-01T10:00:02Z","@message":"request","request":"r1","first_ms":1500,"outcome":"served"}
`, time.Second).Total()
	if math.Abs(sum.Queued-1) > 0.02 || math.Abs(sum.Lost-1) > 0.02 || math.Abs(sum.total()-2) > 0.05 {
		t.Errorf("queued %.2f, lost %.2f, all %.2f", sum.Queued, sum.Lost, sum.total())
	}
}

func TestSlotsOfTooLongLogsAreRefused(t *testing.T) {
	lines, err := Read("day.log", strings.NewReader(`{"@timestamp":"2026-01-01T10:00:00Z","@message":"started"}
{"@timestamp":"2026-01-01T12:00:00Z","@message":"stopped"}
`))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := AccountSlots(lines, time.Second); !errs.Is(err, errs.BadRequest) {
		t.Errorf("got %v", err)
	}
}

func TestSlotsArePrinted(t *testing.T) {
	var out bytes.Buffer
	if err := accountOf(t, slotsDay, 10*time.Second).Print(&out); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(out.String(), "\n"); got != 7 {
		t.Errorf("%d lines:\n%s", got, out.String())
	}
	if err := accountOf(t, slotsDay, 10*time.Second).Print(closed{}); err == nil {
		t.Error("an account that can't be written is taken for written")
	}
}
