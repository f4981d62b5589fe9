package freshness

import (
	"testing"
	"time"
)

// The model has one gateway, the store, one key and discrete time. It explores every sequence of a few
// events. A request that is sent later than the bound after the confirmation of the revocation must not run.

const (
	modelBound = 3 // steps
	modelDepth = 7 // events in a sequence
	step       = time.Second
)

// action is one event of a sequence.
type action uint8

const (
	tick        action = iota // time passes
	suspend                   // time passes while the gateway's host is suspended
	revoke                    // the store confirms the revocation of the key
	readBegin                 // the gateway sends a read to the store, directly or through a peer
	readEnd                   // the gateway receives the answer
	restart                   // the gateway restarts
	peerSend                  // a peer that has just read the newest configuration sends a message
	peerReceive               // the gateway reads such a message from its socket
	actionCount
)

func (a action) String() string {
	return [...]string{"tick", "suspend", "revoke", "read", "answer", "restart", "peer tells", "hear"}[a]
}

// modelState is a state of the model.
type modelState struct {
	now                 int // steps since the host's start, including suspension
	revoked             int // when the revocation was confirmed; -1 before it
	proof               Proof
	isRevocationApplied bool // the configuration in force does not contain the key

	isReading       bool
	readStart       int
	hasKeyInAnswer  bool // whether the store's answer contains the key
	isAnswered      bool
	hasMessage      bool // a peer's message is in the socket buffer
	hasKeyInMessage bool // it is from a configuration that contains the key
	messageAge      int  // the age that it states
	isPeerTrusted   bool // the rejected alternative: messages of peers count as proof
}

func (w *modelState) apply(a action) bool {
	switch a {
	case tick:
		w.now++
		w.answerRead()
		w.receiveMessage() // a running process empties its socket buffer
	case suspend:
		w.now++
	case revoke:
		if w.revoked >= 0 {
			return false
		}
		w.revoked = w.now
	case readBegin:
		if w.isReading {
			return false
		}
		w.isReading, w.readStart, w.isAnswered = true, w.now, false
	case readEnd:
		return w.finishRead()
	case restart:
		w.proof, w.isRevocationApplied, w.isReading, w.hasMessage = New(modelBound*step), false, false, false
	case peerSend:
		w.hasMessage, w.hasKeyInMessage, w.messageAge = true, w.revoked < 0, 0
	case peerReceive:
		return w.receiveMessage()
	}
	return true
}

// answerRead answers a read in progress. The store may answer at any time between request and answer; the
// model uses the earliest.
func (w *modelState) answerRead() {
	if w.isReading && !w.isAnswered {
		w.isAnswered, w.hasKeyInAnswer = true, w.revoked < 0
	}
}

func (w *modelState) finishRead() bool {
	if !w.isReading {
		return false
	}
	w.answerRead()
	w.isReading = false
	w.isRevocationApplied = w.isRevocationApplied || !w.hasKeyInAnswer
	w.proof.Confirm(time.Duration(w.readStart) * step)
	return true
}

// receiveMessage handles a peer's message with the age that it states. The gateway's clock does not show how
// long the message was in the socket buffer.
func (w *modelState) receiveMessage() bool {
	if !w.hasMessage || !w.isPeerTrusted {
		return false
	}
	w.hasMessage = false
	if w.hasKeyInMessage {
		w.proof.Confirm(time.Duration(w.now-w.messageAge) * step)
	}
	return true
}

// isViolated reports whether a request that is sent now would run although it must not.
func (w *modelState) isViolated() bool {
	isLate := w.revoked >= 0 && w.now-w.revoked > modelBound
	return isLate && w.proof.Holds(time.Duration(w.now)*step) && !w.isRevocationApplied
}

// explore explores all sequences and returns the first one that violates the rule.
func explore(w modelState, depth int, sequence []action) []action {
	if w.isViolated() {
		return sequence
	}
	if depth == 0 {
		return nil
	}
	for a := range actionCount {
		next := w
		if !next.apply(a) {
			continue
		}
		if found := explore(next, depth-1, append(sequence[:len(sequence):len(sequence)], a)); found != nil {
			return found
		}
	}
	return nil
}

// initialState is a gateway that has just read a configuration with the key.
func initialState(isPeerTrusted bool) modelState {
	w := modelState{revoked: -1, proof: New(modelBound * step), isPeerTrusted: isPeerTrusted}
	w.proof.Confirm(0)
	return w
}

// Guards against use of a revoked key: no sequence of events admits a request with it later than the bound.
func TestNoSequenceAdmitsARevokedKeyAfterTheBound(t *testing.T) {
	w := initialState(false)
	for range modelBound {
		if found := explore(w, modelDepth, nil); found != nil {
			t.Fatalf("after %d steps: %v", w.now, found)
		}
		w.now++
	}
}

// Guards against use of a revoked key: if messages of peers counted as proof, one that stays in the socket
// buffer while the host is suspended would count as recent.
func TestPeerMessagesAreUnsafeAsProof(t *testing.T) {
	w := initialState(true)
	found := explore(w, modelDepth, nil)
	if found == nil {
		t.Fatal("the model does not detect that messages of peers are unsafe as proof")
	}
	t.Log(found)
}
