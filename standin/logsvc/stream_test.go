package logsvc

import (
	"testing"
	"time"
)

func TestRetentionByAgeAndBytes(t *testing.T) {
	start := time.Unix(1000, 0)
	s := newStream()
	for i := range 10 {
		s.append(start.Add(time.Duration(i)*time.Second), make([]byte, 68))
	}
	s.trim(start.Add(10*time.Second), 7*time.Second, 0)
	if s.first != 4 || s.next() != 11 || s.bytes != 700 {
		t.Errorf("by age: first %d, next %d, %d bytes", s.first, s.next(), s.bytes)
	}
	s.trim(start.Add(10*time.Second), 0, 250)
	if s.first != 9 || s.bytes != 200 {
		t.Errorf("by bytes: first %d, %d bytes", s.first, s.bytes)
	}
	s.trim(start.Add(time.Hour), time.Second, 0)
	if s.first != 11 || s.next() != 11 || s.bytes != 0 {
		t.Errorf("all: first %d, next %d, %d bytes", s.first, s.next(), s.bytes)
	}
	if got := s.append(start, nil); got != 11 {
		t.Errorf("the next offset is %d", got)
	}
	if got := s.read(8, 10, maxPageBytes); got != nil {
		t.Errorf("read %v before the first", got)
	}
}

func TestPagesAreBounded(t *testing.T) {
	s := newStream()
	for range 10 {
		s.append(time.Unix(0, 0), make([]byte, 68))
	}
	if got := len(s.read(3, 4, maxPageBytes)); got != 4 {
		t.Errorf("%d entries", got)
	}
	if got := len(s.read(3, 100, 250)); got != 3 {
		t.Errorf("%d entries in 250 bytes", got)
	}
	if got := len(s.read(10, 100, maxPageBytes)); got != 1 {
		t.Errorf("%d entries at the end", got)
	}
}
