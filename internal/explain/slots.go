package explain

import (
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
)

// SlotUse is where the slot-seconds of the targets that run batch items went, in a window of time.
type SlotUse struct {
	From time.Duration // since the first line of the logs

	Online  float64 // made events of online requests
	Batch   float64 // made events of batch items
	Starts  float64 // from sending to the first event: reading prompts, and waiting in queues
	Tails   float64 // parts of events of batch runs that were cut off
	Again   float64 // events of items that another run had made
	Lost    float64 // attempts and runs that came to nothing
	Unseen  float64 // work of processes that are gone, at most
	Queued  float64 // of all these, beyond the slots: waiting at the targets
	Wanted  float64 // free while items waited that could have run
	Idle    float64 // free otherwise
	Waiting float64 // item-seconds that items waited
}

// total is the number of slot-seconds that were there.
func (u *SlotUse) total() float64 { return u.busy() - u.Queued + u.Wanted + u.Idle }

func (u *SlotUse) busy() float64 {
	return u.Online + u.Batch + u.Starts + u.Tails + u.Again + u.Lost + u.Unseen
}

func (u *SlotUse) add(o SlotUse) {
	u.Online += o.Online
	u.Batch += o.Batch
	u.Starts += o.Starts
	u.Tails += o.Tails
	u.Again += o.Again
	u.Lost += o.Lost
	u.Unseen += o.Unseen
	u.Queued += o.Queued
	u.Wanted += o.Wanted
	u.Idle += o.Idle
	u.Waiting += o.Waiting
}

// SlotAccount is the use of slots by windows of time.
type SlotAccount struct {
	Window  time.Duration
	Windows []SlotUse
}

// Total sums up all windows.
func (a *SlotAccount) Total() SlotUse {
	var sum SlotUse
	for _, u := range a.Windows {
		sum.add(u)
	}
	return sum
}

// slotStep is how finely time is divided: shorter than a stream's pause between events.
const slotStep = 10 * time.Millisecond

// maxSpan bounds the time that the logs may span: a day's would take as long to go through as it is of use for nobody.
const maxSpan = time.Hour

// AccountSlots works out from the logs of all processes where the slot-seconds of targets went, for services that ran batch
// items: elsewhere nothing waits for a slot but for moments. Clocks of the hosts that differ by d make figures of moments wrong by d.
// Errors: errs.BadRequest (the logs span over maxSpan).
func AccountSlots(lines []Line, window time.Duration) (*SlotAccount, error) {
	occ := readOccupancy(lines)
	if span := occ.end.Sub(occ.begin); span > maxSpan {
		return nil, errs.Newf(errs.BadRequest, "the logs span %v: an account is made of at most %v", span.Round(time.Second), maxSpan)
	}
	a := &SlotAccount{Window: window}
	if occ.end.After(occ.begin) {
		a.Windows = make([]SlotUse, int(occ.end.Sub(occ.begin)/window)+1)
	}
	for i := range a.Windows {
		a.Windows[i].From = time.Duration(i) * window
	}
	services := occ.batchServices()
	a.spreadRuns(occ, services)
	a.sweep(occ, services)
	return a, nil
}

// batchServices are those whose targets ran batch items.
func (o *occupancy) batchServices() map[string]bool {
	services := make(map[string]bool)
	for _, s := range o.runs {
		if t, ok := o.targets[s.target]; ok && s.batch {
			services[t.service] = true
		}
	}
	return services
}

func (o *occupancy) counts(s run, services map[string]bool) bool {
	t, ok := o.targets[s.target]
	return ok && services[t.service]
}

// spreadRuns adds the parts of each run to the windows in which they were.
func (a *SlotAccount) spreadRuns(occ *occupancy, services map[string]bool) {
	for _, s := range occ.runs {
		if !occ.counts(s, services) {
			continue
		}
		begin, end := s.begin.Sub(occ.begin), s.end.Sub(occ.begin)
		first, last := begin+s.start, end-s.tail
		switch {
		case s.unseen:
			a.spread(begin, end, func(u *SlotUse) *float64 { return &u.Unseen })
		case s.lost:
			a.spread(begin, end, func(u *SlotUse) *float64 { return &u.Lost })
		case s.batch:
			a.spread(begin, first, func(u *SlotUse) *float64 { return &u.Starts })
			a.spread(first, first+s.again, func(u *SlotUse) *float64 { return &u.Again })
			a.spread(first+s.again, last, func(u *SlotUse) *float64 { return &u.Batch })
			a.spread(max(first, last), end, func(u *SlotUse) *float64 { return &u.Tails })
		default:
			a.spread(begin, first, func(u *SlotUse) *float64 { return &u.Starts })
			a.spread(first, end, func(u *SlotUse) *float64 { return &u.Online })
		}
	}
}

// spread adds the time from begin to end to one figure of the windows.
func (a *SlotAccount) spread(begin, end time.Duration, figure func(*SlotUse) *float64) {
	for i := int(begin / a.Window); begin < end && i < len(a.Windows); i++ {
		until := min(end, time.Duration(i+1)*a.Window)
		*figure(&a.Windows[i]) += (until - begin).Seconds()
		begin = until
	}
}

// sweep goes through time in steps and adds what was free, waited in queues, and waited for a start.
func (a *SlotAccount) sweep(occ *occupancy, services map[string]bool) {
	load := make(map[string]int)
	moves := occ.moves(services)
	waiting, next, change := 0, 0, 0
	for at := time.Duration(0); at < occ.end.Sub(occ.begin); at += slotStep {
		now := occ.begin.Add(at)
		for ; next < len(moves) && !moves[next].at.After(now); next++ {
			load[moves[next].target] += moves[next].by
		}
		for ; change < len(occ.waiting) && !occ.waiting[change].at.After(now); change++ {
			waiting += occ.waiting[change].by
		}
		free, queued := occ.freeAt(now, load, services)
		u := &a.Windows[at/a.Window]
		wanted := min(free, max(0, waiting))
		u.Queued += float64(queued) * slotStep.Seconds()
		u.Wanted += float64(wanted) * slotStep.Seconds()
		u.Idle += float64(free-wanted) * slotStep.Seconds()
		u.Waiting += float64(max(0, waiting)) * slotStep.Seconds()
	}
}

// move is a run that begins or ends.
type move struct {
	at     time.Time
	target string
	by     int
}

func (o *occupancy) moves(services map[string]bool) []move {
	var list []move
	for _, s := range o.runs {
		if o.counts(s, services) {
			list = append(list, move{s.begin, s.target, 1}, move{s.end, s.target, -1})
		}
	}
	slices.SortStableFunc(list, func(a, b move) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.target, b.target)) })
	return list
}

// freeAt is how many slots are free at a moment, and how many requests wait beyond the slots of their targets.
func (o *occupancy) freeAt(now time.Time, load map[string]int, services map[string]bool) (free, queued int) {
	for id, t := range o.targets {
		if !services[t.service] {
			continue
		}
		slots := t.slots
		if now.Before(t.begin) || !now.Before(t.end) {
			slots = 0
		}
		free += max(0, slots-load[id])
		queued += max(0, load[id]-slots)
	}
	return free, queued
}

// Print writes the account as a table: a line for each window, then the sum and each figure's share of it.
func (a *SlotAccount) Print(w io.Writer) error {
	p := &printer{w: w}
	p.printf("%8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %8s %9s\n",
		"from s", "online", "batch", "starts", "tails", "again", "lost", "unseen", "-queued", "wanted", "idle", "waiting")
	for _, u := range a.Windows {
		p.slots(u, u.From.Seconds(), 1)
	}
	sum := a.Total()
	p.printf("in slot-seconds, of %.0f:\n", sum.total())
	p.slots(sum, 0, 1)
	if total := sum.total(); total > 0 {
		p.printf("in percent:\n")
		p.slots(sum, 0, 100/total)
	}
	return errors.Wrap(p.err, "print")
}

func (p *printer) slots(u SlotUse, from, unit float64) {
	p.printf("%8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %8.1f %9.1f\n", from, u.Online*unit, u.Batch*unit, u.Starts*unit,
		u.Tails*unit, u.Again*unit, u.Lost*unit, u.Unseen*unit, u.Queued*unit, u.Wanted*unit, u.Idle*unit, u.Waiting*unit)
}
