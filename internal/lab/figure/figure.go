// Package figure has what the plots of the experiments share.
package figure

import (
	"arbutusramp/core/errs"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 14 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// AddPoints adds points with their names. Error: errs.Internal.
func AddPoints(p *plot.Plot, points plotter.XYs, names []string) error {
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errs.Newf(errs.Internal, "plot: %v", err)
	}
	labels, err := plotter.NewLabels(plotter.XYLabels{XYs: points, Labels: names})
	if err != nil {
		return errs.Newf(errs.Internal, "plot: %v", err)
	}
	p.Add(scatter, labels)
	return nil
}

// Save writes the plot. The file's ending says the format. Error: errs.BadSettings.
func Save(p *plot.Plot, file string) error {
	if err := p.Save(width, height, file); err != nil {
		return errs.Newf(errs.BadSettings, "plot: %v", err)
	}
	return nil
}
