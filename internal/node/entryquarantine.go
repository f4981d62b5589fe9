package node

import (
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	corequarantine "arbutusramp/core/quarantine"
	"arbutusramp/internal/quarantine"
)

// entryQuarantine is the quarantine of an entry. Sides report crashes of their targets to it and get its
// updates.
type entryQuarantine struct {
	*quarantine.Quarantine
	notifier crashNotifier
}

// crashNotifier signals changed when there are updates to send.
type crashNotifier struct {
	quarantine.NoFleet
	changed chan struct{}
}

// ReportSoon implements quarantine.Fleet.
func (n crashNotifier) ReportSoon() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func newEntryQuarantine(log hclog.Logger, reg metrics.Registry) entryQuarantine {
	notifier := crashNotifier{changed: make(chan struct{}, 1)}
	return entryQuarantine{notifier: notifier, Quarantine: quarantine.New(quarantine.Options{
		Threshold: corequarantine.DefaultThreshold, Hold: corequarantine.DefaultHold, Prober: quarantine.NoFleet{}, Fleet: notifier, Log: log, Metrics: reg,
	})}
}

// Changed implements entry.Quarantine.
func (q entryQuarantine) Changed() <-chan struct{} { return q.notifier.changed }
