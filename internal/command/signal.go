package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"
)

// exitOnSecondSignal is the status of a process that was told twice to stop.
const exitOnSecondSignal = 130

// withSignals returns a context that the first SIGTERM or SIGINT cancels, for a
// planned stop. The second ends the process at once: a drain that hangs on one
// stuck request must not keep a host from being replaced.
func withSignals(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		cancel()
		<-signals
		os.Exit(exitOnSecondSignal)
	}()
	return ctx, func() {
		signal.Stop(signals)
		cancel()
	}
}

// reloadOnHangup calls reload at each SIGHUP until ctx is done: it reads keys anew. A file with
// faults changes nothing.
func reloadOnHangup(ctx context.Context, log hclog.Logger, reload func() error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		defer signal.Stop(signals)
		for {
			select {
			case <-signals:
			case <-ctx.Done():
				return
			}
			if err := reload(); err != nil {
				log.Error("keys not read again", "error", err)
				continue
			}
			log.Info("keys read again")
		}
	}()
}
