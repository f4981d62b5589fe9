package rendezvous

import (
	"slices"
	"testing"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

func ids(hosts []platform.Host) []structs.HostID {
	var out []structs.HostID
	for _, h := range hosts {
		out = append(out, h.ID)
	}
	return out
}

func TestHeaviestFirstAndTiesByID(t *testing.T) {
	weights := map[structs.HostID]uint64{"a": 1, "b": 7, "c": 1, "d": 9}
	weight := func(id structs.HostID) uint64 { return weights[id] }
	hosts := []platform.Host{{ID: "c"}, {ID: "b"}, {ID: "a"}, {ID: "d"}}
	before := slices.Clone(hosts)
	if got := ids(Hosts(hosts, weight)); !slices.Equal(got, []structs.HostID{"d", "b", "a", "c"}) {
		t.Errorf("ranked %v", got)
	}
	if !slices.Equal(hosts, before) {
		t.Errorf("the list that was given is now %v", hosts)
	}
}
