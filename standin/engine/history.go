package engine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/platform"
)

// loadHistory gives the load report of some time ago.
type loadHistory struct {
	mu      sync.Mutex
	reports []loadReport // by time; the first is the newest that is old enough
}

type loadReport struct {
	at   time.Time
	load platform.EngineLoad
}

// add records the load at now and forgets what no reader asks for any more.
func (h *loadHistory) add(now time.Time, load platform.EngineLoad, lag time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reports = append(h.reports, loadReport{now, load})
	h.reports = h.reports[h.seen(now.Add(-lag)):]
}

// at returns the load as it was at t; before the first report it is empty.
func (h *loadHistory) at(t time.Time) platform.EngineLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := h.seen(t)
	if len(h.reports) == 0 || h.reports[i].at.After(t) {
		return platform.EngineLoad{}
	}
	return h.reports[i].load
}

// seen returns the index of the newest report that is not after t, or 0.
func (h *loadHistory) seen(t time.Time) int {
	i := 0
	for i+1 < len(h.reports) && !h.reports[i+1].at.After(t) {
		i++
	}
	return i
}

// maxEvents bounds the cache events that are kept for readers.
const maxEvents = 8192

// eventLog publishes cache events late and with gaps.
type eventLog struct {
	mu     sync.Mutex
	rng    *rand.Rand
	seq    uint64
	events []timedEvent
}

type timedEvent struct {
	at time.Time
	ev platform.CacheEvent
}

func newEventLog(seed uint64) *eventLog {
	return &eventLog{rng: rand.New(rand.NewPCG(seed, seed))}
}

// add records an event. A share of them is lost; their sequence numbers stay unused.
func (l *eventLog) add(now time.Time, prefix uint64, added bool, dropShare float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	if dropShare > 0 && l.rng.Float64() < dropShare {
		return
	}
	if len(l.events) >= 2*maxEvents {
		l.events = slices.Clone(l.events[maxEvents:])
	}
	l.events = append(l.events, timedEvent{now, platform.CacheEvent{Seq: l.seq, Prefix: prefix, Added: added}})
}

// after returns the events after seq that are not newer than t.
func (l *eventLog) after(seq uint64, t time.Time) []platform.CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := []platform.CacheEvent{}
	for _, e := range l.events {
		if e.ev.Seq > seq && !e.at.After(t) {
			found = append(found, e.ev)
		}
	}
	return found
}
