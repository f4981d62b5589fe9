package limit

import "sync/atomic"

// Memory bounds the bytes that several holders keep at once. It is safe for concurrent use.
type Memory struct {
	max  int64
	held atomic.Int64
}

// NewMemory returns a Memory of max bytes, all of them free.
func NewMemory(max int64) *Memory { return &Memory{max: max} }

// Take takes n bytes and reports true if they were free. The caller gives them back with Return.
func (m *Memory) Take(n int64) bool {
	if m.held.Add(n) > m.max {
		m.held.Add(-n)
		return false
	}
	return true
}

// Return gives back n bytes.
func (m *Memory) Return(n int64) { m.held.Add(-n) }

// Held returns how many bytes are taken.
func (m *Memory) Held() int64 { return m.held.Load() }
