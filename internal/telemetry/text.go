package telemetry

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/rcrowley/go-metrics"
)

// quantiles are those of a histogram that the text shows.
var quantiles = []float64{0.5, 0.9, 0.99}

// TextHandler serves the registry as text, a line a figure: name, space, value. Histograms have a
// line for the count, some quantiles and the maximum.
func TextHandler(reg metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var lines []string
		reg.Each(func(name string, m any) { lines = append(lines, textLines(name, m)...) })
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Fprintln(w, line)
		}
	})
}

func textLines(name string, m any) []string {
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		lines := []string{fmt.Sprintf("%s.count %d", name, s.Count()), fmt.Sprintf("%s.max %d", name, s.Max())}
		for i, v := range s.Percentiles(quantiles) {
			lines = append(lines, fmt.Sprintf("%s.p%.0f %.0f", name, 100*quantiles[i], v))
		}
		return lines
	}
	return nil
}
