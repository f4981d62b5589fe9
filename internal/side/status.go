package side

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"arbutusramp/internal/telemetry"
)

// meters are the side's counters; the names are in docs/OPERATIONS.md.
type meters struct {
	registry       metrics.Registry
	started        metrics.Counter
	refused        metrics.Counter
	replayed       metrics.Counter
	preempted      metrics.Counter
	resumed        metrics.Counter
	itemsDone      metrics.Counter
	targetFailures metrics.Counter
}

func newMeters(r metrics.Registry) *meters {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("side."+name, r) }
	return &meters{
		registry:       r,
		started:        counter("started"),
		refused:        counter("refused"),
		replayed:       counter("replayed"),
		preempted:      counter("preempted"),
		resumed:        counter("resumed"),
		itemsDone:      counter("items_done"),
		targetFailures: counter("target_failures"),
	}
}

const (
	// statusConnections bounds the connections to the listener for readiness checks and metrics, statusReadTime the time for a
	// request and statusIdleTime that between two.
	statusConnections = 64
	statusReadTime    = 5 * time.Second
	statusIdleTime    = 90 * time.Second
)

func (s *Side) serveStatus() *fasthttp.Server {
	gauge := func(name string, f func() int64) {
		// A second side of one process keeps the first one's gauge.
		_ = s.metrics.registry.Register("side."+name, metrics.NewFunctionalGauge(f))
	}
	gauge("online_in_flight", func() int64 { return int64(s.queue.load().OnlineInFlight) })
	gauge("online_queued", func() int64 { return int64(s.queue.load().OnlineQueued) })
	gauge("batch_in_flight", func() int64 { return int64(s.queue.load().BatchInFlight) })
	gauge("limit", func() int64 { return int64(s.queue.load().Limit) })
	gauge("sessions", func() int64 { return int64(len(s.peers.all())) })
	gauge("config_version", func() int64 { return int64(s.config.version()) })
	server := &fasthttp.Server{
		Handler: telemetry.Handler(s.metrics.registry, s.notReady), NoDefaultServerHeader: true,
		GetOnly: true, Concurrency: statusConnections, ReadTimeout: statusReadTime, IdleTimeout: statusIdleTime,
	}
	go func() {
		if err := server.Serve(s.statusLn); err != nil {
			s.log.Warn("status listener failed", "error", err)
		}
	}()
	return server
}

// notReady returns why the side should get no sessions, or "".
func (s *Side) notReady() string {
	if s.draining.Load() {
		return "draining"
	}
	if !s.serving.Load() {
		return "not serving yet"
	}
	return ""
}
