package choose

import (
	"math/rand/v2"
	"testing"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func cand(id structs.TargetID, inFlight int) Candidate {
	return Candidate{Target: id, Domain: "d1", Models: []structs.ModelID{"m"}, InFlight: inFlight, Limit: 10, FirstToken: 10 * time.Millisecond}
}

func with(c Candidate, change func(*Candidate)) Candidate {
	change(&c)
	return c
}

func policy(t *testing.T, name string) *Policy {
	t.Helper()
	p, err := New(name)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

var ask = Request{Model: "m", Domain: "d1", TimeLeft: time.Minute}

func TestBestChoice(t *testing.T) {
	cases := []struct {
		name  string
		r     Request
		cands []Candidate
		want  structs.TargetID
	}{
		{"least loaded", ask, []Candidate{cand("a", 5), cand("b", 2), cand("c", 7)}, "b"},
		{"what was sent since the report counts", ask,
			[]Candidate{with(cand("a", 0), func(c *Candidate) { c.SentSince = 4 }), cand("b", 2)}, "b"},
		{"queued counts", ask,
			[]Candidate{with(cand("a", 0), func(c *Candidate) { c.Queued = 4 }), cand("b", 2)}, "b"},
		{"quicker first token", ask,
			[]Candidate{with(cand("a", 2), func(c *Candidate) { c.FirstToken = time.Second }), cand("b", 2)}, "b"},
		{"model not loaded", ask,
			[]Candidate{with(cand("a", 0), func(c *Candidate) { c.Models = nil }), cand("b", 5)}, "b"},
		{"other service", Request{Service: "s", TimeLeft: time.Minute},
			[]Candidate{cand("a", 0), with(cand("b", 5), func(c *Candidate) { c.Service = "s" })}, "b"},
		{"leaving", ask, []Candidate{with(cand("a", 0), func(c *Candidate) { c.Leaving = true }), cand("b", 5)}, "b"},
		{"unhealthy", ask, []Candidate{with(cand("a", 0), func(c *Candidate) { c.Unhealthy = true }), cand("b", 5)}, "b"},
		{"ejected", ask, []Candidate{with(cand("a", 0), func(c *Candidate) { c.Health = Ejected }), cand("b", 5)}, "b"},
		{"tried", Request{Model: "m", TimeLeft: time.Minute, Tried: []structs.TargetID{"a"}}, []Candidate{cand("a", 0), cand("b", 5)}, "b"},
		{"own domain at comparable load", ask,
			[]Candidate{with(cand("a", 2), func(c *Candidate) { c.Domain = "d2" }), cand("b", 2)}, "b"},
		{"other domain when the own is loaded", ask,
			[]Candidate{cand("a", 8), with(cand("b", 2), func(c *Candidate) { c.Domain = "d2" })}, "b"},
		{"all full, but the caller has a part of the answer", Request{Model: "m", TimeLeft: time.Minute, Begun: true},
			[]Candidate{cand("a", 60), cand("b", 50)}, "b"},
		{"cached prefix", ask, []Candidate{cand("a", 2), with(cand("b", 2), func(c *Candidate) { c.Matched = 4 })}, "b"},
		{"cached prefix over the bound", ask,
			[]Candidate{with(cand("a", 9), func(c *Candidate) { c.Matched = 60 }), cand("b", 2), cand("c", 3)}, "b"},
		{"probing goes to who may probe", Request{Model: "m", TimeLeft: time.Minute, MayProbe: true},
			[]Candidate{cand("a", 0), with(cand("b", 5), func(c *Candidate) { c.Health = Probing })}, "b"},
		{"probing is left out for others", ask,
			[]Candidate{with(cand("a", 0), func(c *Candidate) { c.Health = Probing }), cand("b", 5)}, "b"},
	}
	for _, c := range cases {
		var d Decision
		v := View{Candidates: c.cands}
		if err := policy(t, "best").Choose(rng(), &c.r, &v, &d); err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		if got := c.cands[d.Index].Target; got != c.want {
			t.Errorf("%s: chose %s, want %s (%+v)", c.name, got, c.want, d)
		}
	}
}

func TestRefusals(t *testing.T) {
	slow := with(cand("a", 0), func(c *Candidate) { c.FirstToken = 3 * time.Second })
	cases := []struct {
		name  string
		r     Request
		cands []Candidate
		want  errs.Type
		retry int64
	}{
		{"none", ask, nil, errs.NoTarget, 1000},
		{"all out", ask, []Candidate{with(cand("a", 0), func(c *Candidate) { c.Leaving = true })}, errs.NoTarget, 1000},
		{"full", ask, []Candidate{cand("a", 50), cand("b", 60)}, errs.Overloaded, 50},
		{"deadline", Request{Model: "m", TimeLeft: time.Second}, []Candidate{slow}, errs.DeadlineUnmet, 2000},
	}
	for _, name := range Policies() {
		for _, c := range cases {
			var d Decision
			v := View{Candidates: c.cands}
			err := policy(t, name).Choose(rng(), &c.r, &v, &d)
			if err == nil || err.Type != c.want || err.Ran != errs.RanNo || err.RetryAfterMs != c.retry {
				t.Errorf("%s, %s: got %+v, want %s after %d ms", name, c.name, err, c.want, c.retry)
			}
		}
	}
}

func TestUnknownPolicy(t *testing.T) {
	if _, err := New("nonsense"); !errs.Is(err, errs.BadSettings) {
		t.Errorf("got %v", err)
	}
}

// The pickers differ in how evenly they spread load when reports lag. Each entry
// decides on the view of lag requests ago; the figure is the busiest target's
// load over the mean.
func TestPickersSpreadUnderLaggingReports(t *testing.T) {
	const targets, requests, lag = 9, 9000, 45
	worst := make(map[string]float64)
	for _, name := range Policies() {
		worst[name] = imbalance(policy(t, name), targets, requests, lag)
	}
	if worst["two-choices"] >= worst["best"] {
		t.Errorf("two choices %.2f, best %.2f: want less herding", worst["two-choices"], worst["best"])
	}
	if worst["two-choices"] > 2.5 {
		t.Errorf("two choices load the busiest target %.2f times the mean", worst["two-choices"])
	}
	t.Logf("busiest over mean, largest in the run: %v", worst)
}

// imbalance runs requests that each last for half of the fleet's turnover.
func imbalance(p *Policy, targets, requests, lag int) float64 {
	const inFlight = 90
	r := rng()
	load := make([]int, targets)
	seen := make([]int, targets)
	var running []int
	worst := 0.0
	for n := range requests {
		if n%lag == 0 {
			copy(seen, load)
		}
		v := View{}
		for i := range targets {
			c := cand(structs.TargetID(rune('a'+i)), seen[i])
			c.Limit = 100
			v.Candidates = append(v.Candidates, c)
		}
		var d Decision
		if err := p.Choose(r, &ask, &v, &d); err != nil {
			panic(err)
		}
		load[d.Index]++
		running = append(running, d.Index)
		if len(running) <= inFlight {
			continue
		}
		done := r.IntN(len(running))
		load[running[done]]--
		running[done] = running[len(running)-1]
		running = running[:len(running)-1]
		for _, l := range load {
			worst = max(worst, float64(l)*float64(targets)/inFlight)
		}
	}
	return worst
}

func BenchmarkChoose(b *testing.B) {
	p, err := New(DefaultPolicy)
	if err != nil {
		b.Fatal(err)
	}
	v := View{}
	for i := range 9 {
		v.Candidates = append(v.Candidates, cand(structs.TargetID(rune('a'+i)), i))
	}
	r, d := rng(), Decision{}
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Choose(r, &ask, &v, &d); err != nil {
			b.Fatal(err)
		}
	}
}
