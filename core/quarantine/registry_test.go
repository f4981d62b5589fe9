package quarantine

import (
	"fmt"
	"testing"
	"time"
)

var testStart = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestRegistry() *Registry {
	return NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})
}

func testFingerprint(i int) Fingerprint { return Fingerprint{byte(i), byte(i >> 8)} }

// runDuration is how long a run takes until its target crashes.
const runDuration = 100 * time.Millisecond

// noteTestCrash adds a crash at the end of a run of runDuration.
func noteTestCrash(g *Registry, at time.Time, f Fingerprint, target string) bool {
	return g.NoteCrash(at, f, NewCrash(target, "", at.Add(-runDuration), at))
}

func noteTestCrashes(g *Registry, f Fingerprint, n int) {
	for i := range n {
		noteTestCrash(g, testStart.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
	}
}

// A content is quarantined at the third target that crashes while running it, and each target counts once.
func TestContentIsQuarantinedAtThreshold(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(g, f, 2)
	if noteTestCrash(g, testStart.Add(50*time.Millisecond), f, "t0") {
		t.Error("a crash that is already known is reported as new")
	}
	if n, _ := g.Quarantined(); g.Check(testStart.Add(6*time.Second), f) || n != 0 {
		t.Error("quarantined after two targets")
	}
	isNew := noteTestCrash(g, testStart.Add(7*time.Second), f, "t2")
	if n, _ := g.Quarantined(); !isNew || !g.Check(testStart.Add(8*time.Second), f) || n != 1 {
		t.Error("not quarantined after three targets")
	}
	if g.Check(testStart, testFingerprint(2)) {
		t.Error("a different content is quarantined")
	}
}

// Guards against the quarantine of a harmless content that many callers send: it is in progress
// wherever a target crashes.
func TestServedContentIsNotQuarantined(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	for i := range 9 {
		now := testStart.Add(time.Duration(i) * time.Second)
		noteTestCrash(g, now, f, fmt.Sprintf("t%d", i))
		if i%2 == 1 && !g.NoteServed(now.Add(time.Millisecond), f) {
			t.Error("no crashes were cleared")
		}
		if g.Check(now, f) {
			t.Fatalf("quarantined at crash %d", i)
		}
	}
}

// Gateways that observe one crash each reach the same result in any order of exchange, and a clearance
// removes the crashes before it.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	f := testFingerprint(1)
	var records []Record
	for i := range DefaultThreshold {
		g := newTestRegistry()
		noteTestCrash(g, testStart.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
		records = append(records, g.ToTell(testStart.Add(time.Minute), 1)...)
	}
	for first := range records {
		g := newTestRegistry()
		now := testStart.Add(time.Minute)
		for i := range records {
			g.ApplyPeer(now, records[(first+i)%len(records)], now)
		}
		if !g.Check(now, f) {
			t.Errorf("not quarantined with record %d applied first", first)
		}
		if g.ApplyPeer(now, records[first], now) {
			t.Error("a known record is reported as new")
		}
		cleared := Record{Content: f, Cleared: now}
		if !g.ApplyPeer(now, cleared, now) || g.Check(now, f) || g.ApplyPeer(now, records[0], now) && g.Crashes(f) > 0 {
			t.Error("not cleared permanently")
		}
	}
}

// Guards against the permanent rejection of a content that many callers send, after several targets that are
// lost together have crashed while running it: one request is sent as a trial, and a successful response
// clears the content.
func TestSimultaneousCrashesAdmitTrials(t *testing.T) {
	noteSimultaneousCrashes := func(g *Registry, f Fingerprint, at time.Time, n int) {
		for i := range n {
			g.NoteCrash(at, f, NewCrash(fmt.Sprint(at, i), "", at.Add(-runDuration), at))
		}
	}
	g, f := newTestRegistry(), testFingerprint(1)
	noteSimultaneousCrashes(g, f, testStart, DefaultThreshold)
	if !g.Check(testStart.Add(trialDelay/2), f) {
		t.Error("not quarantined")
	}
	now := testStart.Add(trialDelay)
	if isQuarantined, isTrial := g.Admit(now, f); isQuarantined || !isTrial {
		t.Error("no trial was admitted")
	}
	if isQuarantined, _ := g.Admit(now.Add(time.Millisecond), f); !isQuarantined || !g.Check(now.Add(trialTimeout/2), f) {
		t.Error("a second trial was admitted")
	}
	peer := newTestRegistry()
	for _, r := range g.ToTell(now, 1) {
		peer.ApplyPeer(now, r, now)
	}
	if !peer.Check(now.Add(trialDelay), f) {
		t.Error("a peer that received the trial admits another trial")
	}
	g.NoteServed(now.Add(time.Second), f)
	if isQuarantined, isTrial := g.Admit(now.Add(time.Second), f); isQuarantined || isTrial {
		t.Error("not cleared")
	}
	crashing := testFingerprint(2)
	noteSimultaneousCrashes(g, crashing, testStart, 5)
	trials := 0
	for at := testStart; at.Before(testStart.Add(10 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		if _, isTrial := g.Admit(at, crashing); isTrial {
			trials++
			g.NoteCrash(at.Add(runDuration), crashing, NewCrash(fmt.Sprint("try", trials), "", at, at.Add(runDuration)))
		}
	}
	if trials != DefaultThreshold-1 {
		t.Errorf("%d trials of a content that crashes each target, want %d", trials, DefaultThreshold-1)
	}
}

// Guards against a host whose clock is far ahead: its clearance would hide all later crashes.
func TestTimesAheadOfTheClockAreClamped(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	g.ApplyPeer(testStart, Record{Content: f, Cleared: testStart.Add(time.Hour), Seen: testStart.Add(time.Hour)}, testStart)
	for i := range DefaultThreshold {
		noteTestCrash(g, testStart.Add(time.Duration(i+1)*time.Second), f, fmt.Sprintf("t%d", i))
	}
	if !g.Check(testStart.Add(time.Minute), f) {
		t.Error("a clearance with a time in the future hides later crashes")
	}
}

// A content stays quarantined as long as requests with it arrive, and for the hold after the last one.
func TestQuarantineIsExtendedWhileContentIsSeen(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(g, f, DefaultThreshold)
	now := testStart
	for range 5 {
		now = now.Add(DefaultHold - time.Minute)
		if !g.Check(now, f) {
			t.Fatalf("not quarantined %v after it was last seen", DefaultHold-time.Minute)
		}
	}
	if now = now.Add(DefaultHold + time.Second); g.Check(now, f) {
		t.Error("still quarantined after the hold")
	}
	g.Expire(now.Add(DefaultHold))
	if g.Len() != 0 {
		t.Error("an expired record is not discarded")
	}
}

// Guards against unbounded memory, and against the eviction of quarantined contents by many contents with one
// crash each.
func TestRecordsAreBounded(t *testing.T) {
	g, quarantined := newTestRegistry(), testFingerprint(0)
	noteTestCrashes(g, quarantined, DefaultThreshold)
	for i := range 3 * maxRecords {
		noteTestCrash(g, testStart.Add(time.Duration(i)*time.Millisecond), testFingerprint(i+1), "t")
	}
	if g.Len() > maxRecords || !g.Check(testStart.Add(time.Minute), quarantined) {
		t.Errorf("%d records, quarantined %v", g.Len(), g.Check(testStart.Add(time.Minute), quarantined))
	}
}

// A record is sent to peers at once and then at growing intervals.
func TestRecordsAreSentWithGrowingIntervals(t *testing.T) {
	g := newTestRegistry()
	noteTestCrash(g, testStart, testFingerprint(1), "t")
	sent := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 100 * time.Millisecond {
		sent += len(g.ToTell(testStart.Add(at), 8))
	}
	if first := g.ToTell(testStart, 8); sent < 10 || sent > 20 || len(first) != 0 {
		t.Errorf("sent %d times in 10 minutes", sent)
	}
}

// Guards against uncounted crashes and unlimited trials where a target restarts under the same id.
func TestRestartedTargetWithSameIDCountsAgain(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	for i := range DefaultThreshold {
		noteTestCrash(g, testStart.Add(time.Duration(i)*(minRestartDelay+runDuration)), f, "t")
	}
	if g.Crashes(f) != DefaultThreshold || !g.Check(testStart.Add(time.Minute), f) {
		t.Errorf("%d crashes", g.Crashes(f))
	}
}

// Guards against a process that starts while the store is unavailable and receives the quarantined contents
// only when their next send is due.
func TestQuarantinedRecordsAreResentToNewPeer(t *testing.T) {
	g := newTestRegistry()
	noteTestCrashes(g, testFingerprint(1), DefaultThreshold)
	noteTestCrashes(g, testFingerprint(2), 1)
	now := testStart.Add(time.Hour - time.Minute)
	g.ToTell(now, 8)
	g.TellAgain(now)
	if sent := g.ToTell(now, 8); len(sent) != 1 || sent[0].Content != testFingerprint(1) {
		t.Errorf("sent %+v, want the quarantined content", sent)
	}
}

// Guards against a message to peers for each rejected request.
func TestRejectionsAreNotAnnouncedEachTime(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(g, f, DefaultThreshold)
	sent := 0
	for at := time.Minute; at < 2*time.Minute; at += 10 * time.Millisecond {
		now := testStart.Add(at)
		g.Check(now, f)
		sent += len(g.ToTell(now, 8))
	}
	if sent > 10 {
		t.Errorf("sent %d times in a minute", sent)
	}
}

// Guards against a crash that peers never receive: the gateway that observed it receives a record of another
// crash before it has sent its own.
func TestReceivedRecordDoesNotSuppressOwnAnnouncement(t *testing.T) {
	g, peer := newTestRegistry(), newTestRegistry()
	noteTestCrash(g, testStart, testFingerprint(1), "own")
	noteTestCrash(peer, testStart, testFingerprint(1), "other")
	for _, r := range peer.ToTell(testStart, 8) {
		g.ApplyPeer(testStart, r, testStart)
	}
	if sent := g.ToTell(testStart, 8); len(sent) != 1 || len(sent[0].Crashes) != 2 {
		t.Errorf("sent %+v, want both crashes", sent)
	}
}

// Guards against records that each gateway forwards to all others: the number of messages would grow with the
// square of the number of gateways.
func TestReceivedRecordsAreNotForwarded(t *testing.T) {
	origin, peer := newTestRegistry(), newTestRegistry()
	noteTestCrashes(origin, testFingerprint(1), DefaultThreshold)
	for _, r := range origin.ToTell(testStart.Add(time.Minute), 8) {
		peer.ApplyPeer(testStart.Add(time.Minute), r, testStart.Add(time.Hour))
	}
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		if sent := peer.ToTell(testStart.Add(time.Minute+at), 8); len(sent) > 0 {
			t.Fatalf("forwarded after %v", at)
		}
	}
	peer.TellAgain(testStart.Add(11 * time.Minute))
	if len(peer.ToTell(testStart.Add(11*time.Minute), 8)) != 1 {
		t.Error("not sent to a peer that starts")
	}
}

// A record that the store lacks is written at once if this gateway observed the crash, later if a peer sent
// it, and not at all once the store has it.
func TestMissingRecordsAreWrittenToStore(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	noteTestCrash(g, testStart, f, "t0")
	due, _ := g.ToStore(testStart, 8)
	if len(due) != 1 {
		t.Fatalf("%d records to store", len(due))
	}
	g.NoteStored(due[0])
	if due, next := g.ToStore(testStart, 8); len(due) != 0 || !next.IsZero() {
		t.Error("written twice")
	}
	peer := Record{Content: f, Seen: testStart, Crashes: []Crash{{Target: 7, At: testStart}}}
	storeBy := testStart.Add(5 * time.Second)
	g.ApplyPeer(testStart, peer, storeBy)
	if due, next := g.ToStore(testStart, 8); len(due) != 0 || !next.Equal(storeBy) {
		t.Errorf("%d records due now, next at %v", len(due), next)
	}
	peer.Crashes = append(peer.Crashes, due[0].Crashes...)
	g.ApplyStored(testStart, peer, testStart)
	if due, next := g.ToStore(storeBy, 8); len(due) != 0 || !next.IsZero() {
		t.Error("scheduled for writing although the store has it")
	}
	g.DropStored(f, testStart)
	if due, _ := g.ToStore(testStart, 8); len(due) != 1 || len(due[0].Crashes) != 2 {
		t.Error("a record that another gateway removed too early is not written again")
	}
	if stored := g.Expire(testStart.Add(2 * suspectRetention)); len(stored) != 0 {
		t.Errorf("%d expired records to remove from the store, which does not hold them", len(stored))
	}
}

// Guards against a clearance that is written again each time it is read, because its time is encoded with
// less precision than it is kept.
func TestClearanceIsStoredOnce(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	now := testStart.Add(123456 * time.Nanosecond)
	noteTestCrash(g, now, f, "t")
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
		t.Error("scheduled for writing again")
	}
}

func TestRecordEncodingRoundTrip(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(g, f, 2)
	r := g.ToTell(testStart.Add(time.Minute), 1)[0]
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil || !got.covers(r, 0) || !r.covers(got, 0) || got.Content != f {
		t.Errorf("%+v, want %+v: %v", got, r, err)
	}
	for _, invalid := range [][]byte{nil, {0xa0}, []byte("text")} {
		if _, err := Decode(invalid); err == nil {
			t.Errorf("%q is decoded without an error", invalid)
		}
	}
}
