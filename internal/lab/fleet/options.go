package fleet

import (
	"fmt"
	"math"
	"time"

	"arbutusramp/core/errs"
	corefleet "arbutusramp/core/fleet"
	"arbutusramp/core/policy"
)

// Policy is one way of sharing the engines between streams and batch items.
type Policy struct {
	Name string
	// Spare slots stay free at each engine after an item has started there.
	Spare int
	// Reserve slots must be free beside an item when it starts, but are not kept free afterwards.
	Reserve int
	// ExpectedTime says whether the costs of requests are predicted.
	ExpectedTime corefleet.ExpectedTimeMode
	// Items says what becomes of items with events whose version has no free slot.
	Items ItemVersions
	// Off are the product's mechanisms that are switched off.
	Off policy.Disabled
}

// ItemVersions says where an item with events goes on.
type ItemVersions uint8

const (
	// WaitThenRestart waits for a target of its version for some times as long as its events took, then begins again; the
	// product's.
	WaitThenRestart ItemVersions = iota
	// AnyVersion goes on at any version.
	AnyVersion
	// RestartAtOnce begins again where there is a slot.
	RestartAtOnce
	// WaitForVersion waits for a target of its version.
	WaitForVersion
)

// Policies returns those that are compared: the product's and what was tried before it.
func Policies() []Policy {
	admitAll := policy.Disabled{policy.RetryLater: true, policy.QueueRetries: true, policy.FeasibleFirst: true}
	return []Policy{
		{Name: "two spare slots", Spare: 2, Off: admitAll},
		{Name: "no turns", Off: policy.Disabled{policy.RetryLater: true, policy.QueueRetries: true, policy.FeasibleFirst: true, policy.StaggeredStarts: true}},
		{Name: "all admitted", Off: admitAll},
		{Name: "due first", Off: policy.Disabled{policy.FeasibleFirst: true}},
		{Name: "any version", Items: AnyVersion},
		{Name: "restart at once", Items: RestartAtOnce},
		{Name: "wait for version", Items: WaitForVersion},
		{Name: "product"},
	}
}

// Options of a comparison. Times and sizes are those of a small deployment: see docs/PLATFORM.md, where credit goes.
type Options struct {
	Gateways, Engines, Slots int
	Lost                     int           // engines that are gone from the start
	Seconds                  int           // of arrivals
	Streams                  float64       // a second, on average over a burst and the time after it
	IsSteady                 bool          // arrivals of streams without bursts
	Burst                    float64       // times the usual traffic, for a tenth of the time from its middle on; 0 is none
	Jobs                     float64       // a second
	JobItems                 int           // of each job
	Prompt                   time.Duration // until the first event
	Event                    time.Duration // between events
	StreamEvents, ItemEvents int           // on average
	Goal                     time.Duration // of a stream's first event
	Patience                 time.Duration // what a caller waits
	Stay                     time.Duration // what a caller waits for the first event
	Due                      time.Duration // of an item, from its job's arrival
	Lag                      time.Duration // until a peer hears of a load
	StartPause               time.Duration // between two starts of items by a gateway; the product's is 6 ms
	// Versions is the number of software versions of the engines. OldShare is the share of the engines that have the
	// first of them; the others have the rest in turn. 0 is an equal share.
	Versions int
	OldShare float64
	Seed     uint64
}

// DefaultOptions is the small deployment of docs/PLATFORM.md.
func DefaultOptions() Options {
	const ms = time.Millisecond
	return Options{
		Gateways: 8, Engines: 9, Slots: 8, Seconds: 60, Streams: 42, Jobs: 0.5, JobItems: 10,
		Prompt: 57 * ms, Event: 15400 * time.Microsecond, StreamEvents: 42, ItemEvents: 290,
		Versions: 1, Goal: 300 * ms, Patience: 5 * time.Second, Stay: 2 * time.Second, Due: 18 * time.Second, Lag: 5 * ms, Seed: 1,
	}
}

// Bursts: arrivals of streams are burstFactor times the mean for burstFor, then calmFactor times it for the rest of burstEvery.
const (
	burstEvery  = 6600 * time.Millisecond
	burstFor    = 2800 * time.Millisecond
	burstFactor = 1.84
	calmFactor  = 0.38
)

// version returns the version of the i-th of n engines.
func (o *Options) version(i, n int) string {
	if o.Versions == 1 {
		return "v0"
	}
	if o.OldShare == 0 {
		return fmt.Sprintf("v%d", i%o.Versions)
	}
	if old := max(1, int(math.Round(o.OldShare*float64(n)))); i < old {
		return "v0"
	}
	return fmt.Sprintf("v%d", 1+i%(o.Versions-1))
}

// check refuses options that no simulation can be made of. Error: errs.BadSettings.
func (o *Options) check() error {
	switch {
	case o.Gateways < 1 || o.Slots < 1 || o.Seconds < 1 || o.JobItems < 1:
		return errs.New(errs.BadSettings, "gateways, slots, seconds and items of a job must be at least 1")
	case o.Versions < 1 || o.OldShare < 0 || o.OldShare > 1:
		return errs.New(errs.BadSettings, "there must be one version at least, and a share between 0 and 1")
	case o.Lost < 0 || o.Engines <= o.Lost:
		return errs.Newf(errs.BadSettings, "%d of %d engines can't be lost", o.Lost, o.Engines)
	case o.Streams <= 0 || o.Jobs < 0:
		return errs.New(errs.BadSettings, "streams must come, and jobs can't come less often than never")
	}
	return nil
}
