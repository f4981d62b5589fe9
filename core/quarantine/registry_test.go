package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestRegistry() *Registry {
	return NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})
}

func content(i int) Fingerprint { return Fingerprint{byte(i), byte(i >> 8)} }

// runTime is how long a run takes until its target crashes.
const runTime = 100 * time.Millisecond

// noteCrash notes a crash under a run that is as long as usual.
func noteCrash(g *Registry, at time.Time, f Fingerprint, target string) bool {
	return g.NoteCrash(at, f, NewCrash(target, "", at.Add(-runTime), at))
}

func noteCrashes(g *Registry, f Fingerprint, n int) {
	for i := range n {
		noteCrash(g, start.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
	}
}

// A content is quarantined at the third target that crashes under it, and each target counts once.
func TestAContentIsQuarantinedAtTheThreshold(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	noteCrashes(g, f, 2)
	if noteCrash(g, start.Add(50*time.Millisecond), f, "t0") {
		t.Error("the crash of a target that has crashed is new")
	}
	if n, _ := g.Quarantined(); g.Check(start.Add(6*time.Second), f) || n != 0 {
		t.Error("quarantined after two targets")
	}
	isNew := noteCrash(g, start.Add(7*time.Second), f, "t2")
	if n, _ := g.Quarantined(); !isNew || !g.Check(start.Add(8*time.Second), f) || n != 1 {
		t.Error("not quarantined after three targets")
	}
	if g.Check(start, content(2)) {
		t.Error("another content is quarantined")
	}
}

// Guards against quarantining a content that many callers send and that is under way wherever something crashes.
func TestAContentThatIsServedIsNotQuarantined(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	for i := range 9 {
		now := start.Add(time.Duration(i) * time.Second)
		noteCrash(g, now, f, fmt.Sprintf("t%d", i))
		if i%2 == 1 && !g.NoteServed(now.Add(time.Millisecond), f) {
			t.Error("nothing to clear")
		}
		if g.Check(now, f) {
			t.Fatalf("quarantined at crash %d", i)
		}
	}
}

// Gateways that see one crash each come to the same verdict in whatever order they hear of each other, and a clearance goes before
// the crashes that it follows.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	f := content(1)
	var records []Record
	for i := range DefaultThreshold {
		g := newTestRegistry()
		noteCrash(g, start.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
		records = append(records, g.ToTell(start.Add(time.Minute), 1)...)
	}
	for first := range records {
		g := newTestRegistry()
		now := start.Add(time.Minute)
		for i := range records {
			g.ApplyPeer(now, records[(first+i)%len(records)], now)
		}
		if !g.Check(now, f) {
			t.Errorf("not quarantined with %d first", first)
		}
		if g.ApplyPeer(now, records[first], now) {
			t.Error("a record that is known says something new")
		}
		cleared := Record{Content: f, Cleared: now}
		if !g.ApplyPeer(now, cleared, now) || g.Check(now, f) || g.ApplyPeer(now, records[0], now) && g.Crashes(f) > 0 {
			t.Error("not cleared for good")
		}
	}
}

// Guards against rejecting for good what many callers send, once several targets that are lost together crash under it: a request is
// tried, and its service clears the content.
func TestAContentWhoseCrashesCameTogetherIsTried(t *testing.T) {
	together := func(g *Registry, f Fingerprint, at time.Time, n int) {
		for i := range n {
			g.NoteCrash(at, f, NewCrash(fmt.Sprint(at, i), "", at.Add(-runTime), at))
		}
	}
	g, f := newTestRegistry(), content(1)
	together(g, f, start, DefaultThreshold)
	if !g.Check(start.Add(tryPause/2), f) {
		t.Error("not quarantined")
	}
	now := start.Add(tryPause)
	if isQuarantined, isTry := g.Admit(now, f); isQuarantined || !isTry {
		t.Error("not tried")
	}
	if isQuarantined, _ := g.Admit(now.Add(time.Millisecond), f); !isQuarantined || !g.Check(now.Add(tryTimeout/2), f) {
		t.Error("tried twice")
	}
	peer := newTestRegistry()
	for _, r := range g.ToTell(now, 1) {
		peer.ApplyPeer(now, r, now)
	}
	if !peer.Check(now.Add(tryPause), f) {
		t.Error("a peer that was told of the try tries, too")
	}
	g.NoteServed(now.Add(time.Second), f)
	if isQuarantined, isTry := g.Admit(now.Add(time.Second), f); isQuarantined || isTry {
		t.Error("not cleared")
	}
	bad := content(2)
	together(g, bad, start, 5)
	tries := 0
	for at := start; at.Before(start.Add(10 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		if _, isTry := g.Admit(at, bad); isTry {
			tries++
			g.NoteCrash(at.Add(runTime), bad, NewCrash(fmt.Sprint("try", tries), "", at, at.Add(runTime)))
		}
	}
	if tries != DefaultThreshold-1 {
		t.Errorf("a content under which each target crashes is tried %d times, want %d", tries, DefaultThreshold-1)
	}
}

// Guards against a host whose clock is far ahead: its clearance would hide all crashes to come.
func TestTimesAheadOfTheClockAreClamped(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	g.ApplyPeer(start, Record{Content: f, Cleared: start.Add(time.Hour), Seen: start.Add(time.Hour)}, start)
	for i := range DefaultThreshold {
		noteCrash(g, start.Add(time.Duration(i+1)*time.Second), f, fmt.Sprintf("t%d", i))
	}
	if !g.Check(start.Add(time.Minute), f) {
		t.Error("a clearance from the future counts")
	}
}

// A quarantine lasts as long as the content comes again, and a hold beyond that.
func TestAQuarantineLastsAsLongAsItsContentIsSeen(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	noteCrashes(g, f, DefaultThreshold)
	now := start
	for range 5 {
		now = now.Add(DefaultHold - time.Minute)
		if !g.Check(now, f) {
			t.Fatalf("forgotten %v after it was last seen", DefaultHold-time.Minute)
		}
	}
	if now = now.Add(DefaultHold + time.Second); g.Check(now, f) {
		t.Error("not forgotten after the hold")
	}
	g.Expire(now.Add(DefaultHold))
	if g.Len() != 0 {
		t.Error("an expired record takes memory")
	}
}

// Guards against unbounded memory, and against a flood of contents under which one target crashed that drops those quarantined.
func TestRecordsAreBounded(t *testing.T) {
	g, bad := newTestRegistry(), content(0)
	noteCrashes(g, bad, DefaultThreshold)
	for i := range 3 * maxRecords {
		noteCrash(g, start.Add(time.Duration(i)*time.Millisecond), content(i+1), "t")
	}
	if g.Len() > maxRecords || !g.Check(start.Add(time.Minute), bad) {
		t.Errorf("%d records, quarantined %v", g.Len(), g.Check(start.Add(time.Minute), bad))
	}
}

// Peers are told at once and then ever less often.
func TestRecordsAreToldWithGrowingPauses(t *testing.T) {
	g := newTestRegistry()
	noteCrash(g, start, content(1), "t")
	told := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 100 * time.Millisecond {
		told += len(g.ToTell(start.Add(at), 8))
	}
	if first := g.ToTell(start, 8); told < 10 || told > 20 || len(first) != 0 {
		t.Errorf("told %d times in 10 minutes", told)
	}
}

// Guards against crashes that are not counted, and tries without end, where targets start again under their ids.
func TestATargetThatStartsAgainUnderItsIDCountsAgain(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	for i := range DefaultThreshold {
		noteCrash(g, start.Add(time.Duration(i)*(minRestart+runTime)), f, "t")
	}
	if g.Crashes(f) != DefaultThreshold || !g.Check(start.Add(time.Minute), f) {
		t.Errorf("%d crashes", g.Crashes(f))
	}
}

// Guards against a process that starts while the store is away and hears of a quarantined content only when its turn comes.
func TestANewPeerIsToldAtOnce(t *testing.T) {
	g := newTestRegistry()
	noteCrashes(g, content(1), DefaultThreshold)
	noteCrashes(g, content(2), 1)
	now := start.Add(time.Hour - time.Minute)
	g.ToTell(now, 8)
	g.TellAgain(now)
	if told := g.ToTell(now, 8); len(told) != 1 || told[0].Content != content(1) {
		t.Errorf("told %+v, want what is quarantined", told)
	}
}

// Guards against telling peers of a quarantined content with each request that is rejected.
func TestRejectionsAreNotTold(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	noteCrashes(g, f, DefaultThreshold)
	told := 0
	for at := time.Minute; at < 2*time.Minute; at += 10 * time.Millisecond {
		now := start.Add(at)
		g.Check(now, f)
		told += len(g.ToTell(now, 8))
	}
	if told > 10 {
		t.Errorf("told %d times in a minute", told)
	}
}

// Guards against a crash that peers never hear of, since its finder heard of another one before it had told its own.
func TestWhatIsHeardDoesNotSilenceWhatWasFound(t *testing.T) {
	g, peer := newTestRegistry(), newTestRegistry()
	noteCrash(g, start, content(1), "own")
	noteCrash(peer, start, content(1), "other")
	for _, r := range peer.ToTell(start, 8) {
		g.ApplyPeer(start, r, start)
	}
	if told := g.ToTell(start, 8); len(told) != 1 || len(told[0].Crashes) != 2 {
		t.Errorf("told %+v, want both crashes", told)
	}
}

// Guards against records that each gateway tells on to all others: their number would grow with the square of the gateways.
func TestWhatIsHeardIsNotToldOn(t *testing.T) {
	origin, peer := newTestRegistry(), newTestRegistry()
	noteCrashes(origin, content(1), DefaultThreshold)
	for _, r := range origin.ToTell(start.Add(time.Minute), 8) {
		peer.ApplyPeer(start.Add(time.Minute), r, start.Add(time.Hour))
	}
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		if told := peer.ToTell(start.Add(time.Minute+at), 8); len(told) > 0 {
			t.Fatalf("told on after %v", at)
		}
	}
	peer.TellAgain(start.Add(11 * time.Minute))
	if len(peer.ToTell(start.Add(11*time.Minute), 8)) != 1 {
		t.Error("a peer that starts is not told")
	}
}

// What the store lacks is written, by this gateway at once if it has seen it, later if peers have told it, and not at all once
// the store has it.
func TestWhatTheStoreLacksIsWritten(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	noteCrash(g, start, f, "t0")
	due, _ := g.ToStore(start, 8)
	if len(due) != 1 {
		t.Fatalf("%d records to store", len(due))
	}
	g.NoteStored(due[0])
	if due, next := g.ToStore(start, 8); len(due) != 0 || !next.IsZero() {
		t.Error("stored twice")
	}
	peer := Record{Content: f, Seen: start, Crashes: []Crash{{Target: 7, At: start}}}
	storeBy := start.Add(5 * time.Second)
	g.ApplyPeer(start, peer, storeBy)
	if due, next := g.ToStore(start, 8); len(due) != 0 || !next.Equal(storeBy) {
		t.Errorf("%d records due now, next at %v", len(due), next)
	}
	peer.Crashes = append(peer.Crashes, due[0].Crashes...)
	g.ApplyStored(start, peer, start)
	if due, next := g.ToStore(storeBy, 8); len(due) != 0 || !next.IsZero() {
		t.Error("written although the store has it")
	}
	g.DropStored(f, start)
	if due, _ := g.ToStore(start, 8); len(due) != 1 || len(due[0].Crashes) != 2 {
		t.Error("a record that another has dropped too early is not written again")
	}
	if stored := g.Expire(start.Add(2 * suspicionHold)); len(stored) != 0 {
		t.Errorf("%d records to drop that the store does not hold", len(stored))
	}
}

// Guards against a clearance that is written again each time it is read, since less of its time is sent than is known.
func TestAClearanceIsStoredOnce(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	now := start.Add(123456 * time.Nanosecond)
	noteCrash(g, now, f, "t")
	g.NoteServed(now.Add(time.Second), f)
	due, _ := g.ToStore(now.Add(time.Second), 1)
	data, err := due[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	g.ApplyStored(now.Add(time.Second), stored, now)
	if due, next := g.ToStore(now.Add(time.Minute), 1); len(due) != 0 || !next.IsZero() {
		t.Error("written again")
	}
}

func TestRecordsAreEncodedWhole(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	noteCrashes(g, f, 2)
	r := g.ToTell(start.Add(time.Minute), 1)[0]
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !got.covers(r, 0) || !r.covers(got, 0) || got.Content != f {
		t.Errorf("%+v, want %+v: %v", got, r, err)
	}
	for _, bad := range [][]byte{nil, {0xa0}, []byte("text")} {
		if _, err := Decode(bad); err == nil {
			t.Errorf("%q is a record", bad)
		}
	}
}
