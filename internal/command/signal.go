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

// hangups catches SIGHUP from now on. A process that starts must not be ended by an
// operator who sends it to all: it is looked at once the process can read its settings again.
func hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
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
