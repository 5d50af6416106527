package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// crashPart is the part of prompts on which engines crash, in the runs that have it.
	crashPart = "crash"

	// crashRatio is the fraction of runs that have it, and crashPause the mean time between
	// two requests with it.
	crashRatio = 0.6
	crashPause = 150 * time.Millisecond

	// crashDowntime is the time until a crashed engine is replaced, and crashEngines the
	// number of further engines in these runs.
	crashDowntime = 2 * time.Second
	crashEngines  = 6

	// maxCrashes is the number of crashes after which, within recoveryTime, no more than
	// maxLateSends requests with the part may reach engines. Bystanders are refused at most
	// maxWronglyHeld times.
	maxCrashes     = 5
	maxLateSends   = 3
	maxWronglyHeld = 0

	// crashStream selects the random numbers of the caller of such requests.
	crashStream = 1<<32 + 1
)

// hasCrashPart reports whether the run with a seed has a part on which engines crash.
func hasCrashPart(seed uint64) bool {
	return rand.New(rand.NewPCG(seed, crashStream)).Float64() < crashRatio
}

// addCrashingEngines adds engines, so that some are left while others are down.
func (h *harness) addCrashingEngines() error {
	for range crashEngines {
		if _, err := h.addServer(serviceLLM); err != nil {
			return err
		}
	}
	return nil
}

// engineCrashed replaces an engine that crashed on a prompt.
func (h *harness) engineCrashed(s *server) {
	h.checker.locked(func() { h.checker.crashes = append(h.checker.crashes, time.Now()) })
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	end := h.checker.beginDisturbances(h.instances, s.ID)
	time.AfterFunc(crashDowntime, func() {
		// An error is not handled here: it shows as requests that are not served.
		_, _ = h.addServer(s.Service)
		h.store.RemoveServer(s.ID)
		end()
	})
}

// runCrashCaller sends requests with crashPart to random instances until ctx is done. They
// share their other parts with sound ones.
func (h *harness) runCrashCaller(ctx context.Context, rng *rand.Rand) {
	client := newClient(false, false)
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		r := &request{id: fmt.Sprint("x-", n), route: []string{routeDraft, routeChat}[rng.IntN(2)], key: callerKey, instance: rng.IntN(len(h.instances)), crashes: true}
		r.prompt = slices.Insert(sharedParts(rng.IntN(1000)), rng.IntN(3), crashPart)
		go h.send(client, r, false)
		select {
		case <-time.After(time.Duration(rng.Int64N(int64(2 * crashPause)))):
		case <-ctx.Done():
		}
	}
}

// sharedParts returns the shared parts of the nth prompt: one of all and one of a few.
func sharedParts(n int) []string { return []string{"base", fmt.Sprint("subject", n%40)} }

// checkCrashes checks that requests with crashPart no longer reach engines soon after the
// fifth crash, unless their instance was disturbed, and that no others are held back.
func (c *checker) checkCrashes(report func(string, ...any)) {
	wronglyHeld := 0
	for _, r := range c.requests {
		if r.quarantined && !r.crashes {
			wronglyHeld++
		}
	}
	if wronglyHeld > maxWronglyHeld {
		report("%d sound requests were refused because of their prompts", wronglyHeld)
	}
	if len(c.crashes) < maxCrashes {
		return
	}
	slices.SortFunc(c.crashes, time.Time.Compare)
	bound := c.crashes[maxCrashes-1].Add(recoveryTime)
	late := 0
	for _, a := range c.arrivals {
		r := c.requests[a.id]
		if r != nil && r.crashes && a.at.After(bound) && c.ranUndisturbed(r.instance, bound, a.at) {
			late++
		}
	}
	if late > maxLateSends {
		report("%d requests that crash engines reached them later than %v after the fifth of %d crashes", late, recoveryTime, len(c.crashes))
	}
}

// ranUndisturbed reports whether an instance itself was not disturbed, nor recovering. The
// store and the servers may have been.
func (c *checker) ranUndisturbed(instance int, from, to time.Time) bool {
	return !slices.ContainsFunc(c.disturbances[instance], func(d *disturbance) bool { return d.server == "" && d.overlaps(from, to) })
}
