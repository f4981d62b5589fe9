package slopes

import (
	"context"
	"math"
	"slices"
	"testing"

	"arbutusramp/core/errs"
)

func TestFitOfALine(t *testing.T) {
	s := Slope{Name: "line", Points: []Point{{4, 11}, {1, 5}, {2, 7}}}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if !near(s.Slope, 2) || !near(s.Intercept, 3) || !near(s.R2, 1) {
		t.Fatalf("slope %v, intercept %v, r2 %v, want 2, 3, 1", s.Slope, s.Intercept, s.R2)
	}
	if s.From != 1 || s.To != 4 {
		t.Fatalf("range %v..%v, want 1..4", s.From, s.To)
	}
	if got := s.At(10); !near(got, 23) {
		t.Fatalf("at 10 %v, want 23", got)
	}
}

// Points off the line: the fit is the least-squares one, and r2 says how much it leaves open.
func TestFitOfScatteredPoints(t *testing.T) {
	s := Slope{Points: []Point{{0, 0}, {1, 3}, {2, 0}, {3, 3}}}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if !near(s.Slope, 0.6) || !near(s.Intercept, 0.6) || !near(s.R2, 0.2) {
		t.Fatalf("slope %v, intercept %v, r2 %v, want 0.6, 0.6, 0.2", s.Slope, s.Intercept, s.R2)
	}
}

// A flat line has no variance to explain; a share of nothing must not come out as NaN, which
// JSON can't carry.
func TestFitOfAFlatLine(t *testing.T) {
	s := Slope{Points: []Point{{1, 7}, {2, 7}, {3, 7}}}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if s.Slope != 0 || s.Intercept != 7 || s.R2 != 1 {
		t.Fatalf("slope %v, intercept %v, r2 %v, want 0, 7, 1", s.Slope, s.Intercept, s.R2)
	}
}

func TestFitRefusesTwoPoints(t *testing.T) {
	s := Slope{Points: []Point{{1, 1}, {2, 2}}}
	if err := s.fit(); !errs.Is(err, errs.Internal) {
		t.Fatalf("error %v, want type internal", err)
	}
}

// One measurement that another process has slowed down must not move a point.
func TestPointsAreMedians(t *testing.T) {
	b := &bench{repeats: 3}
	ys := []float64{10, 500, 12, 20, 21, 900, 1, 30, 31}
	at := func(float64) ([]float64, error) {
		y := ys[0]
		ys = ys[1:]
		return []float64{y}, nil
	}
	if err := b.measure(context.Background(), []float64{1, 2, 3}, at, Slope{Name: "s"}); err != nil {
		t.Fatal(err)
	}
	want := []Point{{1, 12}, {2, 21}, {3, 30}}
	if got := b.report.Slopes[0].Points; !slices.Equal(got, want) {
		t.Fatalf("points %v, want %v", got, want)
	}
}

func TestRunRefusesUnknownPart(t *testing.T) {
	_, err := Run(context.Background(), Options{Parts: []string{"fold", "flod"}})
	if !errs.Is(err, errs.BadRequest) {
		t.Fatalf("error %v, want type bad_request", err)
	}
}

// Two parts whose figures don't hang on time: bytes in the log and bytes of the host list.
func TestReportOfAPart(t *testing.T) {
	r, err := Run(context.Background(), Options{Quick: true, Parts: []string{"records"}})
	if err != nil {
		t.Fatal(err)
	}
	s, ok := r.Find(ResultBytes)
	if !ok {
		t.Fatalf("no slope %s in %+v", ResultBytes, r)
	}
	if s.Slope < 1 || s.Slope > 1.1 {
		t.Fatalf("%v bytes in the log for each byte of a result, want 1 to 1.1", s.Slope)
	}
	if len(s.Points) < minPoints || s.Repeats != 1 || s.Unit == "" || s.Base == "" || s.Over == "" || s.Feeds == "" {
		t.Fatalf("the slope lacks something: %+v", s)
	}
	if _, ok := r.Find("no such slope"); ok {
		t.Fatal("a slope that was not measured was found")
	}
}

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }
