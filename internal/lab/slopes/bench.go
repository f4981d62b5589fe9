package slopes

import (
	"context"
	"slices"
	"time"

	"arbutusramp/core/errs"

	"gonum.org/v1/gonum/stat"
)

// minPoints is the fewest points a fit is made from.
const minPoints = 3

// Point is one measured pair.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// fit fills in a slope's line. Error: errs.Internal for too few points.
func (s *Slope) fit() error {
	if len(s.Points) < minPoints {
		return errs.Newf(errs.Internal, "slope %s has %d points, not %d", s.Name, len(s.Points), minPoints)
	}
	xs, ys := make([]float64, 0, len(s.Points)), make([]float64, 0, len(s.Points))
	for _, p := range s.Points {
		xs = append(xs, p.X)
		ys = append(ys, p.Y)
	}
	s.Intercept, s.Slope = stat.LinearRegression(xs, ys, nil, false)
	s.From, s.To = slices.Min(xs), slices.Max(xs)
	// A flat line explains all there is; the share is not defined for it.
	s.R2 = 1
	if slices.Min(ys) != slices.Max(ys) {
		s.R2 = stat.RSquared(xs, ys, nil, s.Intercept, s.Slope)
	}
	return nil
}

// bench collects slopes.
type bench struct {
	window  time.Duration // of one measurement of processor time
	long    time.Duration // the same for what happens in intervals, such as group commits
	warmUp  time.Duration // until rates are level
	repeats int
	report  Report
}

// few returns xs, thinned to its ends and its middle for a quick run.
func (b *bench) few(xs ...float64) []float64 {
	if !b.report.Quick || len(xs) <= minPoints {
		return xs
	}
	return []float64{xs[0], xs[len(xs)/2], xs[len(xs)-1]}
}

// sizes is few for what takes long to set up: a quick run takes a quarter of each.
func (b *bench) sizes(xs ...float64) []float64 {
	const quarter = 0.25
	if !b.report.Quick {
		return xs
	}
	small := make([]float64, 0, len(xs))
	for _, x := range xs {
		small = append(small, quarter*x)
	}
	return small
}

// sample measures at x and returns one value for each slope.
type sample func(x float64) ([]float64, error)

// measure fits slopes to the medians of what at returns over xs.
func (b *bench) measure(ctx context.Context, xs []float64, at sample, slopes ...Slope) error {
	given := func(x float64) ([]float64, error) {
		ys, err := at(x)
		return append([]float64{x}, ys...), err
	}
	return b.measureRate(ctx, xs, given, slopes...)
}

// measureOnce is measure for quantities that other processes don't disturb: bytes and memory.
func (b *bench) measureOnce(ctx context.Context, xs []float64, at sample, slopes ...Slope) error {
	repeats := b.repeats
	defer func() { b.repeats = repeats }()
	b.repeats = 1
	return b.measure(ctx, xs, at, slopes...)
}

// measureRate is measure for an x that is only asked for: the first value that at
// returns is the x that came about.
func (b *bench) measureRate(ctx context.Context, xs []float64, at sample, slopes ...Slope) error {
	for _, x := range xs {
		got, err := b.medians(ctx, x, at, 1+len(slopes))
		if err != nil {
			return err
		}
		for i := range slopes {
			slopes[i].Points = append(slopes[i].Points, Point{X: got[0], Y: got[1+i]})
		}
	}
	for _, s := range slopes {
		s.Repeats = b.repeats
		if err := s.fit(); err != nil {
			return err
		}
		b.report.Slopes = append(b.report.Slopes, s)
	}
	return nil
}

func (b *bench) medians(ctx context.Context, x float64, at sample, n int) ([]float64, error) {
	columns := make([][]float64, n)
	for range b.repeats {
		if err := ctx.Err(); err != nil {
			return nil, errs.New(errs.Cancelled, "the measurement was stopped")
		}
		ys, err := at(x)
		if err != nil {
			return nil, err
		}
		for i := range columns {
			columns[i] = append(columns[i], ys[i])
		}
	}
	medians := make([]float64, 0, n)
	for _, c := range columns {
		medians = append(medians, median(c))
	}
	return medians, nil
}

func median(ys []float64) float64 {
	slices.Sort(ys)
	const half = 0.5
	return stat.Quantile(half, stat.Empirical, ys, nil)
}
