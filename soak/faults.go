package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"time"

	"chervilpath/platform/stand"
)

// meanFaultPauses are the mean times between two faults, one of which is drawn for
// each run. With the shortest, faults overlap. With the longest, there are enough
// undisturbed periods for most time bounds to be checked. calmPause is that of calmFaults.
var meanFaultPauses = []time.Duration{700 * time.Millisecond, 2 * time.Second, 4 * time.Second}

const calmPause = 600 * time.Millisecond

// minSpeech is the least time between two silences of a server.
const minSpeech = time.Second

// fault is a kind of fault and its relative frequency. inject starts a fault and
// returns a description of it. A fault that has to be reverted is reverted by a timer,
// possibly only after the last fault of the run.
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
	{"store link", 3, func(h *harness, rng *rand.Rand) string {
		in := h.instances[rng.IntN(len(h.instances))]
		return disruptLink(h.checker, in.number, in.storeLink, rng)
	}},
	{"store", 3, disruptStore},
	{"server link", 3, func(h *harness, rng *rand.Rand) string {
		servers := h.activeServers()
		s := servers[rng.IntN(len(servers))]
		// All instances use this link, and it is not known whose requests are on
		// it, so all of them count as disturbed.
		return s.ID + " " + disruptServerLink(h, s, rng)
	}},
	{"server withdrawal", 4, withdrawServer},
	{"server refusal", 3, func(h *harness, rng *rand.Rand) string {
		servers := h.activeServers()
		s := servers[rng.IntN(len(servers))]
		s.RefuseFor(drawFaultDuration(rng))
		return s.ID
	}},
	{"server crash", 2, crashServer},
	{"odd entry", 3, putOddEntry},
	{"herd kill beside a withdrawal", 2, killBesideWithdrawal},
	{"server without end", 2, sendWithoutEnd},
	{"address in use again", 1, reuseAddress},
	{"cold return", 3, returnCold},
}

// calmFaults are what disturbs nothing. They are drawn beside the others.
var calmFaults = []fault{
	{"server silence", 3, silenceServer},
	{"server failure after runs", 2, failAfterRuns},
	{"noisy engines", 3, slowEngines},
	{"server reading", 2, readSlowly},
	{"noisy neighbour", 3, slowServer},
	{"odd load", 2, sayOddLoad},
	{"configuration", 1, func(h *harness, rng *rand.Rand) string {
		service := []string{serviceDesk, serviceAlternate}[rng.IntN(2)]
		h.putConfig(service)
		return service
	}},
}

// enginePaces are the paces of the engines by index, as in docs/design/load.md.
var enginePaces = []float64{0.7, 0.7, 1.7}

// slowEngines makes one in seven of the engines slow for a moment, and one at least. They stay
// sound: it disturbs nothing.
func slowEngines(h *harness, rng *rand.Rand) string {
	engines := slices.DeleteFunc(h.activeServers(), func(s *server) bool { return s.NumEvents == 0 })
	if len(engines) == 0 {
		return "no engine is active"
	}
	rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	slow := engines[:1+len(engines)/7]
	for _, s := range slow {
		s.SlowFor(slowFactor, slowTime)
	}
	return fmt.Sprintf("%d of %d for %v", len(slow), len(engines), slowTime)
}

// silenceServer makes a random server of a random service, or in one of three cases all its
// servers, read and send nothing for 0.3 s to 1.8 s. They stay sound: it disturbs nothing.
func silenceServer(h *harness, rng *rand.Rand) string {
	service := services[rng.IntN(len(services))]
	from := time.Now()
	servers := slices.DeleteFunc(h.activeServers(), func(s *server) bool {
		return s.Service != service || from.Before(s.silentAgainAt)
	})
	if len(servers) == 0 {
		return "no server of " + service + " has spoken for long enough"
	}
	d := 300*time.Millisecond + time.Duration(rng.Int64N(int64(1500*time.Millisecond)))
	silent := servers
	if one := rng.IntN(len(servers)); rng.IntN(3) > 0 {
		silent = servers[one : one+1]
	}
	for _, s := range silent {
		s.FallSilent(d)
		s.silentAgainAt = from.Add(d + minSpeech)
		h.checker.locked(func() { h.checker.silences = append(h.checker.silences, silence{s.ID, from, from.Add(d)}) })
	}
	return fmt.Sprintf("%d of %s for %v", len(silent), service, d.Round(time.Millisecond))
}

// readSlowly makes a random server read slowly for some time. It disturbs nothing.
func readSlowly(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, d := servers[rng.IntN(len(servers))], drawFaultDuration(rng)
	s.ReadSlowly(d)
	return fmt.Sprintf("%s for %v", s.ID, d.Round(time.Millisecond))
}

// putOddEntry puts an entry of another writer, which names no server, among those of the
// servers for some time. One in three is deeply nested.
func putOddEntry(h *harness, rng *rand.Rand) string {
	kinds := slices.Sorted(maps.Keys(stand.OddEntries))
	kind, service := kinds[rng.IntN(len(kinds))], services[rng.IntN(len(services))]
	if rng.IntN(3) == 0 {
		kind = stand.DeeplyNested
	}
	h.mu.Lock()
	h.serverCount++
	id := fmt.Sprintf("odd-%d", h.serverCount)
	h.mu.Unlock()
	h.store.PutOdd(id, service, kind)
	time.AfterFunc(2*drawFaultDuration(rng), func() { h.store.RemoveServer(id) })
	return fmt.Sprintf("%s (%s): %s", id, service, kind)
}

var services = []string{serviceDesk, serviceAlternate, serviceLLM, serviceLone, servicePhotos}

// drawFaultDuration returns a random duration between 0.3 s and 2.3 s.
func drawFaultDuration(rng *rand.Rand) time.Duration {
	return 300*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))
}

// injectFaults injects random faults of a list, with the given mean pause, until ctx is
// done.
func (h *harness) injectFaults(ctx context.Context, rng *rand.Rand, faults []fault, pause time.Duration, logf func(format string, args ...any)) {
	total := 0
	for _, f := range faults {
		total += f.weight
	}
	if total == 0 {
		return
	}
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

// restart sends a signal to the process of a random instance, and starts another
// process up to 1 s after it has exited. A process that has not exited after
// gracePeriod is killed.
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
			// An error is not handled here: it shows as an instance that never
			// becomes ready.
			_ = h.startProcess(in)
		}
		end()
	}()
	return fmt.Sprintf("instance %d", in.number)
}

// freezeInstance suspends the process of a random instance for some time.
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

// disruptLink puts a link of one instance in a random failure mode for some time. The
// instance counts as disturbed meanwhile.
func disruptLink(c *checker, instance int, link *proxy, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := c.beginDisturbance(instance)
	link.set(m)
	time.AfterFunc(drawFaultDuration(rng), func() {
		// Connections on which data was held back are reset rather than resumed,
		// as after the loss of a network path.
		link.set(reset)
		link.set(pass)
		end()
	})
	return fmt.Sprintf("instance %d %s", instance, modeNames[m])
}

// disruptServerLink puts the link of a server, which all instances use, in a random
// failure mode for some time. All instances count as disturbed by the server meanwhile.
func disruptServerLink(h *harness, s *server, rng *rand.Rand) string {
	m := mode(1 + rng.IntN(len(modeNames)-1))
	end := h.checker.beginDisturbances(h.instances, s.ID)
	s.link.set(m)
	time.AfterFunc(drawFaultDuration(rng), func() {
		s.link.set(reset)
		s.link.set(pass)
		end()
	})
	return modeNames[m]
}

// disruptStore makes the store fail in a random way for some time. In the last of these
// ways, watches receive no changes and then find the history compacted.
func disruptStore(h *harness, rng *rand.Rand) string {
	name := []string{"down", "slow", "refuses", "watches muted, then compacted"}[rng.IntN(4)]
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

// withdrawServer starts a replacement for a random server and then withdraws the server
// from use: it marks the server's entry as draining and removes it later, or removes it at
// once, or leaves it to the server's answers alone to say so. In half of the cases the
// answers say so too, before the store.
func withdrawServer(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s := servers[rng.IntN(len(servers))]
	if _, err := h.addServer(s.Service); err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	time.AfterFunc(2*drainTimeout+gracePeriod, func() { h.store.RemoveServer(s.ID) })
	kind := rng.IntN(3)
	if kind == 2 || rng.IntN(2) == 0 {
		s.SayLeaving(true)
	}
	switch kind {
	case 0:
		h.store.PutEntry(s.Server, stand.Draining)
	case 1:
		h.store.RemoveServer(s.ID)
	case 2:
		return s.ID + " by its answers alone"
	}
	h.checker.locked(func() { h.checker.withdrawnAt[s.ID] = time.Now() })
	return s.ID
}

// crashServer starts a replacement for a random server and then breaks the server's
// connections without notice. Its entry is removed only some time later.
func crashServer(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s := servers[rng.IntN(len(servers))]
	if _, err := h.addServer(s.Service); err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	end := h.checker.beginDisturbances(h.instances, s.ID)
	s.link.set(reset)
	time.AfterFunc(drawFaultDuration(rng), func() {
		h.store.RemoveServer(s.ID)
		end()
	})
	return s.ID
}

// promises are the statuses with which a server that fails after a run may promise that the
// request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// promisesNotRun reports whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	return status == http.StatusMisdirectedRequest || slices.Contains(promises, status)
}

// failAfterRuns makes a random plain server or engine fail the requests that it has run, with a
// status that promises that they have not. It disturbs nothing.
func failAfterRuns(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, status := servers[rng.IntN(len(servers))], promises[rng.IntN(len(promises))]
	if s.Service == servicePhotos {
		return s.ID + " runs no requests"
	}
	s.FailAfterRuns(status, drawFaultDuration(rng)/2)
	return fmt.Sprintf("%s with status %d", s.ID, status)
}
