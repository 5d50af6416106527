// Package chart writes line and bar plots as PNG or SVG files, using gonum's
// package plot.
package chart

import (
	"fmt"
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	width  = 9 * vg.Inch
	height = 4 * vg.Inch
)

type (
	// Point is one point of a line.
	Point struct{ X, Y float64 }

	// Line is a named line.
	Line struct {
		Name   string
		Points []Point
	}

	// Bar is one stacked bar. Its parts are in the order of their names in Bars.
	Bar struct {
		Name  string
		Parts []float64
	}
)

// CheckFile returns an error if the file's extension is not one of a format in
// which plots are written.
func CheckFile(file string) error {
	if ext := filepath.Ext(file); !slices.Contains([]string{".png", ".svg"}, ext) {
		return fmt.Errorf("the plot file %q has the extension %q; write .png or .svg", file, ext)
	}
	return nil
}

// Lines writes a plot of lines. x and y are the labels of its axes.
func Lines(file, title, x, y string, lines []Line) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Y.Min = 0
	var series []any
	for _, line := range lines {
		points := make(plotter.XYs, len(line.Points))
		for i, point := range line.Points {
			points[i].X, points[i].Y = point.X, point.Y
		}
		series = append(series, line.Name, points)
	}
	if err := plotutil.AddLines(p, series...); err != nil {
		return fmt.Errorf("drawing %s: %w", file, err)
	}
	p.Legend.Top = true
	return save(p, file)
}

// Bars writes a plot of stacked bars. y is the label of its vertical axis, and
// parts names the parts of each bar.
func Bars(file, title, y string, parts []string, bars []Bar) error {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, y
	names := make([]string, len(bars))
	var previous *plotter.BarChart
	for i, part := range parts {
		values := make(plotter.Values, len(bars))
		for j, bar := range bars {
			names[j] = bar.Name
			values[j] = bar.Parts[i]
		}
		chart, err := plotter.NewBarChart(values, vg.Points(20))
		if err != nil {
			return fmt.Errorf("drawing %s: %w", file, err)
		}
		chart.Color = plotutil.Color(i)
		chart.LineStyle.Width = 0
		if previous != nil {
			chart.StackOn(previous)
		}
		previous = chart
		p.Add(chart)
		p.Legend.Add(part, chart)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return save(p, file)
}

func save(p *plot.Plot, file string) error {
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("writing the plot: %w", err)
	}
	return nil
}
