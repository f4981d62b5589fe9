package online_test

import (
	"testing"

	"arbutusramp/test/cluster"
)

// Symptom: a caller gets a token twice, tokens in a wrong order, or tokens of another caller's
// answer, in an answer that ends as if it were whole.
// Events: frames of 48 streams of 300 tokens come out of order within their stream, a fifth of them
// twice, a fifth once more after the stream's end, and ends overtake the last tokens.
// Cause: an entry that writes what comes in the order in which it comes.
func TestScrambledFramesMakeWholeAnswers(t *testing.T) {
	t.Parallel()
	s := &scrambled{network: newNetwork(), seed: 1}
	w := startWorldOver(t, cluster.Options{Domains: 2, Entries: 2, Engines: 3}, s)
	asks := w.asks("scrambled", 48, 300)
	for i, r := range w.sendAll(asks) {
		r.check(t, asks[i])
		if !r.whole {
			t.Errorf("%s: %v", asks[i].id, r)
		}
	}
	if c := s.disorder(); c.doubled < 1000 || c.swapped < 1000 || c.late < 1000 {
		t.Errorf("too little disorder to show anything: %+v", c)
	}
}
