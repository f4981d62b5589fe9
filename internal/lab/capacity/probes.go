package capacity

import (
	"strconv"

	"arbutusramp/core/platform"
	"arbutusramp/core/shardmap"
	"arbutusramp/core/structs"
)

// fleet returns the entries of z, spread evenly over its domains.
func fleet(z Size) []platform.Host {
	hosts := make([]platform.Host, 0, z.Entries)
	for i := range z.Entries {
		hosts = append(hosts, platform.Host{
			ID:     structs.HostID("entry-" + strconv.Itoa(i)),
			Role:   platform.RoleEntry,
			Domain: structs.FailureDomain("domain-" + strconv.Itoa(i%z.Domains)),
			State:  platform.HostLive,
		})
	}
	return hosts
}

// busiestProbeLinks returns the most peers that one entry probes or is probed by,
// by the ranking that the product uses.
func busiestProbeLinks(z Size) int {
	hosts := fleet(z)
	type link struct{ from, to structs.HostID }
	links := make(map[link]bool)
	for shard := range z.Shards {
		rank := shardmap.Rank(structs.Shard(shard), hosts)
		for at, h := range rank {
			for _, before := range rank[:at] {
				links[link{h.ID, before.ID}] = true
			}
		}
	}
	ends := make(map[structs.HostID]int)
	most := 0
	for l := range links {
		ends[l.from]++
		ends[l.to]++
		most = max(most, ends[l.from], ends[l.to])
	}
	return most
}
