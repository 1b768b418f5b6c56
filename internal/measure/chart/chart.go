// Package chart draws the charts of experiments as SVG files.
//
// # Usage
//
//	paths, err := chart.Folder("plots").Draw(r)
package chart

import (
	"os"
	"path/filepath"

	"agateward/internal/measure/report"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a chart.
const (
	width  = 16 * vg.Centimeter
	height = 10 * vg.Centimeter
)

// Folder is the directory of the files. Draw creates it if it is missing.
type Folder string

// Draw writes the charts of a report and returns the paths of the files.
func (f Folder) Draw(r report.Report) ([]string, error) {
	var paths []string
	for _, c := range r.Charts {
		if err := os.MkdirAll(string(f), 0o755); err != nil {
			return paths, err
		}
		p, err := draw(c)
		if err != nil {
			return paths, err
		}
		path := filepath.Join(string(f), c.Name+".svg")
		if err := p.Save(width, height, path); err != nil {
			return paths, err
		}
		paths = append(paths, path)
	}
	return paths, nil
}

func draw(c report.Chart) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = c.Title
	p.X.Label.Text = c.X
	p.Y.Label.Text = c.Y
	p.Legend.Top = true
	for i, l := range c.Lines {
		points := make(plotter.XYs, len(l.Points))
		for j, v := range l.Points {
			points[j] = plotter.XY{X: v.X, Y: v.Y}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(l.Name, line)
	}
	return p, nil
}
