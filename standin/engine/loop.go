package engine

import (
	"time"
)

// maxCatchUp bounds how late a step may start and still end at its planned time. A
// timer wakes a little late; without catching up each step would take
// longer than the model says. A machine that is busier than this shows in Pace.
const maxCatchUp = 5 * time.Millisecond

// Pace is how well real time has followed the model.
type Pace struct {
	LateSteps int64   `json:"late_steps"` // started more than maxCatchUp late
	MaxLateMs float64 `json:"max_late_ms"`
	LateMs    float64 `json:"late_ms"` // sum over all steps
}

func (p *Pace) add(late time.Duration) {
	ms := late.Seconds() * 1000
	p.LateMs += ms
	p.MaxLateMs = max(p.MaxLateMs, ms)
	if late > maxCatchUp {
		p.LateSteps++
	}
}

// run steps the batch until the engine is closed.
func (s *Server) run() {
	defer s.loops.Done()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	var planned time.Time // end of the previous step; zero after idling
	for s.knobs.Hold(s.http.Done(), func(k Knobs) bool { return k.Pause }) {
		st, ok := s.beginStep()
		if !ok {
			planned = time.Time{}
			if !s.waitWork() {
				return
			}
			continue
		}
		if st.poisoned {
			s.Crash()
			continue
		}
		planned = stepStart(planned, time.Now()).Add(s.slowed(st.duration))
		timer.Reset(time.Until(planned))
		select {
		case <-timer.C:
		case <-s.http.Done():
			return
		}
		s.finishStep(time.Since(planned))
	}
}

// stepStart returns when a step counts as started: at the planned end of the
// previous one, unless that is too long ago.
func stepStart(planned, now time.Time) time.Time {
	if now.Sub(planned) > maxCatchUp {
		return now
	}
	return planned
}

func (s *Server) slowed(d time.Duration) time.Duration {
	if slow := s.knobs.Get().Slow; slow > 0 {
		return time.Duration(float64(d) * slow)
	}
	return d
}

func (s *Server) beginStep() (step, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.batch.begin()
	s.reportLocked(time.Now())
	return st, ok
}

func (s *Server) finishStep(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batch.finish()
	s.pace.add(late)
}

func (s *Server) waitWork() bool {
	select {
	case <-s.work:
		return true
	case <-s.http.Done():
		return false
	}
}

func (s *Server) wakeLoop() {
	select {
	case s.work <- struct{}{}:
	default:
	}
}
