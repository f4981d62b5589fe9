// Package mix is the experiment `arbutusctl lab mix`: bursty online requests and
// a batch backlog that never runs dry share one fleet, and what batch does to the online
// tail is measured, with and without failures.
//
// Everything is real but the targets and the platform: entries, sides and the
// sessions between them run in this process over loopback sockets, each phase on a fleet
// of its own. Not modelled: the time between failure domains and to callers (loopback
// takes tens of microseconds, the hosts of both shapes a few milliseconds), and
// the owners of job shards, in whose place a feed hands out items.
//
// The load is open: arrivals are planned from the seed before the load starts,
// each call is sent at its time whatever became of earlier ones, and its latency
// counts from the planned time. Every answer is compared with the engine's deterministic
// text, and the counts of the targets with what callers were told.
//
// # Batch capacity beside online
//
// batch_share_of_idle is batch throughput over what the engines could do beside
// the same online load, both in generated tokens a second:
//
//	work(prompt, tokens) = PerPrefillToken*prompt + StepTime(MaxRunning)/MaxRunning * tokens
//	idle = alone * (1 - online work a second / batch alone's work a second)
//
// where alone is measured: batch sent straight to engines that are kept full, which is
// the best rate that they have. The work of a token is its part of a step with a full
// running batch, since a stream takes up one of the MaxRunning places. Prompts that take
// several steps are counted as if they took none beside their prefill. Tokens are those
// that the engines generated less those that online callers got; a preempted stream is resumed where it
// was, so none is counted twice, and what a resume computes again counts as loss.
package mix

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Names of the baselines in a report.
const (
	// BaselineStraight sends everything straight to the targets, first come first served.
	BaselineStraight = "straight"
	// BaselineNoPreempt is the product without preemption.
	BaselineNoPreempt = "no_preempt"
)

// curveSettings are the policy settings that Options.Curve runs.
var curveSettings = []float64{0, 0.25, 0.5, 0.75, 1}

// runner is one run of the experiment.
type runner struct {
	opts  Options
	shape shape
	calls []call
}

// Run runs the experiment and writes the report to o.Out. Errors: errs.BadSettings.
func Run(ctx context.Context, o Options) (Report, error) {
	if err := o.check(); err != nil {
		return Report{}, err
	}
	s, err := shapeOf(o.Shape)
	if err != nil {
		return Report{}, err
	}
	r := &runner{opts: o, shape: s, calls: plan(s, o.Seed, o.length())}
	rep, err := r.run(ctx)
	if err != nil {
		return rep, err
	}
	if o.Plot != "" {
		if err := plotReport(&rep, o.Plot); err != nil {
			return rep, err
		}
	}
	return rep, rep.write(o.Out, o.JSON)
}

func (r *runner) run(ctx context.Context) (Report, error) {
	h := r.opts.headroom()
	rep := Report{
		Shape: r.opts.Shape, Policy: r.opts.Policy, Headroom: h, Seed: r.opts.Seed,
		Seconds: r.opts.Seconds, Fault: r.opts.Fault, Baselines: map[string]Figures{},
	}
	floor, err := r.figures(ctx, phase{name: "online alone", online: true, headroom: h, length: r.opts.length()})
	if err != nil {
		return rep, err
	}
	alone, err := r.figures(ctx, phase{name: "batch alone", batch: true, straight: true, length: min(batchAlone, r.opts.length())})
	if err != nil {
		return rep, err
	}
	rep.OnlineAlone, rep.BatchAlone = *floor, *alone
	idle := idleRate(
		rate{items: alone.BatchItems, tokens: alone.BatchTokens, work: alone.BatchWork},
		onlineWork(r.calls, r.opts.length().Seconds()))
	rep.OnlineAlone.compare(floor, idle)
	rep.BatchAlone.compare(floor, idle)
	measure := func(p phase) (Figures, error) {
		f, err := r.figures(ctx, p)
		if err != nil {
			return Figures{}, err
		}
		f.compare(floor, idle)
		return *f, nil
	}
	if rep.Figures, err = measure(r.mixed("product", h, faultOf(r.opts.Fault))); err != nil {
		return rep, err
	}
	if err := r.baselines(&rep, measure); err != nil {
		return rep, err
	}
	return rep, r.curve(&rep, measure)
}

// mixed is a phase with online and batch.
func (r *runner) mixed(name string, headroom float64, f *fault) phase {
	return phase{name: name, online: true, batch: true, headroom: headroom, fault: f, length: r.opts.length()}
}

func (r *runner) baselines(rep *Report, measure func(phase) (Figures, error)) error {
	if r.opts.Brief {
		return nil
	}
	straight := r.mixed(BaselineStraight, 0, nil)
	straight.straight = true
	plain := r.mixed(BaselineNoPreempt, r.opts.headroom(), nil)
	plain.noPreempt = true
	for _, p := range []phase{straight, plain} {
		f, err := measure(p)
		if err != nil {
			return err
		}
		rep.Baselines[p.name] = f
	}
	return nil
}

func (r *runner) curve(rep *Report, measure func(phase) (Figures, error)) error {
	if !r.opts.Curve {
		return nil
	}
	for _, h := range curveSettings {
		f, err := measure(r.mixed(fmt.Sprintf("headroom %.2f", h), h, nil))
		if err != nil {
			return err
		}
		rep.Curve = append(rep.Curve, CurvePoint{Headroom: h, Figures: f})
	}
	return nil
}

// figures runs a phase, or returns ctx's error when it has ended.
func (r *runner) figures(ctx context.Context, p phase) (*Figures, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.WithStack(err)
	}
	start := time.Now()
	r.progress("%s: running for %s", p.name, p.length)
	o, err := r.runPhase(p)
	if err != nil {
		return nil, errors.Wrap(err, p.name)
	}
	f := figuresOf(o)
	r.progress("%s: done in %.0f s: first token p50 %.1f ms, p99 %.1f ms; batch %.2f items/s; %d violations; %.1f cores",
		p.name, time.Since(start).Seconds(), f.TTFTP50, f.TTFTP99, f.BatchItems, f.Violations, f.CPUCores)
	return &f, nil
}

func (r *runner) progress(format string, args ...any) {
	fmt.Fprintf(r.opts.Progress, format+"\n", args...)
}
