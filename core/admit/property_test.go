package admit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusramp/core/structs"
)

// shell is what a side would know of its requests, to hold the machine's actions against.
type shell struct {
	t       *rapid.T
	m       *Machine
	now     time.Time
	next    ID
	waiting map[ID]structs.Class
	running map[ID]structs.Class
}

func (s *shell) act(as []Action) {
	for _, a := range as {
		switch a.Kind {
		case Start:
			class, ok := s.waiting[a.ID]
			if !ok {
				s.t.Fatalf("request %d was started and does not wait", a.ID)
			}
			delete(s.waiting, a.ID)
			s.running[a.ID] = class
		case Preempt:
			if class, ok := s.running[a.ID]; !ok || class != structs.ClassBatch {
				s.t.Fatalf("request %d was preempted; running %v, class %v", a.ID, ok, class)
			}
		case Refuse:
			if _, ok := s.waiting[a.ID]; !ok || a.Err == nil {
				s.t.Fatalf("request %d was refused with %v; waiting %v", a.ID, a.Err, ok)
			}
			delete(s.waiting, a.ID)
		}
	}
}

// one draws one of the requests that run, or 0.
func (s *shell) one() ID {
	if len(s.running) == 0 {
		return 0
	}
	ids := make([]ID, 0, len(s.running))
	for id := ID(1); id <= s.next; id++ {
		if _, ok := s.running[id]; ok {
			ids = append(ids, id)
		}
	}
	return rapid.SampledFrom(ids).Draw(s.t, "id")
}

func (s *shell) arrive(class structs.Class) {
	s.next++
	r := Request{
		ID: s.next, Class: class,
		PromptTokens: rapid.IntRange(1, 4000).Draw(s.t, "prompt"),
		MaxTokens:    rapid.IntRange(1, 400).Draw(s.t, "max"),
		Alone:        class == structs.ClassBatch && rapid.IntRange(0, 9).Draw(s.t, "alone") == 0,
	}
	if ms := rapid.IntRange(-1, 5000).Draw(s.t, "deadline"); ms > 0 {
		r.Deadline = s.now.Add(time.Duration(ms) * time.Millisecond)
	}
	s.waiting[r.ID] = class
	s.act(s.m.Arrive(s.now, r))
}

// Symptom: a request runs twice, is refused and run, or waits with no reason; counts drift until the
// target is starved. Events: any order of arrivals, tokens, ends, ticks and settings.
// Cause: the machine's counts and queues part from what the shell was told.
func TestActionsFitAnyHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &shell{
			t: t, now: t0, waiting: map[ID]structs.Class{}, running: map[ID]structs.Class{},
			m: New(Config{Headroom: rapid.Float64Range(0, 1).Draw(t, "headroom"), MaxLimit: 12}, t0),
		}
		t.Repeat(map[string]func(*rapid.T){
			"online": func(*rapid.T) { s.arrive(structs.ClassOnline) },
			"batch":  func(*rapid.T) { s.arrive(structs.ClassBatch) },
			"token":  func(*rapid.T) { s.act(s.m.Token(s.now, s.one())) },
			"end": func(t *rapid.T) {
				id := s.one()
				delete(s.running, id)
				s.act(s.m.Ended(s.now, id, rapid.SampledFrom([]Outcome{Finished, Failed, Stopped}).Draw(t, "outcome")))
			},
			"time": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				s.act(s.m.Tick(s.now))
			},
			"headroom": func(t *rapid.T) {
				s.act(s.m.SetHeadroom(s.now, rapid.Float64Range(-1, 2).Draw(t, "headroom")))
			},
			"": func(t *rapid.T) { s.check(t) },
		})
	})
}

// check compares the counts and looks for online requests that wait without need.
func (s *shell) check(t *rapid.T) {
	online, waits := 0, 0
	for _, class := range s.running {
		if class == structs.ClassOnline {
			online++
		}
	}
	for _, class := range s.waiting {
		if class == structs.ClassOnline {
			waits++
		}
	}
	l := s.m.Load(s.now)
	if l.OnlineInFlight != online || l.BatchInFlight != len(s.running)-online || l.OnlineQueued != waits {
		t.Fatalf("load %+v, but %d online and %d batch run and %d wait", l, online, len(s.running)-online, waits)
	}
	if waits > 0 && online < s.m.limit.online() {
		t.Fatalf("%d online requests wait while %d of %d run", waits, online, s.m.limit.online())
	}
	if c := s.m.inFlight; c.onlinePrefill < 0 || c.batchPrefill < 0 || c.stopping < 0 || c.activeBatch() < 0 {
		t.Fatalf("counts %+v", c)
	}
}
