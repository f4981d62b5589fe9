package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// testStart is the time at which the tests and simulations begin.
var testStart = time.Date(2030, 1, 2, 3, 4, 5, 0, time.UTC)

func newTestRegistry() *Registry {
	return NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold})
}

func testFingerprint(i int) Fingerprint { return Fingerprint{byte(i), byte(i >> 8)} }

// runDuration is how long a run takes until its target crashes.
const runDuration = 100 * time.Millisecond

// noteTestCrash adds the crash of a target at the end of a run that took runDuration, and reports whether it
// is new. The process of the target is not identified.
func noteTestCrash(reg *Registry, at time.Time, f Fingerprint, target string) bool {
	return reg.NoteCrash(at, f, NewCrash(target, "", at.Add(-runDuration), at))
}

// noteTestCrashes adds the crashes of n targets, a second apart.
func noteTestCrashes(reg *Registry, f Fingerprint, n int) {
	for i := range n {
		noteTestCrash(reg, testStart.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
	}
}

// A content is quarantined at the third target that crashes while running it, and each target counts once.
func TestContentIsQuarantinedAtThreshold(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(reg, f, 2)
	if noteTestCrash(reg, testStart.Add(50*time.Millisecond), f, "t0") {
		t.Error("second report of the crash of target t0: reported as new, want known")
	}
	if n, _ := reg.CountQuarantined(); reg.Check(testStart.Add(6*time.Second), f) || n != 0 {
		t.Error("content is quarantined after the crashes of 2 targets, want only after 3")
	}
	isNew := noteTestCrash(reg, testStart.Add(7*time.Second), f, "t2")
	if n, _ := reg.CountQuarantined(); !isNew || !reg.Check(testStart.Add(8*time.Second), f) || n != 1 {
		t.Error("crash of the third target: not reported as new, or the content is not the 1 quarantined one, want both")
	}
	if reg.Check(testStart, testFingerprint(2)) {
		t.Error("a content without crashes is quarantined")
	}
}

// Guards against the quarantine of a harmless content that many callers send: it is in progress
// wherever a target crashes.
func TestServedContentIsNotQuarantined(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	for i := range 9 {
		now := testStart.Add(time.Duration(i) * time.Second)
		noteTestCrash(reg, now, f, fmt.Sprintf("t%d", i))
		if i%2 == 1 && !reg.NoteServed(now.Add(time.Millisecond), f) {
			t.Error("NoteServed after two crashes: reports that none were cleared, want true")
		}
		if reg.Check(now, f) {
			t.Fatalf("content that is served after every second crash is quarantined at crash %d, want never", i)
		}
	}
}

// Gateways that observe one crash each reach the same result in whatever order they exchange records, and a
// clearance removes the crashes before it even if a peer sends them again.
func TestRecordsMergeInAnyOrder(t *testing.T) {
	f := testFingerprint(1)
	var records []Record
	for i := range DefaultThreshold {
		reg := newTestRegistry()
		noteTestCrash(reg, testStart.Add(time.Duration(i)*time.Second), f, fmt.Sprintf("t%d", i))
		records = append(records, reg.DueForPeers(testStart.Add(time.Minute), 1)...)
	}
	for first := range records {
		reg := newTestRegistry()
		now := testStart.Add(time.Minute)
		for i := range records {
			reg.ApplyPeer(now, records[(first+i)%len(records)], now)
		}
		if !reg.Check(now, f) {
			t.Errorf("content is not quarantined after three records with one crash each, record %d applied first", first)
		}
		if reg.ApplyPeer(now, records[first], now) {
			t.Error("record that was applied before is reported as new")
		}
		cleared := Record{Content: f, ClearedAt: now}
		if !reg.ApplyPeer(now, cleared, now) || reg.Check(now, f) || reg.ApplyPeer(now, records[0], now) && reg.CrashCount(f) > 0 {
			t.Error("clearance is not reported as new, or the content is still quarantined or has crashes after it")
		}
	}
}

// Guards against the permanent rejection of a harmless content that many callers send, after several targets
// that are lost together have crashed while running it: one request is sent as a trial, and a successful
// response clears the content. A content that causes crashes gets a limited number of trials.
func TestSimultaneousCrashesAdmitTrials(t *testing.T) {
	noteSimultaneousCrashes := func(reg *Registry, f Fingerprint, at time.Time, n int) {
		for i := range n {
			reg.NoteCrash(at, f, NewCrash(fmt.Sprint(at, i), "", at.Add(-runDuration), at))
		}
	}
	reg, f := newTestRegistry(), testFingerprint(1)
	noteSimultaneousCrashes(reg, f, testStart, DefaultThreshold)
	if !reg.Check(testStart.Add(trialDelay/2), f) {
		t.Error("content is not quarantined after three simultaneous crashes")
	}
	now := testStart.Add(trialDelay)
	if isQuarantined, isTrial := reg.Admit(now, f); isQuarantined || !isTrial {
		t.Error("request after the trial delay is not admitted as a trial")
	}
	if isQuarantined, _ := reg.Admit(now.Add(time.Millisecond), f); !isQuarantined || !reg.Check(now.Add(trialTimeout/2), f) {
		t.Error("second request is admitted while the result of the trial is not known, want it rejected")
	}
	peer := newTestRegistry()
	for _, r := range reg.DueForPeers(now, 1) {
		peer.ApplyPeer(now, r, now)
	}
	if !peer.Check(now.Add(trialDelay), f) {
		t.Error("peer that received the record with the trial admits another trial")
	}
	reg.NoteServed(now.Add(time.Second), f)
	if isQuarantined, isTrial := reg.Admit(now.Add(time.Second), f); isQuarantined || isTrial {
		t.Error("content that the trial has served is still quarantined")
	}
	crashing := testFingerprint(2)
	noteSimultaneousCrashes(reg, crashing, testStart, 5)
	trials := 0
	for at := testStart; at.Before(testStart.Add(10 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		if _, isTrial := reg.Admit(at, crashing); isTrial {
			trials++
			reg.NoteCrash(at.Add(runDuration), crashing, NewCrash(fmt.Sprint("try", trials), "", at, at.Add(runDuration)))
		}
	}
	if trials != DefaultThreshold-1 {
		t.Errorf("content that crashes each target: %d trials, want %d", trials, DefaultThreshold-1)
	}
}

// Guards against a host whose clock is far ahead: if its clearance kept its time, it would remove all crashes
// until then.
func TestTimesAheadOfTheClockAreClamped(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	reg.ApplyPeer(testStart, Record{Content: f, ClearedAt: testStart.Add(time.Hour), LastSeen: testStart.Add(time.Hour)}, testStart)
	for i := range DefaultThreshold {
		noteTestCrash(reg, testStart.Add(time.Duration(i+1)*time.Second), f, fmt.Sprintf("t%d", i))
	}
	if !reg.Check(testStart.Add(time.Minute), f) {
		t.Error("content is not quarantined after three crashes that follow a clearance with a time an hour ahead")
	}
}

// A content stays quarantined as long as requests with it arrive, and for DefaultHold after the last one.
func TestQuarantineIsExtendedWhileContentIsSeen(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(reg, f, DefaultThreshold)
	now := testStart
	for range 5 {
		now = now.Add(DefaultHold - time.Minute)
		if !reg.Check(now, f) {
			t.Fatalf("content is not quarantined %v after the last request, want the whole hold", DefaultHold-time.Minute)
		}
	}
	if now = now.Add(DefaultHold + time.Second); reg.Check(now, f) {
		t.Error("content is still quarantined later than the hold after the last request")
	}
	reg.Expire(now.Add(DefaultHold))
	if reg.Len() != 0 {
		t.Error("record is not discarded after it has expired")
	}
}

// Guards against unbounded memory, and against the eviction of quarantined contents by many contents with one
// crash each.
func TestRecordsAreBounded(t *testing.T) {
	reg, quarantined := newTestRegistry(), testFingerprint(0)
	noteTestCrashes(reg, quarantined, DefaultThreshold)
	for i := range 3 * maxRecords {
		noteTestCrash(reg, testStart.Add(time.Duration(i)*time.Millisecond), testFingerprint(i+1), "t")
	}
	if reg.Len() > maxRecords || !reg.Check(testStart.Add(time.Minute), quarantined) {
		t.Errorf("%d records after three times the maximum, content with three crashes quarantined: %v, want at most the maximum and true", reg.Len(), reg.Check(testStart.Add(time.Minute), quarantined))
	}
}

// A record is sent to peers at once and then at growing intervals.
func TestRecordsAreSentWithGrowingIntervals(t *testing.T) {
	reg := newTestRegistry()
	noteTestCrash(reg, testStart, testFingerprint(1), "t")
	sendCount := 0
	for at := time.Duration(0); at < 10*time.Minute; at += 100 * time.Millisecond {
		sendCount += len(reg.DueForPeers(testStart.Add(at), 8))
	}
	if dueAgain := reg.DueForPeers(testStart, 8); sendCount < 10 || sendCount > 20 || len(dueAgain) != 0 {
		t.Errorf("record was sent %d times in 10 minutes, want 10 to 20, and none due again at the start time", sendCount)
	}
}

// Guards against uncounted crashes, and thus unlimited trials, if a target restarts under the same id.
func TestRestartedTargetWithSameIDCountsAgain(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	for i := range DefaultThreshold {
		noteTestCrash(reg, testStart.Add(time.Duration(i)*(minRestartDelay+runDuration)), f, "t")
	}
	if reg.CrashCount(f) != DefaultThreshold || !reg.Check(testStart.Add(time.Minute), f) {
		t.Errorf("%d crashes counted of a target that crashed and restarted three times, want 3 and a quarantine", reg.CrashCount(f))
	}
}

// Guards against a process that starts while the store is unavailable and receives the records of quarantined
// contents only after up to maxSendInterval, when they are next sent.
func TestQuarantinedRecordsAreResentToNewPeer(t *testing.T) {
	reg := newTestRegistry()
	noteTestCrashes(reg, testFingerprint(1), DefaultThreshold)
	noteTestCrashes(reg, testFingerprint(2), 1)
	now := testStart.Add(time.Hour - time.Minute)
	reg.DueForPeers(now, 8)
	reg.ResendQuarantined(now)
	if sent := reg.DueForPeers(now, 8); len(sent) != 1 || sent[0].Content != testFingerprint(1) {
		t.Errorf("sent %+v to a peer that has started, want only the record of the quarantined content", sent)
	}
}

// Guards against a message to peers for each rejected request.
func TestRejectionsAreNotAnnouncedEachTime(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(reg, f, DefaultThreshold)
	sendCount := 0
	for at := time.Minute; at < 2*time.Minute; at += 10 * time.Millisecond {
		now := testStart.Add(at)
		reg.Check(now, f)
		sendCount += len(reg.DueForPeers(now, 8))
	}
	if sendCount > 10 {
		t.Errorf("record was sent %d times in a minute with 6000 rejected requests, want at most 10", sendCount)
	}
}

// Guards against a crash that peers never receive: the gateway that observed it receives a record of another
// crash before it has sent its own.
func TestReceivedRecordDoesNotSuppressOwnAnnouncement(t *testing.T) {
	reg, peer := newTestRegistry(), newTestRegistry()
	noteTestCrash(reg, testStart, testFingerprint(1), "own")
	noteTestCrash(peer, testStart, testFingerprint(1), "other")
	for _, r := range peer.DueForPeers(testStart, 8) {
		reg.ApplyPeer(testStart, r, testStart)
	}
	if sent := reg.DueForPeers(testStart, 8); len(sent) != 1 || len(sent[0].Crashes) != 2 {
		t.Errorf("sent %+v, want one record with 2 crashes: the observed and the received one", sent)
	}
}

// Guards against records that each gateway forwards to all others: the number of messages would grow with the
// square of the number of gateways.
func TestReceivedRecordsAreNotForwarded(t *testing.T) {
	origin, peer := newTestRegistry(), newTestRegistry()
	noteTestCrashes(origin, testFingerprint(1), DefaultThreshold)
	for _, r := range origin.DueForPeers(testStart.Add(time.Minute), 8) {
		peer.ApplyPeer(testStart.Add(time.Minute), r, testStart.Add(time.Hour))
	}
	for at := time.Duration(0); at < 10*time.Minute; at += time.Second {
		if sent := peer.DueForPeers(testStart.Add(time.Minute+at), 8); len(sent) > 0 {
			t.Fatalf("record from a peer is sent to other peers after %v, want never", at)
		}
	}
	peer.ResendQuarantined(testStart.Add(11 * time.Minute))
	if len(peer.DueForPeers(testStart.Add(11*time.Minute), 8)) != 1 {
		t.Error("ResendQuarantined did not make the record received from a peer due, want it sent to newly started peers")
	}
}

// A record that the store lacks is written at once if this gateway observed the crash, later if a peer sent
// it, and not at all once the store has it.
func TestMissingRecordsAreWrittenToStore(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	noteTestCrash(reg, testStart, f, "t0")
	due, _ := reg.DueForStore(testStart, 8)
	if len(due) != 1 {
		t.Fatalf("%d records due for the store after a crash that this gateway observed, want 1", len(due))
	}
	reg.NoteStored(due[0])
	if due, next := reg.DueForStore(testStart, 8); len(due) != 0 || !next.IsZero() {
		t.Error("record that was just written is due for the store again")
	}
	peerRecord := Record{Content: f, LastSeen: testStart, Crashes: []Crash{{TargetDigest: 7, BrokenAt: testStart}}}
	storeBy := testStart.Add(5 * time.Second)
	reg.ApplyPeer(testStart, peerRecord, storeBy)
	if due, next := reg.DueForStore(testStart, 8); len(due) != 0 || !next.Equal(storeBy) {
		t.Errorf("record with a crash from a peer: %d records due for the store now, next at %v, want 0 now and the next in 5 s", len(due), next)
	}
	peerRecord.Crashes = append(peerRecord.Crashes, due[0].Crashes...)
	reg.ApplyStored(testStart, peerRecord, testStart)
	if due, next := reg.DueForStore(storeBy, 8); len(due) != 0 || !next.IsZero() {
		t.Error("record that was read from the store is due for the store")
	}
	reg.DropStored(f, testStart)
	if due, _ := reg.DueForStore(testStart, 8); len(due) != 1 || len(due[0].Crashes) != 2 {
		t.Error("record that another gateway removed from the store too early is not due for the store with both crashes")
	}
	if stored := reg.Expire(testStart.Add(2 * suspectRetention)); len(stored) != 0 {
		t.Errorf("%d expired records to remove from the store, want 0, as it does not hold them", len(stored))
	}
}

// Guards against a clearance that is written to the store again each time it is read from there: its encoded
// time has a precision of a millisecond, and a time kept here with more precision would always be later.
func TestClearanceIsStoredOnce(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	now := testStart.Add(123456 * time.Nanosecond) // not a whole millisecond
	noteTestCrash(reg, now, f, "t")
	reg.NoteServed(now.Add(time.Second), f)
	due, _ := reg.DueForStore(now.Add(time.Second), 1)
	data, err := due[0].Encode()
	if err != nil {
		t.Fatal(err)
	}
	stored, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	reg.ApplyStored(now.Add(time.Second), stored, now)
	if due, next := reg.DueForStore(now.Add(time.Minute), 1); len(due) != 0 || !next.IsZero() {
		t.Error("clearance that was read from the store is due for the store again")
	}
}

// A record is the same after it was encoded and decoded, and invalid data is rejected.
func TestRecordEncodingRoundTrip(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	noteTestCrashes(reg, f, 2)
	r := reg.DueForPeers(testStart.Add(time.Minute), 1)[0]
	data, err := r.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	if err != nil || !decoded.covers(r, 0) || !r.covers(decoded, 0) || decoded.Content != f {
		t.Errorf("decoded record %+v, want %+v; error: %v", decoded, r, err)
	}
	for _, invalid := range [][]byte{nil, {0xa0}, []byte("text")} {
		if _, err := Decode(invalid); err == nil {
			t.Errorf("invalid record %q is decoded without an error", invalid)
		}
	}
}
