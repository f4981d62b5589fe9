package fleet

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"

	"arbutusramp/core/policy"
)

// Shape is a fleet of a kind, with its load.
type Shape struct {
	Name    string
	Options Options
}

// Simulated returns the mechanisms that make a difference in the model: it has no failures, no store and no domains.
func Simulated() []policy.Mechanism {
	return []policy.Mechanism{
		policy.RetryLater, policy.QueueRetries, policy.Preemption, policy.StaggeredStarts, policy.FeasibleFirst, policy.PeerLoads,
	}
}

// Shapes returns very different fleets: the small one of DefaultOptions, calm, short of engines and in a burst; a few slow engines with many
// slots; many small ones.
func Shapes() []Shape {
	const ms = time.Millisecond
	small := DefaultOptions()
	small.Seconds = 30
	short, burst := small, small
	short.Lost = 3
	burst.Burst = 3
	slow := small
	slow.Gateways, slow.Engines, slow.Slots = 3, 3, 64
	slow.Prompt, slow.Event, slow.StreamEvents, slow.ItemEvents = 400*ms, 80*ms, 100, 400
	slow.Streams, slow.Jobs, slow.Goal, slow.Burst, slow.Due, slow.Stay = 16, 0.05, 2*time.Second, 2.5, 2*time.Minute, 8*time.Second
	slow.Patience = 30 * time.Second
	many := small
	many.Gateways, many.Engines, many.Slots = 24, 60, 2
	many.Prompt, many.Event, many.StreamEvents, many.ItemEvents = 30*ms, 5*ms, 60, 400
	many.Streams, many.Jobs, many.Goal, many.Burst = 180, 1, 200*ms, 2
	return []Shape{{"small, calm", small}, {"small, three engines gone", short}, {"small, burst of three", burst}, {"slow engines", slow}, {"many engines", many}}
}

// DrawShapes draws fleets that nobody has chosen. The same seed draws the same.
func DrawShapes(seed uint64, n int) []Shape {
	rng := rand.New(rand.NewPCG(seed, 9))
	between := func(a, b int) int { return a + rng.IntN(b-a+1) }
	var list []Shape
	for i := range n {
		o := DefaultOptions()
		o.Seconds, o.Seed = 20, seed+uint64(i)
		o.Gateways, o.Engines, o.Slots = between(2, 12), between(3, 24), 1<<between(1, 5)
		o.Event = time.Duration(between(4, 60)) * time.Millisecond
		o.Prompt = time.Duration(between(1, 4)) * o.Event
		o.StreamEvents, o.ItemEvents = between(10, 80), between(100, 300)
		o.Goal = o.Prompt * time.Duration(between(4, 8))
		hold := o.Prompt + time.Duration(o.StreamEvents)*o.Event
		o.Patience = max(5*time.Second, 6*hold)
		o.Stay = max(2*time.Second, 4*o.Goal)
		o.Streams = 0.35 * float64(o.Engines*o.Slots) / hold.Seconds()
		item := o.Prompt + time.Duration(o.ItemEvents)*o.Event
		o.Due = 4 * item
		o.Jobs = 0.2 * float64(o.Engines*o.Slots) / item.Seconds() / float64(o.JobItems)
		o.Burst = 1 + 2*rng.Float64()
		list = append(list, Shape{fmt.Sprintf("drawn %d/%d", seed, i), o})
	}
	return list
}

// Ablation is what became of one shape with a mechanism switched off, or with all on.
type Ablation struct {
	Shape   string           `json:"shape"`
	Off     policy.Mechanism `json:"off"` // empty: all are on
	Streams Spread           `json:"streams_in_time"`
	Items   Spread           `json:"items_in_time"`
	Refused Spread           `json:"streams_refused"`
	Cut     Spread           `json:"runs_cut"`
}

// Spread is the mean of several seeds with the standard deviation.
type Spread struct {
	Mean float64 `json:"mean"`
	Std  float64 `json:"std"`
}

func spreadOf(values []float64) Spread {
	if len(values) == 1 {
		return Spread{Mean: values[0]}
	}
	mean, std := stat.MeanStdDev(values, nil)
	return Spread{mean, std}
}

// Ablate plays each shape with all mechanisms on, and with each of them switched off. progress is called before each play.
// Errors: errs.BadSettings, that of progress.
func Ablate(shapes []Shape, off []policy.Mechanism, seeds int, workers int, progress func(shape string, off policy.Mechanism)) ([]Ablation, error) {
	rows := make([]Ablation, 0, len(shapes)*(len(off)+1))
	for _, s := range shapes {
		for _, n := range append([]policy.Mechanism{""}, off...) {
			rows = append(rows, Ablation{Shape: s.Name, Off: n})
		}
	}
	var g errgroup.Group
	g.SetLimit(workers)
	for i := range rows {
		shape := shapes[i/(len(off)+1)]
		g.Go(func() error {
			progress(rows[i].Shape, rows[i].Off)
			return rows[i].play(shape.Options, seeds)
		})
	}
	return rows, g.Wait()
}

// play fills in a row.
func (a *Ablation) play(o Options, seeds int) error {
	p := Policy{Name: string(a.Off)}
	if a.Off != "" {
		p.Off = policy.Disabled{a.Off: true}
	}
	var streams, items, refused, cut []float64
	for range seeds {
		r, err := Run(o, []Policy{p})
		if err != nil {
			return err
		}
		got := r.Policies[0]
		streams = append(streams, share(got.InTime, got.Streams))
		items = append(items, share(got.ItemsInTime, got.Items))
		refused = append(refused, share(got.Refused, got.Streams))
		cut = append(cut, float64(got.Cut))
		o.Seed++
	}
	a.Streams, a.Items, a.Refused, a.Cut = spreadOf(streams), spreadOf(items), spreadOf(refused), spreadOf(cut)
	return nil
}

// PrintAblation writes rows as a table.
func PrintAblation(w io.Writer, rows []Ablation) error {
	if _, err := fmt.Fprintf(w, "%-28s %-16s %16s %16s %10s %8s\n", "shape", "off", "streams in time", "items in time", "refused", "cut"); err != nil {
		return errors.Wrap(err, "print")
	}
	for _, r := range rows {
		_, err := fmt.Fprintf(w, "%-28s %-16s %8.3f ±%.3f  %8.3f ±%.3f  %9.3f %8.0f\n",
			r.Shape, r.Off, r.Streams.Mean, r.Streams.Std, r.Items.Mean, r.Items.Std, r.Refused.Mean, r.Cut.Mean)
		if err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
