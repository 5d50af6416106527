// Package engine owns the placement of requests on the model engines of one
// service. It places requests that share a part of their prompt on the same
// engine, as long as its load allows, and tracks the load of each engine and
// its failures.
//
// The instance that owns the service holds the Placer that is used by all
// instances. Every other instance holds one of its own, which it uses while the
// owner does not answer. A Placer must not call engines or read a clock. It is
// safe for concurrent use.
package engine

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/balance"
	"chervilpath/core/fleet"
	"chervilpath/core/overload"
)

const (
	// An engine is passed over, even if it has read the shared part of the prompt
	// before, while its load is at least loadBoundFactor times the mean load plus
	// loadBoundExtra requests (Mirrokni, Thorup and Zadimoghaddam, "Consistent
	// Hashing with Bounded Loads", 2016).
	loadBoundFactor = 1.5
	loadBoundExtra  = 1.5

	// An engine is ejected after failuresBeforeEjection consecutive failures, or as
	// soon as it cannot be reached, for minEjection, doubled with each further
	// failure, up to maxEjection. After that it gets one request at a time, which
	// has to be one that may run again, until it serves one.
	failuresBeforeEjection = 2
	minEjection            = 500 * time.Millisecond
	maxEjection            = 4 * time.Second

	// fullBackoff is how long an engine that reported being full gets no request.
	fullBackoff = 100 * time.Millisecond
)

type (
	// Query describes a request that needs an engine.
	Query struct {
		RequestID string
		// Affinity identifies the shared part of the prompt. Requests with the
		// same affinity are placed on the same engine if possible.
		Affinity string
		// Parts are the parts of the prompt in order. PromptTokens is their sum, and
		// OutputTokens the expected number of tokens to come.
		Parts                      []Part
		PromptTokens, OutputTokens int
		// Demand says what the answer is worth and when it is due.
		Demand overload.Demand
		// Exclude lists the IDs of engines that must not be chosen.
		Exclude []string
		// Weights are the weights of the zones, by the capacity of the stages
		// there. Zones that are not listed have weight 1.
		Weights map[string]float64
		// Trial is a part of the prompt that is held back and that the request tries, or "".
		Trial string
		// Repeatable is set if the request may run again at another engine.
		Repeatable bool
		// Expires is when the placement is dropped if it has not been settled.
		Expires time.Time
	}

	// Part is one part of a prompt. Other requests may share it if it is not the last.
	Part struct {
		ID     string
		Tokens int
	}

	// Placer assigns requests to the engines of one service. Use New to create
	// one.
	Placer struct {
		mu         sync.Mutex
		slots      int
		byID       map[string]*engineState
		engines    []*engineState
		placements map[string]placement
		lastSweep  time.Time
	}

	engineState struct {
		id, zone string
		born     int64
		hash     uint64
		// load is the number of requests placed on the engine.
		load                int
		consecutiveFailures int
		pausedUntil         time.Time
		// trial is the ID of the request that is placed on the engine after an
		// ejection, or "".
		trial string
	}

	placement struct {
		engine  *engineState
		expires time.Time
	}
)

// New returns a placer without engines.
func New() *Placer {
	return &Placer{byID: make(map[string]*engineState), placements: make(map[string]placement)}
}

// SetServers sets the engines that may get requests, and the number of requests
// that each runs concurrently. It keeps what is known of an engine unless its
// start time changed.
func (p *Placer) SetServers(servers []fleet.Server, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = slots
	listed := make(map[string]bool, len(servers))
	p.engines = p.engines[:0]
	for _, s := range servers {
		listed[s.ID] = true
		e, ok := p.byID[s.ID]
		if !ok || e.born != s.Born {
			e = &engineState{id: s.ID, born: s.Born, hash: xxhash.Sum64String(s.ID)}
			p.byID[s.ID] = e
		}
		e.zone = s.Zone
		p.engines = append(p.engines, e)
	}
	for id := range p.byID {
		if !listed[id] {
			delete(p.byID, id)
		}
	}
}

// Place assigns a request to an engine and returns the engine's ID, or "" if none
// can take the request.
func (p *Placer) Place(now time.Time, q Query) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	total, available := 0, 0
	for _, e := range p.engines {
		if !now.Before(e.pausedUntil) {
			total += e.load
			available++
		}
	}
	if available == 0 {
		return p.placeFallback(now, q)
	}
	bound := loadBoundFactor*float64(total)/float64(available) + loadBoundExtra
	best, bestRank := (*engineState)(nil), 0.0
	for _, e := range p.engines {
		if now.Before(e.pausedUntil) || float64(e.load) >= bound || e.load >= p.slots || !e.takes(q) || slices.Contains(q.Exclude, e.id) {
			continue
		}
		if rank := rank(e, q); best == nil || rank > bestRank {
			best, bestRank = e, rank
		}
	}
	if best == nil {
		return p.placeFallback(now, q)
	}
	return p.assign(best, q)
}

// onTrial reports whether the engine was ejected and has served nothing since.
func (e *engineState) onTrial() bool { return e.consecutiveFailures >= failuresBeforeEjection }

// takes reports whether the engine's health allows to place the request on it.
func (e *engineState) takes(q Query) bool { return !e.onTrial() || e.trial == "" && q.Repeatable }

// placeFallback assigns a request to the least loaded engine that is not excluded
// and has fewer than twice its slots in requests. It chooses a paused engine if
// there is no other.
func (p *Placer) placeFallback(now time.Time, q Query) string {
	var best *engineState
	for _, e := range p.engines {
		if slices.Contains(q.Exclude, e.id) || e.load >= 2*p.slots {
			continue
		}
		if best == nil || p.preferred(now, e, best) {
			best = e
		}
	}
	if best == nil {
		return ""
	}
	return p.assign(best, q)
}

// preferred reports whether a comes before b in placeFallback.
func (p *Placer) preferred(now time.Time, a, b *engineState) bool {
	if pausedA, pausedB := now.Before(a.pausedUntil), now.Before(b.pausedUntil); pausedA != pausedB {
		return pausedB
	}
	return a.load < b.load
}

// assign records the placement of a request and replaces its previous one.
func (p *Placer) assign(e *engineState, q Query) string {
	p.drop(q.RequestID)
	e.load++
	if e.onTrial() {
		e.trial = q.RequestID
	}
	p.placements[q.RequestID] = placement{engine: e, expires: q.Expires}
	return e.id
}

// rank returns the rank of an engine for a prompt by weighted rendezvous hashing.
func rank(e *engineState, q Query) float64 {
	h := balance.Mix(xxhash.Sum64String(q.Affinity), e.hash)
	// uniform is the hash as a number between 0 and 1, excluding both.
	uniform := (float64(h>>11) + 0.5) / (1 << 53)
	weight, ok := q.Weights[e.zone]
	if !ok {
		weight = 1
	}
	return -max(weight, 0.01) / math.Log(uniform)
}

// Settle ends the placement of a request and records its outcome for the engine. An
// empty serverID stands for the engine on which the request was placed, if any.
func (p *Placer) Settle(now time.Time, requestID, serverID string, outcome balance.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, ok := p.placements[requestID]; ok && (serverID == "" || placed.engine.id == serverID) {
		serverID = placed.engine.id
		p.drop(requestID)
	}
	e, ok := p.byID[serverID]
	if !ok {
		return
	}
	switch outcome {
	case balance.Succeeded:
		e.consecutiveFailures = 0
	case balance.Unreachable:
		e.consecutiveFailures = max(e.consecutiveFailures, failuresBeforeEjection-1)
		e.fail(now)
	case balance.Failed:
		e.fail(now)
	case balance.Full:
		e.pausedUntil = now.Add(fullBackoff)
	}
}

// fail counts a failure and ejects the engine after failuresBeforeEjection in a
// row.
func (e *engineState) fail(now time.Time) {
	if e.consecutiveFailures++; e.onTrial() {
		e.pausedUntil = now.Add(min(maxEjection, minEjection<<min(e.consecutiveFailures-failuresBeforeEjection, 8)))
	}
}

// sweep drops expired placements, at most once a second.
func (p *Placer) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.lastSweep = now
	for id, placed := range p.placements {
		if now.After(placed.expires) {
			p.drop(id)
		}
	}
}

// drop ends the placement of a request, if there is one.
func (p *Placer) drop(requestID string) {
	placed, ok := p.placements[requestID]
	if !ok {
		return
	}
	placed.engine.load--
	if placed.engine.trial == requestID {
		placed.engine.trial = ""
	}
	delete(p.placements, requestID)
}
