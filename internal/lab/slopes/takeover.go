package slopes

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"arbutusramp/core/errs"
	"arbutusramp/core/jobs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/loghttp"
	"arbutusramp/internal/adapter/logmem"
	"arbutusramp/internal/batch"
	"arbutusramp/standin/logsvc"
)

const mebi = 1 << 20

// The wait for a lost owner's lease is a setting and no cost; it is kept short here and
// stands in every figure of a takeover.
const (
	takeoverProbe = 20 * time.Millisecond
	takeoverLease = 100 * time.Millisecond
)

// measureTakeover measures the time from an entry's wish to own a shard to its ownership: snapshot,
// log after it and claim are read over HTTP.
func measureTakeover(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		srv, err := logsvc.Start(loopback, logsvc.Options{AppendsPerS: 1e6, RetainBytes: 1 << 30})
		if err != nil {
			return nil, err
		}
		defer srv.Close()
		log := loghttp.New(srv.URL())
		bytes, err := fillShard(ctx, log, int(x*mebi))
		if err != nil {
			return nil, err
		}
		took, err := takeOver(ctx, log)
		return []float64{bytes / mebi, float64(took) / float64(time.Millisecond)}, err
	}
	return b.measureRate(ctx, b.few(16, 32, 64), at, Slope{
		Name: TakeoverTime, Feeds: "takeover of a job shard", Unit: "ms/MiB", Base: "ms", Over: "MiB in the log since the newest snapshot",
		Model: fmt.Sprintf("wall clock, over HTTP from the stand-in on loopback, a lease of %s and probes in it; %d results of %d B an append", takeoverLease, envelopeItems, resultBytes),
	})
}

// fillShard appends about size bytes of results to shard 0, and returns how many.
func fillShard(ctx context.Context, log platform.Log, size int) (float64, error) {
	s := newState()
	l := &shardLog{writer: structs.Writer{Host: "lost", Incarnation: 1}}
	stream := jobs.StreamName(0)
	put := func(records ...structs.JobRecord) (int, error) {
		e, err := l.entry(records...)
		if err != nil {
			return 0, err
		}
		_, err = log.Append(ctx, stream, e.Body)
		s.ApplyEntry(e)
		return len(e.Body), err
	}
	l.offset = 0
	if _, err := put(structs.JobRecord{Claim: &structs.ShardClaim{}}); err != nil {
		return 0, err
	}
	l.epoch = s.Epoch
	id := jobIDs(1)[0]
	total := 0
	for first := 0; total < size; first += envelopeItems {
		r, err := doneRun(id, first, first+envelopeItems, resultBytes)
		if err != nil {
			return 0, err
		}
		n, err := put(r)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return float64(total), nil
}

func takeOver(ctx context.Context, log platform.Log) (time.Duration, error) {
	host := platform.Host{ID: "heir", Role: platform.RoleEntry, State: platform.HostLive, Addr: loopback}
	m, err := newManager(host.ID, 1, log, []platform.Host{host}, batch.Tuning{ProbeEvery: takeoverProbe, Lease: takeoverLease})
	if err != nil {
		return 0, err
	}
	began := time.Now()
	proc := run(m)
	defer proc.stop()
	for holds(ctx, m) == 0 {
		if time.Since(began) > rigTimeout || ctx.Err() != nil {
			return 0, errs.Newf(errs.DeadlineExceeded, "the shard was not taken over within %s", rigTimeout)
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began), nil
}

// measureProbes measures the probes between entries that may own the same shards.
func measureProbes(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		var t traffic
		a, stopA, err := probedEntry(&t)
		if err != nil {
			return nil, err
		}
		defer stopA()
		stopB, err := probingEntry(a, time.Duration(float64(time.Second)/x))
		if err != nil {
			return nil, err
		}
		defer stopB()
		time.Sleep(b.warmUp)
		settle()
		before := t.bytes.Load()
		used := cpuDuring(func() { time.Sleep(b.long) })
		s := b.long.Seconds()
		return []float64{float64(t.bytes.Load()-before) / s, used / s}, nil
	}
	return b.measure(ctx, b.few(5, 10, 20), at,
		Slope{Name: ProbeBytes, Feeds: "owner of job shards: probes (control)", Unit: "B/probe", Base: "B/s", Over: "probes/s",
			Model: "request and answer over HTTP, without TCP and IP headers"},
		Slope{Name: ProbeCPU, Feeds: "owner of job shards: probes (control)", Unit: "us/probe", Base: "us/s", Over: "probes/s", Model: "both ends together"})
}

// probedEntry serves the peer calls of an entry that owns every shard.
func probedEntry(t *traffic) (platform.Host, func(), error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return platform.Host{}, nil, errs.Newf(errs.Internal, "listen: %v", err)
	}
	host := platform.Host{ID: "probed", Role: platform.RoleEntry, State: platform.HostLive, Addr: ln.Addr().String()}
	m, err := newManager(host.ID, ownerShards, logmem.New(1), []platform.Host{host}, batch.Tuning{})
	if err != nil {
		ln.Close()
		return host, nil, err
	}
	proc := run(m)
	server := &fasthttp.Server{Handler: m.PeerHandler, NoDefaultServerHeader: true}
	go func() {
		_ = server.Serve(countedListener{ln, t}) // it ends when the listener is closed
	}()
	return host, func() { ln.Close(); proc.stop() }, nil
}

// probingEntry is an entry that stands after host for some shards. It has a log of its own, so that
// it takes nothing over.
func probingEntry(host platform.Host, every time.Duration) (func(), error) {
	self := platform.Host{ID: "probing", Role: platform.RoleEntry, State: platform.HostLive, Addr: loopback}
	m, err := newManager(self.ID, ownerShards, logmem.New(2), []platform.Host{host, self}, batch.Tuning{ProbeEvery: every})
	if err != nil {
		return nil, err
	}
	return run(m).stop, nil
}
