package command

import (
	"context"
	"flag"
	"fmt"
	"os"

	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// processFlags are those that entry and side have in common.
type processFlags struct {
	config, addrFile, profile string
}

func (p *processFlags) SetFlags(f *flag.FlagSet) {
	f.StringVar(&p.config, "config", "", "settings file")
	f.StringVar(&p.profile, "cpu-profile", "", "file that gets a CPU profile of the whole run")
	f.StringVar(&p.addrFile, "addr-file", "", "file that gets the addresses once the process listens")
}

type entryCmd struct{ processFlags }

func (*entryCmd) Name() string     { return "entry" }
func (*entryCmd) Synopsis() string { return "run an entry: what callers and operators reach" }
func (*entryCmd) Usage() string    { return "entry -config FILE\n  Runs an entry until SIGTERM.\n" }

func (c *entryCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		return usage("arbutusramp entry -config FILE")
	}
	s, err := settings.LoadEntry(c.config)
	if err != nil {
		return fail(err)
	}
	return exit(c.run(ctx, s))
}

func (c *entryCmd) run(ctx context.Context, s settings.Entry) error {
	return c.serve(ctx, "entry", s.Logs, func(logger hclog.Logger, reg metrics.Registry) (*process, error) {
		e, err := node.NewEntry(s, logger, reg)
		if err != nil {
			return nil, err
		}
		return &process{
			run:    e.Run,
			reload: node.NewEntryReloader(c.config, s, e, logger, reg).Reload,
			addrs: []listenerAddr{
				{"CALLERS", e.CallerAddr()},
				{"ADMIN", e.AdminAddr()},
				{"PEERS", e.PeerAddr()},
				{"STATUS", e.StatusAddr()},
			},
		}, nil
	})
}

// exit turns the outcome of a process into its status.
func exit(err error) subcommands.ExitStatus {
	if err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

// fail prints err and returns the status of a failed command.
func fail(err error) subcommands.ExitStatus {
	fmt.Fprintln(os.Stderr, err)
	return subcommands.ExitFailure
}
