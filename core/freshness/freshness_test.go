package freshness

import (
	"testing"
	"time"
)

const bound = 5 * time.Second

func TestProofHoldsForTheBound(t *testing.T) {
	p := New(bound)
	if p.Holds(0) || !p.IsFailing(0) {
		t.Error("holds before the first confirmation")
	}
	p.Confirm(10 * time.Second)
	if !p.Holds(10*time.Second) || !p.Holds(14900*time.Millisecond) || p.Holds(15*time.Second) {
		t.Error("does not hold for the bound")
	}
	if p.IsFailing(12*time.Second) || !p.IsFailing(12500*time.Millisecond) {
		t.Error("does not fail exactly at half of the bound")
	}
	p.Confirm(9 * time.Second) // an older read that ends later
	if age, ok := p.Age(11 * time.Second); !ok || age != time.Second {
		t.Errorf("age %v, %v", age, ok)
	}
}

func TestProofHoldsForeverWithoutBound(t *testing.T) {
	p := New(0)
	if p.Holds(time.Hour) {
		t.Error("holds before the first confirmation")
	}
	p.Confirm(0)
	if !p.Holds(1000*time.Hour) || p.IsFailing(1000*time.Hour) {
		t.Error("does not hold without a bound")
	}
}
