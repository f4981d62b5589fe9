package batch

import "github.com/rcrowley/go-metrics"

// meters are the package's metrics, under "batch.".
type meters struct {
	appends, appendBytes, appendRetries metrics.Counter
	itemsSent, itemsDone, itemsLate     metrics.Counter
	takeovers, handovers, snapshots     metrics.Counter
	rewrites, violations                metrics.Counter
	heldBytes, ownedShards, inFlight    metrics.Gauge
}

func newMeters(r metrics.Registry) meters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("batch."+name, r)
	}
	gauge := func(name string) metrics.Gauge {
		return metrics.GetOrRegisterGauge("batch."+name, r)
	}
	return meters{
		appends:       counter("appends"),
		appendBytes:   counter("append_bytes"),
		appendRetries: counter("append_retries"),
		itemsSent:     counter("items_sent"),
		itemsDone:     counter("items_done"),
		itemsLate:     counter("items_late"),
		takeovers:     counter("takeovers"),
		handovers:     counter("handovers"),
		snapshots:     counter("snapshots"),
		rewrites:      counter("rewrites"),
		violations:    counter("invariant_violations"),
		heldBytes:     gauge("held_bytes"),
		ownedShards:   gauge("owned_shards"),
		inFlight:      gauge("items_in_flight"),
	}
}
