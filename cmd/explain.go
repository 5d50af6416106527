package cmd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"chervilpath/core/fault"
)

type (
	explainCommand struct {
		*program
		Args struct {
			ID    string   `positional-arg-name:"ID" required:"yes" description:"Request ID, as the caller sent it"`
			Files []string `positional-arg-name:"FILE" description:"Log files of instances (default: standard input)"`
		} `positional-args:"yes"`
	}

	// logLine holds the fields of a log line that are printed.
	logLine struct {
		Time      time.Time `json:"time"`
		Message   string    `json:"message"`
		Instance  string    `json:"instance"`
		RequestID string    `json:"requestId"`
		Step      string    `json:"step"`
		Version   int64     `json:"version"`
		Route     string    `json:"route"`
		Service   string    `json:"service"`
		Server    string    `json:"server"`
		Attempt   int       `json:"attempt"`
		Outcome   string    `json:"outcome"`
		WaitedMs  int64     `json:"waitedMs"`
		LeftMs    int64     `json:"leftMs"`
		Kind      string    `json:"kind"`
		Status    int       `json:"status"`
		Ran       string    `json:"ran"`
		Cause     string    `json:"cause"`
		// The fields of a line about a request that needs a slot, by the owner of the service.
		Value        float64 `json:"value"`
		WorkMs       int64   `json:"workMs"`
		DueMs        int64   `json:"dueMs"`
		ForecastMs   int64   `json:"forecastMs"`
		Ahead        int     `json:"ahead"`
		Slots        int     `json:"slots"`
		Late         bool    `json:"late"`
		RetryAfterMs int64   `json:"retryAfterMs"`
		Error        string  `json:"error"`
	}
)

const (
	// maxLogLine is the maximum length of a log line, in bytes.
	maxLogLine = 1 << 20

	// slotMessage is the message of lines about requests that need a slot.
	slotMessage = "slot"
)

func (p *program) newExplain() subcommand {
	return subcommand{
		name: "explain", short: "Print the path of one request from the logs of instances",
		long: `Reads the logs of any number of instances and prints the lines of one request,
sorted by time, and the reason why the request ended. Text before the first
brace of a line is ignored, so that logs with a collector's prefix can be read.

Example:
  chervilpath explain 9c41d07be2a35f68 edge-1.log edge-2.log`,
		data: &explainCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	lines, err := c.readLogs()
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return fault.Errorf(fault.NotFound, "no line names request %s; look at the logs of every instance", c.Args.ID)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		if _, err := fmt.Fprintln(c.out, l.format(lines[0].Time)); err != nil {
			return fmt.Errorf("printing the log lines of the request: %w", err)
		}
	}
	_, err = fmt.Fprintln(c.out, describeEnd(lines))
	return err
}

// readLogs returns the request's lines from all the logs.
func (c *explainCommand) readLogs() ([]logLine, error) {
	if len(c.Args.Files) == 0 {
		return readLines(os.Stdin, c.Args.ID)
	}
	var out []logLine
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("reading a log: %w", err)
		}
		lines, err := readLines(f, c.Args.ID)
		if err := errors.Join(err, f.Close()); err != nil {
			return nil, fmt.Errorf("reading %s: %w", name, err)
		}
		out = append(out, lines...)
	}
	return out, nil
}

// readLines returns the lines of a log that belong to a request. Lines that are
// not valid log lines are ignored.
func readLines(r io.Reader, id string) ([]logLine, error) {
	var out []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		i := bytes.IndexByte(scanner.Bytes(), '{')
		if i < 0 || !bytes.Contains(scanner.Bytes(), []byte(id)) {
			continue
		}
		var l logLine
		if json.Unmarshal(scanner.Bytes()[i:], &l) == nil && l.isOf(id) {
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}

// isOf reports whether the line belongs to a request. Its later attempts have a number behind
// its ID at the owner of their service.
func (l logLine) isOf(id string) bool {
	return l.RequestID == id || l.Message == slotMessage && strings.HasPrefix(l.RequestID, id+"/")
}

// formatSlot adds the fields of a line about a request that needs a slot.
func (l logLine) formatSlot(add func(name, value string)) {
	add("value", strconv.FormatFloat(l.Value, 'g', 3, 64))
	add("work ms", fmt.Sprint(l.WorkMs))
	add("due in ms", fmt.Sprint(l.DueMs))
	add("forecast ms", fmt.Sprint(l.ForecastMs))
	add("ahead", fmt.Sprint(l.Ahead))
	add("slots", fmt.Sprint(l.Slots))
	if l.Late {
		add("", "late")
	}
	add("retry after ms", fmt.Sprint(l.RetryAfterMs))
	add("cause:", l.Error)
}

// format returns the line as it is printed, with its time relative to start.
func (l logLine) format(start time.Time) string {
	fields := []string{fmt.Sprintf("%8.3fs", l.Time.Sub(start).Seconds()), l.Instance}
	add := func(name, value string) {
		if value != "" && value != "0" {
			fields = append(fields, strings.TrimSpace(name+" "+value))
		}
	}
	if l.Step == "" {
		add("", l.Message)
		add("", l.Outcome)
		add("server", l.Server)
		add("kind", l.Kind)
		add("status", fmt.Sprint(l.Status))
		add("ran", l.Ran)
		add("cause:", l.Cause)
		return strings.Join(fields, "  ")
	}
	add("", l.Step)
	add("", l.Outcome)
	add("server", l.Server)
	add("attempt", fmt.Sprint(l.Attempt))
	add("route", l.Route)
	add("service", l.Service)
	add("version", fmt.Sprint(l.Version))
	add("waited ms", fmt.Sprint(l.WaitedMs))
	add("left ms", fmt.Sprint(l.LeftMs))
	if l.Message == slotMessage {
		l.formatSlot(add)
	}
	return strings.Join(fields, "  ")
}

// describeEnd states how and why the request ended, from the last line that says
// so.
func describeEnd(lines []logLine) string {
	for _, l := range slices.Backward(lines) {
		switch {
		case l.Cause != "":
			return fmt.Sprintf("end: status %d, ran: %s, since %s", l.Status, l.Ran, l.Cause)
		case l.Step == "end":
			return "end: " + l.Outcome
		}
	}
	return "end: not in these logs; the instance may have crashed during the request"
}
