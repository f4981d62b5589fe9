package node

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/serving"
	"arbutusramp/internal/logging"
)

// invalidAnswerMetric counts what targets have sent in place of an answer, to requests, batch items and probes.
const invalidAnswerMetric = "targets.invalid_answers"

// newInvalidAnswerRecorder returns a function that counts and logs that a target has sent what is no answer. The lines are
// bounded: a target that fails so may do it with each request.
func newInvalidAnswerRecorder(log hclog.Logger, reg metrics.Registry) func(t serving.Target, request string, err error) {
	counter := metrics.GetOrRegisterCounter(invalidAnswerMetric, reg)
	lines := logging.NewRoutine(log).CountIn(metrics.GetOrRegisterCounter(logging.LeftOutMetric+"invalid_answers", reg))
	return func(t serving.Target, request string, err error) {
		counter.Inc(1)
		lines.Info(time.Now(), "invalid answer", "target", t.ID, "addr", t.Addr, "service", t.Service, "request", request, "error", err.Error())
	}
}
