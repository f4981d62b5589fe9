package node

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/serving"
)

// Guards against invalid answers that nobody can trace to their target, and against a log that a failing target fills.
func TestInvalidAnswersAreCountedAndTraceable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		reg := metrics.NewRegistry()
		record := newInvalidAnswerRecorder(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), reg)
		const answers, perSecond = 5000, 1000
		for range answers {
			record(serving.Target{ID: "i-1/7", Addr: "127.0.0.1:9", Service: "s"}, "r1", errors.New("invalid answer: status 000"))
			time.Sleep(time.Second / perSecond)
		}
		first, _, _ := strings.Cut(out.String(), "\n")
		for _, want := range []string{`"target":"i-1/7"`, `"addr":"127.0.0.1:9"`, `"service":"s"`, `"request":"r1"`, `"error":"invalid answer: status 000"`} {
			if !strings.Contains(first, want) {
				t.Errorf("first line %s, want it to have %s", first, want)
			}
		}
		counter, _ := reg.Get(invalidAnswerMetric).(metrics.Counter)
		if n := strings.Count(out.String(), "\n"); n > answers/2 || counter == nil || counter.Count() != answers {
			t.Errorf("%d lines, counter %v; want at most %d lines and all %d answers counted", n, counter, answers/2, answers)
		}
	})
}
