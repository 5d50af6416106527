package cmd

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"chervilpath/core/cost"
	"chervilpath/core/fault"
	"chervilpath/io/chart"
)

// timeLayout is the layout in which the start of a window is printed.
const timeLayout = "2006-01-02T15"

type costCommand struct {
	*program
	platformOptions
	Day    string `long:"day" value-name:"YYYY-MM-DD" description:"Day in UTC (default: today)"`
	Hour   int    `long:"hour" default:"-1" description:"Hour of the day in UTC, or -1 for all hours"`
	ByHour bool   `long:"by-hour" description:"Show each hour of the day separately"`
	Format string `long:"format" choice:"text" choice:"csv" choice:"json" default:"text" description:"Output format"`
	Plot   string `long:"plot" value-name:"FILE" description:"Also plot cost by organisation and stage to this .png or .svg file"`
}

func (p *program) newCost() subcommand {
	return subcommand{
		name: "cost", short: "Show cost by organisation and stage",
		long: `Sums the recorded costs of a day or an hour for each organisation and stage.
Each class of cost has its own line: useful, failed, hedged, cancelled, late.

Examples:
  chervilpath cost --platform http://10.0.0.5:9000
  chervilpath cost --platform http://10.0.0.5:9000 --by-hour --plot cost.svg
  chervilpath cost --platform http://10.0.0.5:9000 --day 2026-12-04 --hour 9 --format csv`,
		data: &costCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *costCommand) Execute([]string) error {
	day := time.Now()
	if c.Day != "" {
		var err error
		if day, err = time.Parse(time.DateOnly, c.Day); err != nil {
			return &exitError{exitUsage, fmt.Errorf("--day is %q; write a date such as 2026-12-04", c.Day)}
		}
	}
	if c.Hour < -1 || c.Hour > 23 {
		return &exitError{exitUsage, fmt.Errorf("--hour is %d; write a number from 0 to 23", c.Hour)}
	}
	if c.Plot != "" {
		if err := chart.CheckFile(c.Plot); err != nil {
			return &exitError{exitUsage, err}
		}
	}
	windows, readErr := cost.Read(c.ctx, c.client().Store(), day, c.Hour)
	if readErr != nil {
		readErr = fault.Errorf(fault.StoreUnavailable, "%w", readErr)
		if len(windows) == 0 {
			return readErr
		}
	}
	if c.Plot != "" {
		if err := plotCost(c.Plot, cost.Sum(windows)); err != nil {
			return err
		}
	}
	shown := []cost.Window{{From: day.UTC(), Lines: cost.Sum(windows)}}
	if c.ByHour {
		shown = cost.ByHour(windows)
	}
	if err := c.print(shown); err != nil {
		return err
	}
	return readErr
}

// print writes the lines of each window in the requested format.
func (c *costCommand) print(windows []cost.Window) error {
	switch c.Format {
	case "json":
		return json.NewEncoder(c.out).Encode(windows)
	case "csv":
		return c.printCSV(windows)
	}
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "FROM\tORGANISATION\tSTAGE\tCLASS\tCALLS\tUNKNOWN\tUNITS\tCOST\tBUSY")
	for _, window := range windows {
		for _, l := range window.Lines {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%.0f\t%.6f\t%.1fs\n", window.From.Format(timeLayout), l.Organisation, l.Stage, l.Class, l.Calls, l.UnknownCalls, l.Units, l.Cost/1e6, l.BusyMs/1000)
		}
	}
	return w.Flush()
}

func (c *costCommand) printCSV(windows []cost.Window) error {
	w := csv.NewWriter(c.out)
	_ = w.Write([]string{"from", "organisation", "stage", "class", "calls", "unknown", "units", "costMillionths", "busyMs"})
	for _, window := range windows {
		for _, l := range window.Lines {
			_ = w.Write([]string{window.From.Format(timeLayout), l.Organisation, l.Stage, l.Class, fmt.Sprint(l.Calls), fmt.Sprint(l.UnknownCalls), fmt.Sprint(l.Units), fmt.Sprint(l.Cost), fmt.Sprint(l.BusyMs)})
		}
	}
	w.Flush()
	return w.Error()
}

// plotCost writes a plot with a bar for each organisation, stacked by stage.
func plotCost(file string, lines []cost.Line) error {
	stages := make(map[string]int)
	for _, l := range lines {
		stages[l.Stage] = 0
	}
	names := sortedKeys(stages)
	for i, name := range names {
		stages[name] = i
	}
	costs := make(map[string][]float64)
	for _, l := range lines {
		if costs[l.Organisation] == nil {
			costs[l.Organisation] = make([]float64, len(names))
		}
		costs[l.Organisation][stages[l.Stage]] += l.Cost / 1e6
	}
	var bars []chart.Bar
	for _, organisation := range sortedKeys(costs) {
		bars = append(bars, chart.Bar{Name: organisation, Parts: costs[organisation]})
	}
	return chart.Bars(file, "Cost by organisation and stage", "cost", names, bars)
}
