package shed

import (
	"testing"
	"time"
)

const ms = time.Millisecond

func TestComeBack(t *testing.T) {
	first := Request{Goal: 300 * ms, Left: 5000 * ms, Full: 5000 * ms}
	cases := []struct {
		name   string
		change func(*Request)
		want   time.Duration
	}{
		{"a free slot", func(*Request) {}, 0},
		{"a wait after which it is in time", func(r *Request) { r.Wait = 225 * ms }, 0},
		{"a wait after which it is late", func(r *Request) { r.Wait = 226 * ms }, soonest},
		{"a long wait", func(r *Request) { r.Wait = 1500 * ms }, 1500 * ms},
		{"longer than its caller would stay away", func(r *Request) { r.Wait = 1700 * ms }, 0},
		{"no goal", func(r *Request) { r.Wait, r.Goal = time.Second, 0 }, 0},
		{"a caller that was here before", func(r *Request) { r.Wait, r.Left = time.Second, 4400*ms }, 0},
		{"callers that are not known yet", func(r *Request) { r.Wait, r.Full = time.Second, 0 }, 0},
		{"a caller without a time limit", func(r *Request) { r.Wait, r.Left = time.Second, 0 }, 0},
		{"a caller with little time", func(r *Request) { r.Wait, r.Left, r.Full = time.Second, 1500*ms, 1500*ms }, 0},
	}
	for _, c := range cases {
		r := first
		c.change(&r)
		if got := ComeBack(r); got != c.want {
			t.Errorf("%s: come back after %v, want %v", c.name, got, c.want)
		}
	}
}
