package logsvc

import (
	"time"

	"arbutusramp/core/structs"
)

// entryOverhead is what an entry counts towards the retained bytes beside its body.
const entryOverhead = 32

// stream is one stream's retained records. The server's lock guards it.
type stream struct {
	first   structs.Offset // of records[0], or the next offset
	records []record
	bytes   int64
	grown   chan struct{} // closed at the next append
}

type record struct {
	at   time.Time
	body []byte
}

func newStream() *stream {
	return &stream{first: 1, grown: make(chan struct{})}
}

func (s *stream) next() structs.Offset { return s.first + structs.Offset(len(s.records)) }

func (s *stream) append(now time.Time, body []byte) structs.Offset {
	offset := s.next()
	s.records = append(s.records, record{now, body})
	s.bytes += int64(len(body)) + entryOverhead
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// trim drops records older than age, and the oldest beyond limit bytes. Zero means no limit.
func (s *stream) trim(now time.Time, age time.Duration, limit int64) {
	n := 0
	for n < len(s.records) && s.expired(s.records[n], now, age, limit) {
		s.bytes -= int64(len(s.records[n].body)) + entryOverhead
		n++
	}
	if n == 0 {
		return
	}
	clear(s.records[:n])
	s.records = s.records[n:]
	s.first += structs.Offset(n)
}

func (s *stream) expired(r record, now time.Time, age time.Duration, limit int64) bool {
	tooOld := age > 0 && now.Sub(r.at) > age
	tooMuch := limit > 0 && s.bytes > limit
	return tooOld || tooMuch
}

// read returns up to maxEntries entries from offset from on, up to about maxBytes.
func (s *stream) read(from structs.Offset, maxEntries int, maxBytes int) []structs.LogEntry {
	if from < s.first || from >= s.next() {
		return nil
	}
	var entries []structs.LogEntry
	for i := int(from - s.first); i < len(s.records) && len(entries) < maxEntries && maxBytes > 0; i++ {
		body := s.records[i].body
		entries = append(entries, structs.LogEntry{Offset: s.first + structs.Offset(i), Body: body})
		maxBytes -= len(body) + entryOverhead
	}
	return entries
}
