package slopes

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/batch"
	"arbutusramp/internal/settings"
)

const (
	ownerShards = 16 // the default of settings
	ownerSides  = 8
	ownerJobs   = 128 // enough that every shard has some
	logDelay    = 2 * time.Millisecond
	sideTick    = 20 * time.Millisecond
	itemBytes   = 256 // of the body of an item, and of its result
)

// countedLog counts the calls of a log.
type countedLog struct {
	platform.Log
	reads, readBytes, appends, appendBytes atomic.Int64
}

// Append implements platform.Log.
func (l *countedLog) Append(ctx context.Context, stream string, body []byte) (structs.Offset, error) {
	l.appends.Add(1)
	l.appendBytes.Add(int64(len(body)))
	return l.Log.Append(ctx, stream, body)
}

// Read implements platform.Log.
func (l *countedLog) Read(ctx context.Context, stream string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	page, err := l.Log.Read(ctx, stream, from, most, wait)
	l.reads.Add(1)
	for _, e := range page.Entries {
		l.readBytes.Add(int64(len(e.Body)))
	}
	return page, err
}

// ownerRig is a real owner of all shards over a log in memory, with sides that
// finish items at a given rate.
type ownerRig struct {
	m     *batch.Manager
	log   *countedLog
	proc  *running
	sides []*pacedSide
	stopS context.CancelFunc
	wg    sync.WaitGroup
}

func ownerSettings(id structs.HostID, shards int) settings.Entry {
	s := settings.DefaultEntry()
	s.Host = settings.Identity{ID: id, Domain: domainID(0)}
	s.Shards = shards
	s.MaxHeldBytes = 1 << 30
	return s
}

func newManager(id structs.HostID, shards int, log platform.Log, hosts []platform.Host, t batch.Tuning) (*batch.Manager, error) {
	config, err := rigConfig()
	if err != nil {
		return nil, err
	}
	return batch.New(batch.Options{
		Settings: ownerSettings(id, shards), Log: log, Config: confstate.Static(config),
		PeerAddr: loopback, Members: func() []platform.Host { return hosts }, Tuning: t,
	}), nil
}

func startOwner(ctx context.Context, shards int) (*ownerRig, error) {
	mem := logmem.New(1)
	mem.SetFaults(logmem.Faults{Delay: logDelay})
	r := &ownerRig{log: &countedLog{Log: mem}}
	host := platform.Host{ID: hostID("entry", 0), Role: platform.RoleEntry, State: platform.HostLive, Addr: loopback, Domain: domainID(0)}
	var err error
	if r.m, err = newManager(host.ID, shards, r.log, []platform.Host{host}, batch.Tuning{}); err != nil {
		return nil, err
	}
	r.proc = run(r.m)
	sideCtx, cancel := context.WithCancel(ctx)
	r.stopS = cancel
	for i := range ownerSides {
		s := &pacedSide{m: r.m, id: hostID("side", i), body: make([]byte, itemBytes)}
		r.sides = append(r.sides, s)
		r.wg.Go(func() { s.run(sideCtx) })
	}
	if err := await(ctx, func() bool { return holds(ctx, r.m) == shards }); err != nil {
		r.stop()
		return nil, err
	}
	return r, nil
}

// holds returns how many shards m owns.
func holds(ctx context.Context, m *batch.Manager) int {
	return len(m.Serve(ctx, &batch.PeerRequest{Op: batch.OpProbe}).Holds)
}

func (r *ownerRig) stop() {
	r.stopS()
	r.wg.Wait()
	r.proc.stop()
}

// submit uploads jobs with items items together.
func (r *ownerRig) submit(ctx context.Context, round, items int) error {
	line := fmt.Sprintf(`{"custom_id":"item","method":"POST","url":"/v1/chat/completions","body":{"model":"%s","messages":[{"role":"user","content":"%s"}]}}`+"\n",
		modelID(0), strings.Repeat("x", itemBytes-len(modelID(0))))
	file := strings.Repeat(line, max(1, items/ownerJobs))
	var g errgroup.Group
	for i := range ownerJobs {
		spec := structs.JobSpec{Workspace: "slopes", Key: fmt.Sprint(round, "-", i), Model: modelID(0)}
		g.Go(func() error {
			_, err := r.m.Submit(ctx, spec, strings.NewReader(file))
			return err
		})
	}
	return g.Wait()
}

// pace sets the items a second that all sides finish together.
func (r *ownerRig) pace(rate float64) {
	for _, s := range r.sides {
		s.perTick.Store(int64(rate * sideTick.Seconds() / ownerSides))
	}
}

func (r *ownerRig) finished() int64 {
	n := int64(0)
	for _, s := range r.sides {
		n += s.done.Load()
	}
	return n
}

// pacedSide holds items for a tick or two and finishes so many at each.
type pacedSide struct {
	m       *batch.Manager
	id      structs.HostID
	body    []byte
	perTick atomic.Int64
	done    atomic.Int64

	mu    sync.Mutex
	items []structs.Item
}

func (s *pacedSide) send(f *structs.Frame) error {
	if f.Items == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items = append(s.items, f.Items.Items...)
	return nil
}

// take returns up to n of the items that are here, and how many stay.
func (s *pacedSide) take(n int) ([]structs.Item, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n = min(n, len(s.items))
	out := s.items[:n:n]
	s.items = s.items[n:]
	return out, len(s.items)
}

// ticksAhead is for how many ticks a side holds items.
const ticksAhead = 4

func (s *pacedSide) run(ctx context.Context) {
	s.m.SideOpened(s.id, s.send)
	defer s.m.SideClosed(s.id)
	tick := time.NewTicker(sideTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n := int(s.perTick.Load())
		items, left := s.take(n)
		for i := range items {
			s.m.OnItemDone(s.id, s.send, &structs.ItemDone{Ref: items[i].Ref, Status: 200, Body: s.body})
		}
		s.done.Add(int64(len(items)))
		s.m.OnPull(s.id, s.send, &structs.Pull{
			Target: structs.TargetID(s.id), Room: max(0, ticksAhead*n-left), Models: []structs.ModelID{modelID(0)},
		})
	}
}

// measureOwner measures whole jobs through one owner: hand out, outcome, group commit, fold.
func measureOwner(ctx context.Context, b *bench) error {
	round := 0
	at := func(x float64) ([]float64, error) {
		round++
		r, err := startOwner(ctx, ownerShards)
		if err != nil {
			return nil, err
		}
		defer r.stop()
		if err := r.submit(ctx, round, int(1.5*x*(b.warmUp+b.long).Seconds())); err != nil {
			return nil, err
		}
		r.pace(x)
		time.Sleep(b.warmUp)
		return r.watch(x, b.long)
	}
	return b.measureRate(ctx, b.few(2000, 10_000, 20_000), at,
		Slope{Name: OwnerCPU, Feeds: "owner of job shards: processor time", Unit: "us/item", Base: "us/s", Over: "items/s",
			Model: fmt.Sprintf("%d shards on one owner, %d B items and results, commit every 100 ms; the log in memory and sides that do nothing are in it", ownerShards, itemBytes)},
		Slope{Name: OwnerAppends, Feeds: "log: appends of job shards", Unit: "appends/item", Base: "appends/s", Over: "items/s",
			Model: fmt.Sprintf("%d shards, commit every 100 ms", ownerShards)},
		Slope{Name: OwnerAppendBytes, Feeds: "log: bytes of results", Unit: "B/item", Base: "B/s", Over: "items/s",
			Model: fmt.Sprintf("results of %d B", itemBytes)},
		Slope{Name: OwnerReads, Feeds: "log: reads of job shards", Unit: "reads/item", Base: "reads/s", Over: "items/s",
			Model: "the owner reads its own stream; bodies of items after an upload come from its cache"})
}

// watch measures for the window, which holds several group commits.
func (r *ownerRig) watch(want float64, window time.Duration) ([]float64, error) {
	settle()
	began := time.Now()
	done, appends, bytes, reads := r.finished(), r.log.appends.Load(), r.log.appendBytes.Load(), r.log.reads.Load()
	used := cpuDuring(func() { time.Sleep(window) })
	s := time.Since(began).Seconds()
	rate := float64(r.finished()-done) / s
	// At half the rate the log or the sides were waited for: that is another quantity.
	if rate < want/2 {
		return nil, errs.Newf(errs.Overloaded, "%.0f items/s came about where %.0f were asked for", rate, want)
	}
	return []float64{
		rate, used / s,
		float64(r.log.appends.Load()-appends) / s,
		float64(r.log.appendBytes.Load()-bytes) / s,
		float64(r.log.reads.Load()-reads) / s,
	}, nil
}

// measureShards measures what idle shards cost their owner.
func measureShards(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		r, err := startOwner(ctx, int(x))
		if err != nil {
			return nil, err
		}
		defer r.stop()
		idle, err := r.watch(0, beatWindow)
		if err != nil {
			return nil, err
		}
		return []float64{idle[1], idle[4]}, nil
	}
	return b.measure(ctx, b.few(4, 16, 64), at,
		Slope{Name: ShardIdleCPU, Feeds: "owner of job shards: processor time of idle shards (control)", Unit: "us/s a shard", Base: "us/s", Over: "idle shards"},
		Slope{Name: ShardIdleReads, Feeds: "log: reads of job shards", Unit: "reads/s a shard", Base: "reads/s", Over: "idle shards",
			Model: "the owner's waiting read of its own stream"})
}
