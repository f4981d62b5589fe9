package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"arbutusramp/internal/settings"
	"github.com/google/subcommands"
)

type checkCmd struct{}

func (*checkCmd) Name() string             { return "check" }
func (*checkCmd) Synopsis() string         { return "check a settings file" }
func (*checkCmd) Usage() string            { return "check FILE\n  Names every fault of a settings file.\n" }
func (*checkCmd) SetFlags(_ *flag.FlagSet) {}

func (c *checkCmd) Execute(_ context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() != 1 {
		return usage("arbutusramp check FILE")
	}
	faults := settings.Check(f.Arg(0))
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, fault)
	}
	if len(faults) > 0 {
		return subcommands.ExitFailure
	}
	fmt.Println(f.Arg(0) + ": ok")
	return subcommands.ExitSuccess
}
