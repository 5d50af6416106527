package main

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// killLead is how long before a server's entry is removed a herd of instances is killed,
	// and herdDowntime how long until they start again.
	killLead     = 150 * time.Millisecond
	herdDowntime = 300 * time.Millisecond

	// watchTime is longer than the time between two calls of an instance that watches the
	// store.
	watchTime = drainTimeout
)

// killBesideWithdrawal kills, at the same moment, the instances that watch the store and those
// that others have as seeds, but spares at least one, and removes the entry of a server meanwhile,
// which goes on serving. The instances start again at once.
func killBesideWithdrawal(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, spared := servers[rng.IntN(len(servers))], len(h.instances)-1-rng.IntN(max(1, len(h.instances)-maxSeeds))
	if _, err := h.addServer(s.Service); err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	killed := 0
	for _, in := range h.instances {
		if in.number == spared || in.number >= maxSeeds && !in.storeLink.usedWithin(watchTime) {
			continue
		}
		h.killFor(in, func() { time.Sleep(herdDowntime) })
		killed++
	}
	time.AfterFunc(killLead, func() {
		h.store.RemoveServer(s.ID)
		h.checker.locked(func() { h.checker.withdrawnAt[s.ID] = time.Now() })
	})
	return fmt.Sprintf("%s, %d instances are killed", s.ID, killed)
}

// killFor kills the process of an instance, calls down once it has exited, and starts another one
// after that. It does nothing if the instance is down.
func (h *harness) killFor(in *instance, down func()) {
	process, exited := in.currentProcess()
	select {
	case <-exited:
		return
	default:
	}
	end := h.checker.beginDisturbance(in.number)
	in.signal(syscall.SIGCONT)
	in.signal(syscall.SIGKILL)
	go func() {
		defer end()
		<-exited
		down()
		if current, _ := in.currentProcess(); current == process {
			// As in restart, an error shows as an instance that never becomes ready.
			_ = h.startProcess(in)
		}
	}()
}
