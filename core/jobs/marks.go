package jobs

import (
	"sort"
	"time"

	"arbutusramp/core/structs"
)

// DefaultMarkEvery is the distance of marks in time.
const DefaultMarkEvery = time.Minute

// maxMarks bounds the list; when it is full, every second mark is dropped.
const maxMarks = 4096

// mark says that the envelope at Offset was written at AtMs by its writer's clock.
type mark struct {
	Offset structs.Offset `cbor:"1,keyasint"`
	AtMs   int64          `cbor:"2,keyasint"`
}

// marks relates offsets to time, so that the age of a record is known without
// a time for each.
type marks []mark

func (m *marks) add(off structs.Offset, atMs int64, every time.Duration) {
	if n := len(*m); n > 0 && atMs < (*m)[n-1].AtMs+every.Milliseconds() {
		return
	}
	*m = append(*m, mark{Offset: off, AtMs: atMs})
	if len(*m) <= maxMarks {
		return
	}
	kept := (*m)[:0]
	for i, k := range *m {
		if i%2 == 0 {
			kept = append(kept, k)
		}
	}
	*m = kept
}

// WrittenBefore returns an offset such that all after it were written at or
// after t. It takes records for older than they are by up to the distance of marks.
func (s *State) WrittenBefore(t time.Time) structs.Offset {
	ms := t.UnixMilli()
	// An offset between two marks counts as old as the earlier of them: a record that is
	// taken for younger than it is could be trimmed before it is appended again.
	i := sort.Search(len(s.marks), func(i int) bool { return s.marks[i].AtMs > ms })
	if i == 0 {
		return 0
	}
	if i == len(s.marks) {
		return s.Through
	}
	return s.marks[i].Offset - 1
}
