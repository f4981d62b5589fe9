package costmodel

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkModel measures a finished run and the predictions for 40 targets, which a gateway makes for a request.
func BenchmarkModel(b *testing.B) {
	m, s, now := trained()
	var ids []string
	for i := range 40 {
		ids = append(ids, fmt.Sprintf("t%d", i))
		m.PutTarget("llm", ids[i])
	}
	r := s.stream("t0", 4)
	b.Run("observe", func(b *testing.B) {
		for i := range b.N {
			r.Target = ids[i%len(ids)]
			m.ObserveRun(now.Add(time.Duration(i)*time.Millisecond), r)
		}
	})
	b.Run("predict", func(b *testing.B) {
		for range b.N {
			for _, id := range ids {
				q := query(r)
				q.Target = id
				m.Predict(now, q)
			}
		}
	})
}
