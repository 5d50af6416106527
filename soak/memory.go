package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilpath/platform/stand"
)

// machineMemory is the memory of an instance's machine in MiB, and memoryInterval the time
// between two looks at how much of it each process has taken.
const (
	machineMemory  = 284
	memoryInterval = 100 * time.Millisecond
)

// sendWithoutEnd makes a random server answer everything without end for some time.
func sendWithoutEnd(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, head, d := servers[rng.IntN(len(servers))], rng.IntN(2) == 0, drawFaultDuration(rng)
	end := h.checker.beginDisturbances(h.instances, s.ID)
	s.SendWithoutEnd(head, d)
	time.AfterFunc(d, end)
	return fmt.Sprintf("%s for %v, in its heads: %v", s.ID, d.Round(time.Millisecond), head)
}

// reuseAddress kills a random instance, and has something else answer without end at the address
// at which it served the others, until it starts again.
func reuseAddress(h *harness, rng *rand.Rand) string {
	in, d := h.instances[rng.IntN(len(h.instances))], drawFaultDuration(rng)
	h.killFor(in, func() {
		// An error shows as an instance that is down for a shorter time.
		_ = stand.ServeWithoutEnd(in.peerAddress, d)
	})
	return fmt.Sprintf("instance %d for %v", in.number, d.Round(time.Millisecond))
}

// peakMemory returns the most memory in MiB that the current process of the instance has held,
// or 0 if it has exited.
func (in *instance) peakMemory() int {
	in.mu.Lock()
	pid := in.cmd.Process.Pid
	in.mu.Unlock()
	peak, err := stand.PeakMemory(pid)
	if err != nil {
		// What it held was seen at the latest memoryInterval before.
		return 0
	}
	return peak
}

// watchMemory records the peak of each instance until done is closed.
func (h *harness) watchMemory(done <-chan struct{}) {
	for {
		for _, in := range h.instances {
			peak := in.peakMemory()
			h.checker.locked(func() { h.checker.peaks[in.number] = max(h.checker.peaks[in.number], peak) })
		}
		select {
		case <-done:
			return
		case <-time.After(memoryInterval):
		}
	}
}

// checkMemory checks that no process took more memory than its machine has.
func (c *checker) checkMemory(report func(string, ...any)) {
	for number, peak := range c.peaks {
		if peak > machineMemory {
			report("instance %d took %d MiB, its machine has %d", number, peak, machineMemory)
		}
	}
}
