package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"arbutusramp/core/admit"
	"arbutusramp/core/choose"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/relay"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/structs"
	"arbutusramp/internal/adapter/hosthttp"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/settings"
)

// Of the fleet at the target size.
const (
	targetEntries = 620
	targetDomains = 20
	targetRegions = 6
	subsetSize    = 60 // sides that an entry keeps sessions with
)

const loopback = "127.0.0.1:0"

func domainID(i int) structs.FailureDomain {
	return structs.FailureDomain(fmt.Sprint("domain-", i%targetDomains))
}

// measureChoose measures the choice of a target against the number of candidates.
func measureChoose(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		policy, err := choose.New(choose.DefaultPolicy)
		if err != nil {
			return nil, err
		}
		rng := rand.New(rand.NewPCG(1, 2))
		var v choose.View
		for i := range int(x) {
			v.Candidates = append(v.Candidates, candidate(i))
		}
		r := choose.Request{Model: modelID(0), Domain: domainID(0), TimeLeft: time.Minute}
		var d choose.Decision
		var refused *errs.Error
		used := cpuEach(func() {
			if e := policy.Choose(rng, &r, &v, &d); e != nil {
				refused = e
			}
		})
		if refused != nil {
			return nil, refused
		}
		return []float64{used}, nil
	}
	return b.measure(ctx, b.few(10, 60, 120, 600, 1700), at, Slope{
		Name: ChooseCPU, Feeds: "entry: processor time of a choice", Unit: "us/candidate", Base: "us", Over: "candidates",
		Model: "default policy, all candidates pass the filters; reading the candidates' state and the log line are in " + EntryCPURequest,
	})
}

func candidate(i int) choose.Candidate {
	return choose.Candidate{
		Target: structs.TargetID(fmt.Sprint("target-", i)), Domain: domainID(i), Models: []structs.ModelID{modelID(0)},
		InFlight: i % 20, Limit: 64, FirstToken: time.Duration(100+i%50) * time.Millisecond, Health: choose.Well,
	}
}

// measureAdmit measures an arrival and its withdrawal against the length of the queue.
func measureAdmit(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		now := time.Unix(1, 0)
		m := admit.New(admit.Config{Headroom: 1, MaxQueue: 2 * int(x)}, now)
		id := admit.ID(0)
		arrive := func() admit.ID {
			id++
			m.Arrive(now, admit.Request{ID: id, PromptTokens: 100, MaxTokens: 100})
			return id
		}
		for m.Load(now).OnlineQueued < int(x) {
			arrive()
		}
		used := cpuEach(func() { m.Withdraw(now, arrive()) })
		if queued := m.Load(now).OnlineQueued; queued != int(x) {
			return nil, errs.Newf(errs.Internal, "%d requests are queued, not %d", queued, int(x))
		}
		return []float64{used}, nil
	}
	return b.measure(ctx, b.few(8, 64, 128, 256, 512), at, Slope{
		Name: AdmitCPU, Feeds: "side: processor time of an admission", Unit: "us/queued request", Base: "us", Over: "queued requests",
		Model: "one arrival and its withdrawal from the end of the queue",
	})
}

// fleetOf returns a host list of the target size's shape, scaled to n hosts.
func fleetOf(n int) []platform.Host {
	const nodes = targetEntries + targetTargets
	hosts := make([]platform.Host, 0, n)
	for i := range n {
		h := platform.Host{
			Role: platform.RoleSide, Addr: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255),
			Domain: domainID(i), Region: structs.Region(fmt.Sprint("region-", i%targetDomains%targetRegions)),
			State: platform.HostLive,
		}
		h.ID = hostID("side", i)
		if i*targetEntries/nodes != (i+1)*targetEntries/nodes {
			h.Role, h.ID = platform.RoleEntry, hostID("entry", i)
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// measureHosts measures one read of the host list against its length.
func measureHosts(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		hosts := fleetOf(int(x))
		body, err := json.Marshal(hosts)
		if err != nil {
			return nil, errs.New(errs.Internal, err.Error())
		}
		srv, err := startThinTarget(body)
		if err != nil {
			return nil, err
		}
		defer srv.close()
		list := hosthttp.New(srv.url())
		var got []platform.Host
		used := cpuEach(func() {
			if err == nil {
				got, err = list.Hosts(ctx)
			}
		})
		if err == nil && len(got) != len(hosts) {
			err = errs.Newf(errs.Internal, "%d hosts were read, not %d", len(got), len(hosts))
		}
		return []float64{float64(len(body)), used}, err
	}
	return b.measure(ctx, b.few(580, 1160, 2320), at,
		Slope{Name: HostListBytes, Feeds: "entry: reads of the host list", Unit: "B/host", Base: "B", Over: "hosts",
			Model: "body of the list's JSON, without HTTP headers"},
		Slope{Name: HostListCPU, Feeds: "entry: reads of the host list", Unit: "us/host", Base: "us", Over: "hosts",
			Model: "one read and its decoding; the writing of a prepared answer is in it, what the entry does with the list is not"})
}

// measureRank measures the rankings of entries against the number of hosts.
func measureRank(ctx context.Context, b *bench) error {
	at := func(x float64) ([]float64, error) {
		hosts := fleetOf(int(x))
		shard := structs.Shard(0)
		rank := cpuEach(func() {
			shard++
			shardmap.Rank(shard, hosts)
		})
		self := hosts[len(hosts)-1]
		owns := cpuEach(func() { relay.Has(self, hosts, "side-1", relay.PushOwners) })
		entryID := settings.Identity{ID: hostID("entry", 0), Domain: domainID(0)}
		subset := cpuEach(func() { entry.Subset(entryID, hosts, subsetSize) })
		return []float64{rank, owns, subset}, nil
	}
	over := "hosts (27% of them entries)"
	return b.measure(ctx, b.few(580, 1160, 2320), at,
		Slope{Name: RankCPU, Feeds: "owner of job shards: who owns what", Unit: "us/host", Base: "us", Over: over, Model: "one ranking of one shard"},
		Slope{Name: RelayRankCPU, Feeds: "configuration: who sends a side the records", Unit: "us/host", Base: "us", Over: over, Model: "one ranking for one side"},
		Slope{Name: SubsetCPU, Feeds: "entry: which sides it keeps sessions with", Unit: "us/host", Base: "us", Over: "sides",
			Model: fmt.Sprintf("max_sides = %d; all hosts count as sides", subsetSize)})
}
