package command

import (
	"context"
	"flag"
	"os"

	"arbutusramp/internal/scheduling"
	"github.com/google/subcommands"
)

type loadCmd struct {
	gateway string
	asJSON  bool
}

func (*loadCmd) Name() string { return "load" }
func (*loadCmd) Synopsis() string {
	return "show speeds of targets, demand of services, shares of workspaces"
}
func (*loadCmd) Usage() string {
	return "load -gateway ADDR [-json]\n  Prints what the gateway with this address for metrics knows of targets, services and workspaces.\n"
}

func (c *loadCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.gateway, "gateway", "", "address for metrics of a gateway, HOST:PORT or a URL")
	f.BoolVar(&c.asJSON, "json", false, "print JSON in place of tables")
}

func (c *loadCmd) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.gateway == "" || f.NArg() > 0 {
		return usage("arbutusctl load -gateway ADDR [-json]")
	}
	return exit(c.show(ctx))
}

func (c *loadCmd) show(ctx context.Context) error {
	state, err := scheduling.Fetch(ctx, c.gateway)
	if err != nil {
		return err
	}
	if c.asJSON {
		return printJSON(state)
	}
	return scheduling.Print(os.Stdout, state)
}
