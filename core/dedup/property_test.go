package dedup

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"arbutusramp/core/confstate"
	"arbutusramp/core/structs"
)

// fleet is a model of clients, entries and sides. Each has a clock that is off
// by up to half of Skew, and configuration that is late by up to Propagation.
type fleet struct {
	now     time.Time
	config  []version // by time, oldest first
	sides   map[structs.TargetID]*sideModel
	entries []entryModel
	keys    map[string]clientKey
	effects map[string]int
	runs    int
}

type version struct {
	from    time.Time
	targets map[structs.TargetID]confstate.Target
}

type sideModel struct {
	m       *Machine
	off     time.Duration
	running []Key
}

type entryModel struct{ off, lag time.Duration }

type clientKey struct {
	issuedMs int64
	expires  time.Time // the client stops resending an undated key
}

func (f *fleet) clock(off time.Duration) time.Time { return f.now.Add(off) }

// seen returns the configuration that a process with lag has.
func (f *fleet) seen(lag time.Duration) map[structs.TargetID]confstate.Target {
	v := f.config[0]
	for _, c := range f.config {
		if !c.from.After(f.now.Add(-lag)) {
			v = c
		}
	}
	return v.targets
}

func (f *fleet) change(id structs.TargetID, off time.Duration) {
	next := make(map[structs.TargetID]confstate.Target)
	for k, v := range f.config[len(f.config)-1].targets {
		next[k] = v
	}
	ms := f.clock(off).UnixMilli()
	t, ok := next[id]
	if ok && t.RemovedMs == 0 {
		t.RemovedAt, t.RemovedMs = 1, ms
	} else {
		t = confstate.Target{ID: id, Kind: structs.KindService, Service: "s", AddedMs: ms}
	}
	next[id] = t
	f.config = append(f.config, version{f.now, next})
}

func (f *fleet) send(name string, e entryModel) {
	k := f.keys[name]
	home, err := Home("w", name, "s", f.seen(e.lag), f.clock(e.off).UnixMilli(), cfg.Window)
	if err != nil {
		return
	}
	s := f.sides[home]
	s.m.Added(f.seen(0)[home].AddedMs)
	key := Key{Workspace: "w", Key: name}
	if s.m.Begin(f.clock(s.off), key, 1, k.issuedMs).Verdict == Run {
		f.effects[name]++
		f.runs++
		s.running = append(s.running, key)
	}
}

func (f *fleet) finish(s *sideModel, size int) {
	if len(s.running) == 0 {
		return
	}
	s.m.Finish(f.clock(s.off), s.running[0], body(size))
	s.running = s.running[1:]
}

func offset(t *rapid.T, name string) time.Duration {
	half := int(cfg.Skew.Milliseconds() / 2)
	return time.Duration(rapid.IntRange(-half, half).Draw(t, name)) * time.Millisecond
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{
		now:     epoch.Add(time.Hour),
		sides:   map[structs.TargetID]*sideModel{},
		keys:    map[string]clientKey{},
		effects: map[string]int{},
	}
	first := map[structs.TargetID]confstate.Target{}
	for _, id := range []structs.TargetID{"a", "b", "c", "d"} {
		off := offset(t, "side clock")
		f.sides[id] = &sideModel{m: New(cfg, epoch), off: off}
		if id != "d" {
			first[id] = confstate.Target{ID: id, Kind: structs.KindService, Service: "s"}
		}
	}
	f.config = []version{{f.now, first}}
	for range 3 {
		lag := rapid.IntRange(0, int(cfg.Propagation.Milliseconds())).Draw(t, "lag")
		f.entries = append(f.entries, entryModel{offset(t, "entry clock"), time.Duration(lag) * time.Millisecond})
	}
	return f
}

// Symptom: two advisers at the same caller's door. Sequences: resends through
// several entries at any time, sides that restart with runs in flight, targets that are
// removed and added again, answers dropped for space. Whatever the
// sequence, the effect of a key happens at most once. (A key that does not say
// when it was issued is only promised that within the window.)
func TestEffectHappensAtMostOnce(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		ids := []structs.TargetID{"a", "b", "c", "d"}
		side := func() structs.TargetID { return rapid.SampledFrom(ids).Draw(t, "side") }
		send := func(name string) {
			f.send(name, f.entries[rapid.IntRange(0, 2).Draw(t, "entry")])
		}
		t.Repeat(map[string]func(*rapid.T){
			"first": func(t *rapid.T) {
				name := fmt.Sprint(len(f.keys))
				k := clientKey{expires: f.now.Add(cfg.Window)}
				if rapid.Bool().Draw(t, "dated") {
					k.issuedMs = f.clock(offset(t, "client clock")).UnixMilli()
				}
				f.keys[name] = k
				send(name)
			},
			"resend": func(t *rapid.T) {
				if len(f.keys) == 0 {
					return
				}
				name := fmt.Sprint(rapid.IntRange(0, len(f.keys)-1).Draw(t, "key"))
				for range rapid.IntRange(1, 3).Draw(t, "times") {
					if k := f.keys[name]; k.issuedMs != 0 || f.now.Before(k.expires) {
						send(name)
					}
				}
			},
			"finish": func(t *rapid.T) { f.finish(f.sides[side()], rapid.IntRange(0, 700).Draw(t, "size")) },
			"restart": func(t *rapid.T) {
				s := f.sides[side()]
				s.m, s.running = New(cfg, f.clock(s.off)), nil
			},
			"change": func(t *rapid.T) { f.change(side(), offset(t, "operator's entry clock")) },
			"pass": func(t *rapid.T) {
				ms := rapid.OneOf(rapid.IntRange(1, 5000), rapid.IntRange(55_000, 70_000)).Draw(t, "ms")
				f.now = f.now.Add(time.Duration(ms) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for name, n := range f.effects {
					if n > 1 {
						t.Fatalf("key %s ran %d times", name, n)
					}
				}
			},
		})
		total += f.runs
	})
	if total == 0 {
		t.Fatal("nothing ran: the model checks nothing")
	}
	t.Logf("%d runs", total)
}
