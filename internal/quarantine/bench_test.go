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

// BenchmarkRequest is what a request that is served costs: it is checked as it comes and before it is sent, and noted as served. While no
// target has crashed under anything, nothing is hashed.
func BenchmarkRequest(b *testing.B) {
	for _, size := range []int{1500, 15000} {
		for _, contents := range []int{0, 1000} {
			b.Run(fmt.Sprintf("%d bytes, %d contents known", size, contents), func(b *testing.B) {
				q := newQuarantine(&fleet{result: platform.ProbeGone})
				for i := range contents {
					q.BrokenOff(quarantine.Broken{
						Content: request(fmt.Sprint(i)), Target: serving.Target{ID: "t"}, Began: time.Now(), HasCrashed: true, Err: errors.New("EOF"),
					})
				}
				r := request(string(make([]byte, size))).Request
				b.ReportAllocs()
				for b.Loop() {
					c := quarantine.NewContent(r)
					if q.Check(c) != nil || q.AdmitRequest(c) != nil {
						b.Fatal("quarantined")
					}
					q.Served(c)
				}
			})
		}
	}
}
