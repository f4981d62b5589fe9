package admit

import (
	"cmp"
	"slices"
)

// preempt stops batch streams over most.
func (m *Machine) preempt(most int, out []Action) []Action {
	over := m.inFlight.activeBatch() - most
	if m.atRisk {
		over = max(over, m.inFlight.batchPrefilling-m.prefillStopping())
	}
	if over <= 0 || m.cfg.NoPreempt || m.draining {
		return out
	}
	for _, r := range m.cheapest(over) {
		out = append(out, m.stop(r))
	}
	return out
}

// cheapest returns the n batch requests whose stop loses least.
func (m *Machine) cheapest(n int) []*request {
	var rs []*request
	for _, r := range m.running {
		if r.batch() && !r.stopping {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, compareLoss)
	return rs[:min(n, len(rs))]
}

// compareLoss orders requests by what their stop loses: the tokens that the engine must
// compute again, then by the most tokens that remain, since a stream close to its
// end frees its place by itself. The prompt is left out: engines keep the
// blocks of prompts for longer than a preempted stream waits.
func compareLoss(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.made(), b.made()),
		cmp.Compare(b.remaining(), a.remaining()),
		cmp.Compare(b.ID, a.ID),
	)
}

// made is how many tokens r has, over all its runs. One without a first token of its
// present run loses nothing but a part of its prefill.
func (r *request) made() int {
	if !r.streaming {
		return 0
	}
	return r.Generated + r.tokens
}

// remaining is how many tokens r may still make.
func (r *request) remaining() int { return r.MaxTokens - r.Generated - r.tokens }

// prefillStopping counts batch requests without a first token that are stopping already.
func (m *Machine) prefillStopping() int {
	n := 0
	for _, r := range m.running {
		if r.batch() && r.stopping && !r.streaming {
			n++
		}
	}
	return n
}
