package engine

import (
	"sync/atomic"

	"arbutusramp/core/structs"
)

// sequenceState is how far a sequence has come, as its stream sees it.
type sequenceState int32

const (
	sequenceOpen     sequenceState = iota // waiting or running
	sequenceFinished                      // all tokens are generated
	sequenceStopped                       // cancelled or lost in a crash
)

// sequence is one request in the batch. The batch's lock guards all fields but
// the atomic ones, which the stream reads.
type sequence struct {
	id      string // the request's id
	attempt string // names this stream among those of the same request
	model   structs.ModelID

	content  uint64
	prefixes []uint64
	prompt   int // tokens
	from     int // first position to generate
	max      int // position after the last
	poison   Poison

	prefill   int // tokens left to do before the first token
	cancelled bool

	next  atomic.Int64 // position that is generated next
	state atomic.Int32
	wake  chan struct{} // has room for one: there is something new to read
}

func (s *sequence) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *sequence) end(state sequenceState) {
	s.state.Store(int32(state))
	s.notify()
}
