package command

import (
	"context"
	"flag"
	"log"
	"os"
	"runtime/debug"
	"time"

	"arbutusramp/internal/hangup"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/node"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/telemetry"
	"github.com/google/subcommands"
	"github.com/rcrowley/go-metrics"
)

type gatewayCmd struct{ config, configFrom string }

func (*gatewayCmd) Name() string { return "gateway" }
func (*gatewayCmd) Synopsis() string {
	return "run a gateway: callers' requests and batch jobs on the platform"
}
func (*gatewayCmd) Usage() string {
	return "gateway -config FILE | -config-from VARIABLE\n  Runs a gateway until SIGTERM.\n"
}

func (c *gatewayCmd) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.config, "config", "", "settings file")
	f.StringVar(&c.configFrom, "config-from", "", "environment variable that holds the settings file's path")
}

func (c *gatewayCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	path := c.config
	if path == "" && c.configFrom != "" {
		path = os.Getenv(c.configFrom)
	}
	if path == "" {
		return usage("arbutusramp gateway -config FILE | -config-from VARIABLE")
	}
	s, err := settings.LoadGateway(path)
	if err != nil {
		return fail(err)
	}
	return exit(runGateway(ctx, s, path))
}

// lastLines is how long a process that ends waits for its output to be read. The grace of a stop has half a
// second left by then.
const lastLines = 300 * time.Millisecond

func runGateway(ctx context.Context, s settings.Gateway, path string) error {
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	out := logging.NewAsync(os.Stdout)
	reg.GetOrRegister(logging.LeftOutMetric+"queue", metrics.NewFunctionalGauge(out.LeftOut))
	defer out.Flush(lastLines) // a reader that stalls loses them, as it does others
	logger := logging.New("gateway", s.Logs, out)
	log.SetFlags(0)
	log.SetOutput(logging.NewLibraryWriter(logger))
	g, err := node.NewGateway(s, logger, reg)
	if err != nil {
		logger.Error("not started", "error", err)
		return err
	}
	debug.SetMemoryLimit(g.RuntimeBytes())
	go reloadOn(ctx, hangup.Signals(), node.NewGatewayReloader(path, s, logger).Reload)
	return g.Run(ctx)
}
