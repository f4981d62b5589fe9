package batch

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/settings"
)

// soloManager returns an entry that is alone, over log.
func soloManager(log platform.Log, shards int, every time.Duration) *Manager {
	host := platform.Host{ID: "a", Role: platform.RoleEntry, State: platform.HostLive, Addr: "a"}
	return New(Options{
		Settings: settings.Entry{
			Host: settings.Identity{ID: "a"}, Shards: shards, CommitEvery: every,
			MaxHeldBytes: 1 << 30,
		},
		Log: log, Config: configFunc(testConfigShared), PeerAddr: "a",
		Members: func() []platform.Host { return []platform.Host{host} },
	})
}

var sharedConfig = testConfig()

func testConfigShared() *confstate.State { return sharedConfig }

// echoSide answers every item at once with a result of size bytes, and keeps room free.
type echoSide struct {
	m    *Manager
	id   structs.HostID
	room int
	body []byte
	done atomic.Int64
	in   chan []structs.Item
}

func (s *echoSide) send(f *structs.Frame) error {
	if f.Items != nil {
		s.in <- f.Items.Items
	}
	return nil
}

func (s *echoSide) run(ctx context.Context) {
	s.m.SideOpened(s.id, s.send)
	s.pull()
	for {
		select {
		case items := <-s.in:
			for i := range items {
				s.m.OnItemDone(s.id, s.send, &structs.ItemDone{Ref: items[i].Ref, Status: 200, Body: s.body})
			}
			s.done.Add(int64(len(items)))
			s.pull()
		case <-ctx.Done():
			return
		}
	}
}

func (s *echoSide) pull() {
	s.m.OnPull(s.id, s.send, &structs.Pull{
		Target: structs.TargetID(s.id), Room: s.room, Models: []structs.ModelID{testModel},
	})
}

func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOwner runs whole jobs through one owner in real time: upload, hand
// out, outcome, group commit, fold. The sides answer at once and cost little; the
// log is in memory and answers after 2 ms.
func BenchmarkOwner(b *testing.B) {
	const items = 100_000
	for range b.N {
		log := logmem.New(1)
		log.SetFaults(logmem.Faults{Delay: 2 * time.Millisecond})
		m := soloManager(log, 4, 50*time.Millisecond)
		ctx, cancel := context.WithCancel(b.Context())
		ended := make(chan error, 1)
		go func() { ended <- m.Run(ctx) }()
		var ids []structs.JobID
		file := jobFile(items/10, plain)
		for j := range 10 {
			v, err := m.Submit(ctx, structs.JobSpec{Workspace: testWorkspace, Key: fmt.Sprint(j)}, strings.NewReader(file))
			if err != nil {
				b.Fatal(err)
			}
			ids = append(ids, v.ID)
		}
		before, bytesBefore := log.Appends()
		begun, cpuBefore := time.Now(), cpu()
		for i := range 8 {
			s := &echoSide{m: m, id: sideID(i), room: 512, body: make([]byte, 500), in: make(chan []structs.Item, 1024)}
			for k := range s.body {
				s.body[k] = 'x'
			}
			go s.run(ctx)
		}
		for _, id := range ids {
			for {
				v, err := m.Status(ctx, testWorkspace, id)
				if err != nil {
					b.Fatal(err)
				}
				if v.EndedMs != 0 {
					break
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		took, used := time.Since(begun), cpu()-cpuBefore
		after, bytesAfter := log.Appends()
		b.ReportMetric(items/took.Seconds(), "items/s")
		b.ReportMetric(items/used.Seconds(), "items/s/core")
		b.ReportMetric(float64(after-before)/took.Seconds(), "appends/s")
		b.ReportMetric(float64(bytesAfter-bytesBefore)/items, "log-B/item")
		cancel()
		if err := <-ended; err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkRecover reads a shard back: a snapshot and the given number of
// appends of 150 results after it, from a log in memory.
func BenchmarkRecover(b *testing.B) {
	for _, appends := range []int{100, 1000, 4096} {
		b.Run(fmt.Sprint("appends=", appends), func(b *testing.B) {
			log := logmem.New(1)
			m := soloManager(log, 1, time.Millisecond)
			s := newShard(m, 0)
			s.state = jobs.NewState(nil, jobs.Broken{})
			fillShard(b, s, appends)
			b.ResetTimer()
			for range b.N {
				state, err := s.readState(b.Context())
				if err != nil {
					b.Fatal(err)
				}
				if len(state.Jobs) == 0 {
					b.Fatal("empty state")
				}
			}
			b.ReportMetric(float64(appends*150), "items")
		})
	}
}

// fillShard writes a claim, one job per 100 appends, a snapshot and the results.
func fillShard(b *testing.B, s *shard, appends int) {
	put := func(env *structs.Envelope) {
		body, err := jobs.Encode(env)
		if err == nil {
			_, err = s.m.o.Log.Append(b.Context(), s.stream, body)
		}
		if err != nil {
			b.Fatal(err)
		}
		s.state.Apply(s.state.Through+1, env)
	}
	seq := uint64(0)
	env := func(epoch structs.Epoch, records ...structs.JobRecord) *structs.Envelope {
		seq++
		return s.envelope(seq, epoch, records)
	}
	put(env(0, structs.JobRecord{Claim: &structs.ShardClaim{}}))
	for j := 0; j*100 < appends; j++ {
		u := &upload{m: s.m, id: structs.JobID(fmt.Sprint(j)), spec: structs.JobSpec{Workspace: "w", Key: fmt.Sprint(j), Model: testModel}}
		var records []structs.JobRecord
		lines := newLineReader(strings.NewReader(jobFile(15_000, plain)), 1<<20, sharedConfig, &u.spec)
		if err := u.cut(lines, func(g *structs.JobSegment) error {
			records = append(records, structs.JobRecord{Segment: g})
			return nil
		}); err != nil {
			b.Fatal(err)
		}
		records = append(records, structs.JobRecord{Accept: &structs.JobAccept{
			Job: u.id, Spec: u.spec, Segments: len(u.hashes), Count: u.count,
			Hash: jobs.ContentHash(u.spec, u.hashes),
		}})
		put(env(1, records...))
	}
	s.writeSnapshot(b.Context())
	for i := range appends {
		var results []structs.ItemResult
		for k := range 150 {
			results = append(results, structs.ItemResult{Index: i%100*150 + k, Status: 200, Body: make([]byte, 500)})
		}
		r, err := jobs.DoneRecord(structs.JobID(fmt.Sprint(i/100)), results)
		if err != nil {
			b.Fatal(err)
		}
		put(env(1, r))
	}
}

// Takeover of a dead owner by the time of the bubble: what probing, lease and
// claim take, for a few numbers of items in flight. Processor time does not count here;
// BenchmarkRecover has it.
func TestTakeoverTime(t *testing.T) {
	for _, slots := range []int{8, 80, 800} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1)
			defer c.close()
			for range 3 {
				c.startNode(0)
			}
			for i := range 3 {
				c.startSide(i, slots, 500*time.Millisecond, 0)
			}
			time.Sleep(3 * time.Second)
			v := c.mustSubmit("k", jobFile(slots*60, plain))
			time.Sleep(2 * time.Second)
			old := c.owner(v.ID)
			c.kill(old, time.Hour)
			took := c.awaitOwner(v.ID, old)
			if took > 5*time.Second {
				t.Errorf("takeover took %s", took)
			}
			c.awaitEnd(v.ID, 5*time.Minute)
			c.checkResults(v.ID, slots*60)
			c.seen.mu.Lock()
			again := c.seen.starts - slots*60
			c.seen.mu.Unlock()
			t.Logf("%d items in flight: new owner after %s, %d items run again", slots*6, took, again)
			c.noViolations()
		})
	}
}

// targetRate adds the target's rate of 22,000 items a second to TestAppendRate. It takes
// about a minute and several GB, too much for every run of the tests.
var targetRate = flag.Bool("target-rate", false, "measure appends at the target's rate of items too")

// Appends a second and bytes per item against items a second. The bound on
// appends is checked at every rate that is run.
func TestAppendRate(t *testing.T) {
	sizes, rounds := []int{100, 1000}, 5
	if *targetRate {
		sizes, rounds = append(sizes, 3000), 20
	}
	for _, perSide := range sizes {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t, 1)
			defer c.close()
			c.set.Shards = 8
			c.set.CommitEvery = 100 * time.Millisecond
			for range 3 {
				c.startNode(0)
			}
			for i := range 9 {
				c.startSide(i, perSide, time.Second, 0)
			}
			time.Sleep(3 * time.Second)
			n := perSide * 9 * rounds / 48 * 48
			ids := make(chan structs.JobID, 48)
			before, bytesBefore := c.log.Appends()
			begun := time.Now()
			for j := range cap(ids) {
				go func() { ids <- c.mustSubmit(fmt.Sprint(j), jobFile(n/cap(ids), plain)).ID }()
			}
			for range cap(ids) {
				c.awaitEnd(<-ids, 5*time.Minute)
			}
			took := time.Since(begun)
			after, bytesAfter := c.log.Appends()
			rate := float64(n) / took.Seconds()
			appends := float64(after-before) / took.Seconds()
			t.Logf("%.0f items/s: %.1f appends/s, %.0f bytes/item (upload and results)",
				rate, appends, float64(bytesAfter-bytesBefore)/float64(n))
			if appends > 150 {
				t.Errorf("%.1f appends/s", appends)
			}
			c.noViolations()
		})
	}
}
