package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusramp/platform/wire"
	"arbutusramp/platform/wiretest"
)

const (
	// deadlyPart is the id of a part of prompts that crashes the targets of a partFleet.
	deadlyPart = "dead0bad"
	// stableWindow is how long after deadlyCrashes crashes under a part further requests with it may still reach targets.
	stableWindow  = 3 * time.Second
	deadlyCrashes = 5
	// maxReaches is how many requests with the part may reach targets later than that.
	maxReaches = 3
	// minBegunShare is the lowest share of the sound requests that are served at their first attempt from then on.
	minBegunShare = 0.8
)

// partFleet is a crashFleet whose targets crash when they begin to answer a request with deadlyPart in its prompt. It
// records when such requests reach targets.
type partFleet struct {
	*crashFleet
	mu      sync.Mutex
	reached []time.Time // when requests with the part have reached targets
	changed []string    // prompts that have reached targets in another form than the test sends
}

// newPartFleet returns a fleet of targets of s.
func newPartFleet(s *system, targetCount int) *partFleet {
	f := &partFleet{crashFleet: &crashFleet{s: s, downTime: 700 * time.Millisecond, eventGap: 15 * time.Millisecond, crashDelay: 60 * time.Millisecond}}
	f.isDeadly = func(header http.Header, _ []byte) bool {
		return strings.Contains(header.Get(wire.HeaderPromptPrefix), deadlyPart)
	}
	f.onRun = func(header http.Header, isDeadly bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if prompt := header.Get(wire.HeaderPromptPrefix); strings.Count(prompt, ",") != 2 || header.Get(wire.HeaderModel) != "m" {
			f.changed = append(f.changed, prompt)
		}
		if isDeadly {
			f.reached = append(f.reached, time.Now())
		}
	}
	for range targetCount {
		f.start()
	}
	return f
}

// limit returns from when on at most maxReaches requests may reach targets; the zero time before enough crashes.
func (f *partFleet) limit() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.reached) < deadlyCrashes {
		return time.Time{}
	}
	return f.reached[deadlyCrashes-1].Add(f.crashDelay + stableWindow)
}

// check reports the requests with the part that have reached targets later than allowed, and prompts that were changed.
func (f *partFleet) check() {
	f.s.t.Helper()
	limit, late := f.limit(), 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, at := range f.reached {
		if !limit.IsZero() && at.After(limit) {
			late++
		}
	}
	if late > maxReaches {
		f.s.t.Errorf("%d of %d requests with the part have reached targets later than 3 s after the fifth crash, want at most 3", late, len(f.reached))
	}
	if len(f.reached) < 3 {
		f.s.t.Errorf("%d requests with the part have reached targets, want at least 3", len(f.reached))
	}
	if len(f.changed) > 0 {
		f.s.t.Errorf("prompt %q has reached a target, want the one that was sent", f.changed[0])
	}
	f.s.t.Logf("%d requests with the part have reached targets, %d of them late", len(f.reached), late)
}

// promptOf returns the header that states three parts of a prompt.
func promptOf(first, middle, own string) string {
	return first + ":100," + middle + ":100," + own + ":250"
}

// Guards against a part of a prompt that crashes targets under contents that are new each time, while sound requests
// share their caller, their route and their other parts: it must not crash targets for good, and none of what it shares
// with sound requests may be blamed.
func TestPartOfAPromptThatCrashesTargetsIsQuarantined(t *testing.T) {
	for _, place := range []string{"first part", "middle part"} {
		for name, path := range map[string]string{"call": "/call/x", "stream": "/stream/x", "one attempt": "/once/x"} {
			t.Run(place+", "+name, func(t *testing.T) {
				t.Parallel()
				testDeadlyPart(t, place == "first part", path)
			})
		}
	}
}

// testDeadlyPart sends requests with the deadly part and, beside them, sound ones.
func testDeadlyPart(t *testing.T, isFirst bool, path string) {
	const (
		pause       = 100 * time.Millisecond
		requests    = 75
		promptWords = 60
		soundParts  = 40 // middle parts of sound requests
	)
	s := newSystemWithoutTargets(t, wiretest.Routes)
	f := newPartFleet(s, 6)
	s.startGateways(3)
	defer s.stopAll()
	defer f.replacements.Wait()
	rng := rand.New(rand.NewPCG(3, 1))
	var calls sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	for i := range requests {
		bad := promptOf("f1", deadlyPart, fmt.Sprintf("b%d", i))
		if isFirst {
			bad = promptOf(deadlyPart, fmt.Sprintf("c%d", i%3), fmt.Sprintf("b%d", i))
		}
		body := promptBody(rng, promptWords)
		calls.Go(func() {
			s.caller.Send(s.gateways[i%len(s.gateways)].CallerAddr(), http.MethodPost, path, fmt.Sprint("bad-", i), body, wire.HeaderPromptPrefix, bad, wire.HeaderModel, "m")
		})
		for j, g := range s.gateways {
			sound, body := promptOf("f1", fmt.Sprintf("c%d", rng.IntN(soundParts)), fmt.Sprintf("o%d-%d", i, j)), promptBody(rng, promptWords)
			limit := f.limit()
			calls.Go(func() {
				status, _ := s.caller.Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("sound-%d-%d", i, j), body, wire.HeaderPromptPrefix, sound, wire.HeaderModel, "m")
				mu.Lock()
				defer mu.Unlock()
				if !limit.IsZero() && time.Now().After(limit) {
					sent++
					if status == http.StatusOK {
						served++
					}
				}
			})
		}
		time.Sleep(pause)
	}
	calls.Wait()
	f.check()
	if float64(served) < minBegunShare*float64(sent) {
		t.Errorf("%d of %d sound requests were served from 3 s after the fifth crash on, want a share of at least 0.8", served, sent)
	}
	t.Logf("%d of %d sound requests served", served, sent)
}
