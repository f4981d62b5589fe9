package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testSubject returns the subject of a request with content i in the one scope that all contents of the tests
// share.
func testSubject(i int) Subject {
	return Subject{Content: testFingerprint(i), Scopes: []Fingerprint{testFingerprint(1000)}}
}

// noteScopedCrash adds the crash of a target while it ran a request that was sent runDuration before and had
// not passed. id is the id of the target and of its process.
func noteScopedCrash(reg *Registry, at time.Time, s Subject, id string) {
	c := NewCrash(id, id, at.Add(-runDuration), at)
	reg.NoteCrash(at, s.Content, c)
	reg.NoteScopeCrash(at, s, c)
}

// noteSequentialCrashes adds the crashes of n targets, a second apart, each while running another content. It
// returns the time of the last one.
func noteSequentialCrashes(reg *Registry, n int) (lastCrashAt time.Time) {
	for i := range n {
		lastCrashAt = testStart.Add(time.Duration(i) * time.Second)
		noteScopedCrash(reg, lastCrashAt, testSubject(i), fmt.Sprint("start-", i))
	}
	return lastCrashAt
}

// A scope is quarantined if three targets have crashed one after another while running different contents of
// it, and no run of a content that had not passed before has passed in between.
func TestScopeQuarantineConditions(t *testing.T) {
	for name, test := range map[string]struct {
		setup func(reg *Registry)
		want  bool
	}{
		"three targets crash in turn while running three contents": {func(reg *Registry) { noteSequentialCrashes(reg, DefaultThreshold) }, true},
		"two targets crash in turn while running two contents":     {func(reg *Registry) { noteSequentialCrashes(reg, DefaultThreshold-1) }, false},
		"three targets crash in turn while running one content": {func(reg *Registry) {
			for i := range DefaultThreshold {
				noteScopedCrash(reg, testStart.Add(time.Duration(i)*time.Second), testSubject(1), fmt.Sprint(i))
			}
		}, false},
		"together": {func(reg *Registry) {
			for i := range 5 {
				noteScopedCrash(reg, testStart, testSubject(i), fmt.Sprint(i))
			}
		}, false},
		"one target is reported as crashed while running three contents": {func(reg *Registry) {
			for i := range DefaultThreshold {
				noteScopedCrash(reg, testStart.Add(time.Duration(i)*time.Second), testSubject(i), "start")
			}
		}, false},
		"a run of a content that never passed before passes in between": {func(reg *Registry) {
			noteSequentialCrashes(reg, DefaultThreshold-1)
			reg.NotePassed(testStart.Add(1500*time.Millisecond), testSubject(20))
			noteScopedCrash(reg, testStart.Add(2*time.Second), testSubject(2), "last")
		}, false},
		"a run of a content that has passed before passes in between": {func(reg *Registry) {
			passed := testSubject(20)
			passed.HasPassed = true
			noteSequentialCrashes(reg, DefaultThreshold-1)
			reg.NotePassed(testStart.Add(1500*time.Millisecond), passed)
			noteScopedCrash(reg, testStart.Add(2*time.Second), testSubject(2), "last")
		}, true},
	} {
		reg := newTestRegistry()
		test.setup(reg)
		if got := reg.CheckScopes(testStart.Add(3*time.Second), testSubject(50)); got != test.want {
			t.Errorf("%s: scope quarantined: %v, want %v", name, got, test.want)
		}
	}
}

// Guards against a scope's quarantine that also rejects contents whose runs have passed.
func TestPassedContentIsNotBlockedByScope(t *testing.T) {
	reg := newTestRegistry()
	now := noteSequentialCrashes(reg, DefaultThreshold).Add(time.Millisecond)
	passed := testSubject(50)
	passed.HasPassed = true
	if reg.CheckScopes(now, passed) {
		t.Error("content whose run has passed is rejected because of its scope")
	}
	noteScopedCrash(reg, now, passed, "another")
	if !reg.CheckScopes(now.Add(time.Millisecond), passed) {
		t.Error("content whose run has passed is not rejected because of its scope after a target crashed while running it")
	}
}

// Guards against a scope that stays quarantined permanently, and against trials that crash one target after
// another at short intervals.
func TestScopeTrialsBackOff(t *testing.T) {
	reg := newTestRegistry()
	lastCrashAt := noteSequentialCrashes(reg, DefaultThreshold)
	var trials []time.Duration
	for at := lastCrashAt; at.Before(lastCrashAt.Add(2 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		s := testSubject(100 + len(trials))
		if _, isTrial := reg.AdmitScopes(at, s); isTrial {
			trials = append(trials, at.Sub(lastCrashAt))
			noteScopedCrash(reg, at.Add(runDuration), s, fmt.Sprint("try-", len(trials)))
		}
	}
	if len(trials) < 3 || len(trials) > 4 || trials[0] < minScopeTrialDelay {
		t.Fatalf("trials at %v after the last crash, want 3 or 4 in 2 minutes, the first after 5 s or more", trials)
	}
	for i := range len(trials) - 1 {
		if previousDelay, delay := trials[i], trials[i+1]-trials[i]; delay < previousDelay {
			t.Errorf("trials at %v after the last crash, want intervals between them that do not shrink", trials)
		}
	}
	reg.NotePassed(lastCrashAt.Add(3*time.Minute), testSubject(200))
	if reg.CheckScopes(lastCrashAt.Add(3*time.Minute), testSubject(201)) {
		t.Error("scope is still quarantined after the run of a trial has passed")
	}
}

// Guards against counting one crash twice, or two crashes once, if the clocks of gateways differ: the id of
// the target's process distinguishes crashes.
func TestCrashesAreDistinguishedByTargetStart(t *testing.T) {
	const skew = 10 * time.Second
	reg, f := newTestRegistry(), testFingerprint(1)
	at := testStart
	for range 3 { // observed by gateways whose clocks differ
		reg.NoteCrash(testStart, f, NewCrash("t", "t@1", at.Add(-runDuration), at))
		at = at.Add(skew)
	}
	if n := reg.CrashCount(f); n != 1 {
		t.Errorf("%d crashes counted of one process of the target, observed by three gateways, want 1", n)
	}
	reg.NoteCrash(testStart, f, NewCrash("t", "t@2", testStart.Add(200*time.Millisecond), testStart.Add(300*time.Millisecond)))
	if n := reg.CrashCount(f); n != 2 {
		t.Errorf("%d crashes counted of two processes of the target, want 2", n)
	}
}

// Guards against unlimited trials if the clocks of gateways differ: the number of crashes that were known
// when a run began shows which crashes are sequential, even if the times do not.
func TestSequentialCrashesWithSkewedClocks(t *testing.T) {
	reg, f := newTestRegistry(), testFingerprint(1)
	for i := range DefaultThreshold {
		now := testStart.Add(time.Duration(i) * time.Second)
		skewedNow := now.Add(time.Duration(DefaultThreshold-i) * 3 * time.Second) // each gateway's clock is behind that of the previous one
		c := NewCrash("t", fmt.Sprint(i), now.Add(-runDuration), now)
		c.BeganAt, c.BrokenAt = c.BeganAt.Add(skewedNow.Sub(now)), c.BrokenAt.Add(skewedNow.Sub(now))
		observer := newTestRegistry() // registry of the gateway that sent the request
		for _, r := range reg.DueForPeers(now, 1) {
			observer.ApplyPeer(now.Add(-2*runDuration), r, now)
		}
		observer.NoteCrash(now, f, c)
		for _, r := range observer.DueForPeers(now, 1) {
			reg.ApplyPeer(now, r, now)
		}
	}
	if !reg.Check(testStart.Add(time.Minute), f) {
		t.Error("content is not quarantined: three sequential crashes are counted as simultaneous")
	}
}

// Guards against gateways that reach different results for a scope because they receive records with crashes
// and clearances in different orders.
func TestScopeRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			reg := newTestRegistry()
			second := rapid.IntRange(0, 8).Draw(t, "second") // of the crash; also identifies the target and its process
			at := testStart.Add(time.Duration(second) * time.Second)
			s := testSubject(rapid.IntRange(0, 3).Draw(t, "content"))
			noteScopedCrash(reg, at, s, fmt.Sprint(second))
			if rapid.Bool().Draw(t, "passed") {
				reg.NotePassed(at.Add(500*time.Millisecond), testSubject(100+i))
			}
			records = append(records, reg.DueForPeers(at.Add(time.Minute), 8)...)
		}
		reordered := rapid.Permutation(records).Draw(t, "order")
		now := testStart.Add(5 * time.Minute)
		original, permuted := newTestRegistry(), newTestRegistry()
		for _, r := range records {
			original.ApplyPeer(now, r, now)
		}
		for _, r := range reordered {
			m, err := r.Message().Record()
			if err != nil {
				t.Fatal(err)
			}
			permuted.ApplyPeer(now, m, now)
		}
		for i := range 4 {
			s := testSubject(i)
			if a, b := original.Check(now, s.Content), permuted.Check(now, s.Content); a != b {
				t.Errorf("content %d quarantined: %v with records in the original order, %v in another, want the same", i, a, b)
			}
			if a, b := original.CheckScopes(now, s), permuted.CheckScopes(now, s); a != b {
				t.Errorf("scope of content %d quarantined: %v with records in the original order, %v in another, want the same", i, a, b)
			}
		}
	})
}

// Guards against accepting a message from another gateway that has the details of fewer crashes than it lists.
func TestMessageWithMissingDetailsIsRejected(t *testing.T) {
	reg := newTestRegistry()
	noteTestCrashes(reg, testFingerprint(1), 2)
	m := reg.DueForPeers(testStart.Add(time.Minute), 1)[0].Message()
	m.Details = m.Details[:1]
	if _, err := m.Record(); err == nil {
		t.Error("message with 2 crashes and the details of 1 is decoded without an error")
	}
}
