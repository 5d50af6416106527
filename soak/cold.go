package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chervilpath/platform/stand"
)

// Cold servers tolerate coldRate requests per second; all instances together may send
// coldOver times as many, and coldSlack more, in any second.
const (
	coldRate  = 2
	coldOver  = 1.5
	coldSlack = 5
)

// coldPeriod is a time for which a server is cold. started is set if it was cold from its
// start, so that no instance has taken it for warm.
type coldPeriod struct {
	server      string
	from, until time.Time
	started     bool
}

// returnCold replaces a random server by one that is cold from its start, or makes it cold
// again.
func returnCold(h *harness, rng *rand.Rand) string {
	servers := h.activeServers()
	s, d := servers[rng.IntN(len(servers))], 2*time.Second+2*drawFaultDuration(rng)
	if rng.IntN(2) == 0 {
		from := time.Now()
		s.TurnCold(d)
		h.store.PutEntry(s.Server, stand.Ready)
		h.checker.addColdPeriod(coldPeriod{server: s.ID, from: from, until: from.Add(d)})
		return s.ID + " again"
	}
	added, err := h.addColdServer(s.Service, d)
	if err != nil {
		return err.Error()
	}
	h.mu.Lock()
	s.retired = true
	h.mu.Unlock()
	h.store.PutEntry(s.Server, stand.Draining)
	h.checker.locked(func() { h.checker.withdrawnAt[s.ID] = time.Now() })
	time.AfterFunc(2*drainTimeout+gracePeriod, func() { h.store.RemoveServer(s.ID) })
	return fmt.Sprintf("%s in place of %s", added.ID, s.ID)
}

func (c *checker) addColdPeriod(p coldPeriod) {
	c.locked(func() { c.coldPeriods = append(c.coldPeriods, p) })
}

// checkCold checks that no cold server received more requests in any second than it bears.
// For one that turned cold again this holds once all instances know that, if none is
// disturbed. What a link or a silent server holds back arrives at once later. The notices
// of a server are in the order of their arrival.
func (c *checker) checkCold(report func(string, ...any)) {
	for _, p := range c.coldPeriods {
		from := p.from
		if !p.started {
			from = from.Add(configPropagation)
		}
		var window []time.Time
		for _, n := range c.notices {
			if n.server != p.server || n.At.Before(from) || n.At.After(p.until) {
				continue
			}
			window = append(window, n.At)
			for n.At.Sub(window[0]) >= time.Second {
				window = window[1:]
			}
			if float64(len(window)) > coldRate*coldOver+coldSlack && c.coldIsCertain(p, window[0], n.At) {
				report("cold server %s received %d requests in a second, %v after it turned cold", p.server, len(window), n.At.Sub(p.from))
				break
			}
		}
	}
}

// coldIsCertain reports whether nothing delayed the requests that a cold server received
// between two times, and all instances knew by then that it was cold.
func (c *checker) coldIsCertain(p coldPeriod, from, to time.Time) bool {
	for _, s := range c.silences {
		if s.server == p.server && s.from.Before(to) && s.to.Add(time.Second).After(from) {
			return false
		}
	}
	for _, list := range c.disturbances {
		for _, d := range list {
			if d.server == p.server && d.overlaps(from, to) || !p.started && d.server == "" && d.overlaps(p.from, to) {
				return false
			}
		}
	}
	return true
}
