package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// testSubject returns a request with content i in the scope that all contents of the tests share.
func testSubject(i int) Subject {
	return Subject{Content: testFingerprint(i), Scopes: []Fingerprint{testFingerprint(1000)}, Narrow: 1}
}

// noteScopedCrash adds the crash of a target during a run of the content that began runDuration before and
// had not passed.
func noteScopedCrash(g *Registry, at time.Time, s Subject, instance string) {
	c := NewCrash(instance, instance, at.Add(-runDuration), at)
	g.NoteCrash(at, s.Content, c)
	g.NoteScopeCrash(at, s, c)
}

// noteSequentialCrashes makes targets crash one after another, a second apart, while running the first n
// contents.
func noteSequentialCrashes(g *Registry, n int) (last time.Time) {
	for i := range n {
		last = testStart.Add(time.Duration(i) * time.Second)
		noteScopedCrash(g, last, testSubject(i), fmt.Sprint("start-", i))
	}
	return last
}

func TestScopeQuarantineConditions(t *testing.T) {
	for name, c := range map[string]struct {
		setup func(g *Registry)
		want  bool
	}{
		"three contents in turn": {func(g *Registry) { noteSequentialCrashes(g, DefaultThreshold) }, true},
		"two contents in turn":   {func(g *Registry) { noteSequentialCrashes(g, DefaultThreshold-1) }, false},
		"one content three times": {func(g *Registry) {
			for i := range DefaultThreshold {
				noteScopedCrash(g, testStart.Add(time.Duration(i)*time.Second), testSubject(1), fmt.Sprint(i))
			}
		}, false},
		"together": {func(g *Registry) {
			for i := range 5 {
				noteScopedCrash(g, testStart, testSubject(i), fmt.Sprint(i))
			}
		}, false},
		"one target under three contents": {func(g *Registry) {
			for i := range DefaultThreshold {
				noteScopedCrash(g, testStart.Add(time.Duration(i)*time.Second), testSubject(i), "start")
			}
		}, false},
		"a new content passes in between": {func(g *Registry) {
			noteSequentialCrashes(g, DefaultThreshold-1)
			g.NotePassed(testStart.Add(1500*time.Millisecond), testSubject(20))
			noteScopedCrash(g, testStart.Add(2*time.Second), testSubject(2), "last")
		}, false},
		"a content that passed before passes in between": {func(g *Registry) {
			passed := testSubject(20)
			passed.HasPassed = true
			noteSequentialCrashes(g, DefaultThreshold-1)
			g.NotePassed(testStart.Add(1500*time.Millisecond), passed)
			noteScopedCrash(g, testStart.Add(2*time.Second), testSubject(2), "last")
		}, true},
	} {
		g := newTestRegistry()
		c.setup(g)
		if got := g.CheckScopes(testStart.Add(3*time.Second), testSubject(50)); got != c.want {
			t.Errorf("%s: quarantined %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a scope's quarantine that also rejects contents whose runs have passed.
func TestPassedContentIsNotBlockedByScope(t *testing.T) {
	g := newTestRegistry()
	now := noteSequentialCrashes(g, DefaultThreshold).Add(time.Millisecond)
	passed := testSubject(50)
	passed.HasPassed = true
	if g.CheckScopes(now, passed) || g.IsSuspect(passed) {
		t.Error("blocked by its scope")
	}
	noteScopedCrash(g, now, passed, "another")
	if !g.CheckScopes(now.Add(time.Millisecond), passed) {
		t.Error("not blocked although a target has crashed since it passed")
	}
}

// Guards against a scope that stays blocked permanently, and against trials that crash one target after
// another.
func TestScopeTrialsBackOff(t *testing.T) {
	g := newTestRegistry()
	last := noteSequentialCrashes(g, DefaultThreshold)
	var trials []time.Duration
	for at := last; at.Before(last.Add(2 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		s := testSubject(100 + len(trials))
		if _, isTrial := g.AdmitScopes(at, s); isTrial {
			trials = append(trials, at.Sub(last))
			noteScopedCrash(g, at.Add(runDuration), s, fmt.Sprint("try-", len(trials)))
		}
	}
	if len(trials) < 3 || len(trials) > 4 || trials[0] < minScopeTrialDelay {
		t.Fatalf("trials after %v", trials)
	}
	for i := range len(trials) - 1 {
		if gap, next := trials[i], trials[i+1]-trials[i]; next < gap {
			t.Errorf("trials after %v", trials)
		}
	}
	g.NotePassed(last.Add(3*time.Minute), testSubject(200))
	if g.CheckScopes(last.Add(3*time.Minute), testSubject(201)) {
		t.Error("not cleared by a trial that passes")
	}
}

// Guards against counting one crash twice, or two crashes once, where the clocks of gateways differ.
func TestCrashesAreDistinguishedByTargetStart(t *testing.T) {
	const skew = 10 * time.Second
	g, f := newTestRegistry(), testFingerprint(1)
	at := testStart
	for range 3 { // observed by gateways whose clocks differ
		g.NoteCrash(testStart, f, NewCrash("t", "t@1", at.Add(-runDuration), at))
		at = at.Add(skew)
	}
	if n := g.Crashes(f); n != 1 {
		t.Errorf("%d crashes of one start", n)
	}
	g.NoteCrash(testStart, f, NewCrash("t", "t@2", testStart.Add(200*time.Millisecond), testStart.Add(300*time.Millisecond)))
	if n := g.Crashes(f); n != 2 {
		t.Errorf("%d crashes of two starts", n)
	}
}

// Guards against unlimited trials at gateways whose clocks differ: the order of crashes follows from the
// crashes known when a run began.
func TestSequentialCrashesWithSkewedClocks(t *testing.T) {
	g, f := newTestRegistry(), testFingerprint(1)
	for i := range DefaultThreshold {
		now := testStart.Add(time.Duration(i) * time.Second)
		skewedNow := now.Add(time.Duration(DefaultThreshold-i) * 3 * time.Second) // each gateway's clock is behind that of the previous one
		c := NewCrash("t", fmt.Sprint(i), now.Add(-runDuration), now)
		c.Began, c.At = c.Began.Add(skewedNow.Sub(now)), c.At.Add(skewedNow.Sub(now))
		observer := newTestRegistry() // of the gateway that has the run
		for _, r := range g.ToTell(now, 1) {
			observer.ApplyPeer(now.Add(-2*runDuration), r, now)
		}
		observer.NoteCrash(now, f, c)
		for _, r := range observer.ToTell(now, 1) {
			g.ApplyPeer(now, r, now)
		}
	}
	if !g.Check(testStart.Add(time.Minute), f) {
		t.Error("sequential crashes are treated as simultaneous")
	}
}

// Guards against gateways that reach different results for a scope depending on the order in which they
// receive crashes and passes.
func TestScopeRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			g := newTestRegistry()
			second := rapid.IntRange(0, 8).Draw(t, "second") // time of the only crash of a start
			at := testStart.Add(time.Duration(second) * time.Second)
			s := testSubject(rapid.IntRange(0, 3).Draw(t, "content"))
			noteScopedCrash(g, at, s, fmt.Sprint(second))
			if rapid.Bool().Draw(t, "passed") {
				g.NotePassed(at.Add(500*time.Millisecond), testSubject(100+i))
			}
			records = append(records, g.ToTell(at.Add(time.Minute), 8)...)
		}
		order := rapid.Permutation(records).Draw(t, "order")
		now := testStart.Add(5 * time.Minute)
		one, other := newTestRegistry(), newTestRegistry()
		for _, r := range records {
			one.ApplyPeer(now, r, now)
		}
		for _, r := range order {
			m, err := r.Message().Record()
			if err != nil {
				t.Fatal(err)
			}
			other.ApplyPeer(now, m, now)
		}
		for i := range 4 {
			s := testSubject(i)
			if a, b := one.Check(now, s.Content), other.Check(now, s.Content); a != b {
				t.Errorf("content %d: %v and %v", i, a, b)
			}
			if a, b := one.CheckScopes(now, s), other.CheckScopes(now, s); a != b {
				t.Errorf("scope of content %d: %v and %v", i, a, b)
			}
		}
	})
}

// Guards against accepting a message from another gateway with fewer details than crashes.
func TestMessageWithMissingDetailsIsRejected(t *testing.T) {
	g := newTestRegistry()
	noteTestCrashes(g, testFingerprint(1), 2)
	m := g.ToTell(testStart.Add(time.Minute), 1)[0].Message()
	m.Details = m.Details[:1]
	if _, err := m.Record(); err == nil {
		t.Error("taken")
	}
}
