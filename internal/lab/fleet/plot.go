package fleet

import (
	"arbutusramp/internal/lab/figure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// Plot draws the share of streams in time against that of items, a point a policy. The file's ending says the format.
// Error: errs.BadSettings.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "streams and batch items in time, by policy"
	p.X.Label.Text = "share of items in time"
	p.Y.Label.Text = "share of streams in time"
	points := make(plotter.XYs, len(r.Policies))
	names := make([]string, len(r.Policies))
	for i, q := range r.Policies {
		points[i] = plotter.XY{X: share(q.ItemsInTime, q.Items), Y: share(q.InTime, q.Streams)}
		names[i] = q.Policy
	}
	if err := figure.AddPoints(p, points, names); err != nil {
		return err
	}
	return figure.Save(p, file)
}
