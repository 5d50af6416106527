// Command soak runs chervilpath processes against stand-ins for the platform, injects
// faults, and checks the system's promises against what callers, servers and the
// operator observe.
//
//	go run ./soak --seed 7 --duration 1m --instances 4
//
// All processes listen on loopback only. The command must not signal any process that
// it did not start itself. Its exit code is 1 if a promise was broken, and 2 if the run
// failed. The same seed draws the same faults at the same times, as long as none of them
// is drawn for an instance that happens to be down.
package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seed         uint64        `long:"seed" default:"1" description:"Seed for the faults and the callers' requests"`
	Duration     time.Duration `long:"duration" default:"30s" description:"Duration of fault injection"`
	Instances    int           `long:"instances" default:"4" description:"Number of instances"`
	Callers      int           `long:"callers" default:"24" description:"Number of concurrent callers"`
	Port         int           `long:"port" default:"18000" description:"First port to use; each instance takes three"`
	RepeatSlack  int           `long:"repeat-slack" default:"56" description:"Retries of all instances in 10 s beyond a fifth of the calls"`
	Faults       []string      `long:"fault" description:"Name of a fault to inject, all if none is given; may be repeated"`
	NoEvacuation bool          `long:"no-evacuation" description:"Have the instances not follow evacuations, and evacuate no zone"`
	Keep         bool          `long:"keep" description:"Keep the directory with settings and logs"`
	Quiet        bool          `long:"quiet" description:"Do not print the injected faults"`
}

const (
	// startTimeout is how long instances may take to become ready at the start.
	startTimeout = 30 * time.Second

	// settleTime is how long callers continue to send requests after the last fault.
	settleTime = 4 * time.Second

	// calmStream selects the random numbers for calmFaults. The callers use those from 1
	// on.
	calmStream = 1 << 32
)

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	violations, err := soak(o, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if len(violations) > 0 {
		os.Exit(1)
	}
}

// soak builds and runs the system once, writes a summary, and returns a message for
// each broken promise.
func soak(o options, out io.Writer) (violations []string, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return nil, fmt.Errorf("creating a temporary directory: %w", err)
	}
	if o.Keep {
		_, _ = fmt.Fprintln(out, "settings and logs in", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	binary := filepath.Join(dir, "chervilpath")
	cmd := exec.Command("go", "build", "-o", binary, "chervilpath")
	if output, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building chervilpath: %w\n%s", err, output)
	}
	h, err := newHarness(dir, binary, o)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	if hasCrashPart(o.Seed) {
		err = h.addCrashingEngines()
	}
	if err == nil {
		err = h.waitReady(ctx)
	}
	cancel()
	if err == nil {
		h.run(o, out)
	}
	if closeErr := h.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return nil, err
	}
	violations = h.checker.violations()
	answered := 0
	for _, r := range h.checker.requests {
		if r.status == 200 {
			answered++
		}
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %d answered, %d versions, %d crashes on prompts, %d broken promises\n", o.Seed, len(h.checker.requests), answered, len(h.checker.versions), len(h.checker.crashes), len(violations))
	_, _ = fmt.Fprint(out, h.checker.endings())
	for _, v := range violations {
		_, _ = fmt.Fprintln(out, "BROKEN", v)
	}
	return violations, nil
}

// calmFaults returns the faults that disturb nothing.
func (o options) calmFaults() []fault {
	if o.NoEvacuation {
		return calmFaults
	}
	return append(slices.Clone(calmFaults), fault{"evacuation", 2, evacuateZone})
}

// chosen returns the faults of a list that are to be injected.
func (o options) chosen(all []fault) []fault {
	if len(o.Faults) == 0 {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(f fault) bool { return !slices.Contains(o.Faults, f.name) })
}

// run sends requests while faults are injected, and for settleTime afterwards.
func (h *harness) run(o options, out io.Writer) {
	var wg sync.WaitGroup
	start := time.Now()
	callCtx, stopCalls := context.WithTimeout(context.Background(), o.Duration+settleTime)
	defer stopCalls()
	for i := range o.Callers {
		rng := rand.New(rand.NewPCG(o.Seed, uint64(i+1)))
		wg.Go(func() { h.runCaller(callCtx, i, rng) })
	}
	faultCtx, stopFaults := context.WithTimeout(context.Background(), o.Duration)
	defer stopFaults()
	logf := func(format string, args ...any) {
		if !o.Quiet {
			_, _ = fmt.Fprintf(out, "%7.3f %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
		}
	}
	wg.Go(func() {
		h.injectFaults(faultCtx, rand.New(rand.NewPCG(o.Seed, calmStream)), o.chosen(o.calmFaults()), calmPause, logf)
	})
	wg.Go(func() {
		h.injectFaults(faultCtx, rand.New(rand.NewPCG(o.Seed, brokenStream)), o.chosen(brokenFaults), brokenPause, logf)
	})
	done := make(chan struct{})
	go h.watchMemory(done)
	defer close(done)
	if hasCrashPart(o.Seed) {
		wg.Go(func() { h.runCrashCaller(callCtx, rand.New(rand.NewPCG(o.Seed, crashStream))) })
	}
	rng := rand.New(rand.NewPCG(o.Seed, 0))
	h.injectFaults(faultCtx, rng, o.chosen(faults), meanFaultPauses[rng.IntN(len(meanFaultPauses))], logf)
	wg.Wait()
}
