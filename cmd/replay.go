package cmd

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"chervilpath/core/trace"
	"chervilpath/demo"
	"chervilpath/io/chart"
)

// plotStep is the period that one point of an attainment plot covers.
const plotStep = time.Second

type (
	traceCommand struct {
		*program
		Deployment string        `long:"deployment" choice:"kgotso" choice:"darbgalds" default:"kgotso" description:"Example deployment to generate the trace for"`
		Scenario   string        `long:"scenario" default:"steady" description:"Scenario: steady, photoBurst, longQuotes, greedy, endpointSlow, endpointLost, stageLost, storeDown or allAtOnce"`
		Duration   time.Duration `long:"duration" default:"30s" description:"Length of the trace"`
		Rate       float64       `long:"rate" default:"60" description:"Requests per second"`
		Seed       uint64        `long:"seed" default:"1" description:"Random seed; the same seed gives the same trace"`
	}

	replayCommand struct {
		*program
		Expect     string   `long:"expect" value-name:"FILE" description:"File of expected outcomes, see docs/OUTCOMES.md"`
		Deployment string   `long:"embedded" choice:"kgotso" choice:"darbgalds" description:"Replay against an example deployment hosted in this process"`
		Instances  int      `long:"instances" default:"4" description:"Number of entry instances of the example"`
		To         []string `long:"to" value-name:"ADDRESS" description:"Replay against a running system: caller address of an instance; may be repeated"`
		Keys       string   `long:"keys" value-name:"FILE" description:"File of API keys for a running system, one ORGANISATION=KEY per line"`
		Plot       string   `long:"plot" value-name:"FILE" description:"Plot attainment over time to this .png or .svg file"`
		Args       struct {
			Trace string `positional-arg-name:"TRACE" required:"yes" description:"Trace file in JSON lines, see docs/REPLAY.md"`
		} `positional-args:"yes"`
	}
)

func (p *program) newTrace() subcommand {
	return subcommand{
		name: "trace", short: "Generate a trace for replay",
		long: "Writes a seeded trace to standard output.\n\nExample:\n  chervilpath trace --scenario photoBurst --seed 7 > burst.jsonl",
		data: &traceCommand{program: p},
	}
}

func (p *program) newReplay() subcommand {
	return subcommand{
		name: "replay", short: "Replay a trace and check expected outcomes",
		long: `Sends the requests of a trace at their recorded times, to an example hosted in
this process or to a running system, and prints for each expected outcome
whether it held. Exit code 5 means that an expected outcome did not hold or that
a promise was broken.

Examples:
  chervilpath replay --embedded kgotso --expect outcomes.ini --plot attainment.svg burst.jsonl
  chervilpath replay --to 10.0.1.1:8080 --to 10.0.1.2:8080 --keys keys.txt day.jsonl`,
		data: &replayCommand{program: p},
	}
}

// Execute implements flags.Commander.
func (c *traceCommand) Execute([]string) error {
	profile, err := demo.TraceProfile(c.Deployment)
	if err != nil {
		return err
	}
	events, err := trace.Generate(profile, trace.Plan{Scenario: c.Scenario, Seed: c.Seed, Duration: c.Duration, Rate: c.Rate})
	if err != nil {
		return &exitError{exitUsage, err}
	}
	return trace.Write(c.out, events)
}

// Execute implements flags.Commander.
func (c *replayCommand) Execute([]string) error {
	r, expectations, err := c.prepare()
	if err != nil {
		return err
	}
	bar := c.newProgressBar(len(r.Events))
	r.Progress = func(int) { _ = bar.Add(1) }
	replayed, err := r.Run(c.ctx)
	_ = bar.Finish()
	if err != nil {
		return err
	}
	if c.Plot != "" {
		if err := plotAttainment(c.Plot, replayed.Results); err != nil {
			return err
		}
	}
	return c.printVerdicts(expectations, replayed)
}

// prepare validates the options and reads all files, before any request is sent.
func (c *replayCommand) prepare() (demo.Replay, []trace.Expectation, error) {
	r := demo.Replay{Deployment: c.Deployment, Instances: c.Instances, Addresses: c.To}
	if (c.Deployment == "") == (len(c.To) == 0) {
		return r, nil, &exitError{exitUsage, errors.New("give either --embedded or --to")}
	}
	if c.Plot != "" {
		if err := chart.CheckFile(c.Plot); err != nil {
			return r, nil, &exitError{exitUsage, err}
		}
	}
	f, err := os.Open(c.Args.Trace)
	if err != nil {
		return r, nil, fmt.Errorf("opening the trace: %w", err)
	}
	defer func() { _ = f.Close() }()
	if r.Events, err = trace.Read(f); err != nil {
		return r, nil, &exitError{exitInvalid, err}
	}
	if r.Keys, err = readKeys(c.Keys); err != nil {
		return r, nil, err
	}
	if c.Expect == "" {
		return r, nil, nil
	}
	data, err := os.ReadFile(c.Expect)
	if err != nil {
		return r, nil, fmt.Errorf("reading expected outcomes: %w", err)
	}
	expectations, err := trace.ParseExpectations(c.Expect, data)
	if err != nil {
		return r, nil, &exitError{exitInvalid, err}
	}
	return r, expectations, nil
}

// readKeys reads the organisations' keys from a file. Its errors do not quote the
// line, because it may contain a key.
func readKeys(file string) (map[string]string, error) {
	keys := make(map[string]string)
	if file == "" {
		return keys, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading keys: %w", err)
	}
	line := 0
	for text := range strings.Lines(string(data)) {
		line++
		if text = strings.TrimSpace(text); text == "" {
			continue
		}
		organisation, key, ok := strings.Cut(text, "=")
		if !ok {
			return nil, &exitError{exitInvalid, fmt.Errorf("%s:%d: the line is not ORGANISATION=KEY", file, line)}
		}
		keys[strings.TrimSpace(organisation)] = strings.TrimSpace(key)
	}
	return keys, nil
}

// newProgressBar returns a progress bar that is shown only on a terminal.
func (c *replayCommand) newProgressBar(n int) *progressbar.ProgressBar {
	f, ok := c.out.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return progressbar.DefaultSilent(int64(n))
	}
	return progressbar.Default(int64(n), "replaying")
}

// printVerdicts prints a line for each expected outcome and each broken promise,
// and the attainment. It returns an error if an outcome did not hold or a promise
// was broken.
func (c *replayCommand) printVerdicts(expectations []trace.Expectation, replayed *demo.ReplayResult) error {
	w := tabwriter.NewWriter(c.out, 0, 8, 2, ' ', 0)
	failed := len(replayed.Violations)
	for _, v := range trace.Evaluate(expectations, replayed.Results) {
		result := "pass"
		if !v.Pass {
			result = "FAIL"
			failed++
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\n", result, v.Name, v.Observed)
	}
	for _, violation := range replayed.Violations {
		_, _ = fmt.Fprintf(w, "FAIL\tpromise\t%s\n", violation)
	}
	inTime := 0
	for _, r := range replayed.Results {
		if r.MetDeadline() {
			inTime++
		}
	}
	_, _ = fmt.Fprintf(w, "\t%d requests, attainment %.4f\n", len(replayed.Results), float64(inTime)/float64(max(1, len(replayed.Results))))
	if err := w.Flush(); err != nil {
		return err
	}
	if failed > 0 {
		return &exitError{exitViolation, fmt.Errorf("%d expected outcomes or promises did not hold", failed)}
	}
	return nil
}

// plotAttainment writes a plot of the attainment over time, with a line for each
// kind.
func plotAttainment(file string, results []trace.Result) error {
	type tally struct{ total, inTime float64 }
	sums := make(map[string]map[int64]tally)
	for _, r := range results {
		if sums[r.Kind] == nil {
			sums[r.Kind] = make(map[int64]tally)
		}
		step := r.AtMs / plotStep.Milliseconds()
		t := sums[r.Kind][step]
		t.total++
		if r.MetDeadline() {
			t.inTime++
		}
		sums[r.Kind][step] = t
	}
	var lines []chart.Line
	for _, kind := range sortedKeys(sums) {
		line := chart.Line{Name: kind}
		for _, step := range sortedKeys(sums[kind]) {
			t := sums[kind][step]
			line.Points = append(line.Points, chart.Point{X: float64(step) * plotStep.Seconds(), Y: t.inTime / t.total})
		}
		lines = append(lines, line)
	}
	return chart.Lines(file, "Attainment of deadlines", "seconds", "fraction answered in time", lines)
}
