// Package choose decides which target gets a request: filters drop candidates
// that must not be used, scorers give each of the rest a cost in
// microseconds of expected delay, and a picker takes one. It is pure: the view of
// the fleet and the random source are arguments.
package choose

import (
	"math/rand/v2"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Candidate is one target as the entry sees it now.
type Candidate struct {
	Target  structs.TargetID
	Domain  structs.FailureDomain
	Models  []structs.ModelID
	Service structs.ServiceID
	// InFlight and Queued are online requests at the target and waiting at its
	// side, by the side's last report.
	InFlight, Queued int
	// SentSince counts requests that this entry sent and that the report does not yet show.
	SentSince int
	// Limit is the side's concurrency limit; 0 is not known.
	Limit int
	// FirstToken is the side's estimate for a request that arrives now.
	FirstToken time.Duration
	// Matched is how many of the request's prefix blocks the target has seen lately.
	Matched int
	// Leaving targets are draining by their own word or by the host list.
	Leaving bool
	// Unhealthy is the side's own verdict on its target.
	Unhealthy bool
	// Health is this entry's verdict.
	Health HealthState
}

// Outstanding is the number of online requests at or before the target.
func (c *Candidate) Outstanding() int {
	return max(0, c.InFlight+c.Queued+c.SentSince)
}

// Utilisation is Outstanding as a share of the limit; above 1 requests wait.
func (c *Candidate) Utilisation() float64 {
	return float64(c.Outstanding()) / float64(max(1, c.Limit))
}

// Estimate is the expected time to the first token, including what this entry
// has sent since the report was made.
func (c *Candidate) Estimate() time.Duration {
	extra := float64(max(0, c.SentSince)) / float64(max(1, c.Limit))
	return time.Duration(float64(c.FirstToken) * (1 + extra))
}

// Request is what the choice needs to know of one request.
type Request struct {
	Model    structs.ModelID   // empty for plain services
	Service  structs.ServiceID // empty for models
	Domain   structs.FailureDomain
	Tried    []structs.TargetID // targets that this request already failed on
	TimeLeft time.Duration      // until the caller's deadline
	// MayProbe says that the request is safe to try on a target that is coming back.
	MayProbe bool
	// Prefixes are hashes of the prompt's growing prefixes; nil for plain services.
	Prefixes []uint64
	// Begun says that the caller has a part of the answer. It is not refused for load:
	// what the targets have done for it would be thrown away.
	Begun bool
}

// View is the fleet at one moment, with what scorers compare against.
type View struct {
	Candidates []Candidate
	// MeanUtilisation is over the candidates that passed the filters.
	MeanUtilisation float64
	// MeanOutstanding is over the same candidates.
	MeanOutstanding float64
	// Home is the candidate that the request's prefix belongs to, -1 for none.
	Home int
}

// Filter drops candidates.
type Filter interface {
	// Drop returns why c must not get r, or "" to keep it.
	Drop(r *Request, c *Candidate) string
}

// Scorer adds to a candidate's cost.
type Scorer interface {
	// Cost is in microseconds of expected delay; it may be negative.
	Cost(r *Request, c *Candidate, v *View) float64
}

// Picker takes one of the scored candidates.
type Picker interface {
	// Pick returns an index into kept, which is not empty.
	Pick(rng *rand.Rand, v *View, kept []Scored) int
}

// Scored is a candidate that passed the filters.
type Scored struct {
	Index int // in View.Candidates
	Cost  float64
}

// Dropped is a candidate that a filter dropped.
type Dropped struct {
	Index  int
	Reason string
}

// Decision is the outcome of a choice with what it was based on. It is reused
// between choices to save allocations.
type Decision struct {
	Index   int // in View.Candidates
	Picked  int // in Kept
	Why     string
	Kept    []Scored
	Dropped []Dropped
}

// Policy is a set of plugins.
type Policy struct {
	Name    string
	Filters []Filter
	Scorers []Scorer
	Picker  Picker
	// QueuePerLimit bounds how many requests may wait at a side, as a multiple of its
	// limit, before the entry counts it as full.
	QueuePerLimit int
}

// Choose picks a candidate of v for r and writes it to d. Errors:
// errs.NoTarget, errs.Overloaded, errs.DeadlineUnmet, all with RanNo and a time to come back.
func (p *Policy) Choose(rng *rand.Rand, r *Request, v *View, d *Decision) *errs.Error {
	d.Kept, d.Dropped = d.Kept[:0], d.Dropped[:0]
	p.filter(r, v, d)
	if len(d.Kept) == 0 {
		return noTarget(d)
	}
	if i, ok := probe(r, v, d.Kept); ok {
		d.take(i, "probe")
		return nil
	}
	d.Kept = withoutProbes(v, d.Kept)
	if err := p.refuse(r, v, d); err != nil {
		return err
	}
	p.score(r, v, d)
	d.take(p.Picker.Pick(rng, v, d.Kept), p.Name)
	return nil
}

func (d *Decision) take(i int, why string) {
	d.Picked, d.Index, d.Why = i, d.Kept[i].Index, why
}

func (p *Policy) filter(r *Request, v *View, d *Decision) {
	for i := range v.Candidates {
		if why := p.drop(r, &v.Candidates[i]); why != "" {
			d.Dropped = append(d.Dropped, Dropped{Index: i, Reason: why})
			continue
		}
		d.Kept = append(d.Kept, Scored{Index: i})
	}
}

func (p *Policy) drop(r *Request, c *Candidate) string {
	for _, f := range p.Filters {
		if why := f.Drop(r, c); why != "" {
			return why
		}
	}
	return ""
}

func (p *Policy) score(r *Request, v *View, d *Decision) {
	sum, outstanding := 0.0, 0
	for _, k := range d.Kept {
		sum += v.Candidates[k.Index].Utilisation()
		outstanding += v.Candidates[k.Index].Outstanding()
	}
	v.MeanUtilisation = sum / float64(len(d.Kept))
	v.MeanOutstanding = float64(outstanding) / float64(len(d.Kept))
	v.Home = home(r, v, d.Kept)
	for i := range d.Kept {
		c := &v.Candidates[d.Kept[i].Index]
		for _, s := range p.Scorers {
			d.Kept[i].Cost += s.Cost(r, c, v)
		}
	}
}

// probe finds a target whose ejection has run out; the first request that may
// be tried there shows whether it is well again.
func probe(r *Request, v *View, kept []Scored) (int, bool) {
	if !r.MayProbe {
		return 0, false
	}
	for i, k := range kept {
		if v.Candidates[k.Index].Health == Probing {
			return i, true
		}
	}
	return 0, false
}

// withoutProbes leaves targets on probation to requests that may probe, unless
// nothing else is left.
func withoutProbes(v *View, kept []Scored) []Scored {
	n := 0
	for _, k := range kept {
		if v.Candidates[k.Index].Health == Probing {
			continue
		}
		kept[n] = k
		n++
	}
	if n == 0 {
		return kept
	}
	return kept[:n]
}
