package side

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// pullEvery is the least time between two looks at the room while items come.
	pullEvery = 10 * time.Millisecond
	// idlePullEvery is the same while none come.
	idlePullEvery = 100 * time.Millisecond
	// activeFor is how long an entry counts as having items after it sent some.
	activeFor = time.Second
	// probeShare is the part of the room that entries without items may fill.
	probeShare = 8
)

// pullState is what one entry was told.
type pullState struct {
	room      int // the last Pull, less what has come since
	models    []structs.ModelID
	delivered time.Time
}

// puller keeps the sum of all entries' room at what the side can take, so that
// idle capacity is offered at once and yet no more items come than there is room for.
type puller struct {
	s    *Side
	mu   sync.Mutex
	turn int
}

// delivered notes items that p has sent.
func (pl *puller) delivered(p *peer, n int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	p.pulls.room = max(0, p.pulls.room-n)
	if n > 0 {
		p.pulls.delivered = time.Now()
	}
	pl.s.signal()
}

func (pl *puller) run(ctx context.Context) error {
	for {
		if !sleep.ForOrSignal(ctx, idlePullEvery, pl.s.roomDirty) {
			return nil
		}
		wait := idlePullEvery
		if pl.offer(time.Now(), pl.room()) {
			wait = pullEvery
		}
		if !sleep.For(ctx, wait) {
			return nil
		}
	}
}

// room is how many items the side takes now, 0 when the target is ill or retired, or memory is short.
func (pl *puller) room() int {
	if pl.s.draining.Load() || pl.s.retired.Load() || pl.s.unhealthy() {
		return 0
	}
	return max(0, min(pl.s.queue.batchRoom()-pl.s.items.parked(), pl.s.items.spare()))
}

// offer tells each entry its share and reports whether any entry has sent items lately.
func (pl *puller) offer(now time.Time, room int) bool {
	ps := pl.s.peers.all()
	slices.SortFunc(ps, func(a, b *peer) int { return cmp.Compare(a.host, b.host) })
	pl.mu.Lock()
	defer pl.mu.Unlock()
	active := make([]bool, len(ps))
	some := false
	for i, p := range ps {
		active[i] = now.Sub(p.pulls.delivered) < activeFor
		some = some || active[i]
	}
	pl.turn++
	models := pl.s.models()
	for i, n := range shares(room, active, pl.turn) {
		told := &ps[i].pulls
		// An engine's report lags: the models of the first offer can be wrong while the room
		// never changes on an idle target, and then no item would ever come.
		if n == told.room && slices.Equal(models, told.models) {
			continue
		}
		told.room, told.models = n, models
		ps[i].send(&structs.Frame{Pull: pl.pull(n, models)})
	}
	return some
}

func (pl *puller) pull(room int, models []structs.ModelID) *structs.Pull {
	return &structs.Pull{
		Target:  pl.s.target.ID,
		Room:    room,
		Models:  models,
		Service: pl.s.target.Service,
	}
}

// shares splits room over entries. Those that sent items lately get most of it; the others get
// single places in turn, so that new work at any of them is found. The sum is room.
func shares(room int, active []bool, turn int) []int {
	n := make([]int, len(active))
	if room >= len(active) {
		turn -= turn % probeShare // without need, the shares stay as they are
	}
	var busy, idle []int
	for i := range active {
		at := (i + turn) % len(active)
		if active[at] {
			busy = append(busy, at)
		} else {
			idle = append(idle, at)
		}
	}
	if len(busy) == 0 {
		split(n, idle, room)
		return n
	}
	probes := min(len(idle), room/probeShare)
	if probes == 0 && len(idle) > 0 && room > 0 && turn%probeShare == 0 {
		probes = 1
	}
	split(n, idle, probes)
	split(n, busy, room-probes)
	return n
}

// split deals room out to the entries at the given places, the first ones get the rest.
func split(n, places []int, room int) {
	if len(places) == 0 {
		return
	}
	for k, at := range places {
		n[at] = room / len(places)
		if k < room%len(places) {
			n[at]++
		}
	}
}
