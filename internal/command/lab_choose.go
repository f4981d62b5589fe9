package command

import (
	"context"
	"flag"
	"os"
	"strings"

	"arbutusramp/internal/lab/choose"
	"github.com/google/subcommands"
)

type chooseCmd struct {
	options  choose.Options
	policies string
	json     bool
}

func (*chooseCmd) Name() string     { return "choose" }
func (*chooseCmd) Synopsis() string { return "compare the ways of choosing a target" }
func (*chooseCmd) Usage() string {
	return "choose [flags]\n  Sends the same load to a fresh fleet of stand-ins for each policy. docs/ROUTING.md explains it.\n"
}

func (c *chooseCmd) SetFlags(f *flag.FlagSet) {
	c.options = choose.DefaultOptions()
	o := &c.options
	f.StringVar(&o.Shape, "shape", o.Shape, "fleet: kelpie (3 failure domains) or tuulai (4), 9 engines each")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of arrivals and prompts")
	f.IntVar(&o.Seconds, "seconds", o.Seconds, "length of the load for each policy, in seconds")
	f.Float64Var(&o.PerS, "rate", o.PerS, "requests a second")
	f.Float64Var(&o.Slow, "slow", o.Slow, "how many times slower one engine is")
	f.StringVar(&c.policies, "policies", strings.Join(o.Policies, ","), "policies to compare, in order")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *chooseCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Policies = strings.Split(c.policies, ",")
	c.options.Progress = os.Stderr
	report, err := choose.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	return exit(printReport(report, c.json))
}
