package backlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"arbutusramp/core/backlog"
	"arbutusramp/core/fleet"
	"arbutusramp/core/platform"
	"arbutusramp/internal/fleetview"
	"arbutusramp/standin/keyedlog"
)

// BenchmarkScan measures one scan of all jobs by the scheduler of a process that owns no shards.
func BenchmarkScan(b *testing.B) {
	const items = 10
	for _, jobs := range []int{50, 500} {
		b.Run(fmt.Sprintf("%d jobs", jobs), func(b *testing.B) {
			view := fleetview.New(fleet.Options{Self: "self", PeerTTL: time.Minute})
			m := New(Options{MemberID: "self", Shards: testShards}, keyedlog.New(testShards).View(), nil, view, nil, testLogger("self"), metrics.NewRegistry())
			for i := range jobs {
				m.replica.applyOwn(encodedJob(b, i, items))
			}
			b.ReportAllocs()
			for b.Loop() {
				m.scheduler.sync()
			}
		})
	}
}

// encodedJob returns the records of a job with the given number of items.
func encodedJob(b *testing.B, index, items int) []platform.KeyedRecord {
	j := &backlog.Job{ID: fmt.Sprintf("job-%d", index), Route: "batch", Host: "h"}
	for k := range items {
		j.Items = append(j.Items, backlog.Item{ID: fmt.Sprintf("%s-%d", j.ID, k), URI: "/b/1", Tokens: 100})
	}
	records, err := backlog.EncodeJob(j)
	if err != nil {
		b.Fatal(err)
	}
	return records
}
