package quarantine

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// subject is a request of the content i of the scope that all contents of the tests share.
func subject(i int) Subject {
	return Subject{Content: content(i), Scopes: []Fingerprint{content(1000)}, Narrow: 1}
}

// crash notes that a target has crashed under a run of the content that began runTime before and had not passed.
func crash(g *Registry, at time.Time, s Subject, start string) {
	c := NewCrash(start, start, at.Add(-runTime), at)
	g.NoteCrash(at, s.Content, c)
	g.NoteScopeCrash(at, s, c)
}

// crashInTurn has targets crash one after the other, a second apart, under the first n contents.
func crashInTurn(g *Registry, n int) (last time.Time) {
	for i := range n {
		last = start.Add(time.Duration(i) * time.Second)
		crash(g, last, subject(i), fmt.Sprint("start-", i))
	}
	return last
}

func TestWhatQuarantinesAScope(t *testing.T) {
	for name, c := range map[string]struct {
		play func(g *Registry)
		want bool
	}{
		"three contents in turn": {func(g *Registry) { crashInTurn(g, DefaultThreshold) }, true},
		"two contents in turn":   {func(g *Registry) { crashInTurn(g, DefaultThreshold-1) }, false},
		"one content three times": {func(g *Registry) {
			for i := range DefaultThreshold {
				crash(g, start.Add(time.Duration(i)*time.Second), subject(1), fmt.Sprint(i))
			}
		}, false},
		"together": {func(g *Registry) {
			for i := range 5 {
				crash(g, start, subject(i), fmt.Sprint(i))
			}
		}, false},
		"one target under three contents": {func(g *Registry) {
			for i := range DefaultThreshold {
				crash(g, start.Add(time.Duration(i)*time.Second), subject(i), "start")
			}
		}, false},
		"a new content passes between them": {func(g *Registry) {
			crashInTurn(g, DefaultThreshold-1)
			g.NotePassed(start.Add(1500*time.Millisecond), subject(20))
			crash(g, start.Add(2*time.Second), subject(2), "last")
		}, false},
		"a content that has passed before passes between them": {func(g *Registry) {
			known := subject(20)
			known.HasPassed = true
			crashInTurn(g, DefaultThreshold-1)
			g.NotePassed(start.Add(1500*time.Millisecond), known)
			crash(g, start.Add(2*time.Second), subject(2), "last")
		}, true},
	} {
		g := newTestRegistry()
		c.play(g)
		if got := g.CheckScopes(start.Add(3*time.Second), subject(50)); got != c.want {
			t.Errorf("%s: quarantined %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a quarantine of what contents share that also keeps back those that targets have answered.
func TestAContentThatHasPassedIsNotHeldBackByItsScope(t *testing.T) {
	g := newTestRegistry()
	now := crashInTurn(g, DefaultThreshold).Add(time.Millisecond)
	known := subject(50)
	known.HasPassed = true
	if g.CheckScopes(now, known) || g.IsSuspect(known) {
		t.Error("held back")
	}
	crash(g, now, known, "another")
	if !g.CheckScopes(now.Add(time.Millisecond), known) {
		t.Error("not held back although a target has crashed under it since")
	}
}

// Guards against a scope that is held back for good, and against tries that crash one target after the other.
func TestAScopeIsTriedEverLessOften(t *testing.T) {
	g := newTestRegistry()
	last := crashInTurn(g, DefaultThreshold)
	var tries []time.Duration
	for at := last; at.Before(last.Add(2 * time.Minute)); at = at.Add(100 * time.Millisecond) {
		s := subject(100 + len(tries))
		if _, isTry := g.AdmitScopes(at, s); isTry {
			tries = append(tries, at.Sub(last))
			crash(g, at.Add(runTime), s, fmt.Sprint("try-", len(tries)))
		}
	}
	if len(tries) < 3 || len(tries) > 4 || tries[0] < firstScopeTry {
		t.Fatalf("tried after %v", tries)
	}
	for i := range len(tries) - 1 {
		if gap, next := tries[i], tries[i+1]-tries[i]; next < gap {
			t.Errorf("tried after %v", tries)
		}
	}
	g.NotePassed(last.Add(3*time.Minute), subject(200))
	if g.CheckScopes(last.Add(3*time.Minute), subject(201)) {
		t.Error("not cleared by a try that passes")
	}
}

// Guards against taking two crashes for one, or one for two, where the clocks of gateways differ.
func TestCrashesAreToldApartByTheStartsOfTargets(t *testing.T) {
	const skew = 10 * time.Second
	g, f := newTestRegistry(), content(1)
	at := start
	for range 3 { // seen by gateways whose clocks differ
		g.NoteCrash(start, f, NewCrash("t", "t@1", at.Add(-runTime), at))
		at = at.Add(skew)
	}
	if n := g.Crashes(f); n != 1 {
		t.Errorf("%d crashes of one start", n)
	}
	g.NoteCrash(start, f, NewCrash("t", "t@2", start.Add(200*time.Millisecond), start.Add(300*time.Millisecond)))
	if n := g.Crashes(f); n != 2 {
		t.Errorf("%d crashes of two starts", n)
	}
}

// Guards against tries without end at gateways whose clocks differ: what follows on what shows by what was known when a run began.
func TestCrashesFollowOnEachOtherByWhatWasKnown(t *testing.T) {
	g, f := newTestRegistry(), content(1)
	for i := range DefaultThreshold {
		now := start.Add(time.Duration(i) * time.Second)
		ahead := now.Add(time.Duration(DefaultThreshold-i) * 3 * time.Second) // each gateway's clock is behind that of the one before
		c := NewCrash("t", fmt.Sprint(i), now.Add(-runTime), now)
		c.Began, c.At = c.Began.Add(ahead.Sub(now)), c.At.Add(ahead.Sub(now))
		seen := newTestRegistry() // at the gateway that has the run
		for _, r := range g.ToTell(now, 1) {
			seen.ApplyPeer(now.Add(-2*runTime), r, now)
		}
		seen.NoteCrash(now, f, c)
		for _, r := range seen.ToTell(now, 1) {
			g.ApplyPeer(now, r, now)
		}
	}
	if !g.Check(start.Add(time.Minute), f) {
		t.Error("crashes that followed on each other are taken for ones that came together")
	}
}

// Guards against gateways that come to different verdicts on a scope, by the order in which they hear of crashes and passes.
func TestScopeRecordsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 8).Draw(t, "records") {
			g := newTestRegistry()
			second := rapid.IntRange(0, 8).Draw(t, "second") // of the one crash of a start
			at := start.Add(time.Duration(second) * time.Second)
			s := subject(rapid.IntRange(0, 3).Draw(t, "content"))
			crash(g, at, s, fmt.Sprint(second))
			if rapid.Bool().Draw(t, "passed") {
				g.NotePassed(at.Add(500*time.Millisecond), subject(100+i))
			}
			records = append(records, g.ToTell(at.Add(time.Minute), 8)...)
		}
		order := rapid.Permutation(records).Draw(t, "order")
		now := start.Add(5 * time.Minute)
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
			s := subject(i)
			if a, b := one.Check(now, s.Content), other.Check(now, s.Content); a != b {
				t.Errorf("content %d: %v and %v", i, a, b)
			}
			if a, b := one.CheckScopes(now, s), other.CheckScopes(now, s); a != b {
				t.Errorf("scope of content %d: %v and %v", i, a, b)
			}
		}
	})
}

// Guards against a message of another gateway that names fewer details than crashes.
func TestAMessageWithMissingDetailsIsRefused(t *testing.T) {
	g := newTestRegistry()
	noteCrashes(g, content(1), 2)
	m := g.ToTell(start.Add(time.Minute), 1)[0].Message()
	m.Details = m.Details[:1]
	if _, err := m.Record(); err == nil {
		t.Error("taken")
	}
}
