package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/platform/wiretest"
)

// Workspaces of TestCrashingCallerDoesNotBlockOthers, which are also their API keys.
const (
	crashingWorkspace = "crashing"
	otherWorkspaces   = 3 // "other-0", "other-1" and so on
	ownAddress        = "no workspaces, own address and new contents"
)

// promptBody returns the body of a request with a prompt of words words after the instructions that all callers of
// an application share.
func promptBody(rng *rand.Rand, words int) string {
	var b strings.Builder
	b.WriteString(`{"model":"m-large","messages":[{"role":"system","content":"You are a helpful assistant. Answer briefly."},{"role":"user","content":"`)
	for range words {
		for range 2 + rng.IntN(8) {
			b.WriteByte(byte('a' + rng.IntN(26)))
		}
		b.WriteByte(' ')
	}
	b.WriteString(`"}]}`)
	return b.String()
}

// withChangedByte returns the body with another digit at one of its last 200 positions.
func withChangedByte(rng *rand.Rand, body string) string {
	changed := []byte(body)
	changed[len(changed)-1-rng.IntN(200)] = byte('0' + rng.IntN(10))
	return string(changed)
}

// answerCounts counts the answers to the requests of the callers whose contents crash no target.
type answerCounts struct {
	mu           sync.Mutex
	served, lost int
	unserved     map[string]int // other answers, by their text without digits
}

// note counts an answer. A request counts as lost by a crash, and not by the quarantine, if the gateway reports that
// a target may have run it and failed, or aborts an answer that has begun.
func (c *answerCounts) note(status int, text string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	hasFailedRun := strings.Contains(text, string(errs.TargetFailed)) || strings.Contains(text, string(errs.StreamBroken))
	switch {
	case status == http.StatusOK:
		c.served++
	case status == 0 && strings.Contains(text, "EOF"), hasFailedRun && strings.Contains(text, `"ran":"unknown"`):
		c.lost++
	default:
		c.unserved[fmt.Sprint(status, " ", strings.Trim(text, "\n"))]++
	}
}

// Guards against a quarantine that is an outage by itself: it must not reject requests whose contents were never sent
// before because one caller crashes targets with contents that differ in a byte from each other or, from its own
// address, with contents that share nothing.
func TestCrashingCallerDoesNotBlockOthers(t *testing.T) {
	for _, workspaces := range []string{"same workspace", "other workspaces", "no workspaces", ownAddress} {
		for name, path := range map[string]string{"call": "/call/x", "stream": "/stream/x", "one attempt": "/once/x"} {
			t.Run(workspaces+"/"+name, func(t *testing.T) {
				t.Parallel()
				testCrashingCaller(t, workspaces, path)
			})
		}
	}
}

// testCrashingCaller sends contents that crash targets and, at each gateway at the same time, contents that were never
// sent before, and checks how many of those are served and how many targets crash.
func testCrashingCaller(t *testing.T, workspaces, path string) {
	const (
		downTime       = 700 * time.Millisecond
		eventGap       = 10 * time.Millisecond
		pause          = 150 * time.Millisecond
		repeats        = 60
		firstCrashes   = 3
		minServedShare = 0.95
		promptWords    = 60
	)
	crashing, others := []string{""}, []string{""}
	config := wiretest.Routes
	if workspaces == "same workspace" || workspaces == "other workspaces" {
		keys := map[string][]string{crashingWorkspace: {crashingWorkspace}}
		crashing, others = []string{crashingWorkspace}, []string{crashingWorkspace}
		if workspaces == "other workspaces" {
			others = nil
			for i := range otherWorkspaces {
				name := fmt.Sprint("other-", i)
				keys[name], others = []string{name}, append(others, name)
			}
		}
		config = wiretest.RoutesWithKeys(1, keys, nil)
	}
	s := newSystemWithoutTargets(t, config)
	f := newCrashFleet(s, 6)
	f.downTime, f.eventGap = downTime, eventGap
	s.startGateways(3)
	defer s.stopAll()
	defer f.replacements.Wait()
	rng := rand.New(rand.NewPCG(1, 1))
	crashingCaller := s.caller.WithKey(crashing[0])
	if workspaces == ownAddress {
		crashingCaller = wiretest.NewCallerFrom("127.0.0.2", callTimeout, maxIdleConns)
	}
	crashingBody := crashBody + promptBody(rng, promptWords)
	var requests sync.WaitGroup
	answers := &answerCounts{unserved: make(map[string]int)}
	for i := range repeats {
		repeat := withChangedByte(rng, crashingBody)
		if workspaces == ownAddress {
			repeat = crashBody + promptBody(rng, promptWords)
		}
		requests.Go(func() {
			crashingCaller.Send(s.gateways[i%len(s.gateways)].CallerAddr(), http.MethodPost, path, fmt.Sprint("crashing-", i), repeat)
		})
		for j, g := range s.gateways {
			body, key := promptBody(rng, promptWords), others[(i+j)%len(others)]
			requests.Go(func() {
				answers.note(s.caller.WithKey(key).Send(g.CallerAddr(), http.MethodPost, path, fmt.Sprintf("other-%d-%d", i, j), body))
			})
		}
		time.Sleep(pause)
	}
	requests.Wait()
	crashes := f.crashCount()
	if late := crashes - firstCrashes; late > maxCrashes || crashes < firstCrashes {
		t.Errorf("%d targets have crashed, want at least 3 and at most 6 after the first three", crashes)
	}
	// A crash may lose all requests that the target was running, and no others.
	if answers.lost > crashes*targetSlots {
		t.Errorf("%d requests reported as lost by %d crashes, want at most 8 for each", answers.lost, crashes)
	}
	if n := repeats*len(s.gateways) - answers.lost; float64(answers.served) < minServedShare*float64(n) {
		t.Errorf("%d of %d requests of others served, want a share of at least 0.95; %d lost by crashes, other answers: %v", answers.served, n, answers.lost, answers.unserved)
	}
	t.Logf("%d crashes; %d of %d requests of others served, %d lost by crashes", crashes, answers.served, repeats*len(s.gateways), answers.lost)
}
