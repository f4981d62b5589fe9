package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
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

// reloadOn calls reload at each signal until ctx ends. A signal that comes while one waits adds
// nothing: the file is read after both.
func reloadOn(ctx context.Context, c <-chan os.Signal, reload func() error) {
	for {
		select {
		case <-c:
			_ = reload() // it has logged what was wrong; the process goes on as before
		case <-ctx.Done():
			return
		}
	}
}
