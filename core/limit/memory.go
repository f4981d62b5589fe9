package limit

import "sync/atomic"

// Memory bounds the bytes that several holders keep at once. It is safe for concurrent use.
type Memory struct {
	max     int64
	reserve int64   // of max, for TakeReserved only
	parent  *Memory // of a part; nil for a whole
	held    atomic.Int64
}

// NewMemory returns a Memory of max bytes, all of them free.
func NewMemory(max int64) *Memory { return &Memory{max: max} }

// NewMemoryWithReserve returns a Memory of max bytes, of which the last reserve bytes are for TakeReserved.
func NewMemoryWithReserve(max, reserve int64) *Memory { return &Memory{max: max, reserve: reserve} }

// Part returns a Memory of up to max of m's bytes. What is taken from the part is taken from m as well; it is not set aside.
func (m *Memory) Part(max int64) *Memory { return &Memory{max: max, parent: m} }

// Take takes n bytes and reports true if they were free without the reserve. The caller gives them back with Return.
func (m *Memory) Take(n int64) bool { return m.take(n, false) }

// TakeReserved takes n bytes and reports true if they were free, in the reserve or beside it. The caller gives them back with
// Return.
func (m *Memory) TakeReserved(n int64) bool { return m.take(n, true) }

func (m *Memory) take(n int64, mayUseReserve bool) bool {
	free := m.max
	if !mayUseReserve {
		free -= m.reserve
	}
	if m.held.Add(n) > free {
		m.held.Add(-n)
		return false
	}
	if m.parent != nil && !m.parent.take(n, mayUseReserve) {
		m.held.Add(-n)
		return false
	}
	return true
}

// Return gives back n bytes.
func (m *Memory) Return(n int64) {
	m.held.Add(-n)
	if m.parent != nil {
		m.parent.Return(n)
	}
}

// Held returns how many bytes are taken.
func (m *Memory) Held() int64 { return m.held.Load() }

// Max returns how many bytes Take can have at most.
func (m *Memory) Max() int64 {
	free := m.max - m.reserve
	if m.parent != nil {
		free = min(free, m.parent.Max())
	}
	return free
}
