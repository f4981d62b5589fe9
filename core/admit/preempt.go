package admit

import (
	"cmp"
	"slices"
)

// preempt stops batch streams over want.
func (m *Machine) preempt(want int, out []Action) []Action {
	over := m.inFlight.activeBatch() - want
	if over <= m.policy.slack(want) || m.cfg.NoPreempt || m.draining {
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

// compareLoss orders requests by what their stop loses: the prompt and the tokens
// that the engine must compute again, then by the most tokens that remain, since
// a stream close to its end frees its place by itself.
func compareLoss(a, b *request) int {
	return cmp.Or(
		cmp.Compare(a.redo(), b.redo()),
		cmp.Compare(b.remaining(), a.remaining()),
		cmp.Compare(b.ID, a.ID),
	)
}

// redo is how many tokens are computed again when r is resumed.
func (r *request) redo() int {
	if !r.streaming {
		return 0
	}
	return r.prefill() + r.tokens
}

// remaining is how many tokens r may still make.
func (r *request) remaining() int { return r.MaxTokens - r.Generated - r.tokens }
