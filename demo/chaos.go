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
	// chaos switches faults in an order that follows from a seed.
	chaos struct {
		deployment *Deployment
		rng        *rand.Rand
		out        func(format string, args ...any)
		began      time.Time
		// healing ends the faults that are on.
		healing []func()
	}

	// disaster is one kind of fault with its weight.
	disaster struct {
		name   string
		weight int
		inject func(*chaos, context.Context) string
	}
)

const (
	chaosPeriod = 700 * time.Millisecond

	// most faults are on for this many periods before all are healed.
	healPeriods = 5

	leastEntries = 2
	mostEntries  = 4
)

var disasters = []disaster{
	{"platform down", 2, func(c *chaos, _ context.Context) string { return c.platform(stand.Faults{Down: true}) }},
	{"platform loses answers", 3, func(c *chaos, _ context.Context) string {
		return c.platform(stand.Faults{LoseAnswers: 1 + c.rng.IntN(10)})
	}},
	{"platform slow", 2, func(c *chaos, _ context.Context) string {
		return c.platform(stand.Faults{DelayMs: 50 + c.rng.IntN(500)})
	}},
	{"platform stale", 1, func(c *chaos, _ context.Context) string { return c.platform(stand.Faults{Stale: true}) }},
	{"endpoint down", 3, func(c *chaos, _ context.Context) string { return c.endpoint(standin.ServerFaults{Down: true}) }},
	{"endpoint slow", 3, func(c *chaos, _ context.Context) string { return c.endpoint(standin.ServerFaults{Slow: 10}) }},
	{"endpoint refuses", 3, func(c *chaos, _ context.Context) string { return c.endpoint(standin.ServerFaults{Refuse: true}) }},
	{"endpoint loses answers", 4, func(c *chaos, _ context.Context) string {
		return c.endpoint(standin.ServerFaults{LoseAnswers: 1 + c.rng.IntN(5)})
	}},
	{"endpoint crosses answers", 2, func(c *chaos, _ context.Context) string { return c.endpoint(standin.ServerFaults{Cross: true}) }},
	{"endpoint cuts streams", 2, func(c *chaos, _ context.Context) string {
		return c.endpoint(standin.ServerFaults{CutAfter: 1 + c.rng.IntN(30)})
	}},
	{"endpoint stalls streams", 2, func(c *chaos, _ context.Context) string {
		return c.endpoint(standin.ServerFaults{StallAfter: 1 + c.rng.IntN(30)})
	}},
	{"endpoint truncates answers", 2, func(c *chaos, _ context.Context) string { return c.endpoint(standin.ServerFaults{Truncate: true}) }},
	{"endpoint leaves", 2, func(c *chaos, _ context.Context) string { return c.leave() }},
	{"entry instances apart", 3, func(c *chaos, _ context.Context) string { return c.cut() }},
	{"entry instance crashes", 3, func(c *chaos, ctx context.Context) string { return c.crash(ctx) }},
	{"entry instance stops", 3, func(c *chaos, ctx context.Context) string { return c.stop(ctx) }},
}

func newChaos(d *Deployment, seed uint64, out func(format string, args ...any)) *chaos {
	return &chaos{deployment: d, rng: rand.New(rand.NewPCG(seed, 99)), out: out, began: time.Now()}
}

// run injects faults until ctx ends and then heals everything.
func (c *chaos) run(ctx context.Context) {
	defer c.heal()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(chaosPeriod):
		}
		if i%healPeriods == 0 {
			c.heal()
			continue
		}
		d := c.draw()
		c.out("%6.1fs  %s: %s\n", time.Since(c.began).Seconds(), d.name, d.inject(c, ctx))
	}
}

func (c *chaos) draw() disaster {
	total := 0
	for _, d := range disasters {
		total += d.weight
	}
	n := c.rng.IntN(total)
	for _, d := range disasters {
		if n -= d.weight; n < 0 {
			return d
		}
	}
	return disasters[0]
}

func (c *chaos) heal() {
	for _, f := range c.healing {
		f()
	}
	c.healing = nil
}

func (c *chaos) platform(f stand.Faults) string {
	objects := c.deployment.platform
	objects.SetFaults(f)
	c.healing = append(c.healing, func() { objects.SetFaults(stand.Faults{}) })
	return fmt.Sprintf("%+v", f)
}

// anyEndpoint draws an endpoint; those of bookings more often than others.
func (c *chaos) anyEndpoint() string {
	names := c.deployment.set.EndpointNames()
	if c.rng.IntN(3) == 0 {
		return fmt.Sprint("bookings-", 1+c.rng.IntN(3))
	}
	return names[c.rng.IntN(len(names))]
}

func (c *chaos) endpoint(f standin.ServerFaults) string {
	name := c.anyEndpoint()
	s := c.deployment.servers[name]
	s.faults(f)
	c.healing = append(c.healing, func() { s.faults(standin.ServerFaults{}) })
	return name
}

func (c *chaos) leave() string {
	name := c.anyEndpoint()
	c.deployment.SetEndpointState(name, "leaving")
	c.healing = append(c.healing, func() { c.deployment.SetEndpointState(name, "live") })
	return name
}

// cut keeps some instances apart from the others.
func (c *chaos) cut() string {
	var group []int
	for i := range c.deployment.Size() {
		if c.rng.IntN(2) == 0 {
			group = append(group, i)
		}
	}
	c.deployment.KeepApart(group)
	c.healing = append(c.healing, c.deployment.Join)
	return fmt.Sprint(group)
}

// replaceable returns the instances that serve, if one of them can be spared.
func (c *chaos) replaceable() []int {
	c.deployment.mu.Lock()
	defer c.deployment.mu.Unlock()
	var out []int
	for i, e := range c.deployment.entries {
		if !e.gone {
			out = append(out, i)
		}
	}
	if len(out) <= leastEntries {
		return nil
	}
	return out
}

func (c *chaos) crash(ctx context.Context) string {
	candidates := c.replaceable()
	if candidates == nil {
		return c.add(ctx)
	}
	return c.deployment.CrashEntry(candidates[c.rng.IntN(len(candidates))])
}

// stop drains an instance while the next faults are already injected.
func (c *chaos) stop(ctx context.Context) string {
	candidates := c.replaceable()
	if candidates == nil {
		return c.add(ctx)
	}
	i := candidates[c.rng.IntN(len(candidates))]
	go func() {
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		_ = c.deployment.StopEntry(stopCtx, i)
	}()
	return c.deployment.entries[i].Name()
}

// add starts an instance in place of one that went. It may have to wait until
// the platform or a peer tells it what is in force.
func (c *chaos) add(ctx context.Context) string {
	if len(c.replaceable()) >= mostEntries {
		return "none"
	}
	go func() {
		startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), startTimeout)
		defer cancel()
		if err := c.deployment.AddEntry(startCtx); err != nil {
			c.out("adding an instance: %v\n", err)
		}
	}()
	return "another one starts instead"
}
