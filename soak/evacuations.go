package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// evacuationBound is how long after the store has acknowledged the evacuation of a zone
// servers there may still be reached. It is also written to the settings.
const evacuationBound = 2 * time.Second

// pathStageRun is the path of stage calls.
const pathStageRun = "/stage-run"

// evacuation is the evacuation of a zone. to is before the write that ends it, or zero.
type evacuation struct {
	zone      string
	acked, to time.Time
}

// zoneOf returns the zone of the n-th server.
func zoneOf(n int) string { return fmt.Sprintf("d%d", n%2) }

// evacuateZone evacuates a random zone for some time, unless one is evacuated. It disturbs
// nothing.
func evacuateZone(h *harness, rng *rand.Rand) string {
	e := &evacuation{zone: zoneOf(rng.IntN(2))}
	d := evacuationBound + 2*drawFaultDuration(rng)
	busy := false
	h.checker.locked(func() {
		for _, other := range h.checker.evacuations {
			busy = busy || other.to.IsZero()
		}
		if !busy {
			h.checker.evacuations = append(h.checker.evacuations, e)
		}
	})
	if busy {
		return "a zone is evacuated already"
	}
	h.store.Evacuate(e.zone)
	h.checker.locked(func() { e.acked = time.Now() })
	time.AfterFunc(d, func() {
		h.checker.locked(func() { e.to = time.Now() })
		h.store.EndEvacuation(e.zone)
	})
	return fmt.Sprintf("%s for %v", e.zone, d.Round(time.Millisecond))
}

// checkEvacuations checks that no request and no stage call reached a server of an evacuated
// zone later than evacuationBound after the store had acknowledged the evacuation, unless it
// came from a disturbed instance. Which instance sent a stage call is not known, so all must
// have been undisturbed. Freeing results is allowed. A server that was silent meanwhile reads
// late what was sent before.
func (c *checker) checkEvacuations(report func(string, ...any)) {
	for _, e := range c.evacuations {
		bound := e.acked.Add(evacuationBound)
		for _, n := range c.notices {
			if n.zone != e.zone || !n.At.After(bound) || !e.to.IsZero() && n.At.After(e.to) || c.silentSince(n.server, e.acked, n.At) {
				continue
			}
			r := c.requests[n.RequestID]
			switch {
			case r != nil && c.undisturbedAt(n.server, r.instance, e.acked, n.At):
				report("%s: reached server %s of zone %s %v after its evacuation", r.id, n.server, e.zone, n.At.Sub(e.acked))
			case r == nil && n.Path == pathStageRun && c.allUndisturbedAt(n.server, e.acked, n.At):
				report("a stage call reached server %s of zone %s %v after its evacuation", n.server, e.zone, n.At.Sub(e.acked))
			}
		}
	}
}

// silentSince reports whether a server was silent at any time between from and to.
func (c *checker) silentSince(server string, from, to time.Time) bool {
	for _, s := range c.silences {
		if s.server == server && s.from.Before(to) && s.to.After(from) {
			return true
		}
	}
	return false
}

// undisturbedAt reports whether neither the instance nor the store was disturbed, or still
// recovering, between from and to, by anything but the fault of another server: that delays no
// request to this one.
func (c *checker) undisturbedAt(server string, instance int, from, to time.Time) bool {
	for _, number := range []int{instance, storeNumber} {
		for _, d := range c.disturbances[number] {
			if (d.server == "" || d.server == server) && d.overlaps(from, to) {
				return false
			}
		}
	}
	return true
}

// allUndisturbedAt reports the same of all instances.
func (c *checker) allUndisturbedAt(server string, from, to time.Time) bool {
	for number := range c.disturbances {
		if !c.undisturbedAt(server, number, from, to) {
			return false
		}
	}
	return true
}
