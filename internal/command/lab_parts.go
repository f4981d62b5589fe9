package command

import (
	"context"
	"flag"
	"slices"

	"github.com/google/subcommands"

	"arbutusramp/internal/lab/parts"
)

type partsCmd struct {
	options parts.Options
	way     string
	json    bool
}

func (*partsCmd) Name() string { return "parts" }
func (*partsCmd) Synopsis() string {
	return "compare ways of finding the part of prompts that crashes targets"
}
func (*partsCmd) Usage() string {
	return "parts [flags]\n  Plays the same sound and deadly requests and lost targets for each way, in virtual time. docs/design/quarantine.md explains it.\n"
}

func (c *partsCmd) SetFlags(f *flag.FlagSet) {
	c.options = parts.DefaultOptions()
	o := &c.options
	f.IntVar(&o.Gateways, "gateways", o.Gateways, "number of gateways")
	f.IntVar(&o.Targets, "targets", o.Targets, "number of targets")
	f.DurationVar(&o.Duration, "duration", o.Duration, "length of the arrivals, in virtual time")
	f.Float64Var(&o.Loss, "loss", o.Loss, "share of reports that are lost")
	f.Float64Var(&o.Sound, "sound", o.Sound, "sound requests a second")
	f.DurationVar(&o.SoundFrom, "sound-from", o.SoundFrom, "when the sound requests begin")
	f.Float64Var(&o.Bad, "bad", o.Bad, "deadly requests a second")
	f.DurationVar(&o.BadFrom, "bad-from", o.BadFrom, "when the deadly requests begin")
	f.IntVar(&o.Firsts, "firsts", o.Firsts, "number of first parts")
	f.IntVar(&o.Middles, "middles", o.Middles, "number of middle parts of sound requests")
	f.IntVar(&o.DeadlyParts, "deadly", o.DeadlyParts, "number of deadly parts")
	f.BoolVar(&o.IsFirstDeadly, "first", o.IsFirstDeadly, "the deadly part is the first one")
	f.DurationVar(&o.Lose, "lose", o.Lose, "time between two losses of targets for another reason; 0 for none")
	f.Float64Var(&o.LoseShare, "lose-share", o.LoseShare, "share of the targets that are lost then")
	f.DurationVar(&o.Restart, "restart", o.Restart, "when all gateways but one lose what they know; 0 for never")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of requests and faults")
	f.StringVar(&c.way, "way", "", "play this way alone")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *partsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	ways := parts.Ways()
	if c.way != "" {
		ways = slices.DeleteFunc(ways, func(w parts.Way) bool { return w.String() != c.way })
	}
	report, err := parts.Run(c.options, ways)
	if err != nil {
		return fail(err)
	}
	return exit(printReport(report, c.json))
}
