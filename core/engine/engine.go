// Package engine owns the placement of requests on the model engines of one
// service. It places a request on the engine that is expected to answer it
// first, given the work that is outstanding there, the engine's pace, and which
// parts of the prompt it has read before. It tracks the failures of engines.
//
// The instance that owns the service holds the Placer that is used by all
// instances. Every other instance holds one of its own, which it uses while the
// owner does not answer. A Placer must not call engines or read a clock. It is
// safe for concurrent use.
package engine

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chervilpath/core/fleet"
	"chervilpath/core/overload"
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
		// MaxWait, unless it is 0, leaves out engines without a free slot and those that
		// would begin to read the prompt later than after that time.
		MaxWait time.Duration
	}

	// Part is one part of a prompt. Other requests may share it if it is not the last.
	Part struct {
		ID     string
		Tokens int
	}

	// Choice is an engine that was chosen for a request, and why.
	Choice struct {
		// Server is the engine's ID, or "" if none can take the request.
		Server string
		Reason Reason
		// Wait is the expected time until the engine begins to read the prompt, and
		// FirstEvent the expected time to the first event.
		Wait, FirstEvent time.Duration
		// Pace is how long the engine takes for work, relative to the assumptions in
		// pace.go, and UsualPace the mean of all engines of the service.
		Pace, UsualPace float64
		// KeptTokens is how much of the prompt the engine is expected to have read
		// before, of PromptTokens.
		KeptTokens, PromptTokens int
		// Requests is the number of requests on the engine, including this one.
		Requests int
	}

	// Reason says why an engine was chosen.
	Reason string

	// Placer assigns requests to the engines of one service. Use New to create
	// one.
	Placer struct {
		// Usable, unless it is nil, reports whether an engine may get a request now. It is
		// called with the placer's lock held and must not call the placer. Set it before
		// the first use.
		Usable func(now time.Time, serverID string) bool

		mu         sync.Mutex
		slots      int
		byID       map[string]*engineState
		placements map[string]placement
		lastSweep  time.Time
		// engines holds the engines by index. The index of an engine that has left is
		// nil until it is used again.
		engines []*engineState
		// costs and ranks hold what a choice reads of each engine, by the same index.
		costs []engineCost
		ranks []engineRank
		// blocks hold the least wait and the least cost of a token among blockSize engines
		// each, so that a choice need not read those that are too busy.
		blocks []engineCost
		// zones are the names of the zones, by engineRank.zone.
		zones []string
		// choices counts the choices, so that engineRank.skipped need not be reset.
		choices     uint64
		refreshedAt time.Time
		// totalLoad is the number of requests on all engines, and speeds the sum of the speeds
		// of those that take requests.
		totalLoad int
		speeds    float64
		kept      keptParts
		usual     meanPace
		// usualInterval is the mean time between two events at pace 1.
		usualInterval meanPace
		typical       typicalRequest
		// readingWeight is the weight of reading what another engine keeps.
		readingWeight float64
		// sendDelay is the mean time in milliseconds between the choice of an engine and the
		// send.
		sendDelay mean
	}

	engineState struct {
		id, zone string
		born     int64
		index    int32
		// load is the number of requests placed on the engine.
		load int
		// reading is the number of prompt tokens of these that the engine has still to
		// read, and generating the number of tokens that it has still to generate.
		reading, generating float64
		// lastFirstEvent is when the latest first event was reported.
		lastFirstEvent time.Time
		// speed is the reciprocal of the pace relative to the usual one, as of the last refresh.
		speed float64
		pace  enginePace
		// paceAtRefresh is the pace with which the engine's cost was computed.
		paceAtRefresh       float64
		consecutiveFailures int
		pausedUntil         time.Time
		// trial is the ID of the request that is placed on the engine after an
		// ejection, or "".
		trial string
	}

	// engineCost is the expected time in milliseconds until an engine begins to read a new
	// prompt, or infinite if it can't take a request, and the cost of reading a token of it.
	// It is small, since a choice reads that of all engines.
	engineCost struct{ wait, perToken float64 }

	// engineRank is what a choice reads of some engines.
	engineRank struct {
		hash uint64
		// skipped is the number of the choice for which the engine is left out.
		skipped uint64
		zone    int32
	}

	placement struct {
		engine    *engineState
		placedAt  time.Time
		expires   time.Time
		unread    float64
		generates float64
		// begun is set once the first event was reported.
		begun bool
	}
)

// The reasons for a choice.
const (
	// ReasonKept is an engine that has read a shared part of the prompt before.
	ReasonKept Reason = "kept"
	// ReasonSoonest is one of those that are expected to answer first.
	ReasonSoonest Reason = "soonest"
	// ReasonFallback is the least loaded one, where none has a free slot.
	ReasonFallback Reason = "fallback"
	// ReasonNone is no engine.
	ReasonNone Reason = "none"
)

// NoEngine is the estimate where no engine can take a request.
const NoEngine = time.Duration(math.MaxInt64)

// New returns a placer without engines.
func New() *Placer {
	return &Placer{readingWeight: minReadingWeight, byID: make(map[string]*engineState), placements: make(map[string]placement), kept: newKeptParts()}
}

// SetServers sets the engines that may get requests, and the number of requests
// that each runs concurrently. It keeps what is known of an engine unless its
// start time changed.
func (p *Placer) SetServers(servers []fleet.Server, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = slots
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		e, ok := p.byID[s.ID]
		if !ok {
			e = &engineState{id: s.ID, index: p.freeIndex()}
			p.ranks[e.index] = engineRank{hash: xxhash.Sum64String(s.ID)}
		} else if e.born != s.Born {
			// Requests on the previous incarnation keep its state until they are settled.
			p.kept.clear(e.index)
			e = &engineState{id: s.ID, index: e.index}
		}
		e.born, e.zone = s.Born, s.Zone
		p.byID[s.ID], p.engines[e.index] = e, e
		p.ranks[e.index].zone = p.zoneIndex(s.Zone)
	}
	for id, e := range p.byID {
		if !listed[id] {
			p.kept.clear(e.index)
			p.engines[e.index] = nil
			delete(p.byID, id)
		}
	}
	p.refreshedAt = time.Time{}
}

// SetKVTokens sets the size of the KV cache of each engine in tokens. 0 means that nothing
// is known of it; no engine is then expected to keep parts of prompts.
func (p *Placer) SetKVTokens(tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept.setBudget(tokens)
}

// freeIndex returns an index that no engine has.
func (p *Placer) freeIndex() int32 {
	for i, e := range p.engines {
		if e == nil {
			return int32(i)
		}
	}
	p.engines, p.costs, p.ranks = append(p.engines, nil), append(p.costs, engineCost{}), append(p.ranks, engineRank{})
	if len(p.blocks)*blockSize < len(p.engines) {
		p.blocks = append(p.blocks, engineCost{})
	}
	return int32(len(p.engines) - 1)
}

func (p *Placer) zoneIndex(zone string) int32 {
	for i, z := range p.zones {
		if z == zone {
			return int32(i)
		}
	}
	p.zones = append(p.zones, zone)
	return int32(len(p.zones) - 1)
}
