package command

import (
	"context"
	"flag"
	"os"

	"arbutusramp/internal/lab/online"
	"github.com/google/subcommands"
)

type onlineCmd struct {
	options online.Options
	json    bool
}

func (*onlineCmd) Name() string     { return "online" }
func (*onlineCmd) Synopsis() string { return "measure retries and refusals under overload" }
func (*onlineCmd) Usage() string {
	return "online [flags]\n  Sends more than the engines can serve, with and without the retry budget.\n"
}

func (c *onlineCmd) SetFlags(f *flag.FlagSet) {
	c.options = online.DefaultOptions()
	o := &c.options
	f.Float64Var(&o.Overload, "overload", o.Overload, "arrivals as a multiple of the engines' capacity")
	f.Uint64Var(&o.Seed, "seed", o.Seed, "seed of arrivals and prompts")
	f.IntVar(&o.Seconds, "seconds", o.Seconds, "length of the load in each phase, in seconds")
	f.BoolVar(&c.json, "json", false, "print the report as one JSON object")
}

func (c *onlineCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	c.options.Progress = os.Stderr
	report, err := online.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	return exit(printReport(report, c.json))
}
