package command

import (
	"context"
	"flag"
	"os"
	"time"

	"arbutusramp/internal/dev"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/settings"
	"github.com/google/subcommands"
)

// onceTimeout bounds dev --once, its stop included.
const onceTimeout = 30 * time.Second

// stopReserve is what of onceTimeout is kept for the stop.
const stopReserve = 5 * time.Second

type devCmd struct {
	once     bool
	gateways bool
	level    string
	profile  string
}

func (*devCmd) Name() string     { return "dev" }
func (*devCmd) Synopsis() string { return "run everything in one process, with stand-ins" }
func (*devCmd) Usage() string {
	return "dev [-once] [-gateways]\n" +
		"  Runs 2 entries and 4 sides in 2 failure domains on loopback ports, with stand-ins of all else.\n" +
		"  With -gateways it runs 2 gateways instead, as on the users' platform, on a stand-in of its store.\n"
}

func (c *devCmd) SetFlags(f *flag.FlagSet) {
	f.BoolVar(&c.once, "once", false, "run one of everything, say what happened and end")
	f.BoolVar(&c.gateways, "gateways", false, "run gateways on a stand-in of the users' platform")
	f.StringVar(&c.profile, "cpu-profile", "", "file that gets a CPU profile of the whole run")
	f.StringVar(&c.level, "log", "error", "log level")
}

func (c *devCmd) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	stopProfile, err := startProfile(c.profile)
	if err != nil {
		return fail(err)
	}
	defer stopProfile()
	logger := logging.New("dev", settings.Logs{Level: c.level}, os.Stderr)
	serve, once := dev.Serve, dev.RunOnce
	if c.gateways {
		serve, once = dev.ServeGateways, dev.RunGatewaysOnce
	}
	if !c.once {
		return exit(serve(ctx, logger, os.Stdout))
	}
	// A step that hangs must not keep the stop from being seen: the process ends
	// with a failure in any case.
	hung := time.AfterFunc(onceTimeout, func() { os.Exit(int(subcommands.ExitFailure)) })
	defer hung.Stop()
	ctx, cancel := context.WithTimeout(ctx, onceTimeout-stopReserve)
	defer cancel()
	return exit(once(ctx, logger, os.Stdout))
}
