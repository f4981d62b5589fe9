package crashes

import (
	"testing"
	"time"

	"arbutusramp/core/errs"
)

// maxIdle is the longest time for which an item may wait although a slot is free and no target has been lost for calmTime. The
// platform's rules count an item as left lying after 5 s without disruption.
const maxIdle = 5*time.Second - calmTime

// Guards against items that are left lying after their targets were lost, however often, and against items that are sent to
// targets that are lost one after the other.
func TestItemsWaitForCalmAndNoLonger(t *testing.T) {
	for _, test := range []struct {
		name    string
		pattern Pattern
		change  func(*Options)
	}{
		{"bursts", Bursts, func(*Options) {}},
		{"bursts, long prefill", Bursts, func(o *Options) { o.Prefill, o.Interval = 400*time.Millisecond, 500*time.Millisecond }},
		{"bursts, 120 targets", Bursts, func(o *Options) {
			o.Targets, o.Items, o.Prefill, o.Interval = 120, 1000, 400*time.Millisecond, 100*time.Millisecond
		}},
		{"single losses", Single, func(*Options) {}},
		{"lasting losses", Lasting, func(o *Options) { o.Prefill = 400 * time.Millisecond }},
	} {
		for seed := range uint64(5) {
			o := DefaultOptions()
			o.Seed = seed
			test.change(&o)
			o.Losses = test.pattern.Losses(o.Targets)
			results, err := Run(o, []Way{Calm, Immediate})
			if err != nil {
				t.Fatal(err)
			}
			calm, immediate := results[0], results[1]
			if calm.Done != calm.Items || calm.LeftOver > 0 || time.Duration(calm.IdleMs)*time.Millisecond > maxIdle {
				t.Errorf("%s, seed %d: %d of %d items done, %d left, longest idle wait %d ms; want all, none, at most %v", test.name, seed, calm.Done, calm.Items, calm.LeftOver, calm.IdleMs, maxIdle)
			}
			if calm.Again > immediate.Again+immediate.Again/4+5 {
				t.Errorf("%s, seed %d: %d runs lost in bursts, %d with immediate retries; want hardly more", test.name, seed, calm.Again, immediate.Again)
			}
		}
	}
}

// Guards against items under which each target ends: they must not take the targets from others.
func TestItemsThatEndTargetsSpareOthers(t *testing.T) {
	for seed := range uint64(5) {
		o := DefaultOptions()
		o.Seed, o.CrashShare = seed, 0.1
		results, err := Run(o, []Way{Calm})
		if err != nil {
			t.Fatal(err)
		}
		if r := results[0]; r.Done != r.Items || float64(r.Own) > maxOwnLosses*o.Duration.Seconds() {
			t.Errorf("seed %d: %d of %d sound items done, %d targets lost by items; want all, and at most 3 a second", seed, r.Done, r.Items, r.Own)
		}
	}
}

// maxOwnLosses is how many targets a second all items together may end: a third of nine targets, each of which is down for
// 0.4 s, is there for others in between.
const maxOwnLosses = 3

// Guards against options that make a simulation run without end, or divide by zero.
func TestOptionsAreChecked(t *testing.T) {
	if _, err := Run(Options{}, Ways()); !errs.Is(err, errs.BadSettings) {
		t.Errorf("options without targets: error %v, want BadSettings", err)
	}
}
