package replay

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes seconds.png and steps.png into a folder, which it creates if needed.
func (d Day) Plot(folder string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Class.Wrap(err)
	}
	if err := d.plotSeconds(filepath.Join(folder, "seconds.png")); err != nil {
		return err
	}
	return d.plotSteps(filepath.Join(folder, "steps.png"))
}

func (d Day) plotSeconds(path string) error {
	p := plot.New()
	p.Title.Text = "items a second"
	p.X.Label.Text = "seconds"
	series := []struct {
		name  string
		value func(s Second) int
	}{
		{"placed", func(s Second) int { return s.Placed }},
		{"finished", func(s Second) int { return s.Finished }},
		{"rejected", func(s Second) int { return s.Rejected }},
		{"interrupted", func(s Second) int { return s.Interrupted }},
		{"moved", func(s Second) int { return s.Moved }},
	}
	var lines []any
	for _, one := range series {
		points := make(plotter.XYs, len(d.Seconds))
		for i, s := range d.Seconds {
			points[i] = plotter.XY{X: float64(s.Second), Y: float64(one.value(s))}
		}
		lines = append(lines, one.name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return Class.Wrap(err)
	}
	return Class.Wrap(p.Save(plotWidth, plotHeight, path))
}

func (d Day) plotSteps(path string) error {
	p := plot.New()
	p.Title.Text = "lateness of steps by the time they were accepted"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "seconds late"
	var points plotter.XYs
	for _, s := range d.Steps {
		if s.SatisfiedAge != 0 {
			points = append(points, plotter.XY{X: s.AcceptedAt.Seconds(), Y: s.Lateness().Seconds()})
		}
	}
	if len(points) > 0 {
		scatter, err := plotter.NewScatter(points)
		if err != nil {
			return Class.Wrap(err)
		}
		p.Add(scatter, plotter.NewGrid())
	}
	return Class.Wrap(p.Save(plotWidth, plotHeight, path))
}
