package quarantine

import (
	"fmt"
	"testing"
	"time"

	"arbutusramp/core/serving"
)

// partSim feeds one registry with runs of requests that have parts of prompts.
type partSim struct {
	registry *Registry
	passes   *PassTimes
	now      time.Time
	crashes  int // so far, for the ids of targets
	contents int // so far
}

func newPartSim() *partSim {
	passes := NewPassTimes()
	return &partSim{registry: NewRegistry(Options{Threshold: DefaultThreshold, Hold: DefaultHold, Passes: passes}), passes: passes, now: testStart}
}

// request returns a request with a content of its own and the parts.
func (s *partSim) request(parts ...string) Subject {
	s.contents++
	own := fmt.Sprintf("own-%d", s.contents)
	r := &serving.Request{Method: "POST", Host: "h", URI: "/x", Body: []byte(own), Prompt: serving.Prompt{Model: "m", Parts: append(parts, own)}}
	return NewContent(r).SetRoute("route").Subject()
}

// crash has one target crash 100 ms after it began to run the requests, and then waits for a second.
func (s *partSim) crash(requests ...Subject) {
	beganAt := s.now
	s.now = s.now.Add(100 * time.Millisecond)
	s.crashes++
	id := fmt.Sprint("t", s.crashes)
	for _, r := range requests {
		c := NewCrash(id, id, beganAt, s.now)
		s.registry.NoteCrash(s.now, r.Content, c)
		s.registry.NoteScopeCrash(s.now, r, c)
	}
	s.now = s.now.Add(time.Second)
}

// pass has a run of a request with the parts pass.
func (s *partSim) pass(parts ...string) {
	s.now = s.now.Add(100 * time.Millisecond)
	r := s.request(parts...)
	s.passes.Note(s.now, r.Parts)
	s.registry.NotePassed(s.now, r)
}

// passLate has a run of a request with the parts pass now whose answer began before everything else.
func (s *partSim) passLate(parts ...string) {
	r := s.request(parts...)
	r.AnsweredAt = testStart
	s.passes.Note(r.AnsweredAt, r.Parts)
	s.registry.NotePassed(s.now, r)
}

// isBlocked reports whether a request with the parts is blocked because of them, but for trials.
func (s *partSim) isBlocked(parts ...string) bool {
	return len(s.registry.blamedIn(s.now, s.request(parts...))) > 0
}

// Guards against blaming what a request that crashes targets shares with sound ones, and against not blaming what crashes
// share and passes do not.
func TestBlamedParts(t *testing.T) {
	crashOf := func(parts ...string) func(*partSim) { return func(s *partSim) { s.crash(s.request(parts...)) } }
	passOf := func(parts ...string) func(*partSim) { return func(s *partSim) { s.pass(parts...) } }
	together := func(groups ...[]string) func(*partSim) {
		return func(s *partSim) {
			var list []Subject
			for _, parts := range groups {
				list = append(list, s.request(parts...))
			}
			s.crash(list...)
		}
	}
	bad := func(first string) []func(*partSim) {
		return []func(*partSim){crashOf(first, "bad"), crashOf(first, "bad"), crashOf(first, "bad")}
	}
	for _, test := range []struct {
		name    string
		steps   []func(*partSim)
		blocked [][]string
		free    [][]string
	}{
		{"two crashes", bad("f")[:2], nil, [][]string{{"f", "bad"}}},
		{"the first part passes", append([]func(*partSim){passOf("f", "x")}, bad("f")...), [][]string{{"f", "bad"}, {"g", "bad"}}, [][]string{{"f", "x"}, {"g", "y"}}},
		{"nothing passes: only what has both parts", bad("f"), [][]string{{"f", "bad"}}, [][]string{{"f", "x"}, {"g", "bad"}}},
		{"a sound request decides", append(bad("f"), passOf("f", "x")), [][]string{{"g", "bad"}}, [][]string{{"f", "x"}}},
		{"a crash decides", append(bad("f"), crashOf("g", "bad")), [][]string{{"f", "bad"}, {"h", "bad"}}, [][]string{{"f", "x"}, {"g", "x"}}},
		{"the first part is bad", []func(*partSim){crashOf("bad", "x"), crashOf("bad", "y"), crashOf("bad", "z")}, [][]string{{"bad", "w"}}, [][]string{{"f", "x"}}},
		{"sound requests run beside", []func(*partSim){passOf("f", "x"), together([]string{"f", "bad"}, []string{"f", "y"}), together([]string{"f", "bad"}, []string{"f", "y"}),
			passOf("f", "y"), together([]string{"f", "bad"}, []string{"f", "y"})}, [][]string{{"f", "bad"}}, [][]string{{"f", "y"}, {"f", "x"}}},
		{"two bad parts, the first part passes", []func(*partSim){crashOf("f", "bad"), crashOf("f", "ill"), passOf("f", "x"), crashOf("f", "bad"), crashOf("f", "ill"), crashOf("f", "bad"), crashOf("f", "ill")},
			[][]string{{"f", "bad"}, {"f", "ill"}}, [][]string{{"f", "x"}}},
		{"two bad parts, a sound request afterwards", []func(*partSim){crashOf("f", "bad"), crashOf("f", "ill"), crashOf("f", "bad"), crashOf("f", "ill"), crashOf("f", "bad"), crashOf("f", "ill"), passOf("f", "x")},
			[][]string{{"f", "bad"}, {"f", "ill"}}, [][]string{{"f", "x"}}},
		{"a part that passed before turns bad", append([]func(*partSim){passOf("f", "bad"), passOf("f", "x")}, append(bad("f"), passOf("f", "x"))...), [][]string{{"g", "bad"}}, [][]string{{"f", "x"}}},
		{"a run that was answered before the part turned bad ends", []func(*partSim){passOf("f", "x"), crashOf("f", "bad"), crashOf("f", "bad"), func(s *partSim) { s.passLate("f", "bad") }, crashOf("f", "bad")},
			[][]string{{"g", "bad"}}, [][]string{{"f", "x"}}},
		{"a pass clears", append(append([]func(*partSim){passOf("f", "x")}, bad("f")...), passOf("g", "bad")), nil, [][]string{{"f", "bad"}, {"g", "bad"}}},
		{"what is left after a pass is blamed", append(bad("f"), passOf("g", "bad")), [][]string{{"f", "x"}}, [][]string{{"g", "bad"}}},
	} {
		s := newPartSim()
		for _, step := range test.steps {
			step(s)
		}
		for _, parts := range test.blocked {
			if !s.isBlocked(parts...) {
				t.Errorf("%s: request with parts %v is not blocked", test.name, parts)
			}
		}
		for _, parts := range test.free {
			if s.isBlocked(parts...) {
				t.Errorf("%s: request with parts %v is blocked", test.name, parts)
			}
		}
	}
}

// Guards against trials that crash targets for good, and against a part that is blocked for good although it passes.
func TestTrialsOfAPartAreBounded(t *testing.T) {
	s := newPartSim()
	s.pass("f", "x")
	for range DefaultThreshold {
		s.crash(s.request("f", "bad"))
	}
	trials := 0
	for range 24 * 60 * 6 { // a request each 10 s for a day
		s.now = s.now.Add(10 * time.Second)
		r := s.request("f", "bad")
		if _, isBlocked := s.registry.BlockingScope(s.now, r); isBlocked {
			continue
		}
		if _, isTrial := s.registry.AdmitScopes(s.now, r); !isTrial {
			t.Fatal("a request with the blamed part is sent and not noted as a trial")
		}
		trials++
		s.crash(r)
	}
	if trials != maxPartTrials+1 {
		t.Errorf("%d trials of a part that crashes targets, want %d", trials, maxPartTrials+1)
	}
	s.pass("g", "bad")
	if s.isBlocked("f", "bad") {
		t.Error("a part that has passed is blocked")
	}
}

// Guards against a trial that says nothing about the blamed part, because another part of its request may be bad.
func TestTrialsHaveNoOtherPartWithCrashes(t *testing.T) {
	s := newPartSim()
	for range 2 {
		s.crash(s.request("f", "bad"))
		s.crash(s.request("f", "ill"))
	}
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "bad")); !isBlocked {
		t.Error("a request with another part with crashes is sent as a trial")
	}
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "x")); isBlocked {
		t.Error("a request with no other part with crashes is not sent as a trial")
	}
	s.now = s.now.Add(mixedTrialDelay)
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "bad")); isBlocked {
		t.Error("no trial is sent although there is no other request for a long time")
	}
}

// Guards against blaming a part of many requests where targets are lost together for another reason.
func TestTargetsLostTogetherBlameNoPart(t *testing.T) {
	s := newPartSim()
	for i := range 3 * DefaultThreshold {
		id := fmt.Sprint("t", i)
		r, c := s.request("f", fmt.Sprint("x", i)), NewCrash(id, id, s.now, s.now.Add(100*time.Millisecond).Add(time.Duration(i)*time.Millisecond))
		s.registry.NoteCrash(s.now, r.Content, c)
		s.registry.NoteScopeCrash(s.now, r, c)
	}
	if s.isBlocked("f", "y") {
		t.Error("a part is blamed for targets that were lost within 10 ms")
	}
}

// Guards against a young gateway that blames a common part because it has not seen it pass: a peer tells it.
func TestPassesOfPartsAreShared(t *testing.T) {
	old, young := newPartSim(), newPartSim()
	old.pass("f", "x")
	for range DefaultThreshold {
		old.now, young.now = old.now.Add(time.Second), old.now.Add(time.Second)
		young.crashes = old.crashes
		young.crash(young.request("f", "bad"))
		old.crashes = young.crashes
		for _, r := range young.registry.DueForPeers(young.now, 1000) {
			old.registry.ApplyPeer(old.now, r, old.now)
		}
	}
	for _, r := range old.registry.DueForPeers(old.now, 1000) {
		young.registry.ApplyPeer(young.now, r, young.now)
	}
	for name, s := range map[string]*partSim{"old": old, "young": young} {
		if s.isBlocked("f", "x") || !s.isBlocked("g", "bad") {
			t.Errorf("%s gateway: request with the common part blocked %t, with the bad one %t; want only the second", name, s.isBlocked("f", "x"), s.isBlocked("g", "bad"))
		}
	}
}

// Guards against state that grows with the parts of callers' prompts.
func TestPartStateIsBounded(t *testing.T) {
	s := newPartSim()
	for i := range 3 * maxPartRecords {
		s.crash(s.request(fmt.Sprint("a", i), fmt.Sprint("b", i)))
		s.pass(fmt.Sprint("c", i), fmt.Sprint("d", i), fmt.Sprint("e", i))
	}
	if n := s.registry.Len(); n > maxRecords+maxPartRecords {
		t.Errorf("%d records, want at most %d", n, maxRecords+maxPartRecords)
	}
	if n := len(s.passes.current) + len(s.passes.previous); n > 2*passTimesGenerationSize {
		t.Errorf("%d pass times, want at most %d", n, 2*passTimesGenerationSize)
	}
	r := s.registry.Records()[0]
	if got, err := r.Message().Record(); err != nil || got.Kind != r.Kind {
		t.Errorf("record of kind %d read back as kind %d, error %v", r.Kind, got.Kind, err)
	}
}

// Guards against a caller or route that is held back for long, because targets have crashed under several parts or
// contents before any of these is found, although a request without any of them would pass.
func TestScopeIsTriedWithSoundRequest(t *testing.T) {
	s := newPartSim()
	s.pass("f", "x")
	s.crash(s.request("f", "bad"))
	s.crash(s.request("f", "ill"))
	s.crash(s.request("f", "bad"))
	s.now = s.now.Add(-time.Second)
	if b, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "y")); !isBlocked || b.Kind == KindPart {
		t.Fatalf("request on a route with three crashes: blocked %t by %s, want by its resource or route", isBlocked, b.Kind)
	}
	s.now = s.now.Add(trialDelay)
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "bad")); !isBlocked {
		t.Error("a request with a part that may be bad is sent as a trial of its route")
	}
	sound := s.request("f", "y")
	if isQuarantined, isTrial := s.registry.AdmitScopes(s.now, sound); isQuarantined || !isTrial {
		t.Errorf("sound request: quarantined %t, sent as a trial %t; want a trial", isQuarantined, isTrial)
	}
	if isQuarantined, _ := s.registry.AdmitScopes(s.now, s.request("f", "z")); !isQuarantined {
		t.Error("a second sound request is sent before the result of the trial is known")
	}
	s.now = s.now.Add(100 * time.Millisecond)
	s.registry.NotePassed(s.now, sound)
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("f", "z")); isBlocked {
		t.Error("the route is blocked after a trial has passed")
	}
}

// Guards against early trials that let a caller crash targets for good, whose requests have new parts each time.
func TestEarlyTrialsOfAScopeGetRarer(t *testing.T) {
	const maxTrials = 8 // delays of 0.3 s that double, in a minute
	s := newPartSim()
	for i := range DefaultThreshold {
		s.crash(s.request(fmt.Sprint("n", i)))
	}
	trials := 0
	for until := s.now.Add(time.Minute); s.now.Before(until); s.now = s.now.Add(100 * time.Millisecond) {
		r := s.request(fmt.Sprint("new", s.contents))
		if isQuarantined, _ := s.registry.AdmitScopes(s.now, r); !isQuarantined {
			trials++
			s.crash(r)
		}
	}
	if trials < 3 || trials > maxTrials {
		t.Errorf("%d trials in a minute of a route on which each request crashes a target, want 3 to %d", trials, maxTrials)
	}
}

// Guards against an outage from the start on: many targets crash together before anything has passed, under requests with
// a deadly part that share their first part with the sound ones beside them. The shared part has more crashes than the
// deadly one; it must be tried before it is blocked for good.
func TestPartIsTriedBeforeItIsClosed(t *testing.T) {
	s := newPartSim()
	for range DefaultThreshold + maxPartTrials + 1 {
		s.crash(s.request("shared", "bad"), s.request("shared", fmt.Sprint("m", s.crashes)))
		s.now = s.now.Add(-time.Second + 2*minCrashGap)
	}
	s.crash(s.request("shared", "m")) // the target was lost for another reason
	if !s.isBlocked("shared", "other") {
		t.Fatal("the shared part is not blamed, want it blamed before anything has passed")
	}
	const within = time.Second
	deadline := s.now.Add(within)
	for {
		sound := s.request("shared", "other")
		if _, isBlocked := s.registry.BlockingScope(s.now, sound); !isBlocked {
			if _, isTrial := s.registry.AdmitScopes(s.now, sound); !isTrial {
				t.Error("a sound request is sent and not noted as a trial")
			}
			s.passes.Note(s.now, sound.Parts)
			s.registry.NotePassed(s.now, sound)
			break
		}
		if s.now = s.now.Add(50 * time.Millisecond); s.now.After(deadline) {
			t.Fatalf("no sound request was sent within %v", within)
		}
	}
	if s.isBlocked("shared", "other") || !s.isBlocked("shared", "bad") {
		t.Errorf("sound requests blocked: %t, those with the deadly part: %t; want only the latter", s.isBlocked("shared", "other"), s.isBlocked("shared", "bad"))
	}
}

// Guards against an outage of a minute because a trial has ended without a result: its target was lost for another reason,
// or has rejected it.
func TestPartIsTriedAgainAfterTrialWithoutResult(t *testing.T) {
	s := newPartSim()
	for range DefaultThreshold + maxPartTrials {
		s.crash(s.request("shared", fmt.Sprint("m", s.crashes)))
	}
	const trials = 3
	for i := range trials {
		deadline := s.now.Add(trialTimeout + time.Second)
		for {
			if _, isBlocked := s.registry.BlockingScope(s.now, s.request("shared", "other")); !isBlocked {
				break
			}
			if s.now = s.now.Add(50 * time.Millisecond); s.now.After(deadline) {
				t.Fatalf("trial %d was not sent within %v", i+1, trialTimeout+time.Second)
			}
		}
		s.registry.AdmitScopes(s.now, s.request("shared", "other"))
		s.now = s.now.Add(time.Millisecond)
		if !s.isBlocked("shared", "other") {
			t.Fatal("the part is not blocked after a trial without a result")
		}
	}
	s.now = s.now.Add(-time.Millisecond)
	s.crash(s.request("shared", "other")) // in the last trial
	s.now = s.now.Add(lateTrialDelay / 2)
	if _, isBlocked := s.registry.BlockingScope(s.now, s.request("shared", "other")); !isBlocked {
		t.Error("a request is sent although the last trial has crashed its target, want none before the late trial")
	}
}
