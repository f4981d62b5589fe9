// Package policy names the mechanisms by which gateways decide, so that each can be switched off by itself and what it is worth
// be measured. The table of these measurements is in docs/POLICIES.md.
package policy

import (
	"slices"
	"strings"

	"arbutusramp/core/errs"
)

// Name is that of one mechanism.
type Name string

// The mechanisms.
const (
	// ComeBack tells callers who would be late when to come back; off, they are sent on.
	ComeBack Name = "come-back"
	// Hold keeps those who were sent away before until there is room; off, they are sent on.
	Hold Name = "hold"
	// GiveWay cuts off batch items whose slots online requests need; off, these wait.
	GiveWay Name = "give-way"
	// Turns has gateways start batch items in turns; off, all start one in the same free slot.
	Turns Name = "turns"
	// InTimeFirst starts items that can be in time before those that can't; off, they go by rank and due time.
	InTimeFirst Name = "in-time-first"
	// OwnDomain prefers targets of the own failure domain; off, all are alike.
	OwnDomain Name = "own-domain"
	// PeerLoads counts what other gateways have at targets; off, each knows its own requests alone.
	PeerLoads Name = "peer-loads"
	// PeerWord suspects targets that have failed other gateways; off, each finds out by itself.
	PeerWord Name = "peer-word"
	// Silence suspects targets that send nothing; off, only failed connections and answers tell.
	Silence Name = "silence"
	// LearnedSilence derives from a service's answers how long is silent; off, one time holds for all.
	LearnedSilence Name = "learned-silence"
	// Checkpoints writes how far running items have come; off, only owners that stop write it.
	Checkpoints Name = "checkpoints"
	// StorePeers reaches a lost store through other gateways; off, a gateway that has lost it waits.
	StorePeers Name = "store-peers"
	// Relays has one gateway of each domain pass reports on; off, each tells each other one.
	Relays Name = "relays"
	// Quarantine sends requests under which targets have crashed to no more targets; off, they are sent on.
	Quarantine Name = "quarantine"
	// QuarantineScopes holds back also what such requests have in common with others; off, each content counts alone.
	QuarantineScopes Name = "quarantine-scopes"
)

// All returns the names of all mechanisms.
func All() []Name {
	return []Name{
		ComeBack, Hold, GiveWay, Turns, InTimeFirst, OwnDomain, PeerLoads, PeerWord, Silence, LearnedSilence,
		Checkpoints, StorePeers, Relays, Quarantine, QuarantineScopes,
	}
}

// Off is the set of mechanisms that are switched off. The zero value has all on.
type Off map[Name]bool

// Parse reads names. Error: errs.BadSettings.
func Parse(names []string) (Off, error) {
	off := make(Off, len(names))
	for _, n := range names {
		if !slices.Contains(All(), Name(n)) {
			return nil, errs.Newf(errs.BadSettings, "%q is no mechanism; there are %s", n, Names())
		}
		off[Name(n)] = true
	}
	return off, nil
}

// Names returns the names of all mechanisms for a message.
func Names() string {
	var list []string
	for _, n := range All() {
		list = append(list, string(n))
	}
	return strings.Join(list, ", ")
}

// Allows says whether a mechanism is on.
func (o Off) Allows(n Name) bool { return !o[n] }
