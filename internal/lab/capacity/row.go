package capacity

import (
	"slices"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/slopes"
)

// Row is one figure for one role.
type Row struct {
	Role  string  `json:"role"`
	What  string  `json:"what"`
	Kind  Kind    `json:"kind"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Budget bounds Value; 0 is none.
	Budget float64 `json:"budget,omitempty"`
	Uses   []Use   `json:"uses,omitempty"`
	// Mechanism carries the row; Change is what has to change where the budget is missed.
	Mechanism string `json:"mechanism"`
	Change    string `json:"change,omitempty"`
}

// Kind says what a row counts towards.
type Kind string

// The kinds of rows.
const (
	Control  Kind = "control"
	DataPath Kind = "data path"
	Log      Kind = "log"
	Total    Kind = "total"
	Time     Kind = "time"
)

// Use is one slope that went into a row, and how far beyond its range.
type Use struct {
	Slope    string  `json:"slope"`
	From, To float64 `json:"-"`
	At       float64 `json:"at"`
	Over     string  `json:"over"`
	// Beyond is At as a multiple of the range's end; 1 or less is within the range.
	Beyond float64 `json:"beyond"`
}

// Missed says that the row is over its budget.
func (r *Row) Missed() bool { return r.Budget > 0 && r.Value > r.Budget }

// sheet collects rows.
type sheet struct {
	report  *slopes.Report
	size    Size
	rows    []Row
	uses    []Use // since the last row
	missing []string
}

// slope returns the slope called name and notes that it was used at x.
func (s *sheet) slope(name string, x float64) slopes.Slope {
	f, ok := s.report.Find(name)
	if !ok {
		s.missing = append(s.missing, name)
		return f
	}
	u := Use{Slope: name, From: f.From, To: f.To, At: x, Over: f.Over}
	if f.To > 0 {
		u.Beyond = x / f.To
	}
	if !slices.Contains(s.uses, u) {
		s.uses = append(s.uses, u)
	}
	return f
}

// each is what x units cost, without what none cost.
func (s *sheet) each(name string, x float64) float64 { return s.slope(name, x).Slope * x }

// whole is what x units cost together with what none cost. Below the measured range a line
// with an intercept under 0 says nothing; there x units cost at least their slope.
func (s *sheet) whole(name string, x float64) float64 {
	f := s.slope(name, x)
	if x < f.From {
		return max(f.At(x), f.Slope*x)
	}
	return max(0, f.At(x))
}

// add appends a row with the slopes used since the last one.
func (s *sheet) add(r Row) float64 {
	r.Uses = s.uses
	s.uses = nil
	s.rows = append(s.rows, r)
	return r.Value
}

// sum is the sum of the rows of role and kind in unit.
func (s *sheet) sum(role string, k Kind, unit string) float64 {
	total := 0.0
	for i := range s.rows {
		r := &s.rows[i]
		if r.Role == role && r.Kind == k && r.Unit == unit {
			total += r.Value
		}
	}
	return total
}

// Rows works out every row of z. Error: errs.BadRequest naming slopes that r lacks.
func Rows(r *slopes.Report, z Size) ([]Row, error) {
	s := &sheet{report: r, size: z}
	s.entry()
	s.side()
	s.relay()
	s.owner()
	s.reconciler()
	s.log()
	s.failures()
	if len(s.missing) > 0 {
		slices.Sort(s.missing)
		return nil, errs.Newf(errs.BadRequest, "not measured: %v", slices.Compact(s.missing))
	}
	return s.rows, nil
}
