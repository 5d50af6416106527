// Package summary sums up the decision logs of instances: how many requests were
// on time, late, refused or failed, and how long after their arrival they reached
// each step.
//
// It must not read files and knows nothing of the format of the logs.
package summary

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilpath/core/fault"
)

// The results of requests.
const (
	OnTime Result = iota
	Late
	Refused
	Failed
	Abandoned
	// Unfinished means that the log has no end of the request.
	Unfinished
)

// The steps of a request that have a meaning here.
const (
	stepRoute      = "route"
	stepFirstEvent = "first event"
	stepEnd        = "end"
)

const (
	// maxWaited is the longest time that is distinguished.
	maxWaited = 10 * time.Minute

	// precision is the number of significant digits of times.
	precision = 3
)

type (
	// Result says how a request ended.
	Result uint8

	// Line is one decision about a request.
	Line struct {
		Time          time.Time
		RequestID     string
		Step          string
		Route         string
		Organisation  string
		FailureDomain string
		Outcome       string
		// Waited is the time since the request arrived.
		Waited time.Duration
		// Due is the target latency less the time that earlier attempts have
		// taken. It is set with the first step.
		Due time.Duration
	}

	// Grouping says by what requests are grouped.
	Grouping struct {
		Route, Organisation, FailureDomain bool
		// Window is the length of the time windows, or 0 for one group.
		Window time.Duration
	}

	// Group identifies a group of requests. Fields by which requests are not
	// grouped are zero.
	Group struct {
		Window                             time.Time
		Route, Organisation, FailureDomain string
	}

	// Row sums up the requests of a group with one result.
	Row struct {
		Group
		Result Result
		Count  int64
		Steps  []Step
	}

	// Step is a step that requests of a row reached, with the median and the 90th
	// percentile of the time since their arrival.
	Step struct {
		Name              string
		Count             int64
		Median, Ninetieth time.Duration
	}

	// Collector collects the lines of requests. Use New to create one. It is not
	// safe for concurrent use.
	Collector struct {
		by   Grouping
		open map[string]*request
		sums map[key]*sum
	}

	request struct {
		first Line
		steps []Line
	}

	key struct {
		Group
		result Result
	}

	// sum holds the times at which the requests of a row reached each step. names
	// holds the steps in the order in which they were first seen.
	sum struct {
		count int64
		names []string
		times map[string]*hdrhistogram.Histogram
	}
)

var resultNames = [...]string{OnTime: "onTime", Late: "late", Refused: "refused", Failed: "failed", Abandoned: "abandoned", Unfinished: "unfinished"}

// String returns the result's name.
func (r Result) String() string { return resultNames[r] }

// New returns a collector without lines.
func New(by Grouping) *Collector {
	return &Collector{by: by, open: make(map[string]*request), sums: make(map[key]*sum)}
}

// Add adds a line. The lines of one request have to be in order; those of
// different requests may be interleaved.
func (c *Collector) Add(l Line) {
	r, ok := c.open[l.RequestID]
	if !ok {
		if l.Step != stepRoute {
			return
		}
		r = &request{first: l}
		c.open[l.RequestID] = r
		return
	}
	if l.Step == stepEnd {
		delete(c.open, l.RequestID)
		c.record(r, l)
		return
	}
	r.steps = append(r.steps, l)
}

// record adds a request to the sums of its group.
func (c *Collector) record(r *request, end Line) {
	result := r.result(end)
	k := key{Group: c.group(r.first), result: result}
	s, ok := c.sums[k]
	if !ok {
		s = &sum{times: make(map[string]*hdrhistogram.Histogram)}
		c.sums[k] = s
	}
	s.count++
	seen := make(map[string]bool)
	for _, l := range append(r.steps, end) {
		if l.Step != "" && !seen[l.Step] {
			seen[l.Step] = true
			s.observe(l.Step, l.Waited)
		}
	}
}

// result returns how a request ended, from its last line.
func (r *request) result(end Line) Result {
	if end.Step != stepEnd {
		return Unfinished
	}
	kind, _, _ := strings.Cut(end.Outcome, ":")
	switch {
	case end.Outcome == "answered":
		answered := end
		for _, l := range r.steps {
			if l.Step == stepFirstEvent {
				answered = l
				break
			}
		}
		if answered.Waited > r.first.Due {
			return Late
		}
		return OnTime
	case fault.ParseKind(kind) == fault.Cancelled:
		return Abandoned
	case fault.ParseKind(kind).Properties().DefaultRan == fault.RanNo:
		return Refused
	}
	return Failed
}

func (c *Collector) group(l Line) Group {
	var g Group
	if c.by.Window > 0 {
		g.Window = l.Time.Truncate(c.by.Window)
	}
	if c.by.Route {
		g.Route = l.Route
	}
	if c.by.Organisation {
		g.Organisation = l.Organisation
	}
	if c.by.FailureDomain {
		g.FailureDomain = l.FailureDomain
	}
	return g
}

func (s *sum) observe(step string, waited time.Duration) {
	h, ok := s.times[step]
	if !ok {
		h = hdrhistogram.New(0, maxWaited.Milliseconds(), precision)
		s.times[step] = h
		s.names = append(s.names, step)
	}
	// Values are clamped, so that recording cannot fail.
	_ = h.RecordValue(max(0, min(waited, maxWaited)).Milliseconds())
}

// Rows returns the rows of all groups, in order. Requests whose end is not in the
// lines so far count as unfinished; the collector must not be used afterwards.
func (c *Collector) Rows() []Row {
	for _, r := range c.open {
		c.record(r, Line{})
	}
	var rows []Row
	for k, s := range c.sums {
		row := Row{Group: k.Group, Result: k.result, Count: s.count}
		for _, name := range s.names {
			h := s.times[name]
			row.Steps = append(row.Steps, Step{
				Name: name, Count: h.TotalCount(),
				Median: time.Duration(h.ValueAtQuantile(50)) * time.Millisecond, Ninetieth: time.Duration(h.ValueAtQuantile(90)) * time.Millisecond,
			})
		}
		slices.SortStableFunc(row.Steps, func(a, b Step) int { return cmp.Compare(a.Median, b.Median) })
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(a.Window.Compare(b.Window), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Organisation, b.Organisation),
			cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Result, b.Result))
	})
	return rows
}
