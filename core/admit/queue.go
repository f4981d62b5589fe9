package admit

import "slices"

// queue is one class's queue, first in first out. Resumed requests go before
// new ones: the tokens they have made are lost if their job is cancelled or the host dies.
type queue struct {
	resumed []*request
	fresh   []*request
}

func (q *queue) len() int { return len(q.resumed) + len(q.fresh) }

func (q *queue) push(r *request) {
	if r.Generated > 0 {
		q.resumed = append(q.resumed, r)
		return
	}
	q.fresh = append(q.fresh, r)
}

// peek returns the next request, or nil.
func (q *queue) peek() *request {
	switch {
	case len(q.resumed) > 0:
		return q.resumed[0]
	case len(q.fresh) > 0:
		return q.fresh[0]
	}
	return nil
}

// pop removes and returns the next request, or nil.
func (q *queue) pop() *request {
	r := q.peek()
	if r != nil {
		q.remove(r)
	}
	return r
}

// remove takes r out wherever it stands.
func (q *queue) remove(r *request) {
	q.resumed = without(q.resumed, r)
	q.fresh = without(q.fresh, r)
}

func without(rs []*request, r *request) []*request {
	if len(rs) > 0 && rs[0] == r {
		rs[0] = nil
		return rs[1:]
	}
	i := slices.Index(rs, r)
	if i < 0 {
		return rs
	}
	return slices.Delete(rs, i, i+1)
}
