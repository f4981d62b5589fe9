package freshness

import (
	"testing"
	"time"
)

// The model has one gateway, the platform's store, which holds the configuration, one API key and time in
// steps. The tests explore every sequence of up to modelDepth events. A request with the key must not run if
// it is sent more than modelBound steps after the store has confirmed the revocation of the key.

const (
	modelBound = 3 // bound of the proof, in steps
	modelDepth = 7 // largest number of events in a sequence
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

// modelState is the state of the gateway, the store and the messages between them.
type modelState struct {
	now                 int   // steps since the host's start, including suspension
	revokedAt           int   // when the revocation was confirmed; -1 before it
	proof               Proof // of the gateway
	isRevocationApplied bool  // the gateway's configuration does not contain the key

	isReading       bool // the gateway has sent a read and not received the answer
	readStart       int  // step in which it sent the read
	hasKeyInAnswer  bool // the store's answer contains the key
	isAnswered      bool // the store has answered
	hasMessage      bool // a peer's message is in the socket buffer
	hasKeyInMessage bool // it is about a configuration that contains the key
	messageAge      int  // how old the message says that the peer's proof is, in steps
	isPeerTrusted   bool // messages of peers count as proof: an alternative that the package rejects
}

// apply changes the state by an event and reports whether the event is possible in the state.
func (m *modelState) apply(a action) bool {
	switch a {
	case tick:
		m.now++
		m.answerRead()
		m.receiveMessage() // a running process empties its socket buffer
	case suspend:
		m.now++
	case revoke:
		if m.revokedAt >= 0 {
			return false
		}
		m.revokedAt = m.now
	case readBegin:
		if m.isReading {
			return false
		}
		m.isReading, m.readStart, m.isAnswered = true, m.now, false
	case readEnd:
		return m.finishRead()
	case restart:
		m.proof, m.isRevocationApplied, m.isReading, m.hasMessage = New(modelBound*step), false, false, false
	case peerSend:
		m.hasMessage, m.hasKeyInMessage, m.messageAge = true, m.revokedAt < 0, 0
	case peerReceive:
		return m.receiveMessage()
	}
	return true
}

// answerRead makes the store answer a read in progress. The store may answer at any time between the request
// and the receipt of the answer. The model uses the earliest time, at which the answer is the oldest and the
// key most likely still in it.
func (m *modelState) answerRead() {
	if m.isReading && !m.isAnswered {
		m.isAnswered, m.hasKeyInAnswer = true, m.revokedAt < 0
	}
}

// finishRead ends a read in progress and reports whether there is one.
func (m *modelState) finishRead() bool {
	if !m.isReading {
		return false
	}
	m.answerRead()
	m.isReading = false
	m.isRevocationApplied = m.isRevocationApplied || !m.hasKeyInAnswer
	m.proof.Confirm(time.Duration(m.readStart) * step)
	return true
}

// receiveMessage makes the gateway use a peer's message as proof of the age that it states, and reports
// whether it has done so. How long the message was in the socket buffer is unknown to the gateway.
func (m *modelState) receiveMessage() bool {
	if !m.hasMessage || !m.isPeerTrusted {
		return false
	}
	m.hasMessage = false
	if m.hasKeyInMessage {
		m.proof.Confirm(time.Duration(m.now-m.messageAge) * step)
	}
	return true
}

// isViolated reports whether the gateway would now run a request with the key later than the bound after the
// revocation. It would run one if its proof is fresh and its configuration still contains the key.
func (m *modelState) isViolated() bool {
	isLate := m.revokedAt >= 0 && m.now-m.revokedAt > modelBound
	return isLate && m.proof.IsFresh(time.Duration(m.now)*step) && !m.isRevocationApplied
}

// explore applies all sequences of up to depth events to a state. It returns sequence, which led to that
// state, with the first of them that leads to a violation; nil if none does.
func explore(m modelState, depth int, sequence []action) []action {
	if m.isViolated() {
		return sequence
	}
	if depth == 0 {
		return nil
	}
	for a := range actionCount {
		next := m
		if !next.apply(a) {
			continue
		}
		if violation := explore(next, depth-1, append(sequence[:len(sequence):len(sequence)], a)); violation != nil {
			return violation
		}
	}
	return nil
}

// initialState returns the state at step 0, in which the gateway has just read a configuration with the key.
func initialState(isPeerTrusted bool) modelState {
	m := modelState{revokedAt: -1, proof: New(modelBound * step), isPeerTrusted: isPeerTrusted}
	m.proof.Confirm(0)
	return m
}

// Guards against use of a revoked key later than the bound after its revocation. That would happen if a
// confirmation were dated later than the start of its read: the key may be revoked after the store has
// answered and before the gateway receives the answer.
func TestNoSequenceAdmitsARevokedKeyAfterTheBound(t *testing.T) {
	m := initialState(false)
	for range modelBound {
		if violation := explore(m, modelDepth, nil); violation != nil {
			t.Fatalf("from %d steps after the last confirmation on, the events %v let a request with the revoked key run, want no sequence of events that does", m.now, violation)
		}
		m.now++
	}
}

// Shows why messages of peers do not count as proof: one that stays in the socket buffer while the host is
// suspended would count as recent, and a revoked key would be used. The model must find such a sequence.
func TestPeerMessagesAreUnsafeAsProof(t *testing.T) {
	m := initialState(true)
	violation := explore(m, modelDepth, nil)
	if violation == nil {
		t.Fatal("no sequence violates the bound when messages of peers count as proof, want one")
	}
	t.Log(violation)
}
