package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// exchangeRecords applies the records of reg to a registry of a peer, in their encoded form, and returns the peer's.
func exchangeRecords(t *testing.T, reg *Registry, now time.Time) *Registry {
	t.Helper()
	peer := newTestRegistry()
	for _, r := range reg.Records() {
		m, err := r.Message().Record()
		if err != nil {
			t.Fatal(err)
		}
		peer.ApplyPeer(now, m, now)
	}
	return peer
}

// Guards against a route that is closed to all callers because of the crashes of one: of its address, or of similar
// bodies that it sends from several ones. If crashes have neither in common, the resource is still quarantined.
func TestNarrowScopesSpareBroaderOnes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	text := func() string { return randomText(rng, 300) }
	varied := text()
	for name, test := range map[string]struct {
		crashing func(i int) Subject
		wantKind string // of the scope that blocks the crashing caller
		// wantOthersBlocked: another address with another content is blocked as well.
		wantOthersBlocked bool
	}{
		"one address":                {func(int) Subject { return subjectOf(text(), "10.0.0.1") }, "caller", false},
		"similar bodies":             {func(i int) Subject { return subjectOf(fmt.Sprint(varied, i), fmt.Sprint("10.0.1.", i)) }, "similar", false},
		"nothing but the resource":   {func(i int) Subject { return subjectOf(text(), fmt.Sprint("10.0.1.", i)) }, "resource", true},
		"similar bodies, no address": {func(i int) Subject { return subjectOf(fmt.Sprint(varied, i), "") }, "similar", false},
	} {
		t.Run(name, func(t *testing.T) {
			reg := newTestRegistry()
			now := testStart
			for i := range DefaultThreshold {
				now = testStart.Add(time.Duration(i) * time.Second)
				noteScopedCrash(reg, now, test.crashing(i), fmt.Sprint("start-", i))
			}
			now = now.Add(time.Millisecond)
			other := subjectOf(text(), "10.0.0.2")
			for who, reg := range map[string]*Registry{"observer": reg, "peer": exchangeRecords(t, reg, now)} {
				if b, isBlocked := reg.BlockingScope(now, test.crashing(9)); !isBlocked || b.Kind != test.wantKind || !b.Until.After(now) {
					t.Errorf("%s: crashing caller blocked %v by %+v, want by a scope of kind %s until a later time", who, isBlocked, b, test.wantKind)
				}
				if got := reg.CheckScopes(now, other); got != test.wantOthersBlocked {
					t.Errorf("%s: another caller blocked: %v, want %v", who, got, test.wantOthersBlocked)
				}
			}
		})
	}
}

// Guards against a route that is closed to a workspace whose requests were running at each target that another
// workspace has crashed.
func TestWorkspaceBesideCrashesIsNotBlocked(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	reg := newTestRegistry()
	varied := randomText(rng, 300)
	other := func() Subject {
		s := subjectOf(randomText(rng, 300), "10.0.0.2")
		s.Scopes = []Fingerprint{testFingerprint(1), testFingerprint(2)} // of another workspace
		return s
	}
	now := testStart
	for i := range DefaultThreshold {
		now = testStart.Add(time.Duration(i) * time.Second)
		s := other()
		s.Caller = Fingerprint{}
		for _, subject := range []Subject{s, subjectOf(fmt.Sprint(varied, i), "10.0.0.1")} {
			noteScopedCrash(reg, now, subject, fmt.Sprint("start-", i))
		}
	}
	now = now.Add(time.Millisecond)
	if reg.CheckScopes(now, other()) || !reg.CheckScopes(now, subjectOf(varied, "10.0.0.1")) {
		t.Errorf("workspace beside the crashes blocked: %v, want false; similar request of the other one: %v, want true",
			reg.CheckScopes(now, other()), reg.CheckScopes(now, subjectOf(varied, "10.0.0.1")))
	}
}

// Guards against a harmless request that clears the similarity scopes of contents that it hardly resembles, so that
// these crash targets again; one that resembles them clears the scopes.
func TestPassClearsOnlyResembledScopes(t *testing.T) {
	crashing := Subject{Content: testFingerprint(1), Similar: []Fingerprint{{1, 1}, {1, 2}, {1, 3}, {1, 4}, {1, 5}}}
	reg := newTestRegistry()
	for i := range DefaultThreshold {
		s := crashing
		s.Content = testFingerprint(10 + i)
		noteScopedCrash(reg, testStart.Add(time.Duration(i)*time.Second), s, fmt.Sprint("start-", i))
	}
	now := testStart.Add(3 * time.Second)
	pass := func(i int, shared []Fingerprint) {
		reg.NotePassed(now, Subject{Content: testFingerprint(i), Similar: shared})
	}
	pass(20, crashing.Similar[:2])
	pass(21, crashing.Similar[2:4])
	if !reg.CheckScopes(now, crashing) {
		t.Error("similar contents are not blocked after the passes of two that each share 2 of 5 scopes, want them blocked")
	}
	pass(22, crashing.Similar[:4])
	if reg.CheckScopes(now, crashing) {
		t.Error("similar contents are blocked after the pass of one that shares 4 of 5 scopes, want them sent")
	}
}
