package fleet

import (
	"testing"
	"time"

	"arbutusramp/core/costmodel"
)

// Guards against false suspicion of targets whose events are slow: with one limit for all services they count
// as silent between two events.
func TestSilenceLimitFollowsEventTimes(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name                 string
		firstEvent, eventGap time.Duration
		want                 time.Duration
	}{
		{"unknown event times", 0, 0, defaultSilenceLimit},
		{"fast engines", 25 * ms, 20 * ms, minSilenceLimit},
		{"events every 50 ms", 60 * ms, 50 * ms, 600 * ms},
		{"long prompts", 400 * ms, 20 * ms, 1600 * ms},
		{"steps of 80 ms and seven tokens per event", 600 * ms, 560 * ms, maxSilenceLimit},
	}
	for _, c := range cases {
		f := testFleet("self", 1)
		if c.eventGap > 0 {
			for range 100 {
				f.RecordFirstEvent(Work{Service: "llm"}, c.firstEvent)
				f.RecordEventGap("llm", c.eventGap)
			}
		}
		if got := f.SilenceLimit(start, Work{Service: "llm"}); got != c.want {
			t.Errorf("%s: silence limit %v, want %v", c.name, got, c.want)
		}
		if f.IsSilentSince(start.Add(c.want), start, "t0", c.want, 0) || !f.IsSilentSince(start.Add(c.want+ms), start, "t0", c.want, 0) {
			t.Errorf("%s: whether the target counts as silent is wrong after %v without activity (want false) or 1 ms later (want true)", c.name, c.want)
		}
	}
}

// A single long pause between two events raises the silence limit of the service only slightly.
func TestOnePauseBarelyRaisesTheSilenceLimit(t *testing.T) {
	f := testFleet("self", 1)
	for range 100 {
		f.RecordFirstEvent(Work{Service: "llm"}, 25*time.Millisecond)
		f.RecordEventGap("llm", 20*time.Millisecond)
	}
	f.RecordEventGap("llm", 200*time.Millisecond)
	if got := f.SilenceLimit(start, Work{Service: "llm"}); got > 400*time.Millisecond {
		t.Errorf("after one pause of 200 ms the silence limit is %v, want at most 400ms", got)
	}
}

// learned returns a fleet of fast engines: the first event comes after 25 ms, further ones every 20 ms.
func learned() *Fleet {
	f := testFleet("self", 1)
	for range 100 {
		f.RecordFirstEvent(promptWork(300), 25*time.Millisecond)
		f.RecordEventGap("llm", 20*time.Millisecond)
	}
	return f
}

// promptWork returns a work with a prompt of that many tokens.
func promptWork(tokens int) Work {
	return Work{Service: "llm", IsStream: true, Size: costmodel.Size{PromptTokens: tokens}}
}

// Guards against a target that counts as silent while it reads a long prompt, and against one that is found silent later than
// necessary because it was sent ordinary ones.
func TestReadingTimeFollowsThePrompt(t *testing.T) {
	fresh, f := testFleet("self", 1), learned()
	for _, tokens := range []int{0, 1, 300, 600, 2000} {
		if a, b := fresh.ReadingTime(promptWork(tokens)), f.ReadingTime(promptWork(tokens)); a != 0 || b != 0 {
			t.Errorf("a prompt of %d tokens may be read for %v at a fresh process and %v later, want no extra time", tokens, a, b)
		}
	}
	const long, longRead = 60_000, 980 * time.Millisecond
	if a, b := fresh.ReadingTime(promptWork(long)), f.ReadingTime(promptWork(long)); a < longRead || b < longRead || max(a, b) > MaxReadingTime {
		t.Errorf("a prompt of %d tokens may be read for %v at a fresh process and %v later, want at least %v and at most %v", long, a, b, longRead, MaxReadingTime)
	}
	for range 100 {
		f.RecordFirstEvent(promptWork(300), 25*time.Millisecond)
		f.RecordFirstEvent(promptWork(long), 400*time.Millisecond)
	}
	if got := f.ReadingTime(promptWork(long)); got < 200*time.Millisecond || got > 800*time.Millisecond {
		t.Errorf("a prompt of %d tokens that is read within 400 ms may take %v longer than usual, want 200 to 800 ms", long, got)
	}
}

// Guards against a limit that can't learn that it is too short, since each run that is longer is ended, and against one that
// grows where ended runs go on elsewhere, or without bound or end.
func TestSilenceLimitLearnsFromEndedRuns(t *testing.T) {
	const usual = minSilenceLimit
	f := learned()
	for _, c := range []struct {
		silentFor, want time.Duration
	}{{0, usual}, {50 * time.Millisecond, usual}, {usual, 3 * usual}, {3 * usual, 9 * usual}, {time.Minute, maxPatientLimit}} {
		if got := f.SilenceLimit(start, Work{Service: "llm", SilentFor: c.silentFor}); got != c.want {
			t.Errorf("after a run that was silent for %v the limit is %v, want %v", c.silentFor, got, c.want)
		}
	}
	for range 20 {
		f.RecordRunAfterSilence(start, "llm", false)
	}
	if got := f.SilenceLimit(start, promptWork(300)); got != maxPatience*usual {
		t.Errorf("the limit is %v where ending silent runs never helps, want %v", got, maxPatience*usual)
	}
	if got := f.SilenceLimit(start.Add(10*patienceHalfTime), promptWork(300)); got > usual*101/100 {
		t.Errorf("the limit is %v after %v without silent runs, want %v", got, 10*patienceHalfTime, usual)
	}
	for range 20 {
		f.RecordRunAfterSilence(start, "llm", false)
		f.RecordRunAfterSilence(start, "llm", true)
	}
	if got := f.SilenceLimit(start, promptWork(300)); got > 2*usual {
		t.Errorf("the limit is %v where ending silent runs helps every other time, want at most %v", got, 2*usual)
	}
}
