// Package policy names the mechanisms by which gateways decide. Each can be disabled separately, so that its
// effect can be measured. The table of these measurements is in docs/POLICIES.md.
package policy

import (
	"slices"
	"strings"

	"arbutusramp/core/errs"
)

// Name is the name of one mechanism.
type Name string

// The mechanisms. Each comment says what happens while the mechanism is off.
const (
	// ComeBack rejects first attempts that would be late, with a time to retry after; off, they are sent to a
	// target.
	ComeBack Name = "come-back"
	// Hold queues second attempts until there is capacity; off, they are sent to a target.
	Hold Name = "hold"
	// GiveWay preempts batch items whose slots online requests need; off, online requests wait for these
	// slots.
	GiveWay Name = "give-way"
	// Turns makes gateways start batch items in turns; off, all start one in the same free slot.
	Turns Name = "turns"
	// InTimeFirst starts items that can meet their due time before those that cannot; off, the order is rank
	// and due time.
	InTimeFirst Name = "in-time-first"
	// OwnDomain prefers targets of the gateway's own failure domain; off, all domains are equal.
	OwnDomain Name = "own-domain"
	// PeerLoads counts the loads of other gateways at targets; off, each gateway counts only its own
	// requests.
	PeerLoads Name = "peer-loads"
	// PeerWord suspects targets that have failed other gateways; off, each gateway detects failures itself.
	PeerWord Name = "peer-word"
	// Silence suspects targets that send nothing; off, only failed connections and answers count.
	Silence Name = "silence"
	// LearnedSilence derives the silence limit from the event times of a service; off, one limit applies to
	// all services.
	LearnedSilence Name = "learned-silence"
	// Checkpoints records the progress of running items regularly; off, only owners that stop record it.
	Checkpoints Name = "checkpoints"
	// StorePeers reaches an unreachable store through other gateways; off, a gateway waits until it reaches
	// the store itself.
	StorePeers Name = "store-peers"
	// Relays makes one gateway of each domain forward reports; off, each gateway sends its reports to every
	// other one.
	Relays Name = "relays"
	// Quarantine sends a request that has crashed targets to no further ones; off, it is still sent.
	Quarantine Name = "quarantine"
	// QuarantineScopes also quarantines the scopes that such requests share with others; off, each content
	// counts by itself.
	QuarantineScopes Name = "quarantine-scopes"
)

// All returns the names of all mechanisms.
func All() []Name {
	return []Name{
		ComeBack, Hold, GiveWay, Turns, InTimeFirst, OwnDomain, PeerLoads, PeerWord, Silence, LearnedSilence,
		Checkpoints, StorePeers, Relays, Quarantine, QuarantineScopes,
	}
}

// Off is the set of disabled mechanisms. In the zero value all are enabled.
type Off map[Name]bool

// Parse parses names of mechanisms. Error: errs.BadSettings.
func Parse(names []string) (Off, error) {
	off := make(Off, len(names))
	for _, n := range names {
		if !slices.Contains(All(), Name(n)) {
			return nil, errs.Newf(errs.BadSettings, "%q is not a mechanism; the mechanisms are %s", n, Names())
		}
		off[Name(n)] = true
	}
	return off, nil
}

// Names returns the names of all mechanisms, for a message.
func Names() string {
	var list []string
	for _, n := range All() {
		list = append(list, string(n))
	}
	return strings.Join(list, ", ")
}

// Allows reports whether a mechanism is enabled.
func (o Off) Allows(n Name) bool { return !o[n] }
