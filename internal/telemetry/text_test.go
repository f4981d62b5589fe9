package telemetry

import (
	"net/http/httptest"
	"testing"

	"github.com/rcrowley/go-metrics"
)

func TestMetricsAsText(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", reg).Inc(3)
	metrics.GetOrRegisterGauge("age", reg).Update(7)
	h := metrics.GetOrRegisterHistogram("ms", reg, metrics.NewUniformSample(100))
	for i := range 100 {
		h.Update(int64(i + 1))
	}
	w := httptest.NewRecorder()
	TextHandler(reg).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	const want = "age 7\nms.count 100\nms.max 100\nms.p50 50\nms.p90 91\nms.p99 100\nrequests 3\n"
	if got := w.Body.String(); got != want {
		t.Errorf("got\n%s", got)
	}
}
