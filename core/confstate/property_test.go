package confstate

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"arbutusramp/core/structs"
)

// drawIntent picks from few objects, so that confirms often conflict.
func drawIntent(t *rapid.T) structs.Intent {
	n := rapid.IntRange(0, 3).Draw(t, "object")
	hash := strings.Repeat(string(rune('a'+rapid.IntRange(0, 5).Draw(t, "key"))), 64)
	workspace := structs.WorkspaceID(fmt.Sprint("w", n))
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 7:
		return structs.Intent{Workspace: &structs.WorkspaceIntent{ID: workspace, KeyHashes: []string{hash}}}
	case 8:
		return structs.Intent{Keys: &structs.KeysIntent{Workspace: workspace, Revoke: []string{hash}}}
	case 0:
		return modelIntent(structs.ModelID(fmt.Sprint("m", n)), rapid.IntRange(0, 4).Draw(t, "replicas"))
	case 1:
		return structs.Intent{Host: &structs.HostOrder{ID: structs.HostID(fmt.Sprint("h", n)), Retire: rapid.Bool().Draw(t, "retire")}}
	case 2:
		return structs.Intent{Target: &structs.TargetIntent{
			ID: structs.TargetID(fmt.Sprint("t", n)), Kind: structs.KindEngine, Host: structs.HostID(fmt.Sprint("h", n)),
		}}
	case 3:
		return structs.Intent{RemoveTarget: &structs.RemoveTargetIntent{ID: structs.TargetID(fmt.Sprint("t", n))}}
	case 4:
		return structs.Intent{Policy: &structs.PolicyIntent{Headroom: float64(n) / 2}}
	case 5:
		return structs.Intent{Job: &structs.JobOrder{ID: structs.JobID(fmt.Sprint("j", n)), Run: n%2 == 0, Cancel: n%2 == 1}}
	default:
		return structs.Intent{RetireModel: &structs.RetireModelIntent{ID: structs.ModelID(fmt.Sprint("m", n))}}
	}
}

func drawLog(t *rapid.T) []structs.LogEntry {
	var log []structs.LogEntry
	var sent []structs.Confirm
	for n := range rapid.IntRange(1, 40).Draw(t, "records") {
		at := structs.Offset(n + 1)
		if len(sent) > 0 && rapid.IntRange(0, 4).Draw(t, "resend") == 0 {
			log = append(log, entry(t, at, rapid.SampledFrom(sent).Draw(t, "copy")))
			continue
		}
		c := confirm(fmt.Sprint("p", n), rapid.SampledFrom([]string{"ann", "ben", "cy"}).Draw(t, "operator"),
			structs.Version(rapid.IntRange(0, n).Draw(t, "base")))
		for range rapid.IntRange(1, 3).Draw(t, "intents") {
			c.Intents = append(c.Intents, drawIntent(t))
		}
		sent = append(sent, c)
		log = append(log, entry(t, at, c))
	}
	return log
}

// foldInPages folds log as one process might see it: in pages of any size that
// overlap, and with a restart from a snapshot somewhere.
func foldInPages(t *rapid.T, log []structs.LogEntry) *State {
	s := Empty()
	for int(s.Version) < len(log) {
		from := max(0, int(s.Version)-rapid.IntRange(0, 5).Draw(t, "overlap"))
		to := min(len(log), int(s.Version)+rapid.IntRange(1, 10).Draw(t, "page"))
		s = s.Fold(log[from:to])
		if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
			b, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if s, err = Restore(b); err != nil {
				t.Fatal(err)
			}
		}
	}
	return s
}

// Symptom: two processes act on different configurations at one version.
// Sequence: random confirms of several operators with copies, folded by several
// processes in different pages, some of them restarted from a snapshot.
// Cause: a decision that rests on more than the records and their order.
func TestEveryProcessDecidesAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		whole, err := Empty().Fold(log).Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		for range 3 {
			b, err := foldInPages(t, log).Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(whole, b) {
				t.Fatal("two processes hold different states at one version")
			}
		}
	})
}

// A held plan changed nothing that another had changed since its base.
func TestNoHeldPlanIsStale(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		s := Empty()
		for _, e := range log {
			before := s
			s = s.Fold([]structs.LogEntry{e})
			var r structs.ConfigRecord
			if err := Decode(e.Body, &r); err != nil {
				t.Fatal(err)
			}
			out := s.Outcomes[r.Confirm.Plan]
			if out.Version != s.Version {
				continue
			}
			for _, i := range r.Confirm.Intents {
				if out.Held() && before.Touched[i.Object()] > r.Confirm.Base {
					t.Fatalf("plan %s held at %d over %s", r.Confirm.Plan, s.Version, i.Object())
				}
			}
		}
	})
}

func TestFoldDoesNotChangeTheOlderState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := drawLog(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		older := Empty().Fold(log[:cut])
		before, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		older.Fold(log)
		after, err := older.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(before, after) {
			t.Fatal("folding on changed the State that readers hold")
		}
	})
}
