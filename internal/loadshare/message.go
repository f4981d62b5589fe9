package loadshare

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/fanout"
	"arbutusramp/core/fleet"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/quota"
	"arbutusramp/core/serving"
)

// report is what one gateway tells.
type report struct {
	From  fleet.Peer `cbor:"1,keyasint"` // new with each start of the process
	Seq   uint64     `cbor:"2,keyasint"` // an older one that comes later is left out
	Loads []line     `cbor:"3,keyasint"`
	Items int        `cbor:"4,keyasint"` // see fleet.Demand
	Due   int64      `cbor:"5,keyasint"`
	// ContactAge is how long ago the store last answered, in milliseconds: clocks differ
	// between hosts, ages do not.
	ContactAge int64 `cbor:"6,keyasint"`
	// Detours says that the sender's own way to the store is lost: it has reached the store through a
	// peer, if at all, and is of no use as one.
	Detours bool `cbor:"7,keyasint,omitempty"`
	// Domain names the sender's failure domain.
	Domain digest `cbor:"8,keyasint"`
	// PassOn asks the receiver to pass the report on to the gateways of its own domain.
	PassOn bool `cbor:"9,keyasint,omitempty"`
	// Origin is where the sender listens, in a report that was passed on; the datagram's own sender is another then.
	Origin netip.AddrPort `cbor:"10,keyasint,omitzero"`
	// Suspects are the targets that have failed the sender a moment ago.
	Suspects []digest `cbor:"11,keyasint,omitempty"`
	// IsFirst and Admitted are a quota.Report.
	IsFirst  bool    `cbor:"12,keyasint,omitempty"`
	Admitted []count `cbor:"13,keyasint,omitempty"`
	// Quarantine are records that are news to some peers.
	Quarantine []quarantine.Message `cbor:"14,keyasint,omitempty"`
	// Role is what the receiver is to do with the report for others.
	Role hubRole `cbor:"15,keyasint,omitempty"`
	// Unknown are gateways that hubs have told of and that the sender does not know: the receiver, as a hub, is to introduce them.
	Unknown []fanout.ID `cbor:"16,keyasint,omitempty"`
	// Capacity is the sender's processor time.
	Capacity fanout.Capacity `cbor:"17,keyasint,omitempty"`
}

func messagesOf(records []quarantine.Record) []quarantine.Message {
	var list []quarantine.Message
	for _, r := range records {
		list = append(list, r.Message())
	}
	return list
}

// count is how many requests of a workspace the sender has admitted since its start.
type count struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	Total     int64
}

func countsOf(counts []quota.Count) []count {
	var list []count
	for _, c := range counts {
		list = append(list, count{Workspace: c.Workspace, Total: c.Total})
	}
	return list
}

func countsFrom(counts []count) []quota.Count {
	var list []quota.Count
	for _, c := range counts {
		list = append(list, quota.Count{Workspace: c.Workspace, Total: c.Total})
	}
	return list
}

// digest stands for a name in reports: they are sent many times a second, and bytes between domains cost. Two of some
// hundred names have the same one in fewer than one of ten thousand fleets; such targets would count as having each other's loads.
type digest uint32

func digestOf(name string) digest { return digest(xxhash.Sum64String(name)) }

// contact is when the store last answered the sender, by this process's clock.
func (r report) contact(now time.Time) time.Time {
	return now.Add(-time.Duration(r.ContactAge) * time.Millisecond)
}

// line is the load at one target.
type line struct {
	_      struct{} `cbor:",toarray"`
	Target digest
	Online int
	Batch  int
}

// linesOf returns the lines of a gateway's loads.
func linesOf(loads map[string]fleet.Load) []line {
	var list []line
	for id, l := range loads {
		list = append(list, line{Target: digestOf(id), Online: l.Online, Batch: l.Batch})
	}
	return list
}

func digestsOf(ids []string) []digest {
	var list []digest
	for _, id := range ids {
		list = append(list, digestOf(id))
	}
	return list
}

// idsOf reads digests. Those of targets that this process does not know are left out.
func idsOf(list []digest, ids map[digest]string) []string {
	var known []string
	for _, d := range list {
		if id, ok := ids[d]; ok {
			known = append(known, id)
		}
	}
	return known
}

// names are the targets' ids by their digests, as of a state of the list. Reports come hundreds of times a second, and the list of targets
// changes once in a while.
type names struct {
	listed uint64 // see fleetview.View.Listed
	ids    map[digest]string
}

func namesOf(listed uint64, known []serving.Target) names {
	n := names{listed: listed, ids: make(map[digest]string, len(known))}
	for _, t := range known {
		n.ids[digestOf(t.ID)] = t.ID
	}
	return n
}

// loadsOf reads lines. Targets that this process does not know are left out; it gets them again with the next report after
// it has read the list.
func loadsOf(lines []line, ids map[digest]string) map[string]fleet.Load {
	loads := make(map[string]fleet.Load, len(lines))
	for _, l := range lines {
		if id, ok := ids[l.Target]; ok {
			loads[id] = fleet.Load{Online: l.Online, Batch: l.Batch}
		}
	}
	return loads
}
