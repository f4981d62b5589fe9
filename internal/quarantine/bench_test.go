package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/platform"
	"arbutusramp/core/quarantine"
	"arbutusramp/core/serving"
)

// BenchmarkRequest measures the cost of a request that is served: it is checked on arrival and before it is
// sent, and then noted as served. While there are no records, nothing is hashed.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1500, 15000} {
		for _, contents := range []int{0, 1000} {
			b.Run(fmt.Sprintf("%d bytes, %d records", size, contents), func(b *testing.B) {
				q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
				for i := range contents {
					q.BrokenOff(quarantine.Broken{
						Content: testContent(fmt.Sprint(i)), Target: serving.Target{ID: "t"}, Began: time.Now(), HasCrashed: true, Err: errors.New("EOF"),
					})
				}
				req := testContent(string(make([]byte, size))).Request
				b.ReportAllocs()
				for b.Loop() {
					c := quarantine.NewContent(req)
					if q.Check(c) != nil || q.AdmitRequest(c) != nil {
						b.Fatal("quarantined")
					}
					q.Served(c)
				}
			})
		}
	}
}
