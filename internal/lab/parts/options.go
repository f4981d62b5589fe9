// Package parts compares ways in which gateways find the part of prompts under which targets crash. It plays sound
// requests and requests with deadly parts at a fleet of gateways and targets, without network and in virtual time, and
// counts for each way how many deadly requests reach targets and how many sound ones are rejected.
//
// Records, trials and their exchange are those of core/quarantine. Not in the model: the time until a crash is detected,
// which is a fixed delay here, the store, and callers that repeat a request.
package parts

import (
	"time"

	"arbutusramp/core/errs"
)

// Way is one way of finding the deadly part.
type Way uint8

const (
	// Explanation blames the smallest explanation of the crashes; the product's way.
	Explanation Way = iota
	// Count treats each part like any other scope: three crashes that follow on each other, cleared by a pass.
	Count
	// Ratio blames a part with three crashes under which more runs have crashed than passed.
	Ratio
	// Nothing knows no parts.
	Nothing
)

// Ways returns all ways.
func Ways() []Way { return []Way{Explanation, Count, Ratio, Nothing} }

// String returns the name of the way in reports.
func (w Way) String() string {
	return [...]string{"explanation", "count", "ratio", "nothing"}[w]
}

// Options are the fleet, its callers and its faults.
type Options struct {
	Gateways int
	Targets  int
	Slots    int           // of each target
	Duration time.Duration // of arrivals
	Down     time.Duration // until a crashed target is replaced
	Prefill  time.Duration // from the start of a run to its first event, and to the crash under a deadly part
	Answer   time.Duration // from the first event to the end of a run
	Detect   time.Duration // from a crash until the gateways whose runs it has ended count it
	Delay    time.Duration // of a report to peers, at most
	Loss     float64       // share of reports that are lost

	Sound         float64       // sound requests a second
	SoundFrom     time.Duration // when the sound ones begin
	Bad           float64       // deadly requests a second, of all deadly parts
	BadFrom       time.Duration // when the deadly ones begin
	Firsts        int           // first parts, which sound and deadly requests share
	Middles       int           // middle parts of sound requests
	DeadlyParts   int           // number of deadly parts
	IsFirstDeadly bool          // the deadly part is the first one; otherwise it is in the middle
	// Lose is the time between two losses of LoseShare of the targets at once, for another reason; 0 for none.
	Lose      time.Duration
	LoseShare float64
	// Restart is when all gateways but the first lose what they know; 0 for never.
	Restart time.Duration
	Seed    uint64
}

// DefaultOptions is a small deployment with a deadly middle part.
func DefaultOptions() Options {
	const ms = time.Millisecond
	return Options{
		Gateways: 8, Targets: 9, Slots: 8, Duration: 30 * time.Second, Down: 3500 * ms, Prefill: 110 * ms, Answer: 800 * ms, Detect: 13 * ms, Delay: 8 * ms, Loss: 0.01,
		Sound: 40, Bad: 10, BadFrom: 5 * time.Second, Firsts: 8, Middles: 1300, DeadlyParts: 1, Seed: 1,
	}
}

// check refuses options that no simulation can be made of. Error: errs.BadSettings.
func (o *Options) check() error {
	switch {
	case o.Gateways < 1 || o.Targets < 1 || o.Slots < 1 || o.Firsts < 1 || o.Middles < 1 || o.DeadlyParts < 0:
		return errs.New(errs.BadSettings, "there must be a gateway, a target with a slot and a part of each kind at least")
	case o.Duration <= 0 || o.Down <= 0 || o.Prefill <= 0 || o.Answer <= 0 || o.Detect <= 0 || o.Delay <= 0 || o.Lose < 0:
		return errs.New(errs.BadSettings, "times must be above 0")
	case o.Sound < 0 || o.Bad < 0 || !isShare(o.Loss) || !isShare(o.LoseShare):
		return errs.New(errs.BadSettings, "rates must not be negative, and shares must be between 0 and 1")
	}
	return nil
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }
