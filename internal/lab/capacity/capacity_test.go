package capacity

import (
	"math"
	"strings"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/slopes"
)

// fixed has every slope with slope 2 and intercept 10, measured from 1 to 100, but for those in special.
func fixed(special map[string]slopes.Slope) *slopes.Report {
	r := &slopes.Report{}
	for _, name := range allSlopes() {
		s := slopes.Slope{Name: name, Slope: 2, Intercept: 10, From: 1, To: 100, Over: "things"}
		if f, ok := special[name]; ok {
			s.Slope, s.Intercept, s.From, s.To = f.Slope, f.Intercept, f.From, f.To
		}
		r.Slopes = append(r.Slopes, s)
	}
	return r
}

// allSlopes are the slopes that an empty report is said to lack.
func allSlopes() []string {
	_, err := Rows(&slopes.Report{}, Target())
	text := errs.As(err).Detail
	text = text[strings.IndexByte(text, '[')+1 : strings.IndexByte(text, ']')]
	return strings.Fields(text)
}

func find(t *testing.T, rows []Row, role, what, unit string) Row {
	t.Helper()
	for _, r := range rows {
		if r.Role == role && r.What == what && r.Unit == unit {
			return r
		}
	}
	t.Fatalf("no row %s / %s in %s", role, what, unit)
	return Row{}
}

func rowsOf(t *testing.T, r *slopes.Report, z Size) []Row {
	t.Helper()
	rows, err := Rows(r, z)
	if err != nil {
		t.Fatal(err)
	}
	return rows
}

func wantValue(t *testing.T, r Row, want float64) {
	t.Helper()
	if math.Abs(r.Value-want) > 1e-6*math.Abs(want) {
		t.Fatalf("%s / %s is %v %s, want %v", r.Role, r.What, r.Value, r.Unit, want)
	}
}

func TestSessionsOfASubset(t *testing.T) {
	z := Target()
	rows := rowsOf(t, fixed(nil), z)
	wantValue(t, find(t, rows, entryRole, "sessions", "sessions"), 60)
	wantValue(t, find(t, rows, sideRole, "sessions", "sessions"), 60.0*620/1700)
	// 60 sessions at 2 B/s each; 60 sessions of 2 B, doubled for the heap.
	wantValue(t, find(t, rows, entryRole, "heartbeats", bytesS), 120)
	wantValue(t, find(t, rows, entryRole, "sessions", mib), 2*120.0/(1<<20))
	// A report to 21 sessions every 50 ms + 13 * 100 ms, 2 B each, on 60 sessions.
	wantValue(t, find(t, rows, entryRole, "load reports", bytesS), 60*2/1.35)
	// Half of 2 us a frame at this end.
	wantValue(t, find(t, rows, entryRole, "load reports", msPerS), 60/1.35/1000)
	// 4.6 requests/s with 16 new hashes each are more than the 64 that a report takes; 2 B a hash.
	wantValue(t, find(t, rows, entryRole, "prompt prefixes in load reports, none shared", bytesS), 60*2*64/1.35)
}

func TestHostListIsReadWholeEachTime(t *testing.T) {
	z := Target()
	z.HostListEvery = 2 * time.Second
	rows := rowsOf(t, fixed(nil), z)
	// (10 + 2*2320 hosts) B every 2 s.
	r := find(t, rows, entryRole, "host list reads", bytesS)
	wantValue(t, r, 2325)
	if len(r.Uses) != 1 || math.Abs(r.Uses[0].Beyond-23.2) > 1e-9 {
		t.Fatalf("uses %+v, want one 23.2 times beyond its range", r.Uses)
	}
	wantValue(t, find(t, rows, logRole, "bytes that the host list serves", "MiB/s read"), 620*2325.0/(1<<20))
}

func TestAppendsOfAShardAreBoundByTheCommitInterval(t *testing.T) {
	z := Target()
	if got := z.commitsPerS(); math.Abs(got-160) > 1e-9 {
		t.Fatalf("%v appends/s of 16 shards at 100 ms, want 160", got)
	}
	z.Shards, z.CommitEvery = 128, time.Second
	if got := z.commitsPerS(); math.Abs(got-128) > 1e-9 {
		t.Fatalf("%v appends/s of 128 shards at 1 s, want 128", got)
	}
	// Few items need fewer appends than the interval allows: one to take an item and one for its result.
	z = Kelpie()
	if got := z.commitsPerS(); math.Abs(got-40) > 1e-9 {
		t.Fatalf("%v appends/s of 20 items/s, want 40", got)
	}
}

// 128 shards with an append of 512 KiB a second each carry 64 MiB/s; content of 2 KiB an item, doubled
// in the log by a slope of 2, and results once more are over that.
func TestGroupCommitHasRoomInBytes(t *testing.T) {
	z := Tuned()
	z.ItemsPerS = 10_000
	r := find(t, rowsOf(t, fixed(nil), z), logRole, "share of group commit's bytes in use, results packed once more", "%")
	wantValue(t, r, 100*3*(10+2*1024)*10_000/float64(64<<20))
	if r.Missed() {
		t.Fatal("58 MiB/s of 64 pass for too much")
	}
}

// A missed budget must not pass for a kept one: the row is bold and says what has to change.
func TestMissedBudgetIsBold(t *testing.T) {
	heavy := map[string]slopes.Slope{slopes.SessionBytes: {Slope: 51, To: 200}}
	rows := rowsOf(t, fixed(heavy), Target())
	r := find(t, rows, entryRole, "heartbeats", bytesS)
	wantValue(t, r, 3060)
	if !r.Missed() {
		t.Fatal("3,060 B/s passes for within 3,000 B/s")
	}
	var b strings.Builder
	if err := WriteMarkdown(&b, []Row{r}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"**3,060 B/s**", "**3,000: missed 1.02 times**", "**To change:** " + r.Change} {
		if !strings.Contains(b.String(), want) {
			t.Fatalf("no %q in\n%s", want, b.String())
		}
	}
}

// Symptom: a small system was said to cost nothing. The line of a cost that grows faster than
// its count starts below 0, and 15 hosts lie far left of the range.
func TestBelowTheRangeTheSlopeCounts(t *testing.T) {
	steep := map[string]slopes.Slope{slopes.RankCPU: {Slope: 2, Intercept: -500, From: 580, To: 2320}}
	r := find(t, rowsOf(t, fixed(steep), Kelpie()), entryRole, "who owns which shard", msPerS)
	wantValue(t, r, 2*15*16*6/1000.0)
}

func TestControlIsSummedByRole(t *testing.T) {
	rows := rowsOf(t, fixed(nil), Target())
	sum := 0.0
	for _, r := range rows {
		if r.Role == entryRole && r.Kind == Control && r.Unit == bytesS {
			sum += r.Value
		}
	}
	wantValue(t, find(t, rows, entryRole, "control together", bytesS), sum)
	if sum == 0 {
		t.Fatal("an entry has no control traffic")
	}
}

func TestLackingSlopesAreNamed(t *testing.T) {
	r := fixed(nil)
	r.Slopes = r.Slopes[1:]
	_, err := Rows(r, Target())
	if !errs.Is(err, errs.BadRequest) || !strings.Contains(err.Error(), allSlopes()[0]) {
		t.Fatalf("error %v does not name %s", err, allSlopes()[0])
	}
}

// With every side known, two choices with fresh reports leave almost nothing uneven; a subset
// leaves more, and without reports more still.
func TestSpreadOverSubsets(t *testing.T) {
	z := Size{Entries: 40, Sides: 80, Domains: 4, Models: 1, TokensPerS: 80_000, TokenGapS: 0.1}
	s := Spreads(z, 1, 10, 80)
	few, all := s[0], s[1]
	if all.TwoChoices > few.TwoChoices || few.TwoChoices > few.Random || all.Fewest != z.Entries {
		t.Fatalf("subset of 10: %+v, of all: %+v", few, all)
	}
	if few.PerSide != 5 {
		t.Fatalf("%v sessions a side, want 5", few.PerSide)
	}
}

// Reports that are older leave the streams less even: what is chosen by them is no longer so.
func TestOldReportsSpreadWorse(t *testing.T) {
	z := Size{Entries: 10, Sides: 40, Domains: 4, RequestsPerS: 400, TokensPerS: 40_000, TokenGapS: 0.05}
	z.MaxSides = 20
	f := Freshen(z, 1, 50*time.Millisecond, 20*time.Second)
	if fresh, old := f[0].Fullest, f[1].Fullest; fresh < 1 || old < 1.1*fresh {
		t.Fatalf("fullest over mean %v with fresh reports, %v with old ones", fresh, old)
	}
}

func TestBudgetsOfSeveralSizes(t *testing.T) {
	r := fixed(map[string]slopes.Slope{slopes.SessionBytes: {Slope: 51, To: 200}})
	var b strings.Builder
	if err := WriteBudgets(&b, []string{"target", "Kelpie"}, [][]Row{rowsOf(t, r, Target()), rowsOf(t, r, Kelpie())}); err != nil {
		t.Fatal(err)
	}
	// 60 sessions at the target, 12 at Kelpie.
	if want := "| entry | heartbeats | 3,000 B/s | **3,060** | 612 |"; !strings.Contains(b.String(), want) {
		t.Fatalf("no %q in\n%s", want, b.String())
	}
}

func TestNumbersHaveThreeDigits(t *testing.T) {
	for v, want := range map[float64]string{
		0: "0", 0.0123456: "0.0123", 9.876: "9.88", 123.4: "123", 3060: "3,060", 1_234_567: "1.23 M", 356e6: "356 M",
	} {
		if got := number(v); got != want {
			t.Errorf("%v prints as %s, want %s", v, got, want)
		}
	}
}
