package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"arbutusramp/internal/lab/slopes"
)

// Freshness is how evenly streams lie when load reports are so old at most.
type Freshness struct {
	Every   time.Duration `json:"report_every"`
	Fullest float64       `json:"fullest_over_mean"`
}

// Freshen works out the spread over subsets of z for each time between two reports of a side. A
// stream lasts as long as a request's tokens take, half as long to half as long again; an
// entry adds what it sent itself since the report.
func Freshen(z Size, seed uint64, every ...time.Duration) []Freshness {
	sides := sidesOf(z)
	known := subsetsOf(z, sides)
	out := make([]Freshness, 0, len(every))
	for _, e := range every {
		out = append(out, Freshness{Every: e, Fullest: newArrivals(z, known, len(sides), e, seed).run()})
	}
	return out
}

// sentTo counts what an entry sent a side since the report numbered seq.
type sentTo struct{ seq, n int }

// arrivals is one run of streams that come and go.
type arrivals struct {
	rng    *rand.Rand
	known  [][]int
	load   []int            // of each side
	report []int            // of each side, its last
	due    []float64        // of each side, seconds
	seq    []int            // of each side, its reports so far
	sent   []map[int]sentTo // of each entry, by side
	ends   [][]int          // sides whose streams end, by step
	every  float64          // seconds
	rate   float64          // requests/s
	mean   float64          // duration of a stream, seconds
}

const (
	stepS = 0.01 // seconds of one step
	// lifetimes of a stream that a run takes; what counts is the second half.
	lifetimes = 3
)

func newArrivals(z Size, known [][]int, sides int, every time.Duration, seed uint64) *arrivals {
	a := &arrivals{
		rng: rand.New(rand.NewPCG(seed, seed)), known: known,
		load: make([]int, sides), report: make([]int, sides), due: make([]float64, sides),
		seq: make([]int, sides), sent: make([]map[int]sentTo, len(known)), every: every.Seconds(),
		rate: z.RequestsPerS, mean: z.streams() / z.RequestsPerS,
	}
	for i := range a.sent {
		a.sent[i] = make(map[int]sentTo)
	}
	for i := range a.due {
		a.due[i] = a.rng.Float64() * a.every
	}
	a.ends = make([][]int, int(lifetimes*a.mean/stepS)+1)
	return a
}

// run returns the fullest side over the mean, averaged over the second half.
func (a *arrivals) run() float64 {
	sum, n, owed := 0.0, 0, 0.0
	for step := range a.ends {
		for _, side := range a.ends[step] {
			a.load[side]--
		}
		a.reports(float64(step) * stepS)
		for owed += a.rate * stepS; owed >= 1; owed-- {
			a.arrive(step)
		}
		if step > len(a.ends)/2 {
			sum += fullest(a.load)
			n++
		}
	}
	return sum / float64(n)
}

func (a *arrivals) reports(now float64) {
	for side := range a.due {
		if now < a.due[side] {
			continue
		}
		a.due[side] += a.every
		a.report[side] = a.load[side]
		a.seq[side]++
	}
}

func (a *arrivals) arrive(step int) {
	e := a.rng.IntN(len(a.known))
	set := a.known[e]
	side, other := set[a.rng.IntN(len(set))], set[a.rng.IntN(len(set))]
	if a.seen(e, other) < a.seen(e, side) {
		side = other
	}
	a.sent[e][side] = sentTo{a.seq[side], a.sentSince(e, side) + 1}
	a.load[side]++
	const half = 0.5
	if end := step + int(a.mean*(half+a.rng.Float64())/stepS); end < len(a.ends) {
		a.ends[end] = append(a.ends[end], side)
	}
}

// seen is what entry e takes the load of side for.
func (a *arrivals) seen(e, side int) int { return a.report[side] + a.sentSince(e, side) }

func (a *arrivals) sentSince(e, side int) int {
	if s := a.sent[e][side]; s.seq == a.seq[side] {
		return s.n
	}
	return 0
}

func fullest(load []int) float64 {
	sum := 0
	for _, n := range load {
		sum += n
	}
	return float64(slices.Max(load)) * float64(len(load)) / float64(max(1, sum))
}

// WriteFreshness prints how evenly streams lie against the age of reports, with what the reports cost.
func WriteFreshness(w io.Writer, r *slopes.Report, z Size, fresh []Freshness) error {
	frame, _ := r.Find(slopes.LoadBytes)
	var b strings.Builder
	fmt.Fprintf(&b, "\n### Age of load reports with max_sides = %d\n\n| a side reports every | fullest side over mean | reports, B/s at an entry | at a side |\n|---|---|---|---|\n", z.MaxSides)
	for _, f := range fresh {
		rate := frame.Slope / f.Every.Seconds()
		fmt.Fprintf(&b, "| %s | %.2f | %s | %s |\n", f.Every, f.Fullest, number(rate*z.perEntry()), number(rate*z.perSide()))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
