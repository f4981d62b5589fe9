package command

import (
	"context"
	"flag"
	"os"

	"arbutusramp/internal/logging"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/telemetry"
	"github.com/google/subcommands"
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
	hangup := hangups()
	stopProfile, err := startProfile(c.profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	logger := logging.New("side", s.Logs, os.Stderr)
	p, err := node.NewSide(s, logger, reg)
	if err != nil {
		return err
	}
	err = writeAddrFile(c.addrFile, []listenerAddr{
		{"SESSIONS", p.Addr()},
		{"STATUS", p.StatusAddr()},
	})
	if err != nil {
		return err
	}
	go reloadOn(ctx, hangup, node.NewSideReloader(c.config, s, p, logger, reg).Reload)
	return p.Run(ctx)
}
