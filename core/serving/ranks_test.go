package serving

import (
	"slices"
	"testing"

	"arbutusramp/core/workspace"
)

// rankedWorkspaces returns a workspace for each rank.
func rankedWorkspaces(ranks ...int) []workspace.Workspace {
	var list []workspace.Workspace
	for i := range ranks {
		list = append(list, workspace.Workspace{Name: string(rune('a' + i)), Rank: &ranks[i]})
	}
	return list
}

// routeTo returns a route with a single service.
func routeTo(name, service string, kind Kind, rank int) Route {
	return Route{Name: name, Kind: kind, Rank: rank, ServiceWeights: []ServiceWeight{{Service: service, Weight: 1}}}
}

// Route.Ranks contains the ranks that online requests to the route's services can have: the workspace's if it
// has one, otherwise the route's. Batch routes add none.
func TestRouteRanks(t *testing.T) {
	routes := func() []Route {
		return []Route{routeTo("x", "s", KindStream, 0), routeTo("y", "s", KindSafe, 2), routeTo("z", "t", KindSafe, 5), routeTo("b", "s", KindBatch, 9)}
	}
	cases := []struct {
		name       string
		workspaces []workspace.Workspace
		want       []int // ranks at service s
	}{
		{"no workspaces", nil, []int{0, 2}},
		{"workspaces with ranks", rankedWorkspaces(1, 0, 1), []int{0, 1}},
		{"a workspace without a rank", append(rankedWorkspaces(4), workspace.Workspace{Name: "q"}), []int{0, 2, 4}},
	}
	for _, c := range cases {
		config := &Config{Routes: routes(), Workspaces: c.workspaces, KeysRequired: len(c.workspaces) > 0}
		NewRouter(config)
		if got := config.Routes[0].Ranks; !slices.Equal(got, c.want) {
			t.Errorf("%s: ranks %v, want %v", c.name, got, c.want)
		}
	}
}

func TestHigherRanksAreBounded(t *testing.T) {
	r := Route{Ranks: []int{0, 1, 4, 5, 6, 7}}
	for rank, want := range map[int]int{0: 0, 1: 1, 2: 2, 4: 2, 7: maxHigherRanks, 100: maxHigherRanks} {
		if got := r.HigherRanks(rank); got != want {
			t.Errorf("%d ranks count as more urgent than rank %d, want %d", got, rank, want)
		}
	}
	workspaceRank, route := 1, Route{Rank: 3}
	if (Caller{Rank: &workspaceRank}).RankOn(&route) != 1 || (Caller{}).RankOn(&route) != 3 {
		t.Error("RankOn a route of rank 3 is wrong for a caller whose workspace has rank 1 (want 1) or for a caller without a workspace rank (want 3)")
	}
}
