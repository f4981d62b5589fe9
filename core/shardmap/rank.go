// Package shardmap decides which entry should own which shard of the batch jobs
// and when an entry may claim one. It only avoids needless takeovers: that two
// owners can't both act is ensured by the epochs in the shard's stream.
package shardmap

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/platform"
	"arbutusramp/core/rendezvous"
	"arbutusramp/core/structs"
)

// Candidates is how many entries watch over a shard: the desired owner and those
// that stand in for it, each in another failure domain where there are enough.
const Candidates = 3

// Rank returns the candidates for shard among the live entries of hosts, the
// desired owner first. It uses rendezvous hashing: a host that joins or
// leaves moves only the shards that it gets or had.
func Rank(shard structs.Shard, hosts []platform.Host) []platform.Host {
	all := liveEntries(shard, hosts)
	var out []platform.Host
	used := make(map[structs.FailureDomain]bool)
	for _, h := range all {
		if len(out) == Candidates {
			return out
		}
		if !used[h.Domain] {
			out = append(out, h)
			used[h.Domain] = true
		}
	}
	// With fewer domains than candidates the rest is filled by weight.
	for _, h := range all {
		if len(out) == Candidates {
			break
		}
		if !contains(out, h.ID) {
			out = append(out, h)
		}
	}
	return out
}

// liveEntries returns the live entries of hosts by their weight for shard.
func liveEntries(shard structs.Shard, hosts []platform.Host) []platform.Host {
	var live []platform.Host
	for _, h := range hosts {
		if h.Role == platform.RoleEntry && h.State == platform.HostLive {
			live = append(live, h)
		}
	}
	return rendezvous.Hosts(live, func(id structs.HostID) uint64 { return weight(shard, id) })
}

func weight(shard structs.Shard, host structs.HostID) uint64 {
	b := binary.BigEndian.AppendUint16(make([]byte, 0, 64), uint16(shard))
	return xxhash.Sum64(append(b, host...))
}

func contains(hosts []platform.Host, id structs.HostID) bool {
	return Position(hosts, id) < len(hosts)
}

// Position returns the place of id in rank, or len(rank).
func Position(rank []platform.Host, id structs.HostID) int {
	if i := slices.IndexFunc(rank, func(h platform.Host) bool { return h.ID == id }); i >= 0 {
		return i
	}
	return len(rank)
}
