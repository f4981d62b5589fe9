package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"
)

// Guards against a log line for each request of a caller or target that always sends an invalid header.
func TestInvalidHeadersAreCountedAndLoggedOncePerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		reg := metrics.NewRegistry()
		ih := newInvalidHeaders(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}), reg)
		for range 1000 {
			ih.record("hint", "negative", "-1")
			time.Sleep(time.Second)
		}
		ih.record("hint", "not a number", "x")
		time.Sleep(2 * faultQuietTime)
		ih.record("hint", "negative", "-2")
		for i := range 2 * maxFaults {
			ih.record("other", fmt.Sprint(i), "")
		}
		counter, _ := reg.Get("headers.invalid").(metrics.Counter)
		if n := strings.Count(out.String(), `"header":"hint"`); n != 3 || counter == nil || counter.Count() != 1002+2*maxFaults || len(ih.lastSeen) > maxFaults {
			t.Errorf("%d lines about the header hint, counter %v, %d faults kept; want 3 lines, all counted and at most %d faults", n, counter, len(ih.lastSeen), maxFaults)
		}
	})
}
