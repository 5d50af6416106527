package demo

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/cost"
	"chervilpath/examples"
)

type (
	// Options describe a run of the demo.
	Options struct {
		// Deployments are the names of the examples' directories to serve.
		Deployments []string
		// Instances is the number of entry instances of each deployment.
		Instances int
		// Duration is how long each deployment is under load.
		Duration time.Duration
		// Rate is the number of requests per second to each deployment.
		Rate float64
		// Seed determines the requests and, with Chaos, the faults.
		Seed uint64
		// NoLosses disables the loss of an endpoint and of an entry instance.
		NoLosses bool
		// Chaos injects random faults instead of these two losses.
		Chaos bool
		Log   *zap.Logger
		Out   io.Writer
	}

	// report holds the results of running one deployment.
	report struct {
		deployment string
		requests   []request
		costLines  []cost.Line
		// countedUnits are the units that the endpoints counted, by organisation
		// and stage.
		countedUnits map[string]float64
		// runs are the executions that the endpoints counted, by stage and run ID.
		runs       map[string]int
		violations []Violation
	}
)

const (
	startTimeout     = 20 * time.Second
	stopTimeout      = 30 * time.Second
	progressInterval = 2 * time.Second
)

// Run serves the deployments one after the other under load and writes a report on
// each. During each run it crashes an endpoint and an entry instance, or injects the
// faults that the options ask for. It returns the violations of promises that were
// observed.
func Run(ctx context.Context, o Options) ([]Violation, error) {
	var violations []Violation
	for _, name := range o.Deployments {
		r, err := runDeployment(ctx, o, name)
		if err != nil {
			return violations, fmt.Errorf("deployment %s: %w", name, err)
		}
		r.write(o.Out)
		violations = append(violations, r.violations...)
	}
	return violations, nil
}

func runDeployment(ctx context.Context, o Options, name string) (*report, error) {
	start := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := New(startCtx, examples.Files, name, o.Instances, o.Log)
	if err != nil {
		return nil, err
	}
	if err := d.Start(startCtx); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(o.Out, "%s: %d entry instances, %d endpoints, %d organisations; callers at %s\n", name, o.Instances, len(d.servers), d.set.NumOrganisations(), d.instances[0].CallerAddress())
	l := newLoadGenerator(d, o.Rate, o.Seed)
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Duration)
	defer stopLoad()
	var injectors sync.WaitGroup
	switch {
	case o.Chaos:
		fi := newFaultInjector(d, o.Seed, func(format string, args ...any) { _, _ = fmt.Fprintf(o.Out, format, args...) })
		injectors.Go(func() { fi.run(loadCtx) })
	case !o.NoLosses:
		injectors.Go(func() { d.injectLosses(loadCtx, o) })
	}
	go showProgress(loadCtx, o, l)
	l.run(loadCtx)
	injectors.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if err := d.Stop(stopCtx); err != nil {
		return nil, err
	}
	return d.report(stopCtx, l, start, o.NoLosses && !o.Chaos)
}

// injectLosses crashes an endpoint after a third of the duration, and an entry
// instance after half of it.
func (d *Deployment) injectLosses(ctx context.Context, o Options) {
	endpoint := "lm-2"
	for _, step := range []struct {
		after  time.Duration
		inject func() string
	}{
		{o.Duration / 3, func() string { d.CrashEndpoint(endpoint); return "endpoint " + endpoint }},
		{o.Duration / 6, func() string { return "entry instance " + d.CrashInstance(1) }},
	} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step.after):
			_, _ = fmt.Fprintf(o.Out, "%s: lost %s\n", d.name, step.inject())
		}
	}
}

func showProgress(ctx context.Context, o Options, l *loadGenerator) {
	start := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressInterval):
			ended, answered := l.progress()
			_, _ = fmt.Fprintf(o.Out, "%s: %3.0f%%  %d requests ended, %d answered\n", l.deployment.name, 100*min(1, time.Since(start).Seconds()/o.Duration.Seconds()), ended, answered)
		}
	}
}

// report collects the results of a run and checks them. If exact is set, no cost may
// be missing.
func (d *Deployment) report(ctx context.Context, l *loadGenerator, since time.Time, exact bool) (*report, error) {
	costLines, err := d.attributedCost(ctx, since)
	if err != nil {
		return nil, err
	}
	r := &report{deployment: d.name, requests: l.requests, costLines: costLines, countedUnits: d.countedUnits(), runs: d.runs()}
	r.violations = append(checkAll(r.requests, r.runs), checkCost(costLines, r.countedUnits, exact)...)
	return r, nil
}

// attributedUnits sums the units of cost lines by organisation and stage.
func attributedUnits(lines []cost.Line) map[string]float64 {
	out := make(map[string]float64)
	for _, line := range lines {
		out[line.Organisation+" "+line.Stage] += line.Units
	}
	return out
}

func (r *report) write(w io.Writer) {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(tw, "\n%s\nkind\trequests\tin time\tattainment\n", strings.ToUpper(r.deployment))
	r.writeKinds(tw)
	_, _ = fmt.Fprintln(tw, "\norganisation\tstage\tclass\tcalls\tunits\tcost (millionths)")
	for _, line := range r.costLines {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%.0f\t%.0f\n", line.Organisation, line.Stage, line.Class, line.Calls, line.Units, line.Cost)
	}
	r.writeAtMostOnce(tw)
	_ = tw.Flush()
	attributed, counted := sumUnits(attributedUnits(r.costLines)), sumUnits(r.countedUnits)
	_, _ = fmt.Fprintf(w, "units attributed: %.0f of %.0f that the endpoints counted (%.2f%%)\n", attributed, counted, 100*attributed/max(1, counted))
	for _, v := range r.violations {
		_, _ = fmt.Fprintf(w, "BROKEN: %s\n", v)
	}
	if len(r.violations) == 0 {
		_, _ = fmt.Fprintln(w, "every promise was kept")
	}
}

// writeKinds writes a row for each kind of request, and the number of errors of each
// kind of error.
func (r *report) writeKinds(w io.Writer) {
	type tally struct{ n, inTime int }
	kinds := make(map[string]tally)
	errorCounts := make(map[string]int)
	for _, req := range r.requests {
		t := kinds[req.kind]
		t.n++
		if req.answered && req.took <= req.deadline {
			t.inTime++
		} else if !req.answered {
			errorCounts[req.failure.Kind]++
		}
		kinds[req.kind] = t
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := kinds[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.2f%%\n", name, t.n, t.inTime, 100*float64(t.inTime)/float64(t.n))
	}
	if len(errorCounts) > 0 {
		_, _ = fmt.Fprintf(w, "errors\t%v\n", errorCounts)
	}
}

// writeAtMostOnce writes the outcomes of the requests that run at most once.
func (r *report) writeAtMostOnce(w io.Writer) {
	done, notRun, unknown, maxRuns := 0, 0, 0, 0
	for _, req := range r.requests {
		if req.runID == "" {
			continue
		}
		maxRuns = max(maxRuns, r.runs[req.nonIdempotentStage+" "+req.runID])
		switch {
		case req.answered:
			done++
		case req.failure.Ran == "no":
			notRun++
		default:
			unknown++
		}
	}
	_, _ = fmt.Fprintf(w, "\nrequests that run at most once\t%d done, %d not run, %d outcome unknown; at most %d runs of one request\n", done, notRun, unknown, maxRuns)
}

func sumUnits(m map[string]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return sum
}
