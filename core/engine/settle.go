package engine

import (
	"time"

	"chervilpath/core/balance"
)

const (
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

// onTrial reports whether the engine was ejected and has served nothing since.
func (e *engineState) onTrial() bool { return e.consecutiveFailures >= failuresBeforeEjection }

// takes reports whether the engine's health allows to place the request on it.
func (e *engineState) takes(q *Query) bool { return !e.onTrial() || e.trial == "" && q.Repeatable }

// Settle ends the placement of a request and records its outcome for the engine. An
// empty serverID stands for the engine on which the request was placed, if any.
func (p *Placer) Settle(now time.Time, requestID, serverID string, outcome balance.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if placed, ok := p.placements[requestID]; ok && (serverID == "" || placed.engine.id == serverID) {
		serverID = placed.engine.id
		p.drop(now, requestID)
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
	p.refresh(now, e)
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
			p.drop(now, id)
		}
	}
}

// drop ends the placement of a request, if there is one.
func (p *Placer) drop(now time.Time, requestID string) {
	placed, ok := p.placements[requestID]
	if !ok {
		return
	}
	e := placed.engine
	e.load--
	p.totalLoad--
	e.generating -= placed.generates
	if !placed.begun {
		e.reading -= placed.unread
	}
	if e.load == 0 {
		// Sums of fractions are not exact.
		e.reading, e.generating = 0, 0
	}
	if e.trial == requestID {
		e.trial = ""
	}
	delete(p.placements, requestID)
	p.refresh(now, e)
}
