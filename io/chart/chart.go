// Package chart writes plots as PNG or SVG files, by gonum's plot.
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

	// Bar is one bar with its parts, in the order of the parts' names.
	Bar struct {
		Name  string
		Parts []float64
	}
)

// CheckFile returns an error if a plot cannot be written to a file of the name.
func CheckFile(file string) error {
	if ext := filepath.Ext(file); !slices.Contains([]string{".png", ".svg"}, ext) {
		return fmt.Errorf("the plot %q has the ending %q; write .png or .svg", file, ext)
	}
	return nil
}

// Lines writes a plot of lines.
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

// Bars writes a plot of stacked bars.
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
