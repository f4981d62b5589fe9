package node

import (
	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	corequarantine "arbutusramp/core/quarantine"
	"arbutusramp/internal/quarantine"
)

// entryQuarantine is the quarantine of an entry: sides tell it of the crashes of their targets, and pass on what it tells.
type entryQuarantine struct {
	*quarantine.Quarantine
	news crashNews
}

// crashNews gets a token when there is something to tell.
type crashNews struct {
	quarantine.NoFleet
	changed chan struct{}
}

// ReportSoon implements quarantine.Fleet.
func (n crashNews) ReportSoon() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

func newEntryQuarantine(log hclog.Logger, reg metrics.Registry) entryQuarantine {
	news := crashNews{changed: make(chan struct{}, 1)}
	return entryQuarantine{news: news, Quarantine: quarantine.New(quarantine.Options{
		Threshold: corequarantine.DefaultThreshold, Hold: corequarantine.DefaultHold, Prober: quarantine.NoFleet{}, Fleet: news, Log: log, Metrics: reg,
	})}
}

// Changed implements entry.Quarantine.
func (q entryQuarantine) Changed() <-chan struct{} { return q.news.changed }
