package mix

import (
	"image/color"

	"arbutusramp/core/errs"
	"arbutusramp/internal/lab/figure"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
)

// plotReport draws harm against batch share: the product, its curve and the
// baselines. The file's ending says the format. Error: errs.BadSettings.
func plotReport(r *Report, file string) error {
	p := plot.New()
	p.Title.Text = r.Shape + ": online tail against batch throughput"
	p.X.Label.Text = "batch share of idle capacity"
	p.Y.Label.Text = "harm: p99 of first token, with batch / without"
	if err := addCurve(p, r); err != nil {
		return err
	}
	names := make([]string, 0, len(r.Baselines)+1)
	points := plotter.XYs{{X: r.ShareOfIdle, Y: r.HarmP99}}
	names = append(names, "product, "+r.Policy)
	for name, f := range r.Baselines {
		points = append(points, plotter.XY{X: f.ShareOfIdle, Y: f.HarmP99})
		names = append(names, name)
	}
	if err := figure.AddPoints(p, points, names); err != nil {
		return err
	}
	return figure.Save(p, file)
}

func addCurve(p *plot.Plot, r *Report) error {
	if len(r.Curve) == 0 {
		return nil
	}
	var xys plotter.XYs
	for _, c := range r.Curve {
		xys = append(xys, plotter.XY{X: c.ShareOfIdle, Y: c.HarmP99})
	}
	line, points, err := plotter.NewLinePoints(xys)
	if err != nil {
		return errs.Newf(errs.Internal, "plot: %v", err)
	}
	line.Color = color.RGBA{B: 200, A: 255}
	p.Add(line, points)
	p.Legend.Add("product, headroom 0 to 1", line, points)
	return nil
}
