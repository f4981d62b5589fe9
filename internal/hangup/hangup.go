// Package hangup catches SIGHUP, by which operators say that a settings file has changed. Until it
// is caught the signal ends a process, and it may come at any moment of its life; so for commands
// that serve it is caught as soon as the program's packages are set up, before main.
package hangup

import (
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// serving are the commands that read their settings again. Others end with their terminal.
var serving = []string{"entry", "gateway", "side"}

// caught holds one signal: a second one that comes while it waits adds nothing, since the file is
// read after both.
var caught = make(chan os.Signal, 1)

func init() {
	if len(os.Args) > 1 && slices.Contains(serving, os.Args[1]) {
		signal.Notify(caught, syscall.SIGHUP)
	}
}

// Signals returns the channel of caught signals, and catches them from now on at the latest.
func Signals() <-chan os.Signal {
	signal.Notify(caught, syscall.SIGHUP)
	return caught
}
