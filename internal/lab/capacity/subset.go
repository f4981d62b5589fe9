package capacity

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
	"arbutusramp/internal/entry"
	"arbutusramp/internal/lab/slopes"
	"arbutusramp/internal/settings"
)

// Spread is how evenly streams lie on sides when each entry knows a subset of them.
type Spread struct {
	MaxSides int     `json:"max_sides"`
	PerSide  float64 `json:"sessions_per_side"`
	// Fewest is the least entries that one side has.
	Fewest int `json:"fewest_entries_of_a_side"`
	// TwoChoices and Random are the fullest side's streams over the mean, with fresh
	// reports and without any.
	TwoChoices float64 `json:"fullest_over_mean_two_choices"`
	Random     float64 `json:"fullest_over_mean_random"`
	// DomainLost is TwoChoices after a failure domain is lost, over the mean that is left.
	DomainLost float64 `json:"fullest_over_mean_domain_lost"`
	// Lacks is the share of entries without a side that has a model of SmallModel replicas.
	Lacks float64 `json:"share_of_entries_without_a_small_model"`
}

// SmallModel is how many replicas a seldom used model has.
const SmallModel = 8

// Spreads works out the spread for each size of subset, by the product's own choice of
// subsets and a stream at a time.
func Spreads(z Size, seed uint64, sizes ...int) []Spread {
	out := make([]Spread, 0, len(sizes))
	for _, n := range sizes {
		z.MaxSides = n
		sides := sidesOf(z)
		known := subsetsOf(z, sides)
		kept := slices.DeleteFunc(slices.Clone(sides), func(h platform.Host) bool { return h.Domain == sides[0].Domain })
		s := Spread{MaxSides: n, PerSide: z.perSide(), Fewest: fewest(known, len(sides))}
		s.TwoChoices = place(z, known, len(sides), 2, seed)
		s.Random = place(z, known, len(sides), 1, seed)
		s.DomainLost = place(z, subsetsOf(z, kept), len(kept), 2, seed)
		s.Lacks = math.Pow(1-float64(n)/float64(z.Sides), SmallModel)
		out = append(out, s)
	}
	return out
}

func sidesOf(z Size) []platform.Host {
	hosts := make([]platform.Host, 0, z.Sides)
	for i := range z.Sides {
		hosts = append(hosts, platform.Host{
			ID:     structs.HostID("side-" + strconv.Itoa(i)),
			Role:   platform.RoleSide,
			Domain: structs.FailureDomain("domain-" + strconv.Itoa(i%z.Domains)),
			State:  platform.HostLive,
		})
	}
	return hosts
}

// subsetsOf returns for each entry the places in sides of those that it knows.
func subsetsOf(z Size, sides []platform.Host) [][]int {
	at := make(map[structs.HostID]int, len(sides))
	for i, h := range sides {
		at[h.ID] = i
	}
	out := make([][]int, 0, z.Entries)
	for _, e := range fleet(z) {
		self := settings.Identity{ID: e.ID, Domain: e.Domain}
		var set []int
		for _, h := range entry.Subset(self, sides, z.MaxSides) {
			set = append(set, at[h.ID])
		}
		out = append(out, set)
	}
	return out
}

func fewest(known [][]int, sides int) int {
	n := make([]int, sides)
	for _, set := range known {
		for _, i := range set {
			n[i]++
		}
	}
	return slices.Min(n)
}

// place puts the streams of z on sides, each on the emptiest of so many random ones that its
// entry knows, and returns the fullest side over the mean.
func place(z Size, known [][]int, sides, choices int, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, seed))
	load := make([]int, sides)
	streams := int(z.streams())
	for range streams {
		set := known[rng.IntN(len(known))]
		best := set[rng.IntN(len(set))]
		for range choices - 1 {
			if other := set[rng.IntN(len(set))]; load[other] < load[best] {
				best = other
			}
		}
		load[best]++
	}
	return fullest(load)
}

// WriteSpreads prints spreads as a table with what the sessions cost in bytes.
func WriteSpreads(w io.Writer, r *slopes.Report, z Size, spreads []Spread) error {
	beat, _ := r.Find(slopes.SessionBytes)
	var b strings.Builder
	fmt.Fprintf(&b, "\n### Size of the subset\n\n| max_sides | sessions a side | fewest entries of a side | fullest side over mean, two choices | random choice | two choices, a domain lost | entries without a side of a model with %d replicas | heartbeats of an entry, B/s |\n|---|---|---|---|---|---|---|---|\n", SmallModel)
	for _, s := range spreads {
		fmt.Fprintf(&b, "| %d | %.1f | %d | %.2f | %.2f | %.2f | %.0f%% | %s |\n",
			s.MaxSides, s.PerSide, s.Fewest, s.TwoChoices, s.Random, s.DomainLost, 100*s.Lacks, number(beat.Slope*float64(s.MaxSides)))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
