package fleet

import (
	"arbutusramp/core/errs"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the share of streams in time against that of items, a point a policy. The file's ending says the format.
// Error: errs.BadSettings.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "streams and batch items in time, by policy"
	p.X.Label.Text = "share of items in time"
	p.Y.Label.Text = "share of streams in time"
	xys := make(plotter.XYs, len(r.Policies))
	names := make([]string, len(r.Policies))
	for i, q := range r.Policies {
		xys[i] = plotter.XY{X: share(q.ItemsInTime, q.Items), Y: share(q.InTime, q.Streams)}
		names[i] = q.Policy
	}
	points, err := plotter.NewScatter(xys)
	if err != nil {
		return errs.Newf(errs.Internal, "plot: %v", err)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: xys, Labels: names})
	if err != nil {
		return errs.Newf(errs.Internal, "plot: %v", err)
	}
	p.Add(points, labels)
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errs.Newf(errs.BadSettings, "plot: %v", err)
	}
	return nil
}
