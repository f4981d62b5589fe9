// Package crashes compares ways in which batch items wait that have lost their targets. It plays items and losses of
// targets at a fleet, without network and in virtual time, and counts for each way how many runs are lost, and how long an
// item that could run waits once no more targets are lost.
//
// The waits of the product's way are those of core/backlog and core/fleet. Not in the model: several gateways, whose
// reports reach each other within some ten milliseconds, and online requests.
package crashes

import (
	"time"

	"arbutusramp/core/errs"
)

// Way is one way of waiting after a run whose target was lost.
type Way uint8

const (
	// Calm waits until few targets of the service are lost, for longer after each further loss; the product's way.
	Calm Way = iota
	// Immediate runs the item again after 80 ms.
	Immediate
	// OwnPause doubles the wait with each loss of the item, whatever becomes of other targets.
	OwnPause
	// Blame holds an item for good after three losses in turn, and runs one suspect item at a time.
	Blame
)

// Ways returns all ways.
func Ways() []Way { return []Way{Calm, Immediate, OwnPause, Blame} }

// String returns the name of the way in reports.
func (w Way) String() string {
	return [...]string{"calm", "immediate", "own pause", "blame"}[w]
}

// Loss is a time at which targets are lost.
type Loss struct {
	At    time.Duration
	Share float64 // of the targets
}

// Options are the fleet, its items and its losses.
type Options struct {
	Targets int
	Slots   int           // of each target
	Down    time.Duration // until a lost target is replaced
	Detect  time.Duration // from a loss until it is known

	Items      int           // number of items, of which ten arrive at once
	Interval   time.Duration // between two such arrivals
	Prefill    time.Duration // from the start of a run to its first event
	Events     int           // of an item; a run goes on after the last one
	EventTime  time.Duration
	CrashShare float64 // share of the items that end their target at the end of the prefill
	Losses     []Loss
	Duration   time.Duration // of the play
	Seed       uint64
}

// DefaultOptions is a small deployment without losses.
func DefaultOptions() Options {
	const ms = time.Millisecond
	return Options{
		Targets: 9, Slots: 8, Down: 400 * ms, Detect: 15 * ms, Items: 200, Interval: 2 * time.Second, Prefill: 60 * ms, Events: 100, EventTime: 20 * ms,
		Duration: time.Minute, Seed: 1,
	}
}

// Pattern is a named series of losses.
type Pattern uint8

const (
	// Bursts are three times five losses of three targets in ten, 0.4 s apart.
	Bursts Pattern = iota
	// Single is the loss of one target every five seconds.
	Single
	// Lasting is the loss of one target every 0.7 s for 30 s.
	Lasting
	// Quiet has no losses.
	Quiet
)

// Patterns returns all patterns.
func Patterns() []Pattern { return []Pattern{Bursts, Single, Lasting, Quiet} }

// String returns the name of the pattern.
func (p Pattern) String() string { return [...]string{"bursts", "single", "lasting", "quiet"}[p] }

// Losses returns the losses of the pattern in a fleet of that many targets.
func (p Pattern) Losses(targets int) []Loss {
	const ms = time.Millisecond
	one := 1 / float64(targets)
	var list []Loss
	switch p {
	case Bursts:
		for _, begin := range []time.Duration{5 * time.Second, 11 * time.Second, 17 * time.Second} {
			for i := range 5 {
				list = append(list, Loss{begin + time.Duration(i)*400*ms, 0.3})
			}
		}
	case Single:
		for at := 5 * time.Second; at <= 30*time.Second; at += 5 * time.Second {
			list = append(list, Loss{at, one})
		}
	case Lasting:
		for at := 5 * time.Second; at <= 35*time.Second; at += 700 * ms {
			list = append(list, Loss{at, one})
		}
	}
	return list
}

// check refuses options that no simulation can be made of. Error: errs.BadSettings.
func (o *Options) check() error {
	switch {
	case o.Targets < 1 || o.Slots < 1 || o.Items < 1 || o.Events < 1:
		return errs.New(errs.BadSettings, "there must be a target with a slot, and an item with an event, at least")
	case o.Down <= 0 || o.Detect <= 0 || o.Interval <= 0 || o.Prefill <= 0 || o.EventTime <= 0 || o.Duration <= 0:
		return errs.New(errs.BadSettings, "times must be positive")
	case o.CrashShare < 0 || o.CrashShare > 1:
		return errs.New(errs.BadSettings, "shares must be from 0 to 1")
	}
	return nil
}
