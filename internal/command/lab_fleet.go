package command

import (
	"context"
	"flag"

	"arbutusramp/internal/lab/fleet"
	"github.com/google/subcommands"
)

type fleetCmd struct {
	options fleet.Options
	plot    string
	json    bool
}

func (*fleetCmd) Name() string { return "fleet" }
func (*fleetCmd) Synopsis() string {
	return "compare policies of gateways on a simulated fleet"
}
func (*fleetCmd) Usage() string {
	return "fleet [flags]\n  Plays the same streams and jobs against simulated engines for each policy, in virtual time. docs/PLATFORM.md explains it.\n"
}

func (c *fleetCmd) SetFlags(f *flag.FlagSet) {
	c.options = fleet.DefaultOptions()
	o := &c.options
	f.IntVar(&o.Gateways, "gateways", o.Gateways, "number of gateways")
	f.IntVar(&o.Engines, "engines", o.Engines, "number of engines")
	f.IntVar(&o.Lost, "lost", o.Lost, "engines that are gone from the start")
	f.IntVar(&o.Seconds, "seconds", o.Seconds, "length of the arrivals, in virtual seconds")
	f.Float64Var(&o.Streams, "streams", o.Streams, "streams a second")
	f.Float64Var(&o.Jobs, "jobs", o.Jobs, "jobs a second")
	f.IntVar(&o.Versions, "versions", o.Versions, "number of software versions of the engines")
	f.Float64Var(&o.OldShare, "old-share", o.OldShare, "share of the engines with the oldest version; 0 for an equal share")
	f.DurationVar(&o.Lag, "lag", o.Lag, "time until a peer hears of a load")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of arrivals and lengths")
	f.StringVar(&c.plot, "plot", "", "file for a plot of streams against items in time; its ending says the format")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *fleetCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	report, err := fleet.Run(c.options, fleet.Policies())
	if err != nil {
		return fail(err)
	}
	if c.plot != "" {
		if err := report.Plot(c.plot); err != nil {
			return fail(err)
		}
	}
	return exit(printReport(report, c.json))
}
