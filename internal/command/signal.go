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

// keepOnHangup lets SIGHUP pass: it is reserved for reading keys again, and an operator
// who sends it to all processes must not end those that can't do that yet.
func keepOnHangup() { signal.Ignore(syscall.SIGHUP) }
