package online_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
	"arbutusramp/standin/service"
	"arbutusramp/test/cluster"
)

// keyed is a call that must not be repeated, with its key.
type keyed struct {
	key    string
	issued time.Time
}

func newKeyed(name string, n int) []keyed {
	now := time.Now()
	all := make([]keyed, n)
	for i := range all {
		all[i] = keyed{fmt.Sprintf("%s-%d", name, i), now}
	}
	return all
}

// sendKeyed sends k once, as attempt try of its client.
func (w *world) sendKeyed(entry *cluster.Process, k keyed, try int) reply {
	body := []byte("slot of " + k.key)
	req := w.request(w.ctx, entry, http.MethodPost, "/svc/"+string(cluster.Service)+"/confirm", body)
	req.Header.Set("X-Request-Id", fmt.Sprintf("%s-try-%d", k.key, try))
	req.Header.Set("Idempotency-Key", k.key)
	req.Header.Set("Idempotency-Issued", strconv.FormatInt(k.issued.UnixMilli(), 10))
	return w.call(req, string(body))
}

// ranByKey is how often calls with the key took effect.
func (w *world) ranByKey(key string) (n int) {
	for _, s := range w.Services {
		n += s.KeyCalls(key)
	}
	return n
}

// awaitKeys waits until every side has run for long enough to answer for new keys.
func (w *world) awaitKeys(t *testing.T) {
	t.Helper()
	answered := make(map[string]bool)
	i := 0
	w.await(t, "every side takes keys", func() bool {
		i++
		r := w.sendKeyed(w.Entries[0], keyed{fmt.Sprintf("await-%d", i), time.Now()}, 0)
		if r.whole {
			answered[r.target] = true
		}
		return len(answered) == len(w.ServiceSides)
	})
}

func startKeyed(t *testing.T) *world {
	t.Helper()
	w := startWorld(t, cluster.Options{
		Domains: 2, Entries: 2, Services: 3, ServiceLatency: 30 * time.Millisecond,
	})
	w.awaitKeys(t)
	return w
}

// checkOnce fails for calls that ran more than once, or of which a reply says something untrue.
func (w *world) checkOnce(t *testing.T, k keyed, replies ...reply) {
	t.Helper()
	ran := w.ranByKey(k.key)
	if ran > 1 {
		t.Errorf("%s ran %d times", k.key, ran)
	}
	for _, r := range replies {
		if r.wrong != "" {
			t.Errorf("%s: %s", k.key, r.wrong)
		}
		if r.whole && ran != 1 {
			t.Errorf("%s got an answer and ran %d times", k.key, ran)
		}
	}
}

// Symptom: two advisers go to the same person: a call ran twice.
// Events: a client loses patience and sends its call again, several times at once and through
// both entries, while the first is running.
// Cause: each entry sends the call to a target of its own choice.
func TestResendsThroughOtherEntriesRunOnce(t *testing.T) {
	t.Parallel()
	w := startKeyed(t)
	const resends = 6
	calls := newKeyed("resend", 60)
	replies := make([][resends]reply, len(calls))
	var g sync.WaitGroup
	for i, k := range calls {
		for try := range resends {
			g.Go(func() { replies[i][try] = w.sendKeyed(w.Entries[try%2], k, try) })
		}
	}
	g.Wait()
	for i, k := range calls {
		w.checkOnce(t, k, replies[i][:]...)
		whole := 0
		for _, r := range replies[i] {
			switch {
			case r.whole:
				whole++
			case r.err == nil || r.err.Type != errs.KeyInProgress:
				t.Errorf("%s: %v", k.key, r)
			}
		}
		if whole == 0 {
			t.Errorf("%s: nobody got the answer", k.key)
		}
		if again := w.sendKeyed(w.Entries[i%2], k, resends); !again.whole {
			t.Errorf("%s resent after its end: %v", k.key, again)
		}
		w.checkOnce(t, k)
	}
}

// Symptom: as above.
// Events: the service does its work and its answer is lost on the way back; the client sends the call again.
// Cause: a side that takes a lost answer for a call that did not run.
func TestCallsWhoseAnswerIsLostAreNotRepeated(t *testing.T) {
	t.Parallel()
	w := startKeyed(t)
	for _, s := range w.Services {
		s.Turn(func(k *service.Knobs) { k.LoseAnswerShare = 0.5 })
	}
	calls := newKeyed("lost", 60)
	lost := 0
	for i, k := range calls {
		first := w.sendKeyed(w.Entries[i%2], k, 0)
		second := w.sendKeyed(w.Entries[(i+1)%2], k, 1)
		w.checkOnce(t, k, first, second)
		if first.whole {
			if !second.whole {
				t.Errorf("%s: answered and then %v", k.key, second)
			}
			continue
		}
		lost++
		for _, r := range []reply{first, second} {
			if r.err == nil || r.err.Ran == errs.RanNo {
				t.Errorf("%s: its answer was lost, and the caller was told %v", k.key, r)
			}
		}
	}
	if lost == 0 {
		t.Error("no answer was lost, so nothing was shown")
	}
}

// Symptom: as above, or a caller waits by a phone because its call was dropped.
// Events: an entry dies while calls run; their clients send them again through the other one.
// Cause: a side that gives up what an entry has begun, and forgets its key.
func TestCallsOutliveTheirEntry(t *testing.T) {
	t.Parallel()
	w := startKeyed(t)
	calls := newKeyed("entry", 60)
	var g sync.WaitGroup
	for _, k := range calls {
		g.Go(func() { w.sendKeyed(w.Entries[0], k, 0) })
	}
	w.await(t, "some calls run", func() bool { return w.ranOf(calls) > 10 })
	w.Entries[0].Kill()
	g.Wait()
	for _, k := range calls {
		first := w.resendUntilAnswered(t, w.Entries[1], k)
		w.checkOnce(t, k, first)
		if !first.whole {
			t.Errorf("%s: %v", k.key, first)
		}
	}
}

func (w *world) ranOf(calls []keyed) (n int) {
	for _, k := range calls {
		n += w.ranByKey(k.key)
	}
	return n
}

// resendUntilAnswered sends k again while its first run is under way.
func (w *world) resendUntilAnswered(t *testing.T, entry *cluster.Process, k keyed) reply {
	t.Helper()
	var r reply
	try := 0
	w.await(t, k.key+" is answered", func() bool {
		try++
		r = w.sendKeyed(entry, k, try)
		return r.err == nil || r.err.Type != errs.KeyInProgress
	})
	return r
}

// Symptom: as above.
// Events: the side that remembers the keys dies with calls running and is replaced, once at its old
// address and once at another; clients send their calls again.
// Cause: a replacement that knows nothing takes an old key for a new one.
func TestCallsAreNotRepeatedByAReplacedSide(t *testing.T) {
	t.Parallel()
	for name, sameAddr := range map[string]bool{"same address": true, "other address": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startKeyed(t)
			calls := newKeyed("replaced", 90)
			firsts := make([]reply, len(calls))
			var g sync.WaitGroup
			for i, k := range calls {
				g.Go(func() { firsts[i] = w.sendKeyed(w.Entries[i%2], k, 0) })
			}
			w.await(t, "some calls run", func() bool { return w.ranOf(calls) > 10 })
			victim := w.ServiceSides[0]
			victim.Kill()
			g.Wait()
			if err := victim.Wait(); err != nil {
				t.Fatal(err)
			}
			if err := victim.Replace(sameAddr); err != nil {
				t.Fatal(err)
			}
			if err := w.Await(w.ctx); err != nil {
				t.Fatal(err)
			}
			w.checkAfterReplacement(t, victim, calls, firsts)
		})
	}
}

func (w *world) checkAfterReplacement(t *testing.T, victim *cluster.Process, calls []keyed, firsts []reply) {
	t.Helper()
	refused := 0
	for i, k := range calls {
		again := w.resendUntilAnswered(t, w.Entries[(i+1)%2], k)
		w.checkOnce(t, k, firsts[i], again)
		if again.err != nil {
			refused++
			if again.err.Type != errs.KeyUnverifiable {
				t.Errorf("%s: %v", k.key, again)
			}
			if again.err.Ran == errs.RanNo {
				t.Errorf("%s: nobody can know that it did not run, but the caller was told so", k.key)
			}
		}
		if again.whole && again.target == string(victim.Target) {
			t.Errorf("%s was answered by the new side, which can't know it", k.key)
		}
	}
	if refused == 0 {
		t.Error("no key of the lost side was sent again, so nothing was shown")
	}
	w.checkNewKeys(t, victim.Target)
}

// checkNewKeys waits until the replaced side takes keys that were issued after it came.
func (w *world) checkNewKeys(t *testing.T, target structs.TargetID) {
	t.Helper()
	i := 0
	w.await(t, "the new side takes new keys", func() bool {
		i++
		r := w.sendKeyed(w.Entries[0], keyed{fmt.Sprintf("new-%d", i), time.Now()}, 0)
		return r.whole && r.target == string(target)
	})
}
