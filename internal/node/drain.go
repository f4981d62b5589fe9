package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/sleep"
)

// Shares of the grace at which a process that stops goes a step further. With a grace of 8 s, the
// balancer has sent callers elsewhere after 2 to 3 s; a streamed answer takes about 1 s.
const (
	// stopTakingAt is when nothing new is taken: connections without a request are closed, and a request on another one is rejected.
	// Requests that came before have over half of the grace left; those that come later might be cut off by the end.
	stopTakingAt = 0.375
	// breakOffAt is when requests still in flight are broken off, so that the process is gone
	// by itself before it is killed.
	breakOffAt = 0.95
	// quietStop is how long no request may have come before a process that stops ends early.
	quietStop = 2500 * time.Millisecond
	// drainPollInterval is how often that is looked at.
	drainPollInterval = 50 * time.Millisecond
)

// callerSide is what draining needs of the callers' connections.
type callerSide interface {
	// closeIdle closes connections that have no request.
	closeIdle()
	// stopTaking takes no further connection or request.
	stopTaking()
	// busy is the number of connections with a request, from its first byte on.
	busy() int
	// quietFor is the time since the last request came.
	quietFor() time.Duration
	// breakOff closes all connections.
	breakOff()
}

// drain goes on serving while callers still come, and ends between requests. The balancer learns
// only by its next questions that this process is not ready.
func drain(callers callerSide, grace time.Duration, log hclog.Logger) {
	began := time.Now()
	at := func(share float64) time.Time { return began.Add(time.Duration(share * float64(grace))) }
	log.Info("stopping", "busy", callers.busy(), "grace", grace.String())
	quietUntil(callers, began, at(stopTakingAt))
	callers.stopTaking()
	for time.Now().Before(at(breakOffAt)) {
		callers.closeIdle()
		if callers.busy() == 0 {
			return
		}
		sleep.For(context.Background(), drainPollInterval)
	}
	log.Warn("requests were broken off by the stop", "busy", callers.busy())
	callers.breakOff()
}

// quietUntil waits until a time, or until callers have stayed away for long.
func quietUntil(callers callerSide, began, until time.Time) {
	for time.Now().Before(until) {
		calm := min(callers.quietFor(), time.Since(began))
		if callers.busy() == 0 && calm > quietStop {
			return
		}
		sleep.For(context.Background(), drainPollInterval)
	}
}
