package cmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"chervilpath/core/summary"
	"chervilpath/io/chart"
)

type (
	logsCommand struct{}

	logsSummaryCommand struct {
		*program
		By     []string      `long:"by" value-name:"FIELD" choice:"route" choice:"organisation" choice:"zone" description:"Group requests by this field; may be repeated"`
		Window time.Duration `long:"window" default:"0s" value-name:"TIME" description:"Group requests by time windows of this length"`
		Plot   string        `long:"plot" value-name:"FILE" description:"Write a plot of the results in each window to this PNG or SVG file"`
		Args   struct {
			Files []string `positional-arg-name:"FILE" description:"Log files of instances (default: standard input)"`
		} `positional-args:"yes"`
	}

	// decisionLine holds the fields of a log line that the summary reads.
	decisionLine struct {
		Time          time.Time `json:"time"`
		Message       string    `json:"message"`
		FailureDomain string    `json:"failureDomain"`
		RequestID     string    `json:"requestId"`
		Step          string    `json:"step"`
		Route         string    `json:"route"`
		Organisation  string    `json:"organisation"`
		Outcome       string    `json:"outcome"`
		WaitedMs      int64     `json:"waitedMs"`
		DueMs         int64     `json:"dueMs"`
	}
)

func (p *program) newLogs() subcommand {
	return subcommand{
		name: "logs", short: "Work with the logs of instances", long: "Works with the logs of instances.",
		data: &logsCommand{},
		children: []subcommand{{
			name: "summary", short: "Sum up how requests ended and where their time went",
			long: `Reads the logs of any number of instances and prints, for each group of requests
and each result (onTime, late, refused, failed, abandoned, unfinished), how many
there were and how long after their arrival they reached each step: the median
and the 90th percentile in milliseconds. Text before the first brace of a line is
ignored, so that logs with a collector's prefix can be read.

Example:
  chervilpath logs summary --by route --window 2s edge-1.log edge-2.log`,
			data: &logsSummaryCommand{program: p},
		}},
	}
}

// Execute implements flags.Commander. It is called only without a subcommand.
func (c *logsCommand) Execute([]string) error {
	return &exitError{exitUsage, errors.New("logs needs a subcommand, such as summary")}
}

// Execute implements flags.Commander.
func (c *logsSummaryCommand) Execute([]string) error {
	if c.Plot != "" {
		if err := chart.CheckFile(c.Plot); err != nil {
			return &exitError{exitUsage, err}
		}
		if c.Window <= 0 {
			return &exitError{exitUsage, errors.New("--plot needs --window")}
		}
	}
	by := summary.Grouping{Window: c.Window}
	for _, field := range c.By {
		switch field {
		case "route":
			by.Route = true
		case "organisation":
			by.Organisation = true
		case "zone":
			by.FailureDomain = true
		}
	}
	collector := summary.New(by)
	if err := c.readLogs(collector); err != nil {
		return err
	}
	rows := collector.Rows()
	if c.Plot != "" {
		if err := plotResults(c.Plot, rows); err != nil {
			return err
		}
	}
	return c.print(rows, by)
}

func (c *logsSummaryCommand) readLogs(collector *summary.Collector) error {
	if len(c.Args.Files) == 0 {
		return collectDecisions(os.Stdin, collector)
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("reading a log: %w", err)
		}
		if err := errors.Join(collectDecisions(f, collector), f.Close()); err != nil {
			return fmt.Errorf("reading %s: %w", name, err)
		}
	}
	return nil
}

// collectDecisions adds the decisions of a log. Other lines are ignored.
func collectDecisions(r io.Reader, collector *summary.Collector) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		i := bytes.IndexByte(scanner.Bytes(), '{')
		if i < 0 || !bytes.Contains(scanner.Bytes(), []byte(`"step"`)) {
			continue
		}
		var l decisionLine
		if json.Unmarshal(scanner.Bytes()[i:], &l) != nil || l.RequestID == "" {
			continue
		}
		collector.Add(summary.Line{
			Time: l.Time, RequestID: l.RequestID, Step: l.Step, Route: l.Route, Organisation: l.Organisation, FailureDomain: l.FailureDomain,
			Outcome: l.Outcome, Waited: time.Duration(l.WaitedMs) * time.Millisecond, Due: time.Duration(l.DueMs) * time.Millisecond,
		})
	}
	return scanner.Err()
}

// print writes a line for each row, with the columns by which requests are
// grouped.
func (c *logsSummaryCommand) print(rows []summary.Row, by summary.Grouping) error {
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	column := func(shown bool, value string) {
		if shown {
			_, _ = fmt.Fprintf(w, "%s\t", value)
		}
	}
	for _, r := range rows {
		column(by.Window > 0, r.Window.Format("15:04:05.0"))
		column(by.Route, r.Route)
		column(by.Organisation, r.Organisation)
		column(by.FailureDomain, r.FailureDomain)
		_, _ = fmt.Fprintf(w, "%s\t%d\t", r.Result, r.Count)
		for _, s := range r.Steps {
			_, _ = fmt.Fprintf(w, "%s %d/%d  ", s.Name, s.Median.Milliseconds(), s.Ninetieth.Milliseconds())
		}
		_, _ = fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("printing the summary: %w", err)
	}
	return nil
}

// plotResults writes a bar for each window, whose parts are the numbers of requests
// with each result.
func plotResults(file string, rows []summary.Row) error {
	var names []string
	for r := summary.OnTime; r <= summary.Unfinished; r++ {
		names = append(names, r.String())
	}
	var bars []chart.Bar
	var last time.Time
	for _, r := range rows {
		if len(bars) == 0 || !r.Window.Equal(last) {
			bars = append(bars, chart.Bar{Name: r.Window.Format("04:05"), Parts: make([]float64, len(names))})
			last = r.Window
		}
		bars[len(bars)-1].Parts[r.Result] += float64(r.Count)
	}
	return chart.Bars(file, "Requests by result", "requests", names, bars)
}
