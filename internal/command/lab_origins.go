package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"

	"arbutusramp/internal/lab/origins"
)

type originsCmd struct {
	options origins.Options
	json    bool
}

func (*originsCmd) Name() string { return "origins" }
func (*originsCmd) Synopsis() string {
	return "compare ways of knowing which version began a stream"
}
func (*originsCmd) Usage() string {
	return "origins [flags]\n  Plays the same streams, releases and lost gateways for each way, in virtual time. docs/design/versions.md explains it.\n"
}

func (c *originsCmd) SetFlags(f *flag.FlagSet) {
	c.options = origins.DefaultOptions()
	o := &c.options
	f.IntVar(&o.Gateways, "gateways", o.Gateways, "number of gateways")
	f.IntVar(&o.Seconds, "seconds", o.Seconds, "length of the arrivals, in virtual seconds")
	f.Float64Var(&o.Streams, "streams", o.Streams, "streams that each gateway begins a second")
	f.DurationVar(&o.Length, "length", o.Length, "length of a stream from its first event")
	f.Float64Var(&o.Break, "break", o.Break, "share of streams whose connection breaks though their gateway is well")
	f.Float64Var(&o.Loss, "loss", o.Loss, "share of datagrams that are lost")
	f.DurationVar(&o.Release, "release", o.Release, "time from one version to the next")
	f.DurationVar(&o.Kill, "kill", o.Kill, "time between two losses of gateways")
	f.Float64Var(&o.KillShare, "kill-share", o.KillShare, "share of the gateways that are lost at once, one at least")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of streams and faults")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *originsCmd) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	report, err := origins.Run(c.options, origins.Ways())
	if err != nil {
		return fail(err)
	}
	return exit(printReport(report, c.json))
}
