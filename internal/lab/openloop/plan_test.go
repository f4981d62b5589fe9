package openloop

import (
	"reflect"
	"testing"
	"time"
)

func TestThePlanIsThatOfItsSeed(t *testing.T) {
	l := Load{PerS: 50, For: 10 * time.Second, Tokens: 5, Documents: 8, PrefixTokens: 64, TailTokens: 8, Skew: 1.1, Seed: 3}
	plan := Plan(l, 3)
	if !reflect.DeepEqual(plan, Plan(l, 3)) {
		t.Error("the same load gave two plans")
	}
	if n := len(plan); n < 400 || n > 600 {
		t.Errorf("%d requests in 10 s at 50/s", n)
	}
	other := l
	other.Seed = 4
	if reflect.DeepEqual(plan, Plan(other, 3)) {
		t.Error("the seed changes nothing")
	}
}
