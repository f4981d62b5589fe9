// Package logmem is a platform.Log in memory with faults that a test turns on:
// outage, slowness, rate limit, answers lost after the effect, appends that take
// effect late, and retention. It uses only timers and contexts, so that it
// works inside testing/synctest.
package logmem

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// Faults is what goes wrong. The zero value is a log without faults.
type Faults struct {
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseAnswer is the share of appends whose answer is lost after the effect, 0..1.
	LoseAnswer float64
	// LoseRequest is the share of appends that are lost before the effect, which the
	// caller can't tell from a lost answer, 0..1.
	LoseRequest float64
	// Late is the share of appends that are answered as unknown and take effect only
	// after LateBy, 0..1.
	Late   float64
	LateBy time.Duration
	// Busy is the share of appends refused as over the rate, 0..1.
	Busy float64
	// MaxBytes bounds one record; 0 is no bound. Error: errs.BodyTooLarge.
	MaxBytes int
	// Retention is how long records are kept; 0 is for ever.
	Retention time.Duration
}

// Log is the log in memory. Use New.
type Log struct {
	mu      sync.Mutex
	faults  Faults
	rng     *rand.Rand
	streams map[string]*stream
	appends int
	bytes   int64
}

type stream struct {
	first   structs.Offset
	entries []entry
	changed chan struct{} // closed at the next append
}

type entry struct {
	body []byte
	at   time.Time
}

// New returns an empty log whose faults are drawn from seed.
func New(seed uint64) *Log {
	return &Log{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		streams: make(map[string]*stream),
	}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Faults returns the present faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// Appends returns how many appends took effect and their bytes.
func (l *Log) Appends() (int, int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

// lostAnswerAfter is how long a caller waits for an answer that was lost.
const lostAnswerAfter = 50 * time.Millisecond

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, name string, body []byte) (structs.Offset, error) {
	f := l.Faults()
	if !sleep.For(ctx, f.Delay) {
		return 0, errs.New(errs.AppendUnknown, "the caller gave up")
	}
	l.mu.Lock()
	f = l.faults
	chance := l.rng.Float64
	switch {
	case f.Down:
		l.mu.Unlock()
		return 0, errs.New(errs.LogDown, "the log service is down")
	case f.MaxBytes > 0 && len(body) > f.MaxBytes:
		l.mu.Unlock()
		return 0, errs.New(errs.BodyTooLarge, "the record is too large")
	case chance() < f.Busy:
		l.mu.Unlock()
		return 0, errs.New(errs.LogBusy, "over the log service's rate")
	case chance() < f.LoseRequest:
		l.mu.Unlock()
		return l.unknown(ctx)
	case chance() < f.Late:
		l.mu.Unlock()
		sleep.AfterFunc(f.LateBy, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.put(name, body)
		})
		return l.unknown(ctx)
	}
	off := l.put(name, body)
	lost := chance() < f.LoseAnswer
	l.mu.Unlock()
	if lost {
		return l.unknown(ctx)
	}
	return off, nil
}

func (l *Log) unknown(ctx context.Context) (structs.Offset, error) {
	sleep.For(ctx, lostAnswerAfter)
	return 0, errs.New(errs.AppendUnknown, "the answer was lost")
}

// put appends body; l.mu is held.
func (l *Log) put(name string, body []byte) structs.Offset {
	s := l.stream(name)
	s.entries = append(s.entries, entry{body: append([]byte(nil), body...), at: time.Now()})
	l.appends++
	l.bytes += int64(len(body))
	close(s.changed)
	s.changed = make(chan struct{})
	return s.next() - 1
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() structs.Offset { return s.first + structs.Offset(len(s.entries)) }

func (s *stream) trim(before time.Time) {
	n := 0
	for n < len(s.entries) && s.entries[n].at.Before(before) {
		n++
	}
	s.entries = s.entries[n:]
	s.first += structs.Offset(n)
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, name string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	if !sleep.For(ctx, l.Faults().Delay) {
		return platform.Page{}, errs.New(errs.LogDown, "the caller gave up")
	}
	timer := sleep.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.read(name, from, most)
		// Without a wait the answer comes at once: a timer takes a moment, even one of no length.
		if err != nil || len(page.Entries) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return page, errs.New(errs.LogDown, "the caller gave up")
		}
	}
}

func (l *Log) read(name string, from structs.Offset, most int) (platform.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return platform.Page{}, nil, errs.New(errs.LogDown, "the log service is down")
	}
	s := l.stream(name)
	if l.faults.Retention > 0 {
		s.trim(time.Now().Add(-l.faults.Retention))
	}
	page := platform.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return page, nil, errs.Newf(errs.LogTrimmed, "stream %s starts at %d", name, s.first)
	}
	for off := from; off < s.next() && len(page.Entries) < most; off++ {
		body := s.entries[off-s.first].body
		page.Entries = append(page.Entries, structs.LogEntry{Offset: off, Body: body})
	}
	return page, s.changed, nil
}
