package telemetry

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
)

func TestObservedTimesAreInTheText(t *testing.T) {
	reg := metrics.NewRegistry()
	for ms := range 100 {
		Observe(reg, "stage.ms", time.Duration(ms)*time.Millisecond)
	}
	rec := httptest.NewRecorder()
	TextHandler(reg).ServeHTTP(rec, httptest.NewRequest("GET", "/", nil))
	for _, want := range []string{"stage.ms.count 100\n", "stage.ms.max 99\n", "stage.ms.p50 50\n"} {
		if !strings.Contains(rec.Body.String(), want) {
			t.Errorf("%q is missing in\n%s", want, rec.Body)
		}
	}
}
