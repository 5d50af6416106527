package summary_test

import (
	"fmt"
	"testing"
	"time"

	"chervilpath/core/summary"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func line(id, step, outcome string, waited time.Duration) summary.Line {
	l := summary.Line{Time: start.Add(waited), RequestID: id, Step: step, Outcome: outcome, Route: "draft", Organisation: "sandton", Waited: waited}
	if step == "route" {
		l.Due = time.Second
	}
	return l
}

func ExampleCollector() {
	c := summary.New(summary.Grouping{Route: true})
	for _, l := range []summary.Line{
		line("a", "route", "matched", 0), line("a", "stage 0", "made", 300*time.Millisecond), line("a", "first event", "relayed", 700*time.Millisecond),
		line("a", "end", "answered", 2*time.Second),
		line("b", "route", "matched", 0), line("b", "stage 0", "made", 500*time.Millisecond), line("b", "end", "overloaded: the stage needs 3s", 510*time.Millisecond),
	} {
		c.Add(l)
	}
	for _, r := range c.Rows() {
		fmt.Println(r.Route, r.Result, r.Count)
		for _, s := range r.Steps {
			fmt.Println("  ", s.Name, s.Median)
		}
	}
	// Output:
	// draft onTime 1
	//    stage 0 300ms
	//    first event 700ms
	//    end 2s
	// draft refused 1
	//    stage 0 500ms
	//    end 510ms
}

func TestResults(t *testing.T) {
	tests := []struct {
		name  string
		lines []summary.Line
		want  summary.Result
	}{
		{"plain, on time", []summary.Line{line("r", "end", "answered", time.Second)}, summary.OnTime},
		{"plain, late", []summary.Line{line("r", "end", "answered", 1100*time.Millisecond)}, summary.Late},
		{"stream, on time by its first event", []summary.Line{line("r", "first event", "relayed", 900*time.Millisecond), line("r", "end", "answered", 9*time.Second)}, summary.OnTime},
		{"resumed stream", []summary.Line{line("r", "first event", "relayed", 900*time.Millisecond), line("r", "first event", "relayed", 2*time.Second), line("r", "end", "answered", 9*time.Second)}, summary.OnTime},
		{"refused", []summary.Line{line("r", "end", "endpointUnavailable: no engine is free", time.Second)}, summary.Refused},
		{"failed", []summary.Line{line("r", "end", "endpointFailed: reset", time.Second)}, summary.Failed},
		{"abandoned", []summary.Line{line("r", "end", "cancelled: the caller disconnected", time.Second)}, summary.Abandoned},
		{"no end", []summary.Line{line("r", "send", "engine", time.Second)}, summary.Unfinished},
	}
	for _, tt := range tests {
		c := summary.New(summary.Grouping{})
		for _, l := range append([]summary.Line{line("r", "route", "matched", 0)}, tt.lines...) {
			c.Add(l)
		}
		if rows := c.Rows(); len(rows) != 1 || rows[0].Result != tt.want {
			t.Errorf("%s: %+v, want one row with result %v", tt.name, rows, tt.want)
		}
	}
}
