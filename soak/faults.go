package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

// meanFaultPauses are mean times between two faults, of which the seed draws one: in
// the first they overlap, in the last most bounds hold.
var meanFaultPauses = []time.Duration{700 * time.Millisecond, 2 * time.Second, 4 * time.Second}

// fault harms the world. It returns what it did; what has to be undone is
// undone by itself, before ctx of the run ends or after.
type fault struct {
	name   string
	weight int
	inject func(h *harness, rng *rand.Rand) string
}

var faults = []fault{
	{"kill", 3, func(h *harness, rng *rand.Rand) string { return h.restart(rng, syscall.SIGKILL) }},
	{"stop", 4, func(h *harness, rng *rand.Rand) string { return h.restart(rng, syscall.SIGTERM) }},
	{"freeze", 2, freezeInstance},
	{"reload", 1, func(h *harness, rng *rand.Rand) string {
		in := h.instances[rng.IntN(len(h.instances))]
		in.signal(syscall.SIGHUP)
		return fmt.Sprint("instance ", in.number)
	}},
	{"link to the store", 3, func(h *harness, rng *rand.Rand) string {
		in := h.instances[rng.IntN(len(h.instances))]
		return disruptLink(h.checker, in.number, in.storeLink, rng)
	}},
	{"store", 3, disruptStore},
	{"link to a server", 3, func(h *harness, rng *rand.Rand) string {
		servers := h.activeServers()
		s := servers[rng.IntN(len(servers))]
		// Nobody can tell a caller whose request was on the link.
		return s.ID + " " + disruptSharedLink(h, s.link, rng)
	}},
	{"server leaves", 4, withdrawServer},
	{"server crashes", 2, crashServer},
	{"configuration", 4, func(h *harness, rng *rand.Rand) string {
		service := []string{serviceDesk, serviceAlternate}[rng.IntN(2)]
		h.putConfig(service)
		return service
	}},
}

// drawFaultDuration returns how long a fault lasts.
func drawFaultDuration(rng *rand.Rand) time.Duration {
	return 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))
}

// injectFaults injects faults until ctx is done.
func (h *harness) injectFaults(ctx context.Context, rng *rand.Rand, logf func(format string, args ...any)) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	pause := meanFaultPauses[rng.IntN(len(meanFaultPauses))]
	for {
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * pause)))):
		case <-ctx.Done():
			return
		}
		k := rng.IntN(total)
		for _, f := range faults {
			if k -= f.weight; k < 0 {
				logf("%s: %s", f.name, f.inject(h, rng))
				break
			}
		}
	}
}

// restart ends the process of an instance by a signal and starts another one
// once it is gone.
func (h *harness) restart(rng *rand.Rand, sig syscall.Signal) string {
	in := h.instances[rng.IntN(len(h.instances))]
	process, exited := in.currentProcess()
	select {
	case <-exited:
		return fmt.Sprintf("instance %d is down", in.number)
	default:
	}
	downtime := time.Duration(rng.Int64N(int64(time.Second)))
	end := func() {}
	if sig == syscall.SIGKILL {
		end = h.checker.beginDisturbance(in.number)
	} else {
		h.checker.locked(func() {
			if _, ok := h.checker.stoppedAt[[2]int{in.number, process}]; !ok {
				h.checker.stoppedAt[[2]int{in.number, process}] = time.Now()
			}
		})
	}
	in.signal(sig)
	go func() {
		select {
		case <-exited:
		case <-time.After(gracePeriod):
			in.signal(syscall.SIGCONT)
			in.signal(syscall.SIGKILL)
			<-exited
		}
		time.Sleep(downtime)
		if current, _ := in.currentProcess(); current == process {
			// A failure to start shows as an instance that is never ready.
			_ = h.startProcess(in)
		}
		end()
	}()
	return fmt.Sprintf("instance %d", in.number)
}

func freezeInstance(h *harness, rng *rand.Rand) string {
	in := h.instances[rng.IntN(len(h.instances))]
	end := h.checker.beginDisturbance(in.number)
	in.signal(syscall.SIGSTOP)
	time.AfterFunc(drawFaultDuration(rng), func() {
		in.signal(syscall.SIGCONT)
		end()
	})
	return fmt.Sprintf("instance %d", in.number)
}

// disruptLink treats a link badly for a while, which is trouble of an instance.
func disruptLink(c *checker, instance int, link *proxy, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := c.beginDisturbance(instance)
	link.set(m)
	time.AfterFunc(drawFaultDuration(rng), func() {
		// Held connections are lost with the path.
		link.set(reset)
		link.set(pass)
		end()
	})
	return fmt.Sprintf("instance %d %s", instance, modeNames[m])
}

// disruptSharedLink treats a link badly that all instances use.
func disruptSharedLink(h *harness, link *proxy, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := h.checker.beginDisturbances(h.instances)
	link.set(m)
	time.AfterFunc(drawFaultDuration(rng), func() {
		link.set(reset)
		link.set(pass)
		end()
	})
	return modeNames[m]
}

func disruptStore(h *harness, rng *rand.Rand) string {
	name := []string{"down", "slow", "refuses", "mute and compacted"}[rng.IntN(4)]
	end := h.checker.beginDisturbance(storeNumber)
	undo := func() { h.store.SetFaults(stand.Faults{}) }
	switch name {
	case "down":
		h.store.SetFaults(stand.Faults{Down: true})
	case "slow":
		h.store.SetFaults(stand.Faults{DelayMs: 300})
	case "refuses":
		kind := stand.CallFault(1 + rng.IntN(4))
		h.store.SetCallFault(func(*http.Request) stand.CallFault { return kind })
		undo = func() { h.store.SetCallFault(nil) }
	default:
		h.store.MuteWatches(true)
		undo = func() {
			h.store.Compact()
			h.store.MuteWatches(false)
		}
	}
	time.AfterFunc(drawFaultDuration(rng), func() {
		undo()
		end()
	})
	return name
}

// withdrawServer has a server drain, or lose its entry, and go; another one comes first.
func withdrawServer(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s := servers[rng.IntN(len(servers))]
	if _, err := h.addServer(s.Service); err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	if rng.IntN(2) == 0 {
		h.store.PutEntry(s.Server, stand.Draining)
	} else {
		h.store.RemoveServer(s.ID)
	}
	h.checker.locked(func() { h.checker.withdrawnAt[s.ID] = time.Now() })
	time.AfterFunc(2*drainTimeout+gracePeriod, func() { h.store.RemoveServer(s.ID) })
	return s.ID
}

// crashServer ends a server without a word; its entry lapses later.
func crashServer(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s := servers[rng.IntN(len(servers))]
	if _, err := h.addServer(s.Service); err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	end := h.checker.beginDisturbances(h.instances)
	s.link.set(reset)
	time.AfterFunc(drawFaultDuration(rng), func() {
		h.store.RemoveServer(s.ID)
		end()
	})
	return s.ID
}
