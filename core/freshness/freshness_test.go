package freshness

import (
	"testing"
	"time"
)

const bound = 5 * time.Second

func TestProofIsFreshForTheBound(t *testing.T) {
	p := New(bound)
	if p.IsFresh(0) || !p.IsExpiring(0) {
		t.Error("before the first confirmation the proof is fresh or not expiring, want expiring and not fresh")
	}
	p.Confirm(10 * time.Second)
	if !p.IsFresh(10*time.Second) || !p.IsFresh(14900*time.Millisecond) || p.IsFresh(15*time.Second) {
		t.Error("want the proof to be fresh 0s and 4.9s after its confirmation and not fresh 5s after it; at least one of these is not the case")
	}
	if p.IsExpiring(12*time.Second) || !p.IsExpiring(12500*time.Millisecond) {
		t.Error("want the proof not to be expiring 2s after its confirmation and to be expiring 2.5s after it; at least one of these is not the case")
	}
	p.Confirm(9 * time.Second) // a read that began earlier and ends later
	if age, ok := p.Age(11 * time.Second); !ok || age != time.Second {
		t.Errorf("the age of the proof is %v (known: %v), want 1s (known: true), the time since the start of the later read", age, ok)
	}
}

func TestProofIsFreshForeverWithoutBound(t *testing.T) {
	p := New(0)
	if p.IsFresh(time.Hour) {
		t.Error("before the first confirmation the proof is fresh, want not fresh")
	}
	p.Confirm(0)
	if !p.IsFresh(1000*time.Hour) || p.IsExpiring(1000*time.Hour) {
		t.Error("without a bound the proof is not fresh or is expiring 1000 hours after its confirmation, want fresh and not expiring")
	}
}
