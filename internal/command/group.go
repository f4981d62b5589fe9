package command

import (
	"context"
	"flag"

	"github.com/google/subcommands"
)

// groupCmd is a command with commands of its own, such as job submit.
type groupCmd struct {
	name, synopsis string
	commands       []subcommands.Command
}

func (g *groupCmd) Name() string             { return g.name }
func (g *groupCmd) Synopsis() string         { return g.synopsis }
func (g *groupCmd) Usage() string            { return g.name + " COMMAND\n  " + g.synopsis + ".\n" }
func (g *groupCmd) SetFlags(_ *flag.FlagSet) {}

func (g *groupCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	cdr := subcommands.NewCommander(f, g.name)
	cdr.Register(cdr.HelpCommand(), "")
	for _, c := range g.commands {
		cdr.Register(c, "")
	}
	return cdr.Execute(ctx)
}
