// Package engine owns the placement of requests on the model engines of one
// service: which engine has read a prompt's shared parts, how much is placed
// on each, and which engines fail.
//
// The instance that owns the service holds the Desk that counts for all
// instances; every other instance holds one to place by alone while the owner
// does not answer. It must not call engines or read a clock. A Desk is safe
// for concurrent use.
package engine

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/balance"
	"chervilpath/core/fleet"
)

const (
	// An engine is passed over for a prompt that it has read if its load is
	// above boundFactor times the mean and boundExtra requests (Mirrokni,
	// Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2016).
	boundFactor = 1.5
	boundExtra  = 1.5

	// failEject is the number of failures in a row at which an engine is
	// ejected, for minEject, doubled each time in a row, up to maxEject.
	failEject = 2
	minEject  = 500 * time.Millisecond
	maxEject  = 4 * time.Second

	// fullPause is how long an engine that said it is full gets nothing.
	fullPause = 100 * time.Millisecond
)

type (
	// Query describes a request that needs an engine.
	Query struct {
		Request string
		// Affinity names the shared part of the prompt by which requests are
		// kept together.
		Affinity string
		// Exclude lists the ids of engines not to choose.
		Exclude []string
		// Weights favours zones, by the capacity of the stages there; zones that
		// are not named have weight 1.
		Weights map[string]float64
		// Expires is when the placement is forgotten if it is not settled.
		Expires time.Time
	}

	// Desk is the engines of one service. Use New.
	Desk struct {
		mu      sync.Mutex
		slots   int
		engines map[string]*unit
		order   []*unit
		placed  map[string]placement
		swept   time.Time
	}

	unit struct {
		fleet.Server
		hash     uint64
		load     int
		failures int
		until    time.Time
	}

	placement struct {
		unit    *unit
		expires time.Time
	}
)

// New returns a desk without engines.
func New() *Desk {
	return &Desk{engines: make(map[string]*unit), placed: make(map[string]placement)}
}

// Replace takes the engines that may get requests, and how many one runs at once.
func (d *Desk) Replace(servers []fleet.Server, slots int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.slots = slots
	listed := make(map[string]bool, len(servers))
	d.order = d.order[:0]
	for _, s := range servers {
		listed[s.ID] = true
		u, ok := d.engines[s.ID]
		if !ok || u.Born != s.Born {
			u = &unit{hash: xxhash.Sum64String(s.ID)}
			d.engines[s.ID] = u
		}
		u.Server = s
		d.order = append(d.order, u)
	}
	for id := range d.engines {
		if !listed[id] {
			delete(d.engines, id)
		}
	}
}

// Place returns the id of the engine for a request, or "" if none is free.
func (d *Desk) Place(now time.Time, q Query) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep(now)
	total, able := 0, 0
	for _, u := range d.order {
		if !now.Before(u.until) {
			total += u.load
			able++
		}
	}
	if able == 0 {
		return d.lastResort(now, q)
	}
	bound := boundFactor*float64(total)/float64(able) + boundExtra
	best, bestRank := (*unit)(nil), 0.0
	for _, u := range d.order {
		if now.Before(u.until) || float64(u.load) >= bound || u.load >= d.slots || slices.Contains(q.Exclude, u.ID) {
			continue
		}
		if rank := rank(u, q); best == nil || rank > bestRank {
			best, bestRank = u, rank
		}
	}
	if best == nil {
		return d.lastResort(now, q)
	}
	return d.take(best, q)
}

// lastResort returns the least loaded engine that is not excluded, ejected or not.
func (d *Desk) lastResort(now time.Time, q Query) string {
	var best *unit
	for _, u := range d.order {
		if slices.Contains(q.Exclude, u.ID) || u.load >= 2*d.slots {
			continue
		}
		if best == nil || d.before(now, u, best) {
			best = u
		}
	}
	if best == nil {
		return ""
	}
	return d.take(best, q)
}

func (d *Desk) before(now time.Time, a, b *unit) bool {
	if outA, outB := now.Before(a.until), now.Before(b.until); outA != outB {
		return outB
	}
	return a.load < b.load
}

func (d *Desk) take(u *unit, q Query) string {
	if old, ok := d.placed[q.Request]; ok {
		old.unit.load--
	}
	u.load++
	d.placed[q.Request] = placement{unit: u, expires: q.Expires}
	return u.ID
}

// rank is the weighted rendezvous rank of an engine for a prompt.
func rank(u *unit, q Query) float64 {
	h := balance.Mix(xxhash.Sum64String(q.Affinity), u.hash)
	share := (float64(h>>11) + 0.5) / (1 << 53)
	weight, ok := q.Weights[u.Zone]
	if !ok {
		weight = 1
	}
	return -max(weight, 0.01) / math.Log(share)
}

// Settle ends the placement of a request and takes what it says of the engine.
func (d *Desk) Settle(now time.Time, request, server string, outcome balance.Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.placed[request]; ok && p.unit.ID == server {
		p.unit.load--
		delete(d.placed, request)
	}
	u, ok := d.engines[server]
	if !ok {
		return
	}
	switch outcome {
	case balance.Succeeded:
		u.failures = 0
	case balance.Failed:
		if u.failures++; u.failures >= failEject {
			u.until = now.Add(min(maxEject, minEject<<min(u.failures-failEject, 8)))
		}
	case balance.Full:
		u.until = now.Add(fullPause)
	}
}

// sweep forgets placements whose requests were never settled.
func (d *Desk) sweep(now time.Time) {
	if now.Sub(d.swept) < time.Second {
		return
	}
	d.swept = now
	for id, p := range d.placed {
		if now.After(p.expires) {
			p.unit.load--
			delete(d.placed, id)
		}
	}
}
