package jobs

import (
	"fmt"
	"time"

	"arbutusramp/core/invariant"
	"arbutusramp/core/structs"
)

const (
	// runLength is how many items of one job are picked in a row, so that their
	// bodies and results stand near each other in the log.
	runLength = 16
	// loneCrashes is after how many crashes an item is run with no other beside it.
	loneCrashes = 2
	// retryBase is the wait before a charged item is handed out again; it doubles.
	retryBase = 500 * time.Millisecond
	retryMax  = 30 * time.Second
	// returnWait is the wait of an item that came back uncharged. Without it an
	// item that every side gives back at once goes round as fast as messages do.
	returnWait = 100 * time.Millisecond
	// aloneWait is how long an item that must run alone waits for a side that holds nothing: on
	// one that does, all of its places would idle until it has run empty.
	aloneWait = 20 * time.Second
)

// Query is what one side asks for.
type Query struct {
	Side    structs.HostID
	Models  []structs.ModelID
	Service structs.ServiceID
	Room    int
	// Weight gives the share of a workspace; nil or a value under 1 counts as 1.
	Weight func(structs.WorkspaceID) int
	// Lease is how long the items are the side's before they are handed out again.
	Lease time.Duration
	// Ready says whether the bodies of a segment can be had now; nil means always.
	Ready func(job structs.JobID, seg int) bool
}

// Pick is one item to hand out.
type Pick struct {
	Key
	Seg     int
	Attempt int
	Once    bool // its ItemStart must be folded before it is sent
	Alone   bool
}

// Lease is one item that a side holds.
type Lease struct {
	Side    structs.HostID
	Until   time.Time
	Attempt int
	Once    bool
	Suspect bool
	Alone   bool
	// Reported says that the outcome is on its way to the log.
	Reported bool
	// Unsent says that the item was picked and did not go out yet.
	Unsent   bool
	CustomID string // known once the item was sent
}

// Sched picks the items that sides get. It is not safe for concurrent use.
type Sched struct {
	state  *State
	check  *invariant.Checker
	queues map[structs.JobID]*queue
	spaces map[structs.WorkspaceID]float64 // items served by weight
	leases map[Key]*Lease
	// alone are the sides that run an item with no other beside it: what they
	// got besides would wait there.
	alone map[structs.HostID]bool
	turn  int
}

// queue is the work left of one job.
type queue struct {
	job *Job
	// seg and pos: everything before was handed out once.
	seg, pos int
	back     []returned // to be handed out again
	suspects []returned
	served   float64
}

type returned struct {
	index, attempt int
	notBefore      time.Time
}

// NewSched returns the dispatch state for a fold that was just read: nothing is
// handed out. Items that run at most once and were started under an earlier
// epoch wait until grace has passed at now for their side to report.
func NewSched(state *State, now time.Time, grace time.Duration) *Sched {
	s := &Sched{
		state:  state,
		check:  state.check,
		queues: make(map[structs.JobID]*queue),
		spaces: make(map[structs.WorkspaceID]float64),
		leases: make(map[Key]*Lease),
		alone:  make(map[structs.HostID]bool),
	}
	for id, j := range state.Jobs {
		if !j.Accepted || j.Ended() {
			continue
		}
		s.Add(id)
		for _, index := range j.StartedOpen() {
			s.leases[Key{id, index}] = &Lease{Until: now.Add(grace), Once: true}
		}
	}
	s.adopt(now)
	return s
}

// adopt takes over the leases that the last owner left at its release.
func (s *Sched) adopt(now time.Time) {
	for _, l := range s.state.Leases {
		j := s.state.Jobs[l.Job]
		if j == nil || !j.Open(l.Index) {
			continue
		}
		left := time.Duration(l.LeftMs) * time.Millisecond
		s.leases[Key{l.Job, l.Index}] = &Lease{
			Side: l.Side, Until: now.Add(left), Attempt: l.Attempt, Once: j.Once(l.Index),
		}
	}
}

// Add makes the items of job available, if it is accepted and not known yet.
func (s *Sched) Add(id structs.JobID) {
	j := s.state.Jobs[id]
	if j == nil || s.queues[id] != nil || j.Ended() {
		return
	}
	q := &queue{job: j}
	first := true
	for _, other := range s.queues {
		if other.job.Spec.Workspace == j.Spec.Workspace && (first || other.served < q.served) {
			q.served = other.served
			first = false
		}
	}
	s.queues[id] = q
}

// Apply takes in what an envelope has changed.
func (s *Sched) Apply(eff *Effects) {
	for _, id := range eff.Accepted {
		s.Add(id)
	}
	for _, key := range eff.Done {
		s.Drop(key)
		if q := s.queues[key.Job]; q != nil && q.job.Ended() {
			delete(s.queues, key.Job)
		}
	}
	for _, id := range eff.Cancelled {
		delete(s.queues, id)
	}
	for _, id := range eff.Forgotten {
		delete(s.queues, id)
	}
}

// Take picks up to q.Room items for a side and leases them to it.
func (s *Sched) Take(now time.Time, q Query) []Pick {
	var picks []Pick
	if len(s.alone) > 0 && s.alone[q.Side] {
		return nil
	}
	for len(picks) < q.Room {
		got := s.takeRun(now, &q, q.Room-len(picks))
		if len(got) == 0 {
			break
		}
		picks = append(picks, got...)
		if got[0].Alone {
			break
		}
	}
	return picks
}

// takeRun picks the next items of one job.
func (s *Sched) takeRun(now time.Time, q *Query, room int) []Pick {
	tried := make(map[structs.JobID]bool)
	for {
		c := s.choose(now, q, tried)
		if c == nil {
			return nil
		}
		tried[c.job.ID] = true
		picks := s.takeFrom(now, c, q, min(room, runLength))
		if len(picks) == 0 {
			continue
		}
		s.turn++
		s.account(c, q, len(picks))
		return picks
	}
}

func (s *Sched) account(c *queue, q *Query, n int) {
	ws := c.job.Spec.Workspace
	weight := 1
	if q.Weight != nil {
		weight = max(1, q.Weight(ws))
	}
	c.served += float64(n)
	s.spaces[ws] += float64(n) / float64(weight)
}

// choose returns the job whose turn it is. Every other turn goes to the
// nearest due time over all jobs, the turns between to the workspace, and in it the
// job, that was served least: a job that is due early gets half of the room,
// and no job waits for ever behind a row of earlier due times.
func (s *Sched) choose(now time.Time, q *Query, tried map[structs.JobID]bool) *queue {
	var best *queue
	byDue := s.turn%2 == 0
	for id, c := range s.queues {
		if tried[id] || !c.job.Runnable() || !c.matches(q) || !c.hasWork(now) {
			continue
		}
		if best == nil || s.before(c, best, byDue) {
			best = c
		}
	}
	if best != nil {
		s.enter(best.job.Spec.Workspace)
	}
	return best
}

// enter gives a workspace that was idle the present level of service: with its
// old, low count it would take every fair turn until it had caught up.
func (s *Sched) enter(ws structs.WorkspaceID) {
	if _, known := s.spaces[ws]; known {
		return
	}
	level, first := 0.0, true
	for _, v := range s.spaces {
		if first || v < level {
			level, first = v, false
		}
	}
	s.spaces[ws] = level
}

func (s *Sched) before(a, b *queue, byDue bool) bool {
	if byDue {
		if da, db := due(a), due(b); da != db {
			return da < db
		}
	}
	wa, wb := s.spaces[a.job.Spec.Workspace], s.spaces[b.job.Spec.Workspace]
	if wa != wb {
		return wa < wb
	}
	if a.served != b.served {
		return a.served < b.served
	}
	return a.job.ID < b.job.ID
}

func due(c *queue) int64 {
	if c.job.Spec.DueMs == 0 {
		return 1<<63 - 1
	}
	return c.job.Spec.DueMs
}

func (s *Sched) takeFrom(now time.Time, c *queue, q *Query, room int) []Pick {
	if p, ok := s.takeSuspect(now, c, q); ok {
		return []Pick{p}
	}
	var picks []Pick
	for len(picks) < room {
		r, seg, ok := c.next(now, s.leases, q)
		if !ok {
			break
		}
		if c.job.Trouble(r.index).Crashes > 0 {
			c.suspects = append(c.suspects, r)
			continue
		}
		picks = append(picks, s.lease(now, c, q, r, seg, Lease{}))
	}
	return picks
}

// takeSuspect picks an item that was there when a target died. At most one is
// out per side: two suspects that die together again would still not say which
// of them it was.
func (s *Sched) takeSuspect(now time.Time, c *queue, q *Query) (Pick, bool) {
	if len(c.suspects) == 0 || s.holdsSuspect(q.Side) {
		return Pick{}, false
	}
	for i, r := range c.suspects {
		seg, _, _ := c.job.Locate(r.index)
		if !c.job.Open(r.index) || r.notBefore.After(now) || !q.ready(c.job.ID, seg) {
			continue
		}
		alone := c.job.Trouble(r.index).Crashes >= loneCrashes
		if alone && now.Sub(r.notBefore) < aloneWait && s.holdsAny(q.Side) {
			continue
		}
		c.suspects = append(c.suspects[:i], c.suspects[i+1:]...)
		return s.lease(now, c, q, r, seg, Lease{Suspect: true, Alone: alone}), true
	}
	return Pick{}, false
}

func (s *Sched) holdsSuspect(side structs.HostID) bool {
	for _, l := range s.leases {
		if l.Side == side && l.Suspect && !l.Reported {
			return true
		}
	}
	return false
}

func (s *Sched) holdsAny(side structs.HostID) bool {
	for _, l := range s.leases {
		if l.Side == side && !l.Reported {
			return true
		}
	}
	return false
}

func (s *Sched) lease(now time.Time, c *queue, q *Query, r returned, seg int, l Lease) Pick {
	key := Key{c.job.ID, r.index}
	l.Side, l.Until, l.Attempt = q.Side, now.Add(q.Lease), r.attempt
	l.Once = c.job.Once(r.index)
	l.Unsent = true
	s.leases[key] = &l
	if l.Alone {
		s.alone[q.Side] = true
	}
	s.check.Check(c.job.Runnable(), invariant.NoStartAfterCancel,
		fmt.Sprintf("job %s item %d is %s", key.Job, key.Index, c.job.Status()))
	return Pick{Key: key, Seg: seg, Attempt: r.attempt, Once: l.Once, Alone: l.Alone}
}

func (q *Query) ready(job structs.JobID, seg int) bool {
	return q.Ready == nil || q.Ready(job, seg)
}

func (c *queue) matches(q *Query) bool {
	if c.job.Spec.Service != "" {
		return c.job.Spec.Service == q.Service
	}
	for _, m := range q.Models {
		if m == c.job.Spec.Model {
			return true
		}
	}
	return false
}
