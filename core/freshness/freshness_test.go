package freshness

import (
	"testing"
	"time"
)

const bound = 5 * time.Second

func TestProofIsFreshForTheBound(t *testing.T) {
	p := New(bound)
	if p.Holds(0) || !p.IsFailing(0) {
		t.Error("before the first confirmation the proof must not be fresh and must be expiring")
	}
	p.Confirm(10 * time.Second)
	if !p.Holds(10*time.Second) || !p.Holds(14900*time.Millisecond) || p.Holds(15*time.Second) {
		t.Error("the proof must be fresh until just before the bound of 5s and not from then on")
	}
	if p.IsFailing(12*time.Second) || !p.IsFailing(12500*time.Millisecond) {
		t.Error("the proof must be expiring from half of the bound on and not before")
	}
	p.Confirm(9 * time.Second) // a read that began earlier and ends later
	if age, ok := p.Age(11 * time.Second); !ok || age != time.Second {
		t.Errorf("age %v (known: %v), want 1s since the start of the later read", age, ok)
	}
}

func TestProofIsFreshForeverWithoutBound(t *testing.T) {
	p := New(0)
	if p.Holds(time.Hour) {
		t.Error("before the first confirmation the proof must not be fresh")
	}
	p.Confirm(0)
	if !p.Holds(1000*time.Hour) || p.IsFailing(1000*time.Hour) {
		t.Error("without a bound the proof must stay fresh and never be expiring")
	}
}
