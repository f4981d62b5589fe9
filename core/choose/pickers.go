package choose

import (
	"math/rand/v2"
	"slices"
)

// Random picks any candidate.
type Random struct{}

// Pick implements Picker.
func (Random) Pick(rng *rand.Rand, _ *View, kept []Scored) int {
	return rng.IntN(len(kept))
}

// Best picks the lowest cost, any of those when several are equal.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(rng *rand.Rand, _ *View, kept []Scored) int {
	best, ties := 0, 1
	for i := 1; i < len(kept); i++ {
		switch {
		case kept[i].Cost < kept[best].Cost:
			best, ties = i, 1
		case kept[i].Cost == kept[best].Cost:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// TwoChoices picks the cheaper of two random candidates, so that entries with the same
// view do not all pick the same target.
type TwoChoices struct{}

// Pick implements Picker.
func (TwoChoices) Pick(rng *rand.Rand, _ *View, kept []Scored) int {
	if len(kept) == 1 {
		return 0
	}
	a := rng.IntN(len(kept))
	b := rng.IntN(len(kept) - 1)
	if b >= a {
		b++
	}
	if kept[b].Cost < kept[a].Cost {
		return b
	}
	return a
}

const (
	// hotQuantile splits hot from cold targets by requests in flight.
	hotQuantile = 0.75
	// hotColdSample is how many candidates one choice looks at.
	hotColdSample = 4
	// maxQuantile bounds the requests-in-flight values that the quantile is taken over.
	maxQuantile = 64
)

// HotCold is the rule published as Prequal (NSDI 2024): of a small sample,
// the cold target with the lowest latency; if all are hot, the one with the
// fewest requests in flight.
type HotCold struct{}

// Pick implements Picker.
func (HotCold) Pick(rng *rand.Rand, v *View, kept []Scored) int {
	hot := hotFrom(v, kept)
	best := -1
	start := rng.IntN(len(kept))
	for n := range min(hotColdSample, len(kept)) {
		i := sampleIndex(rng, start, n, len(kept))
		if best < 0 || colder(v, kept, hot, i, best) {
			best = i
		}
	}
	return best
}

// sampleIndex walks from a random start, with random skips in long lists.
func sampleIndex(rng *rand.Rand, start, n, total int) int {
	if total <= hotColdSample {
		return (start + n) % total
	}
	step := total / hotColdSample
	return (start + n*step + rng.IntN(step)) % total
}

// hotFrom returns the number of requests in flight above which a target is hot.
func hotFrom(v *View, kept []Scored) int {
	var buf [maxQuantile]int
	counts := buf[:0]
	for _, k := range kept[:min(len(kept), maxQuantile)] {
		counts = append(counts, v.Candidates[k.Index].Outstanding())
	}
	slices.Sort(counts)
	return counts[int(hotQuantile*float64(len(counts)-1))]
}

func colder(v *View, kept []Scored, hot, i, j int) bool {
	a, b := v.Candidates[kept[i].Index].Outstanding(), v.Candidates[kept[j].Index].Outstanding()
	hotA, hotB := a > hot, b > hot
	if hotA != hotB {
		return hotB
	}
	if hotA && a != b {
		return a < b
	}
	return kept[i].Cost < kept[j].Cost
}
