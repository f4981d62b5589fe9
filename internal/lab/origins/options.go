// Package origins compares ways in which gateways know, when a caller resumes a stream, which software version began it.
// It plays streams, releases of versions, lost gateways and cut-off gateways without network, in virtual time, and counts
// for each way which streams go on, which are rejected, which go on at another version, and what the knowledge costs in
// datagrams, bytes and records.
//
// Records and the choice of keepers are those of core/origin. Not in the model: the load of targets, processor time,
// and callers that do not come back.
package origins

import (
	"time"

	"arbutusramp/core/errs"
)

// Way is one way of knowing what began a stream.
type Way uint8

const (
	// Keepers announces each origin to a few peers and asks those that come first; the product's way.
	Keepers Way = iota
	// Broadcast sends each origin to all peers with the next two load reports.
	Broadcast
	// AskAll announces nothing: the peers are asked when a stream is resumed.
	AskAll
	// ByID derives the version from the id of the request and the versions on the list of targets.
	ByID
	// AnyVersion goes on at any version.
	AnyVersion
)

// Ways returns all ways.
func Ways() []Way { return []Way{Keepers, Broadcast, AskAll, ByID, AnyVersion} }

// String returns the name of the way in reports.
func (w Way) String() string {
	return [...]string{"keepers", "told to all", "asked only", "by id", "any version"}[w]
}

// Options are the fleet and its faults.
type Options struct {
	Gateways int
	Seconds  int     // of arrivals
	Streams  float64 // begun a second at each gateway
	Length   time.Duration
	Break    float64       // share of streams whose connection breaks for another reason than a lost gateway
	Return   time.Duration // longest time from a break to the caller's next request; the shortest is a tenth
	Loss     float64       // share of datagrams that are lost
	Delay    time.Duration // of a datagram, at most
	ListLag  time.Duration // longest time until a gateway knows a change of the list of targets
	Release  time.Duration // time from one version to the next; each serves for twice as long
	// Kill is the time between two losses of KillShare of the gateways at once; they come back after Down with empty memory.
	Kill      time.Duration
	KillShare float64
	Down      time.Duration
	// Cut is how long one gateway after the other is cut off from its peers, while callers still reach it.
	Cut  time.Duration
	Seed uint64
}

// DefaultOptions is a small deployment with a release every 12 s and single gateways that are lost.
func DefaultOptions() Options {
	const ms = time.Millisecond
	return Options{
		Gateways: 8, Seconds: 300, Streams: 5.25, Length: 750 * ms, Break: 0.05, Return: 300 * ms, Loss: 0.005, Delay: 3 * ms, ListLag: 600 * ms,
		Release: 12 * time.Second, Kill: 4 * time.Second, KillShare: 0, Down: 700 * ms, Cut: 3 * time.Second, Seed: 1,
	}
}

// check refuses options that no simulation can be made of. Error: errs.BadSettings.
func (o *Options) check() error {
	switch {
	case o.Gateways < 2 || o.Seconds < 1 || o.Streams <= 0:
		return errs.New(errs.BadSettings, "there must be two gateways and a stream at least")
	case o.Length <= 0 || o.Return <= 0 || o.Release <= 0 || o.Kill <= 0 || o.Down <= 0 || o.Cut <= 0 || o.Delay <= 0 || o.ListLag <= 0:
		return errs.New(errs.BadSettings, "times must be above 0")
	case !isShare(o.Break) || !isShare(o.Loss) || !isShare(o.KillShare):
		return errs.New(errs.BadSettings, "shares must be between 0 and 1")
	}
	return nil
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }
