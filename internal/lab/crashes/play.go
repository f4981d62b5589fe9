package crashes

import (
	"math/rand/v2"
	"slices"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/fleet"
	"arbutusramp/internal/lab/virtual"
)

const (
	arrivalSize   = 10                    // items that arrive at once
	immediatePace = 80 * time.Millisecond // wait of the way Immediate
	ownPace       = 250 * time.Millisecond
	maxOwnPace    = 20 * time.Second
	blameAfter    = 3 // losses after which Blame holds an item
	// calmTime is how long no target must have been lost for a waiting item to count as waiting without need.
	calmTime = time.Second
)

// Result is the outcome of one way.
type Result struct {
	Way      string  `json:"way"`
	Items    int     `json:"items"`    // sound items
	Done     int     `json:"done"`     // sound items that are complete at the end
	LeftOver int     `json:"left"`     // sound items that wait at the end although slots are free
	Lost     int     `json:"lost"`     // targets that were lost
	Own      int     `json:"own"`      // of these by items
	Broken   int     `json:"broken"`   // runs of sound items that their targets broke off
	Again    int     `json:"again"`    // of these runs that began within calmTime of a loss, after an earlier one of the item
	MeanMs   float64 `json:"mean_ms"`  // from the arrival of a sound item to its end, of those that are done
	IdleMs   int64   `json:"idle_ms"`  // the longest wait of a sound item with free slots, once no target was lost for calmTime
	Events   float64 `json:"events_s"` // events made a second
}

// item is a batch item.
type item struct {
	isCrashing bool
	arrivedAt  time.Time
	events     int // so far
	eventsThen int // when its last run began
	losses     int // runs in a row that were lost without a further event
	inTurn     int // all runs that were lost
	notBefore  time.Time
	wait       backlog.CrashWait
	endedAt    time.Time // of the last run that was lost
	isHeld     bool
	isDone     bool
	run        *run // nil while it waits
}

// run is a run of an item.
type run struct {
	item    *item
	target  *target
	beganAt time.Time
}

// target is one start of a target.
type target struct {
	runs []*run
	isUp bool
}

// play is the play of one way.
type play struct {
	o          Options
	way        Way
	rng        *rand.Rand
	clock      virtual.Clock
	start      time.Time
	targets    []*target
	items      []*item
	failures   fleet.FailureLog
	lastLossAt time.Time
	result     Result
	idle       time.Duration
	total      time.Duration
	events     int
}

// Run plays the options with each of the ways. Error: errs.BadSettings.
func Run(o Options, ways []Way) ([]Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	results := make([]Result, 0, len(ways))
	for _, w := range ways {
		results = append(results, runWay(o, w))
	}
	return results, nil
}

func runWay(o Options, w Way) Result {
	start := time.Unix(0, 0)
	p := &play{o: o, way: w, rng: rand.New(rand.NewPCG(o.Seed, 1)), clock: virtual.Clock{Now: start}, start: start}
	for range o.Targets {
		p.targets = append(p.targets, &target{isUp: true})
	}
	for i := range o.Items {
		isCrashing := p.rng.Float64() < o.CrashShare
		if !isCrashing {
			p.result.Items++
		}
		p.clock.After(time.Duration(i/arrivalSize)*o.Interval, func() {
			p.items = append(p.items, &item{isCrashing: isCrashing, arrivedAt: p.clock.Now})
		})
	}
	for _, l := range o.Losses {
		p.clock.After(l.At, func() { p.lose(l.Share) })
	}
	p.clock.After(0, p.schedule)
	p.clock.Run(start.Add(o.Duration))
	return p.finish()
}

// schedulePace is the interval at which items are started.
const schedulePace = 10 * time.Millisecond

// schedule starts the items that may run while slots are free.
func (p *play) schedule() {
	for _, i := range p.items {
		if i.run != nil || i.isDone {
			continue
		}
		t := p.leastLoaded()
		if t == nil {
			break
		}
		if !p.canStart(i) {
			p.noteIdle(i)
			continue
		}
		p.startRun(i, t)
	}
	p.clock.After(schedulePace, p.schedule)
}

// leastLoaded returns the target with the most free slots; nil if there is none.
func (p *play) leastLoaded() *target {
	var best *target
	for _, t := range p.targets {
		if t.isUp && len(t.runs) < p.o.Slots && (best == nil || len(t.runs) < len(best.runs)) {
			best = t
		}
	}
	return best
}

func (p *play) canStart(i *item) bool {
	now := p.clock.Now
	switch p.way {
	case Calm:
		return i.losses == 0 || !now.Before(i.wait.Until(i.endedAt, p.failures.CalmAt(p.o.Targets, i.wait.Calm, i.wait.Failures)))
	case Blame:
		return !i.isHeld && !now.Before(i.notBefore) && (i.inTurn == 0 || !p.isSuspectRunning())
	}
	return !now.Before(i.notBefore)
}

// isSuspectRunning reports whether an item runs that has lost a target and has made no event since.
func (p *play) isSuspectRunning() bool {
	return slices.ContainsFunc(p.items, func(i *item) bool { return i.run != nil && i.inTurn > 0 && i.events == i.eventsThen })
}

// noteIdle notes how long a sound item has been waiting although slots are free and no targets are lost.
func (p *play) noteIdle(i *item) {
	if i.isCrashing || i.endedAt.IsZero() {
		return
	}
	since := p.lastLossAt.Add(calmTime)
	if i.endedAt.After(since) {
		since = i.endedAt
	}
	p.idle = max(p.idle, p.clock.Now.Sub(since))
}

func (p *play) startRun(i *item, t *target) {
	r := &run{item: i, target: t, beganAt: p.clock.Now}
	i.run, i.eventsThen = r, i.events
	t.runs = append(t.runs, r)
	p.clock.After(p.o.Prefill, func() { p.addEvent(r) })
}

// addEvent adds the next event of a run, unless the run has ended.
func (p *play) addEvent(r *run) {
	i := r.item
	switch {
	case i.run != r:
		return
	case i.isCrashing:
		p.result.Own++
		p.crash(r.target)
		return
	}
	i.events++
	p.events++
	if i.events < p.o.Events {
		p.clock.After(p.o.EventTime, func() { p.addEvent(r) })
		return
	}
	i.isDone, i.run = true, nil
	r.target.runs = slices.DeleteFunc(r.target.runs, func(other *run) bool { return other == r })
	p.result.Done++
	p.total += p.clock.Now.Sub(i.arrivedAt)
}

// lose ends a share of the targets, drawn at random.
func (p *play) lose(share float64) {
	n := int(share*float64(p.o.Targets) + 0.5)
	for _, index := range p.rng.Perm(p.o.Targets)[:n] {
		if t := p.targets[index]; t.isUp {
			p.crash(t)
		}
	}
}

// crash ends a target and has it replaced. Its items know of it after Options.Detect.
func (p *play) crash(t *target) {
	now := p.clock.Now
	p.result.Lost++
	runs := t.runs
	t.isUp, t.runs = false, nil
	for _, r := range runs {
		if !r.item.isCrashing {
			p.result.Broken++
			if r.item.inTurn > 0 && r.beganAt.Sub(p.lastLossAt) < calmTime {
				p.result.Again++
			}
		}
	}
	p.lastLossAt = now
	p.clock.After(p.o.Detect, func() {
		p.failures.Add(p.clock.Now)
		for _, r := range runs {
			p.noteLoss(r)
		}
	})
	p.clock.After(p.o.Down, func() { t.isUp = true })
}

// noteLoss makes an item wait whose target was lost.
func (p *play) noteLoss(r *run) {
	i, now := r.item, p.clock.Now
	if i.run != r {
		return
	}
	i.run, i.endedAt = nil, now
	i.inTurn++
	i.losses++
	if i.events > i.eventsThen {
		i.losses = 1
	}
	switch p.way {
	case Calm:
		i.wait = backlog.NewCrashWait(i.losses, p.rng.Float64())
	case Immediate:
		i.notBefore = now.Add(immediatePace)
	case OwnPause:
		i.notBefore = now.Add(min(maxOwnPace, ownPace<<min(i.losses-1, 10)))
	case Blame:
		i.notBefore = now.Add(immediatePace)
		i.isHeld = i.losses >= blameAfter
	}
}

func (p *play) finish() Result {
	r := p.result
	r.Way = p.way.String()
	hasRoom := p.leastLoaded() != nil
	for _, i := range p.items {
		if !i.isCrashing && !i.isDone && i.run == nil && hasRoom {
			r.LeftOver++
		}
	}
	if r.Done > 0 {
		r.MeanMs = float64(p.total.Milliseconds()) / float64(r.Done)
	}
	r.IdleMs = p.idle.Milliseconds()
	r.Events = float64(p.events) / p.o.Duration.Seconds()
	return r
}
