package follow

import (
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// catchUp is how long one who is ahead waits for this process to come level. A
// child may well hear of a change first, by its own confirm.
const catchUp = 500 * time.Millisecond

// answer returns what a process at version from lacks. With nothing new it waits up to wait,
// but not while this process itself may be behind: who asked is told at once and turns
// to another source.
func (f *Follower) answer(from structs.Version, wait time.Duration) (*structs.ConfigMsg, error) {
	if from > 0 {
		f.Hint(from)
	}
	start := f.now()
	if from > f.Current().Version {
		wait = min(wait, catchUp)
	}
	var timeout <-chan struct{}
	if wait > 0 {
		timer := sleep.NewTimer(wait)
		defer timer.Stop()
		timeout = timer.C
	}
	for {
		m, changed, err := f.answerNow(from)
		if err != nil {
			return nil, err
		}
		m.HeldMs = f.now().Sub(start).Milliseconds()
		if m.To > from || m.Stale || wait <= 0 {
			return m, nil
		}
		select {
		case <-changed:
			continue
		case <-timeout:
		case <-f.stop:
			m.Stale = true
		}
		m.HeldMs = f.now().Sub(start).Milliseconds()
		m.AgeMs = f.ageMs()
		return m, nil
	}
}

func (f *Follower) answerNow(from structs.Version) (*structs.ConfigMsg, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := &structs.ConfigMsg{
		From:  from,
		To:    f.state.Version,
		Stale: f.stale,
		AgeMs: f.ageMsLocked(),
	}
	switch {
	case from >= f.state.Version:
	case from >= f.tailOf:
		m.Records = f.since(from)
	default:
		b, err := f.state.Snapshot()
		if err != nil {
			return nil, nil, err
		}
		m.From = 0
		m.Snapshot = b
	}
	return m, f.changed, nil
}

func (f *Follower) since(from structs.Version) []structs.LogEntry {
	for n, e := range f.tail {
		if structs.Version(e.Offset) > from {
			return f.tail[n:len(f.tail):len(f.tail)]
		}
	}
	return nil
}

func (f *Follower) ageMs() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageMsLocked()
}

// ageMsLocked rounds up: an age that is too low would make who asked too sure.
func (f *Follower) ageMsLocked() int64 {
	if f.freshAt.IsZero() {
		return (24 * time.Hour).Milliseconds()
	}
	return f.now().Sub(f.freshAt).Milliseconds() + 1
}

// restore returns the State of a message's snapshot, checked against the message.
func restore(m *structs.ConfigMsg) (*confstate.State, error) {
	s, err := confstate.Restore(m.Snapshot)
	if err != nil {
		return nil, err
	}
	if s.Version != m.To {
		return nil, errs.Newf(errs.BadFrame, "snapshot of version %d in a message of version %d", s.Version, m.To)
	}
	return s, nil
}
