package command

import (
	"context"
	"flag"

	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"github.com/google/subcommands"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

type sideCmd struct{ processFlags }

func (*sideCmd) Name() string     { return "side" }
func (*sideCmd) Synopsis() string { return "run a side: the only door to its target" }
func (*sideCmd) Usage() string    { return "side -config FILE\n  Runs a side until SIGTERM.\n" }

func (c *sideCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.config == "" {
		return usage("arbutusramp side -config FILE")
	}
	s, err := settings.LoadSide(c.config)
	if err != nil {
		return fail(err)
	}
	return exit(c.run(ctx, s))
}

func (c *sideCmd) run(ctx context.Context, s settings.Side) error {
	return c.serve(ctx, "side", s.Logs, func(logger hclog.Logger, reg metrics.Registry) (*process, error) {
		p, err := node.NewSide(s, logger, reg)
		if err != nil {
			return nil, err
		}
		return &process{
			run:    p.Run,
			reload: node.NewSideReloader(c.config, s, p, logger, reg).Reload,
			addrs: []listenerAddr{
				{"SESSIONS", p.Addr()},
				{"STATUS", p.StatusAddr()},
			},
		}, nil
	})
}
