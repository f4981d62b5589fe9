package command

import (
	"context"
	"flag"

	"arbutusramp/internal/lab/mix"
	"github.com/google/subcommands"
)

type mixCmd struct{ options mix.Options }

func (*mixCmd) Name() string     { return "mix" }
func (*mixCmd) Synopsis() string { return "run online bursts beside a batch backlog, with baselines" }
func (*mixCmd) Usage() string {
	return "mix [flags]\n  Measures harm to the online tail and batch throughput over baselines. Faults:\n" + mix.FaultDocs()
}
func (c *mixCmd) SetFlags(f *flag.FlagSet) { c.options.Flags(f) }

func (c *mixCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	report, err := mix.Run(ctx, c.options)
	if err != nil {
		return fail(err)
	}
	if report.Violations > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
