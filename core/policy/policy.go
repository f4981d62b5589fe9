// Package policy names the optional mechanisms of gateways: admission control, batch scheduling, choice of
// targets, failure detection, reports between gateways and quarantine. Operators can disable each of them in
// the settings, so that its effect can be measured. The table of these measurements is in docs/POLICIES.md.
package policy

import (
	"slices"
	"strings"

	"arbutusramp/core/errs"
)

// Mechanism identifies a mechanism in the settings.
type Mechanism string

// The mechanisms. Each comment says what the mechanism does and, after "off", what happens while it is
// disabled.
const (
	// RetryLater rejects the first attempt of a request that would miss its latency goal, with a time to retry
	// after; off, the request is sent to a target.
	RetryLater Mechanism = "come-back"
	// QueueRetries queues the second attempt of a request that would miss its latency goal at the
	// gateway until a target has capacity; off, the request is sent to a target.
	QueueRetries Mechanism = "hold"
	// Preemption preempts batch items whose slots at a target online requests need; off, online requests wait
	// until the items have finished.
	Preemption Mechanism = "give-way"
	// StaggeredStarts makes the gateways start batch items in the free slots of a target one after the
	// other; off, several gateways may start an item in the same slot.
	StaggeredStarts Mechanism = "turns"
	// FeasibleFirst starts batch items that can meet their due time before those that cannot; off, they are
	// started in the order of rank and due time.
	FeasibleFirst Mechanism = "in-time-first"
	// OwnDomain prefers targets in the gateway's own failure domain; off, the domain of a target has no
	// influence.
	OwnDomain Mechanism = "own-domain"
	// PeerLoads counts the requests that other gateways report to have at a target; off, each gateway counts
	// only its own requests.
	PeerLoads Mechanism = "peer-loads"
	// PeerSuspicion suspects targets that other gateways report as suspect; off, each gateway suspects a
	// target only after a failure of its own request.
	PeerSuspicion Mechanism = "peer-word"
	// SilenceDetection suspects targets that send nothing for too long while requests wait for them;
	// off, targets are suspected only after other failures, for instance of a connection.
	SilenceDetection Mechanism = "silence"
	// AdaptiveSilenceLimit derives how long a target may send nothing from the times between events of
	// its service; off, the same limit applies to all services.
	AdaptiveSilenceLimit Mechanism = "learned-silence"
	// Checkpoints stores the progress of running batch items regularly; off, a gateway stores it only when a
	// run fails or when it hands its items over to another gateway.
	Checkpoints Mechanism = "checkpoints"
	// StoreThroughPeers sends requests to the platform's store through other gateways while a gateway
	// cannot reach it; off, the gateway waits until it reaches the store itself.
	StoreThroughPeers Mechanism = "store-peers"
	// ReportRelays lets gateways forward the load reports of others: in small fleets a gateway sends each
	// report to one gateway of each other failure domain, which forwards it to the gateways of its own domain;
	// in large fleets hubs forward reports. Off, each gateway sends its reports to all others itself.
	ReportRelays Mechanism = "relays"
	// Quarantine rejects requests whose content has crashed targets; off, they are sent to further targets.
	Quarantine Mechanism = "quarantine"
	// QuarantineScopes also quarantines similar bodies, or the caller's address, resource, job or route, of requests
	// that crash targets; off, only requests with identical content are quarantined.
	QuarantineScopes Mechanism = "quarantine-scopes"
	// ExpectedTime chooses targets and admits requests by the expected time of their answer, for services whose
	// targets differ in speed; off, all targets of a service count as equally fast.
	ExpectedTime Mechanism = "expected-time"
	// DemandForecast starts batch items only where their slot is expected to last; off, they start in any free
	// slot.
	DemandForecast Mechanism = "demand-forecast"
	// YieldInOverload starts no batch items of a service while online requests are rejected or queued; off,
	// they start in any free slot.
	YieldInOverload Mechanism = "yield-in-overload"
	// FairShare divides the capacity between workspaces while there is too little; off, requests are served in
	// order of arrival and due time.
	FairShare Mechanism = "fair-share"
	// RetryForecast tells rejected callers to retry when the forecast of the demand expects capacity; off, after
	// the expected wait.
	RetryForecast Mechanism = "retry-forecast"
)

// All returns all mechanisms, in the order of their constants.
func All() []Mechanism {
	return []Mechanism{
		RetryLater, QueueRetries, Preemption, StaggeredStarts, FeasibleFirst, OwnDomain, PeerLoads, PeerSuspicion, SilenceDetection, AdaptiveSilenceLimit,
		Checkpoints, StoreThroughPeers, ReportRelays, Quarantine, QuarantineScopes,
		ExpectedTime, DemandForecast, YieldInOverload, FairShare, RetryForecast,
	}
}

// Disabled is the set of disabled mechanisms. In the zero value all are enabled.
type Disabled map[Mechanism]bool

// Parse returns the set of the mechanisms with the given names. Error: errs.BadSettings for an unknown name.
func Parse(names []string) (Disabled, error) {
	disabled := make(Disabled, len(names))
	for _, name := range names {
		if !slices.Contains(All(), Mechanism(name)) {
			return nil, errs.Newf(errs.BadSettings, "%q is not a mechanism; the mechanisms are %s", name, JoinedNames())
		}
		disabled[Mechanism(name)] = true
	}
	return disabled, nil
}

// JoinedNames returns the names of all mechanisms, separated by commas.
func JoinedNames() string {
	var names []string
	for _, m := range All() {
		names = append(names, string(m))
	}
	return strings.Join(names, ", ")
}

// IsEnabled reports whether a mechanism is enabled: it is not in the set.
func (d Disabled) IsEnabled(m Mechanism) bool { return !d[m] }
