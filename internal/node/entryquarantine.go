package node

import (
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	corequarantine "arbutusramp/core/quarantine"
	"arbutusramp/internal/quarantine"
)

// entryQuarantine is the quarantine of an entry. Sides report crashes of their targets to it, and the entry sends
// them its updates.
type entryQuarantine struct {
	*quarantine.Quarantine
	notifier crashNotifier
}

// crashNotifier is the quarantine.Fleet of an entry. It signals on changed that the quarantine has updates for the
// sides.
type crashNotifier struct {
	quarantine.NoFleet
	changed chan struct{}
}

// RequestReport implements quarantine.Fleet.
func (n crashNotifier) RequestReport() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// newEntryQuarantine returns a quarantine with the default thresholds that has no data yet.
func newEntryQuarantine(log hclog.Logger, reg metrics.Registry) entryQuarantine {
	notifier := crashNotifier{changed: make(chan struct{}, 1)}
	return entryQuarantine{notifier: notifier, Quarantine: quarantine.New(quarantine.Options{
		Threshold: corequarantine.DefaultThreshold, Hold: corequarantine.DefaultHold, Prober: quarantine.NoFleet{}, Fleet: notifier, Log: log, Metrics: reg,
	})}
}

// Changed implements entry.Quarantine. It returns the channel on which updates are signalled.
func (q entryQuarantine) Changed() <-chan struct{} { return q.notifier.changed }
