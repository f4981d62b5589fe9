package telemetry

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Size and decay of the samples behind histograms, the library's usual ones. A sample takes
// about 16 kB.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Observe adds a duration to the histogram of that name in reg, in milliseconds. The name should end
// in "ms".
func Observe(reg metrics.Registry, name string, d time.Duration) {
	ObserveValue(reg, name, d.Milliseconds())
}

// ObserveValue adds a value to the histogram of that name in reg. The name should end in the unit.
func ObserveValue(reg metrics.Registry, name string, value int64) {
	h := reg.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	h.(metrics.Histogram).Update(value)
}
