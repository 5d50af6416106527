package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"chervilpath/io/standin"
	"chervilpath/platform/stand"
)

type (
	// faultInjector injects random faults into a deployment. Which faults, and
	// in which order, is determined by the seed.
	faultInjector struct {
		deployment *Deployment
		rng        *rand.Rand
		logf       func(format string, args ...any)
		start      time.Time
		// reverts holds a function for each active fault that ends it.
		reverts []func()
	}

	// faultKind is a kind of fault and its relative frequency. inject starts a
	// fault and returns a description of it for the log.
	faultKind struct {
		name   string
		weight int
		inject func(*faultInjector, context.Context) string
	}
)

const (
	// faultPeriod is the time between two faults.
	faultPeriod = 700 * time.Millisecond

	// periodsPerRevert is the number of periods after which all active faults
	// except crashed and stopped instances are ended together.
	periodsPerRevert = 5

	// No instance is crashed or stopped unless more than minInstances serve, and
	// none is added while maxInstances or more do.
	minInstances = 2
	maxInstances = 4
)

var faultKinds = []faultKind{
	{"platform down", 2, func(fi *faultInjector, _ context.Context) string { return fi.injectPlatform(stand.Faults{Down: true}) }},
	{"platform loses answers", 3, func(fi *faultInjector, _ context.Context) string {
		return fi.injectPlatform(stand.Faults{LoseAnswers: 1 + fi.rng.IntN(10)})
	}},
	{"platform slow", 2, func(fi *faultInjector, _ context.Context) string {
		return fi.injectPlatform(stand.Faults{DelayMs: 50 + fi.rng.IntN(500)})
	}},
	{"platform returns stale reads", 1, func(fi *faultInjector, _ context.Context) string { return fi.injectPlatform(stand.Faults{Stale: true}) }},
	{"endpoint down", 3, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{Down: true})
	}},
	{"endpoint slow", 3, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{Slow: 10})
	}},
	{"endpoint refuses", 3, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{Refuse: true})
	}},
	{"endpoint loses answers", 4, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{LoseAnswers: 1 + fi.rng.IntN(5)})
	}},
	{"endpoint mixes up answers", 2, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{Cross: true})
	}},
	{"endpoint cuts streams", 2, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{CutAfter: 1 + fi.rng.IntN(30)})
	}},
	{"endpoint stalls streams", 2, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{StallAfter: 1 + fi.rng.IntN(30)})
	}},
	{"endpoint truncates answers", 2, func(fi *faultInjector, _ context.Context) string {
		return fi.injectEndpoint(standin.ServerFaults{Truncate: true})
	}},
	{"endpoint drains", 2, func(fi *faultInjector, _ context.Context) string { return fi.drainEndpoint() }},
	{"entry instances partitioned", 3, func(fi *faultInjector, _ context.Context) string { return fi.partition() }},
	{"entry instance crashes", 3, func(fi *faultInjector, ctx context.Context) string { return fi.crashInstance(ctx) }},
	{"entry instance stops", 3, func(fi *faultInjector, ctx context.Context) string { return fi.stopInstance(ctx) }},
}

func newFaultInjector(d *Deployment, seed uint64, logf func(format string, args ...any)) *faultInjector {
	return &faultInjector{deployment: d, rng: rand.New(rand.NewPCG(seed, 99)), logf: logf, start: time.Now()}
}

// run injects faults until ctx is done and then ends all active faults.
func (fi *faultInjector) run(ctx context.Context) {
	defer fi.revertFaults()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(faultPeriod):
		}
		if i%periodsPerRevert == 0 {
			fi.revertFaults()
			continue
		}
		k := fi.drawKind()
		fi.logf("%6.1fs  %s: %s\n", time.Since(fi.start).Seconds(), k.name, k.inject(fi, ctx))
	}
}

// drawKind draws a kind of fault with a probability in proportion to its weight.
func (fi *faultInjector) drawKind() faultKind {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	n := fi.rng.IntN(total)
	for _, k := range faultKinds {
		if n -= k.weight; n < 0 {
			return k
		}
	}
	return faultKinds[0]
}

func (fi *faultInjector) revertFaults() {
	for _, revert := range fi.reverts {
		revert()
	}
	fi.reverts = nil
}

func (fi *faultInjector) injectPlatform(f stand.Faults) string {
	store := fi.deployment.platform
	store.SetFaults(f)
	fi.reverts = append(fi.reverts, func() { store.SetFaults(stand.Faults{}) })
	return fmt.Sprintf("%+v", f)
}

// drawEndpoint draws an endpoint. Endpoints of the booking service are drawn more
// often than others.
func (fi *faultInjector) drawEndpoint() string {
	names := fi.deployment.set.EndpointNames()
	if fi.rng.IntN(3) == 0 {
		return fmt.Sprint("bookings-", 1+fi.rng.IntN(3))
	}
	return names[fi.rng.IntN(len(names))]
}

func (fi *faultInjector) injectEndpoint(f standin.ServerFaults) string {
	name := fi.drawEndpoint()
	s := fi.deployment.servers[name]
	s.setFaults(f)
	fi.reverts = append(fi.reverts, func() { s.setFaults(standin.ServerFaults{}) })
	return name
}

func (fi *faultInjector) drainEndpoint() string {
	name := fi.drawEndpoint()
	fi.deployment.SetEndpointState(name, "leaving")
	fi.reverts = append(fi.reverts, func() { fi.deployment.SetEndpointState(name, "live") })
	return name
}

// partition cuts a random group of entry instances off from the others.
func (fi *faultInjector) partition() string {
	var group []int
	for i := range fi.deployment.NumInstances() {
		if fi.rng.IntN(2) == 0 {
			group = append(group, i)
		}
	}
	fi.deployment.Partition(group)
	fi.reverts = append(fi.reverts, fi.deployment.HealPartition)
	return fmt.Sprint(group)
}

// removableInstances returns the indexes of the serving entry instances, or nil if
// removing one would leave fewer than minInstances.
func (fi *faultInjector) removableInstances() []int {
	fi.deployment.mu.Lock()
	defer fi.deployment.mu.Unlock()
	var serving []int
	for i, in := range fi.deployment.instances {
		if !in.removed {
			serving = append(serving, i)
		}
	}
	if len(serving) <= minInstances {
		return nil
	}
	return serving
}

func (fi *faultInjector) crashInstance(ctx context.Context) string {
	candidates := fi.removableInstances()
	if candidates == nil {
		return fi.addInstance(ctx)
	}
	return fi.deployment.CrashInstance(candidates[fi.rng.IntN(len(candidates))])
}

// stopInstance drains and stops an entry instance in the background, so that further
// faults are injected meanwhile.
func (fi *faultInjector) stopInstance(ctx context.Context) string {
	candidates := fi.removableInstances()
	if candidates == nil {
		return fi.addInstance(ctx)
	}
	i := candidates[fi.rng.IntN(len(candidates))]
	go func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = fi.deployment.StopInstance(stopCtx, i)
	}()
	return fi.deployment.instances[i].Name()
}

// addInstance starts a replacement for a crashed or stopped entry instance. It does so
// in the background, because the new instance may have to wait until the platform
// or a peer provides the declarations in force.
func (fi *faultInjector) addInstance(ctx context.Context) string {
	if len(fi.removableInstances()) >= maxInstances {
		return "none"
	}
	go func() {
		startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
		defer cancel()
		if err := fi.deployment.AddInstance(startCtx); err != nil {
			fi.logf("adding an entry instance: %v\n", err)
		}
	}()
	return "replacement started instead"
}
