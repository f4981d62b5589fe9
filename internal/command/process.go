package command

import (
	"context"
	"os"

	"arbutusramp/internal/hangup"
	"arbutusramp/internal/logging"
	"arbutusramp/internal/settings"
	"arbutusramp/internal/telemetry"
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// process is an entry or a side that listens and does not run yet.
type process struct {
	run    func(context.Context) error
	reload func() error // at SIGHUP
	addrs  []listenerAddr
}

// serve starts the process called name and runs it until ctx ends.
func (f *processFlags) serve(ctx context.Context, name string, logs settings.Logs,
	start func(hclog.Logger, metrics.Registry) (*process, error)) error {
	stopProfile, err := startProfile(f.profile)
	if err != nil {
		return err
	}
	defer stopProfile()
	reg := metrics.NewRegistry()
	telemetry.RegisterProcess(reg)
	p, err := start(logging.New(name, logs, os.Stderr), reg)
	if err != nil {
		return err
	}
	if err := writeAddrFile(f.addrFile, p.addrs); err != nil {
		return err
	}
	go reloadOn(ctx, hangup.Signals(), p.reload)
	return p.run(ctx)
}
