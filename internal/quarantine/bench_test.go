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
// arrival and before it is sent, and then noted as served. Without records, only the fingerprints of the parts of its
// prompt are computed.
func BenchmarkRequest(b *testing.B) {
	for _, test := range []struct {
		size, recordCount int
		prompt            serving.Prompt
	}{
		{1500, 0, serving.Prompt{}}, {1500, 1000, serving.Prompt{}}, {15000, 0, serving.Prompt{}}, {15000, 1000, serving.Prompt{}},
		{1500, 0, serving.Prompt{Model: "m", Parts: []string{"a", "b", "c"}}}, {1500, 1000, serving.Prompt{Model: "m", Parts: []string{"a", "b", "c"}}},
	} {
		size, recordCount := test.size, test.recordCount
		b.Run(fmt.Sprintf("%d bytes, %d records, %d parts", size, recordCount, len(test.prompt.Parts)), func(b *testing.B) {
			q := newTestQuarantine(&testFleet{result: platform.ProbeGone})
			for i := range recordCount {
				q.NoteBrokenOff(quarantine.BrokenRun{
					Content: testContent(fmt.Sprint(i)), Target: serving.Target{ID: "t"}, BeganAt: time.Now(), HasCrashed: true, Err: errors.New("EOF"),
				})
			}
			req := testContent(string(make([]byte, size))).Request
			req.Prompt = test.prompt
			b.ReportAllocs()
			for b.Loop() {
				c := quarantine.NewContent(req)
				if q.Check(c) != nil || q.AdmitRequest(c) != nil {
					b.Fatal("request without crashes is rejected, want it admitted")
				}
				q.NoteServed(c, time.Now())
			}
		})
	}
}
