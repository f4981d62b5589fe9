// Package slopes measures what one more unit of work costs: one request, one
// token, one session, one record. Each slope is a least-squares fit over a stated
// range of real code, in process or over loopback. internal/lab/capacity works
// out from them what a node costs at another size.
//
// Processor time is that of the whole process. Where the code that is measured
// needs a counterpart, the counterpart is a thin one and its share is taken off as far as
// it was measured alone; what is left of it makes the slope an upper estimate. Each
// slope says so in Model.
package slopes

import (
	"context"
	"runtime"
	"slices"
	"time"

	"arbutusramp/core/errs"
)

// maxProcs bounds the cores that a measurement uses: the hosts are small ones, and on many idle
// cores the scheduler's search for work would count as cost.
const maxProcs = 4

// Options say how much is measured.
type Options struct {
	// Quick takes fewer points and shorter windows.
	Quick bool
	// Parts names the parts to measure; empty is all. Names returns them.
	Parts []string
	// Progress is told the name of each part before it is measured; nil tells nobody.
	Progress func(part string)
}

// Report is all that was measured.
type Report struct {
	Quick   bool    `json:"quick"`
	Seconds float64 `json:"seconds"`
	CPUs    int     `json:"cpus"`
	Go      string  `json:"go"`
	Slopes  []Slope `json:"slopes"`
}

// Slope is the fit of one quantity against another.
type Slope struct {
	Name string `json:"name"`
	// Feeds names what of docs/CAPACITY.md the slope is for.
	Feeds string `json:"feeds"`
	// Unit is that of Slope; Base that of Intercept.
	Unit string `json:"unit"`
	Base string `json:"base"`
	// Over says what the x of the points is.
	Over      string  `json:"over"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	From      float64 `json:"from"`
	To        float64 `json:"to"`
	R2        float64 `json:"r2"`
	// Repeats is of how many measurements each point is the median.
	Repeats int     `json:"repeats"`
	Points  []Point `json:"points"`
	// Model says what the counterpart is and what the figure includes.
	Model string `json:"model,omitempty"`
}

// At returns the fitted value at x.
func (s *Slope) At(x float64) float64 { return s.Intercept + s.Slope*x }

// Find returns the slope called name.
func (r *Report) Find(name string) (Slope, bool) {
	i := slices.IndexFunc(r.Slopes, func(s Slope) bool { return s.Name == name })
	if i < 0 {
		return Slope{}, false
	}
	return r.Slopes[i], true
}

// part is a group of slopes that are measured together.
type part struct {
	name string
	run  func(context.Context, *bench) error
}

func parts() []part {
	return []part{
		{"fold", measureJobFold},
		{"shard-memory", measureShardMemory},
		{"snapshot", measureSnapshot},
		{"replay", measureReplay},
		{"dispatch", measureDispatch},
		{"config", measureConfig},
		{"choose", measureChoose},
		{"admit", measureAdmit},
		{"hosts", measureHosts},
		{"rank", measureRank},
		{"reconcile", measureReconcile},
		{"records", measureRecords},
		{"memory", measureMemory},
		{"sessions", measureSessions},
		{"requests", measureRequests},
		{"prompts", measurePrompts},
		{"tokens", measureTokens},
		{"owner", measureOwner},
		{"shards", measureShards},
		{"takeover", measureTakeover},
		{"probes", measureProbes},
		{"followers", measureFollowers},
	}
}

// Names returns the names of all parts, in the order in which they run.
func Names() []string {
	var names []string
	for _, p := range parts() {
		names = append(names, p.name)
	}
	return names
}

// Run measures, one part at a time. Errors: errs.BadRequest for a part that does not
// exist, and what a part failed with.
func Run(ctx context.Context, o Options) (Report, error) {
	for _, name := range o.Parts {
		if !slices.Contains(Names(), name) {
			return Report{}, errs.Newf(errs.BadRequest, "no part is called %q; there are %v", name, Names())
		}
	}
	began := time.Now()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(min(maxProcs, runtime.NumCPU())))
	b := newBench(o)
	for _, p := range parts() {
		if len(o.Parts) > 0 && !slices.Contains(o.Parts, p.name) {
			continue
		}
		if o.Progress != nil {
			o.Progress(p.name)
		}
		if err := p.run(ctx, b); err != nil {
			return b.report, err
		}
	}
	b.report.Seconds = time.Since(began).Seconds()
	return b.report, nil
}

func newBench(o Options) *bench {
	b := &bench{window: 500 * time.Millisecond, long: time.Second, warmUp: 500 * time.Millisecond, repeats: 3}
	if o.Quick {
		b.window, b.long, b.warmUp, b.repeats = 150*time.Millisecond, 300*time.Millisecond, 150*time.Millisecond, 1
	}
	b.report = Report{Quick: o.Quick, CPUs: runtime.NumCPU(), Go: runtime.Version()}
	return b
}
