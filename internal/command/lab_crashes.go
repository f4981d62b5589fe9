package command

import (
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/crashes"
)

type crashesCmd struct {
	options crashes.Options
	pattern string
	json    bool
}

func (*crashesCmd) Name() string { return "crashes" }
func (*crashesCmd) Synopsis() string {
	return "compare ways in which batch items wait that have lost their targets"
}
func (*crashesCmd) Usage() string {
	return "crashes [flags]\n  Plays the same items and lost targets for each way, in virtual time. docs/design/quarantine.md explains it.\n"
}

func (c *crashesCmd) SetFlags(f *flag.FlagSet) {
	c.options = crashes.DefaultOptions()
	o := &c.options
	f.IntVar(&o.Targets, "targets", o.Targets, "number of targets")
	f.IntVar(&o.Items, "items", o.Items, "number of items, of which ten arrive at once")
	f.DurationVar(&o.Interval, "interval", o.Interval, "time between two arrivals")
	f.DurationVar(&o.Down, "down", o.Down, "time until a lost target is replaced")
	f.DurationVar(&o.Prefill, "prefill", o.Prefill, "time from the start of a run to its first event")
	f.Float64Var(&o.CrashShare, "crashing", o.CrashShare, "share of the items that end their target")
	f.DurationVar(&o.Duration, "duration", o.Duration, "length of the play, in virtual time")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of items and losses")
	f.StringVar(&c.pattern, "pattern", crashes.Bursts.String(), "losses of targets: bursts, single, lasting or quiet")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *crashesCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	index := slices.IndexFunc(crashes.Patterns(), func(p crashes.Pattern) bool { return p.String() == c.pattern })
	if index < 0 {
		return fail(errs.Newf(errs.BadSettings, "no pattern is called %q", c.pattern))
	}
	c.options.Losses = crashes.Patterns()[index].Losses(c.options.Targets)
	ways, err := crashes.Run(c.options, crashes.Ways())
	if err != nil {
		return fail(err)
	}
	return exit(printReport(&crashes.Report{Options: c.options, Ways: ways}, c.json))
}
