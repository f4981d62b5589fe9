package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
)

// Processes of the entry role have no keyed store: they share records through a stream of the log. The stream
// may contain invalid entries, and its oldest ones may have expired.
func TestEntriesShareRecordsThroughLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logmem.New(1)
		ctx, stop := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		start := func() *Quarantine {
			q := New(Options{Threshold: quarantine.DefaultThreshold, Hold: quarantine.DefaultHold, Prober: NoFleet{}, Fleet: NoFleet{},
				Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
			wg.Go(func() { _ = q.Run(ctx, NewLogStore(log)) })
			time.Sleep(time.Second)
			return q
		}
		first, second := start(), start()
		if _, err := log.Append(ctx, structs.QuarantineStream, []byte("unusable")); err != nil {
			t.Fatal(err)
		}
		for i := range quarantine.DefaultThreshold {
			q := []*Quarantine{first, second}[i%2]
			q.NoteBrokenOff(quarantine.BrokenRun{
				Content: testContent("body"), Target: serving.Target{ID: fmt.Sprint(i)}, BeganAt: time.Now().Add(-runDuration), HasCrashed: true, Err: fmt.Errorf("crashed"),
			})
			time.Sleep(time.Second)
		}
		late := start()
		for i, q := range []*Quarantine{first, second, late} {
			if !isQuarantined(q, "body") {
				t.Errorf("process %d does not quarantine the content after three crashes", i)
			}
		}
		log.SetFaults(logmem.Faults{Retention: time.Millisecond})
		time.Sleep(time.Minute)
		if !start().IsLoaded() {
			t.Error("process has not loaded the records a second after its start; the entries of the log have expired")
		}
		stop()
		wg.Wait()
	})
}
