// Package reconcile is the shell of core/reconcile. One entry owns it, by a claim in
// the log; it compares what is confirmed with what its sessions to the sides
// show, and sends orders that carry the claim's offset as fencing number.
package reconcile

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/platform"
	"arbutusramp/core/reconcile"
	"arbutusramp/core/structs"
)

// sizeRetry is when a size that the weight store did not tell is asked for again.
const sizeRetry = time.Minute

const sizeTimeout = 2 * time.Second

// Fleet is what an entry knows of sides and targets, from its sessions. It takes
// the calls of entry.OrderPort. It is safe for concurrent use.
type Fleet struct {
	members func() []platform.Host
	weights platform.WeightStore // may be nil
	rate    float64              // of the weight store, bytes/s; 0 is not known
	waiting func() map[structs.ModelID]int
	now     func() time.Time

	mu      sync.Mutex
	sides   map[structs.HostID]*sideView
	sizes   map[structs.ModelVersion]int64
	askAt   map[structs.ModelVersion]time.Time
	changed chan struct{}
	done    func(structs.HostID, *structs.OrderDone)
	gone    func(structs.HostID)
	fences  *fences
}

// sideView is one side with an open session.
type sideView struct {
	targets []structs.TargetInfo
	loads   map[structs.TargetID]structs.Load
	send    func(*structs.Frame) error
}

// FleetOptions are what a Fleet is made of.
type FleetOptions struct {
	Members func() []platform.Host
	Weights platform.WeightStore // nil: sizes are not known
	// BytesPerS is the weight store's rate for all loads together; 0 is not known.
	BytesPerS float64
	// Waiting counts what waits for each model at this entry; may be nil.
	Waiting func() map[structs.ModelID]int
	Clock   func() time.Time // nil for time.Now
}

// NewFleet returns a Fleet without sides.
func NewFleet(o FleetOptions) *Fleet {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Waiting == nil {
		o.Waiting = func() map[structs.ModelID]int { return nil }
	}
	return &Fleet{
		members: o.Members,
		weights: o.Weights,
		rate:    o.BytesPerS,
		waiting: o.Waiting,
		now:     o.Clock,
		sides:   make(map[structs.HostID]*sideView),
		sizes:   make(map[structs.ModelVersion]int64),
		askAt:   make(map[structs.ModelVersion]time.Time),
		changed: make(chan struct{}, 1),
	}
}

// SideOpened says that a session to side is up.
func (f *Fleet) SideOpened(side structs.HostID, targets []structs.TargetInfo, send func(*structs.Frame) error) {
	f.mu.Lock()
	f.sides[side] = &sideView{
		targets: slices.Clone(targets),
		loads:   make(map[structs.TargetID]structs.Load),
		send:    send,
	}
	f.mu.Unlock()
	f.signal()
}

// SideLoad takes a target's newest report.
func (f *Fleet) SideLoad(side structs.HostID, l *structs.Load) {
	f.mu.Lock()
	s := f.sides[side]
	if s == nil {
		f.mu.Unlock()
		return
	}
	target := l.Target
	if target == "" && len(s.targets) == 1 {
		target = s.targets[0].ID
	}
	before := s.loads[target]
	news := !slices.Equal(before.Models, l.Models) || before.Unhealthy != l.Unhealthy || before.Draining != l.Draining
	s.loads[target] = *l
	f.mu.Unlock()
	if news {
		f.signal()
	}
}

// SideClosed says that the session is gone.
func (f *Fleet) SideClosed(side structs.HostID) {
	f.mu.Lock()
	delete(f.sides, side)
	gone := f.gone
	f.mu.Unlock()
	if gone != nil {
		gone(side)
	}
	f.signal()
}

// OnOrderDone is a side's answer to an order.
func (f *Fleet) OnOrderDone(side structs.HostID, d *structs.OrderDone) {
	f.mu.Lock()
	done := f.done
	f.mu.Unlock()
	if done != nil {
		done(side, d)
	}
}

// OnFenceAsk is the question of a side that has started for the newest fencing number.
func (f *Fleet) OnFenceAsk(side structs.HostID, send func(*structs.Frame) error) {
	f.mu.Lock()
	fences := f.fences
	f.mu.Unlock()
	if fences != nil {
		fences.ask(side, send)
	}
}

func (f *Fleet) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// View returns the fleet as this entry sees it, for s.
func (f *Fleet) View(s *confstate.State) structs.Fleet {
	hosts := make(map[structs.HostID]platform.Host)
	for _, h := range f.members() {
		hosts[h.ID] = h
	}
	waiting := f.waiting()
	f.mu.Lock()
	defer f.mu.Unlock()
	view := structs.Fleet{
		Waiting:         f.queued(waiting),
		Sizes:           maps.Clone(f.sizes),
		WeightBytesPerS: f.rate,
	}
	for id, side := range f.sides {
		for _, t := range side.targets {
			view.Targets = append(view.Targets, side.target(t, hosts[id], id))
		}
	}
	return view
}

// queued adds to more what waits at the sides, for each model that the target has.
func (f *Fleet) queued(more map[structs.ModelID]int) map[structs.ModelID]int {
	all := maps.Clone(more)
	if all == nil {
		all = make(map[structs.ModelID]int)
	}
	for _, side := range f.sides {
		for _, l := range side.loads {
			for _, m := range l.Models {
				if l.OnlineQueued > 0 {
					all[m] += l.OnlineQueued
				}
			}
		}
	}
	return all
}

// target is live while its session is up, it has reported and works. What the host list says
// only adds that the host is leaving: the list lags, the session does not.
func (s *sideView) target(t structs.TargetInfo, h platform.Host, id structs.HostID) structs.FleetTarget {
	l, told := s.loads[t.ID]
	loaded := l.Loaded
	if loaded == nil {
		loaded = reconcile.LoadedOf(l.Models)
	}
	return structs.FleetTarget{
		ID:      t.ID,
		Host:    id,
		Domain:  h.Domain,
		Live:    told && !l.Unhealthy,
		Leaving: h.State == platform.HostLeaving || l.Draining,
		Loaded:  loaded,
		Online:  l.OnlineInFlight + l.OnlineQueued,
		Batch:   l.BatchInFlight,
		Limit:   l.Limit,
	}
}

// send sends an order to its side. It reports whether the session took it.
func (f *Fleet) send(s reconcile.Send) bool {
	f.mu.Lock()
	side := f.sides[s.Host]
	f.mu.Unlock()
	if side == nil {
		return false
	}
	order := s.Order
	return side.send(&structs.Frame{Order: &order}) == nil
}

// targetsOf returns the targets behind a side.
func (f *Fleet) targetsOf(side structs.HostID) []structs.TargetID {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []structs.TargetID
	if s := f.sides[side]; s != nil {
		for _, t := range s.targets {
			out = append(out, t.ID)
		}
	}
	return out
}

// LearnSizes asks the weight store for sizes of models that are not known yet.
func (f *Fleet) LearnSizes(ctx context.Context, s *confstate.State) {
	if f.weights == nil {
		return
	}
	for _, m := range s.Models {
		key := structs.ModelVersion{Model: m.ID, Version: m.Version}
		if m.Retired || !f.wantsSize(key) {
			continue
		}
		size, err := f.askSize(ctx, m)
		f.mu.Lock()
		if err == nil {
			f.sizes[key] = size
		} else {
			f.askAt[key] = f.now().Add(sizeRetry)
		}
		f.mu.Unlock()
	}
}

func (f *Fleet) askSize(ctx context.Context, m confstate.Model) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, sizeTimeout)
	defer cancel()
	return f.weights.Size(ctx, m.ID, m.Version)
}

func (f *Fleet) wantsSize(key structs.ModelVersion) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.sizes[key]
	return !known && !f.now().Before(f.askAt[key])
}
