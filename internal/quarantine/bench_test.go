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

// BenchmarkRequest measures what the quarantine adds to a request that is served: the request is checked on
// arrival and before it is sent, and then noted as served. Without records, no fingerprint is computed.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1500, 15000} {
		for _, recordCount := range []int{0, 1000} {
			b.Run(fmt.Sprintf("%d bytes, %d records", size, recordCount), func(b *testing.B) {
				q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
				for i := range recordCount {
					q.NoteBrokenOff(quarantine.BrokenRun{
						Content: testContent(fmt.Sprint(i)), Target: serving.Target{ID: "t"}, BeganAt: time.Now(), HasCrashed: true, Err: errors.New("EOF"),
					})
				}
				req := testContent(string(make([]byte, size))).Request
				b.ReportAllocs()
				for b.Loop() {
					c := quarantine.NewContent(req)
					if q.Check(c) != nil || q.AdmitRequest(c) != nil {
						b.Fatal("request without crashes is rejected, want it admitted")
					}
					q.NoteServed(c)
				}
			})
		}
	}
}
