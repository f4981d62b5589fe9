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

// Guards against large holders that leave nothing for small ones.
func TestReserveIsForTakeReserved(t *testing.T) {
	m := NewMemoryWithReserve(100, 30)
	if m.Take(71) || !m.Take(70) || m.Take(1) || !m.TakeReserved(30) || m.TakeReserved(1) {
		t.Errorf("%d bytes held, want 70 without the reserve and 30 from it", m.Held())
	}
	m.Return(100)
	if m.Held() != 0 || m.Max() != 70 {
		t.Errorf("%d bytes held, at most %d, want 0 and 70", m.Held(), m.Max())
	}
}

// Guards against parts that exceed their whole together, and against bytes that a refused part leaves taken.
func TestPartTakesFromWhole(t *testing.T) {
	whole := NewMemoryWithReserve(100, 10)
	a, b := whole.Part(60), whole.Part(60)
	if !a.Take(60) || a.Take(1) || !b.Take(30) || b.Take(1) || !b.TakeReserved(10) {
		t.Errorf("%d and %d bytes held of %d, want 60, 40 and 100", a.Held(), b.Held(), whole.Held())
	}
	if b.TakeReserved(1) || whole.Held() != 100 || b.Held() != 40 {
		t.Errorf("%d bytes held after a refusal, of which %d by the part, want 100 and 40", whole.Held(), b.Held())
	}
	a.Return(60)
	b.Return(40)
	if whole.Held() != 0 || whole.Part(200).Max() != 90 {
		t.Errorf("%d bytes held, want 0; a part has at most what its whole has", whole.Held())
	}
}
