package engine

import (
	"testing"
	"time"

	"arbutusramp/core/platform"
)

func TestLoadReportLags(t *testing.T) {
	const lag = 300 * time.Millisecond
	start := time.Unix(1000, 0)
	var h loadHistory
	for i := range 10 {
		h.add(start.Add(time.Duration(i)*100*time.Millisecond), platform.EngineLoad{Running: i}, lag)
	}
	now := start.Add(950 * time.Millisecond)
	if got := h.at(now.Add(-lag)).Running; got != 6 {
		t.Errorf("at 950 ms the report shows %d, want that of 600 ms", got)
	}
	if len(h.reports) > 5 {
		t.Errorf("%d reports are kept", len(h.reports))
	}
	if got := h.at(start.Add(time.Hour)).Running; got != 9 {
		t.Errorf("an idle engine reports %d, want its last", got)
	}
}

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	start := time.Unix(1000, 0)
	l := newEventLog(7)
	const total = 1000
	for i := range total {
		l.add(start.Add(time.Duration(i)*time.Millisecond), uint64(i), true, 0.25)
	}
	all := l.after(0, start.Add(time.Hour))
	if len(all) < 650 || len(all) > 850 {
		t.Errorf("%d of %d events came through a loss of a quarter", len(all), total)
	}
	for _, e := range all {
		if e.Prefix != e.Seq-1 {
			t.Fatalf("event %+v has another's number", e)
		}
	}
	for _, e := range l.after(500, start.Add(600*time.Millisecond)) {
		if e.Seq <= 500 || e.Seq > 601 {
			t.Errorf("event %d is visible, want those after 500 up to 601", e.Seq)
		}
	}
}
