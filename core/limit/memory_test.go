package limit

import (
	"sync"
	"testing"
)

// Guards against holders that have more than the bound together, and against bytes that are lost when they are given back.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory(100)
	if !m.Take(60) || m.Take(41) || !m.Take(40) || m.Held() != 100 {
		t.Errorf("%d bytes held, want 60 and 40 taken and 41 refused", m.Held())
	}
	m.Return(100)
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for range 1000 {
				if m.Take(30) {
					m.Return(30)
				}
			}
		})
	}
	wg.Wait()
	if m.Held() != 0 {
		t.Errorf("%d bytes held after all were given back, want 0", m.Held())
	}
}
