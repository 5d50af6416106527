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
	// Options say what a demo does.
	Options struct {
		// Deployments are names of directories of the examples.
		Deployments []string
		Instances   int
		Duration    time.Duration
		// Rate is the requests a second to each deployment.
		Rate float64
		Seed uint64
		// Calm leaves out the loss of an endpoint and of an instance.
		Calm bool
		// Chaos injects faults that follow from the seed instead.
		Chaos bool
		Log   *zap.Logger
		Out   io.Writer
	}

	// report is what one deployment's run showed.
	report struct {
		deployment string
		all        []sent
		lines      []cost.Line
		counted    map[string]float64
		runs       map[string]int
		broken     []Broken
	}
)

const (
	startTimeout  = 20 * time.Second
	stopTimeout   = 30 * time.Second
	progressEvery = 2 * time.Second
)

// Run serves the deployments one after the other under load, loses an endpoint
// and an entry instance midway, and writes a report. It returns the promises
// that were broken.
func Run(ctx context.Context, o Options) ([]Broken, error) {
	var broken []Broken
	for _, name := range o.Deployments {
		r, err := runOne(ctx, o, name)
		if err != nil {
			return broken, fmt.Errorf("deployment %s: %w", name, err)
		}
		r.write(o.Out)
		broken = append(broken, r.broken...)
	}
	return broken, nil
}

func runOne(ctx context.Context, o Options, name string) (*report, error) {
	began := time.Now()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := New(startCtx, examples.Files, name, o.Instances, o.Log)
	if err != nil {
		return nil, err
	}
	if err := d.Start(startCtx); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintf(o.Out, "%s: %d entry instances, %d endpoints, %d organisations; callers at %s\n", name, o.Instances, len(d.servers), d.set.NumOrganisations(), d.entries[0].CallerAddress())
	l := newLoad(d, o.Rate, o.Seed)
	loadCtx, stopLoad := context.WithTimeout(ctx, o.Duration)
	defer stopLoad()
	var striking sync.WaitGroup
	switch {
	case o.Chaos:
		c := newChaos(d, o.Seed, func(format string, args ...any) { _, _ = fmt.Fprintf(o.Out, format, args...) })
		striking.Go(func() { c.run(loadCtx) })
	case !o.Calm:
		striking.Go(func() { d.lose(loadCtx, o) })
	}
	go showProgress(loadCtx, o, l)
	l.run(loadCtx)
	striking.Wait()
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if err := d.Stop(stopCtx); err != nil {
		return nil, err
	}
	return d.report(stopCtx, l, began, o.Calm && !o.Chaos)
}

// lose ends an endpoint at a third and an entry instance at a half of the time.
func (d *Deployment) lose(ctx context.Context, o Options) {
	endpoint := "lm-2"
	for _, step := range []struct {
		at   time.Duration
		what func() string
	}{
		{o.Duration / 3, func() string { d.CrashEndpoint(endpoint); return "endpoint " + endpoint }},
		{o.Duration / 6, func() string { return "entry instance " + d.CrashEntry(1) }},
	} {
		select {
		case <-ctx.Done():
			return
		case <-time.After(step.at):
			_, _ = fmt.Fprintf(o.Out, "%s: lost %s\n", d.name, step.what())
		}
	}
}

func showProgress(ctx context.Context, o Options, l *load) {
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(progressEvery):
			ended, answered := l.progress()
			_, _ = fmt.Fprintf(o.Out, "%s: %3.0f%%  %d requests ended, %d answered\n", l.deployment.name, 100*min(1, time.Since(began).Seconds()/o.Duration.Seconds()), ended, answered)
		}
	}
}

func (d *Deployment) report(ctx context.Context, l *load, since time.Time, exact bool) (*report, error) {
	lines, err := d.attributed(ctx, since)
	if err != nil {
		return nil, err
	}
	r := &report{deployment: d.name, all: l.all, lines: lines, counted: d.counted(), runs: d.runs()}
	r.broken = append(judge(r.all, r.runs), judgeCost(lines, r.counted, exact)...)
	return r, nil
}

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
	for _, line := range r.lines {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%.0f\t%.0f\n", line.Organisation, line.Stage, line.Class, line.Calls, line.Units, line.Cost)
	}
	r.writeOnce(tw)
	_ = tw.Flush()
	attributed, counted := total(attributedUnits(r.lines)), total(r.counted)
	_, _ = fmt.Fprintf(w, "units attributed: %.0f of %.0f that the endpoints counted (%.2f%%)\n", attributed, counted, 100*attributed/max(1, counted))
	for _, b := range r.broken {
		_, _ = fmt.Fprintf(w, "BROKEN: %s\n", b)
	}
	if len(r.broken) == 0 {
		_, _ = fmt.Fprintln(w, "every promise was kept")
	}
}

func (r *report) writeKinds(w io.Writer) {
	type tally struct{ n, ok int }
	kinds := make(map[string]tally)
	errors := make(map[string]int)
	for _, s := range r.all {
		t := kinds[s.kind]
		t.n++
		if s.answered && s.took <= s.limit {
			t.ok++
		} else if !s.answered {
			errors[s.failed.Kind]++
		}
		kinds[s.kind] = t
	}
	names := make([]string, 0, len(kinds))
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := kinds[name]
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%.2f%%\n", name, t.n, t.ok, 100*float64(t.ok)/float64(t.n))
	}
	if len(errors) > 0 {
		_, _ = fmt.Fprintf(w, "errors\t%v\n", errors)
	}
}

func (r *report) writeOnce(w io.Writer) {
	done, notRun, unknown, most := 0, 0, 0, 0
	for _, s := range r.all {
		if s.runID == "" {
			continue
		}
		most = max(most, r.runs[s.onceStage+" "+s.runID])
		switch {
		case s.answered:
			done++
		case s.failed.Ran == "no":
			notRun++
		default:
			unknown++
		}
	}
	_, _ = fmt.Fprintf(w, "\nrequests that run at most once\t%d done, %d not run, %d outcome unknown; one ran %d times at the most\n", done, notRun, unknown, most)
}

func total(m map[string]float64) float64 {
	sum := 0.0
	for _, v := range m {
		sum += v
	}
	return sum
}
