package telemetry

import (
	"strings"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
)

func get(h fasthttp.RequestHandler, path string) (int, string) {
	var ctx fasthttp.RequestCtx
	ctx.Request.SetRequestURI(path)
	h(&ctx)
	return ctx.Response.StatusCode(), string(ctx.Response.Body())
}

func TestHealthAndReadyApart(t *testing.T) {
	h := Handler(metrics.NewRegistry(), func() string { return "draining" })
	if code, _ := get(h, HealthPath); code != 200 {
		t.Errorf("health %d: a draining process is alive", code)
	}
	code, body := get(h, ReadyPath)
	if code != 503 || body != "draining\n" {
		t.Errorf("ready %d %s", code, body)
	}
}

func TestMetrics(t *testing.T) {
	reg := metrics.NewRegistry()
	metrics.GetOrRegisterCounter("requests", reg).Inc(3)
	code, body := get(Handler(reg, func() string { return "" }), MetricsPath)
	if code != 200 || !strings.Contains(body, `"requests":{"count":3}`) {
		t.Errorf("%d %s", code, body)
	}
}

func TestProcessMetrics(t *testing.T) {
	reg := metrics.NewRegistry()
	RegisterProcess(reg)
	if gauge, ok := reg.Get(CPUMetric).(metrics.Gauge); !ok || gauge.Value() <= 0 {
		t.Errorf("no processor time: %v", reg.GetAll())
	}
}
