package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/internal/sleep"
)

// Shares of the grace at which a process that stops goes a step further. With a grace of 8 s, the
// balancer has sent callers elsewhere after 2 to 3 s; a streamed answer takes about 1 s.
const (
	// closeIdleAt is when kept connections without a request are closed. A caller that sent
	// its next request on one much later would have its answer cut off by the end.
	closeIdleAt = 0.5
	// closeListenerAt is when nothing new is taken: what came just before can still be answered.
	closeListenerAt = 0.75
	// breakOffAt is when requests still in flight are broken off, so that the process is gone
	// by itself before it is killed.
	breakOffAt = 0.95
	// quietStop is how long no request may have come before a process that stops ends early.
	quietStop = 2500 * time.Millisecond
	// drainLook is how often that is looked at.
	drainLook = 50 * time.Millisecond
)

// callerServer is what draining needs of the callers' HTTP server.
type callerServer interface {
	SetKeepAlivesEnabled(bool)
	Shutdown(context.Context) error
	Close() error
}

// activity says what callers are doing.
type activity interface {
	// inFlight is the number of requests under way.
	inFlight() int64
	// quietFor is the time since the last request came.
	quietFor() time.Duration
}

// drain goes on serving while callers still come, and ends between requests. The balancer learns
// only by its next questions that this process is not ready.
func drain(server callerServer, callers activity, grace time.Duration, log hclog.Logger) {
	began := time.Now()
	at := func(share float64) time.Time { return began.Add(time.Duration(share * float64(grace))) }
	log.Info("stopping", "in_flight", callers.inFlight(), "grace", grace.String())
	ctx := context.Background()
	if !quietUntil(ctx, callers, began, at(closeIdleAt)) {
		server.SetKeepAlivesEnabled(false) // closes those without a request, too
		quietUntil(ctx, callers, began, at(closeListenerAt))
	}
	last, cancel := context.WithDeadline(ctx, at(breakOffAt))
	defer cancel()
	if err := server.Shutdown(last); err != nil {
		log.Warn("requests were broken off by the stop", "in_flight", callers.inFlight(), "error", err)
		if err := server.Close(); err != nil {
			log.Warn("connections not closed", "error", err)
		}
	}
}

// quietUntil waits until a time, or reports true as soon as callers have stayed away for long.
func quietUntil(ctx context.Context, callers activity, began, until time.Time) bool {
	for time.Now().Before(until) {
		calm := min(callers.quietFor(), time.Since(began))
		if callers.inFlight() == 0 && calm > quietStop {
			return true
		}
		sleep.For(ctx, drainLook)
	}
	return false
}
