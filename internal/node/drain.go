package node

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/sleep"
	"arbutusramp/internal/stopping"
)

// Times of the steps of a stop. Shares are parts of the grace period, the time from the signal to stop to the kill
// of the process. With a grace period of 8 s, the balancer sends callers to other gateways after 2 to 3 s. A
// streamed answer takes about 1 s.
const (
	// stopAcceptingShare is when the process stops accepting requests: it closes idle connections and rejects
	// new requests on the others. Requests that arrived before have over half of the grace period left.
	// Requests accepted later might be cut off at its end.
	stopAcceptingShare = 0.375
	// answerAllShare is when all that waits for an answer, or for the rest of its request, is answered with an error. These answers
	// take some time to write when there are many.
	answerAllShare = 0.875
	// closeAllShare is when connections with requests are closed, so that the process exits before it is
	// killed.
	closeAllShare = 0.95
	// earlyStopIdleTime is the time without a request after which a stopping process exits early.
	earlyStopIdleTime = 2500 * time.Millisecond
	// drainPollInterval is how often a stopping process checks whether the next step is due.
	drainPollInterval = 50 * time.Millisecond
)

// callerConns is what drain needs of a server and its connections to callers.
type callerConns interface {
	// beginStop announces the times of the stop.
	beginStop(t stopping.Times)
	// checkBodies rejects the requests whose bodies are still arriving and that can't be answered in time any more.
	checkBodies()
	// answerAll answers all that waits with an error.
	answerAll()
	// closeIdle closes the connections without a request.
	closeIdle()
	// stopAccepting rejects new connections and requests.
	stopAccepting()
	// countBusy returns the number of connections with a request, from its first byte on.
	countBusy() int
	// idleTime returns the time since the last request arrived.
	idleTime() time.Duration
	// closeAll closes all connections.
	closeAll()
}

// drain lets a stopping process serve until no request is in flight or the grace period is nearly over. It accepts
// requests until stopAcceptingShare, because the balancer sends requests until its next readiness check shows that
// this process is not ready.
func drain(callers callerConns, grace time.Duration, log hclog.Logger) {
	began := time.Now()
	timeAt := func(share float64) time.Time { return began.Add(time.Duration(share * float64(grace))) }
	log.Info("stopping", "busy", callers.countBusy(), "grace", grace.String())
	times := stopping.Times{AcceptUntil: timeAt(stopAcceptingShare), AnswerBy: timeAt(answerAllShare)}
	callers.beginStop(times)
	waitIdle(callers, began, times.AcceptUntil)
	callers.stopAccepting()
	for hasAnswered := false; time.Now().Before(timeAt(closeAllShare)); {
		callers.closeIdle()
		if callers.countBusy() == 0 {
			return
		}
		callers.checkBodies()
		if !hasAnswered && !time.Now().Before(times.AnswerBy) {
			hasAnswered = true
			log.Warn("answering requests in flight", "busy", callers.countBusy())
			callers.answerAll()
		}
		sleep.For(context.Background(), drainPollInterval)
	}
	log.Warn("closing connections with requests in flight", "busy", callers.countBusy())
	callers.closeAll()
}

// waitIdle returns at the deadline, or earlier once no request has arrived for earlyStopIdleTime.
func waitIdle(callers callerConns, began, deadline time.Time) {
	for time.Now().Before(deadline) {
		idle := min(callers.idleTime(), time.Since(began))
		if callers.countBusy() == 0 && idle > earlyStopIdleTime {
			return
		}
		callers.checkBodies()
		sleep.For(context.Background(), drainPollInterval)
	}
}
