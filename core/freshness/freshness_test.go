package freshness

import (
	"testing"
	"time"
)

const bound = 5 * time.Second

func TestProofIsFreshForTheBound(t *testing.T) {
	p := New(bound)
	if p.IsFresh(0) || !p.IsExpiring(0) {
		t.Error("before the first confirmation IsFresh (want false) or IsExpiring (want true) is wrong")
	}
	p.Confirm(10 * time.Second)
	if !p.IsFresh(10*time.Second) || !p.IsFresh(14900*time.Millisecond) || p.IsFresh(15*time.Second) {
		t.Error("IsFresh is wrong 0s after the confirmation (want true), 4.9s after it (want true) or 5s after it (want false)")
	}
	if p.IsExpiring(12*time.Second) || !p.IsExpiring(12500*time.Millisecond) {
		t.Error("IsExpiring is wrong 2s after the confirmation (want false) or 2.5s after it (want true)")
	}
	p.Confirm(9 * time.Second) // a read that began earlier and ends later
	if age, ok := p.Age(11 * time.Second); !ok || age != time.Second {
		t.Errorf("the age of the proof is %v (known: %v), want 1s (known: true), the time since the start of the read that began later", age, ok)
	}
}

func TestProofIsFreshForeverWithoutBound(t *testing.T) {
	p := New(0)
	if p.IsFresh(time.Hour) {
		t.Error("before the first confirmation the proof is fresh, want not fresh")
	}
	p.Confirm(0)
	if !p.IsFresh(1000*time.Hour) || p.IsExpiring(1000*time.Hour) {
		t.Error("without a bound, 1000 hours after the confirmation, IsFresh (want true) or IsExpiring (want false) is wrong")
	}
}
