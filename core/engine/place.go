package engine

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Reading tokens that another engine keeps takes capacity from all requests, so their time
	// weighs minReadingWeight times as much as that for which the request itself waits, and
	// one more for each busyWait ms of mean wait, up to maxReadingWeight. Otherwise a busy
	// service would spread each shared part over ever more engines and be busy with reading it.
	minReadingWeight = 1.5
	maxReadingWeight = 2.0
	busyWait         = 50.0

	// Reading a prompt pauses the streams that run on the engine, so its time weighs
	// pauseWeight more for each request there.
	pauseWeight = 0.05

	// Among the engines that have not read the shared part of the prompt, those whose cost
	// is within spreadFactor of the least and spreadExtra ms are equal, and the affinity
	// chooses one of them, so that instances that know nothing of each other choose the
	// same one (Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded
	// Loads", 2016, with expected time as the load).
	spreadFactor = 1.25
	spreadExtra  = 15.0

	// An engine is passed over, whatever it keeps, while its requests are at least
	// loadBoundFactor times its share by its pace, plus loadBoundExtra: the time that
	// requests take grows with the number that run beside them, which the work that is
	// outstanding does not tell.
	loadBoundFactor = 1.5
	loadBoundExtra  = 1.5

	// refreshInterval is the time after which the estimates of engines of which nothing was
	// heard are computed again. It is short against the 600 ms for which engines are slow.
	refreshInterval = 50 * time.Millisecond

	// blockSize is the number of engines in a block.
	blockSize = 16

	// maxRefused is the number of engines that are refused one by one.
	maxRefused = 8

	// maxZones is the number of zones whose weights are told apart, a power of two.
	maxZones = 16

	// hashFactor mixes the hashes of affinity and engine: one multiplication is enough, as
	// both are well distributed.
	hashFactor = 0x9e3779b97f4a7c15
)

// Place assigns a request to an engine and returns the engine's ID, or "" if none
// can take the request.
func (p *Placer) Place(now time.Time, q Query) string { return p.Choose(now, q).Server }

// Choose assigns a request to an engine, and says why.
func (p *Placer) Choose(now time.Time, q Query) Choice {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	p.beginChoice(now, q.Exclude)
	r := p.size(&q)
	p.typical.add(&q)
	for refused := 0; ; refused++ {
		c := p.choose(&q, &r)
		if c.engine < 0 {
			break
		}
		if p.accepts(now, c.engine, &q) {
			return p.assign(now, c, &q, &r)
		}
		p.skip(now, c.engine, &q, refused)
	}
	if q.MaxWait > 0 {
		return Choice{Reason: ReasonNone}
	}
	return p.placeFallback(now, &q, &r)
}

// Estimate returns the time to the first event that the best engine would give the request
// now, or NoEngine if none can take it. It places nothing.
func (p *Placer) Estimate(now time.Time, q Query) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beginChoice(now, q.Exclude)
	r := p.size(&q)
	for refused := 0; ; refused++ {
		c, _ := p.cheapest(&r, maxWait(&q))
		if c.engine < 0 {
			return NoEngine
		}
		if p.accepts(now, c.engine, &q) {
			pace := p.engines[c.engine].pace.at(now, p.usualPace())
			return milliseconds(p.costs[c.engine].wait + pace*(r.prompt-c.kept)/tokensPerMs)
		}
		p.skip(now, c.engine, &q, refused)
	}
}

// beginChoice refreshes the estimates, and leaves out the engines with the given IDs.
func (p *Placer) beginChoice(now time.Time, exclude []string) {
	if now.Sub(p.refreshedAt) >= refreshInterval || now.Before(p.refreshedAt) {
		p.refreshAll(now)
	}
	p.choices++
	for _, id := range exclude {
		if e, ok := p.byID[id]; ok {
			p.ranks[e.index].skipped = p.choices
		}
	}
}

// accepts reports what a choice does not know from the estimates: whether the engine's
// health and its other limits allow to place the request on it.
func (p *Placer) accepts(now time.Time, index int32, q *Query) bool {
	e := p.engines[index]
	return e.takes(q) && !now.Before(e.pausedUntil) && float64(e.load) < p.loadBound(e) && (p.Usable == nil || p.Usable(now, e.id))
}

// loadBound returns the number of requests from which on an engine gets no more: a multiple of its
// share, by its pace, of the requests that all engines have.
func (p *Placer) loadBound(e *engineState) float64 {
	if p.speeds == 0 {
		return math.Inf(1)
	}
	return loadBoundFactor*float64(p.totalLoad)*e.speed/p.speeds + loadBoundExtra
}

// skip leaves out an engine that was refused after others, and all that are refused once there
// are maxRefused, so that a service of which most engines are not usable is not searched for
// each of them.
func (p *Placer) skip(now time.Time, index int32, q *Query, refused int) {
	p.ranks[index].skipped = p.choices
	if refused != maxRefused {
		return
	}
	for i, e := range p.engines {
		if e != nil && !p.accepts(now, int32(i), q) {
			p.ranks[i].skipped = p.choices
		}
	}
}

// candidate is an engine that is chosen, or -1, and the tokens of the prompt that it keeps.
type candidate struct {
	engine int32
	kept   float64
	reason Reason
}

// choose returns the engine for a request among those that are not skipped: the one of least
// cost or, if that keeps nothing of the prompt, one that the affinity chooses.
func (p *Placer) choose(q *Query, r *request) candidate {
	maxWait := maxWait(q)
	c, cost := p.cheapest(r, maxWait)
	if c.engine >= 0 && c.reason == ReasonSoonest {
		c.engine = p.rendezvous(q, p.readAnew(r), cost*spreadFactor+spreadExtra, maxWait)
	}
	return c
}

// maxWait returns the longest wait that the query allows, in milliseconds.
func maxWait(q *Query) float64 {
	if q.MaxWait > 0 {
		return inMilliseconds(q.MaxWait)
	}
	return math.MaxFloat64
}

// readAnew returns the tokens of a prompt that an engine reads which keeps nothing of it,
// where those that another engine keeps are weighted.
func (p *Placer) readAnew(r *request) float64 {
	for k := r.shared() - 1; k >= 0; k-- {
		if len(r.keepers[k]) > 0 {
			return r.prompt + (p.readingWeight-1)*r.upTo[k]
		}
	}
	return r.prompt
}

// cheapest returns the engine of least cost that is not skipped, and the cost: the expected
// time to the first event in milliseconds, with readAnew. An engine that keeps a beginning of
// the prompt has less to read.
func (p *Placer) cheapest(r *request, maxWait float64) (candidate, float64) {
	best, least := candidate{engine: -1}, math.Inf(1)
	anew := p.readAnew(r)
	// Those that keep a beginning come first: most of the others cost more, and whole blocks
	// of them need not be read.
	for k := r.shared() - 1; k >= 0; k-- {
		unread := anew - p.readingWeight*r.upTo[k]
		for _, i := range r.keepers[k] {
			c := p.costs[i]
			if cost := c.wait + c.perToken*unread; cost < least && c.wait <= maxWait && p.ranks[i].skipped != p.choices {
				best, least = candidate{i, r.upTo[k], ReasonKept}, cost
			}
		}
	}
	for b, block := range p.blocks {
		if block.wait+block.perToken*anew >= least {
			continue
		}
		for i, c := range p.block(b) {
			if cost := c.wait + c.perToken*anew; cost < least && c.wait <= maxWait && p.ranks[b*blockSize+i].skipped != p.choices {
				best, least = candidate{int32(b*blockSize + i), 0, ReasonSoonest}, cost
			}
		}
	}
	return best, least
}

// rendezvous returns the engine with the highest rank by weighted rendezvous hashing among
// those of at most the given cost with the given tokens to read.
func (p *Placer) rendezvous(q *Query, tokens, bound, maxWait float64) int32 {
	// Engines of the same weight are ranked by their hash alone, so the logarithm is needed
	// only once for each zone. Zones above maxZones are few enough to share a weight.
	var highest [maxZones]uint64
	var byZone [maxZones]int32
	for i := range byZone {
		byZone[i] = -1
	}
	zoneMask := int32(0)
	if len(q.Weights) > 0 {
		zoneMask = maxZones - 1
	}
	affinity := xxhash.Sum64String(q.Affinity)
	for b, block := range p.blocks {
		if block.wait+block.perToken*tokens > bound {
			continue
		}
		for i, c := range p.block(b) {
			rank := &p.ranks[b*blockSize+i]
			if c.wait+c.perToken*tokens > bound || c.wait > maxWait || rank.skipped == p.choices {
				continue
			}
			z := rank.zone & zoneMask
			if high, low := bits.Mul64(affinity^rank.hash, hashFactor); byZone[z] < 0 || high^low > highest[z] {
				highest[z], byZone[z] = high^low, int32(b*blockSize+i)
			}
		}
	}
	best, bestRank := int32(-1), 0.0
	for z, i := range byZone {
		if i < 0 {
			continue
		}
		// uniform is the hash as a number between 0 and 1, excluding both.
		uniform := (float64(highest[z]>>11) + 0.5) / (1 << 53)
		weight, ok := q.Weights[p.engines[i].zone]
		if !ok {
			weight = 1
		}
		if rank := -max(weight, 0.01) / math.Log(uniform); best < 0 || rank > bestRank {
			best, bestRank = i, rank
		}
	}
	return best
}

// placeFallback assigns a request to the least loaded engine that is not excluded
// and has fewer than twice its slots in requests. It chooses a paused engine if
// there is no other.
func (p *Placer) placeFallback(now time.Time, q *Query, r *request) Choice {
	var best *engineState
	for _, e := range p.engines {
		if e == nil || e.load >= 2*p.slots || best != nil && !p.preferred(now, e, best) {
			continue
		}
		if !slices.Contains(q.Exclude, e.id) && (p.Usable == nil || p.Usable(now, e.id)) {
			best = e
		}
	}
	if best == nil {
		return Choice{Reason: ReasonNone}
	}
	return p.assign(now, candidate{best.index, p.kept.tokens(best.index, r), ReasonFallback}, q, r)
}

// preferred reports whether a comes before b in placeFallback.
func (p *Placer) preferred(now time.Time, a, b *engineState) bool {
	if pausedA, pausedB := now.Before(a.pausedUntil), now.Before(b.pausedUntil); pausedA != pausedB {
		return pausedB
	}
	return p.waitAt(a, a.paceAtRefresh) < p.waitAt(b, b.paceAtRefresh)
}

// assign records the placement of a request and replaces its previous one.
func (p *Placer) assign(now time.Time, c candidate, q *Query, r *request) Choice {
	p.drop(now, q.RequestID)
	e := p.engines[c.engine]
	unread, usual := r.prompt-c.kept, p.usualPace()
	pace := e.pace.at(now, usual)
	wait := p.waitAt(e, pace)
	e.load++
	p.totalLoad++
	e.reading += unread
	e.generating += r.output
	if e.onTrial() {
		e.trial = q.RequestID
	}
	p.placements[q.RequestID] = placement{engine: e, placedAt: now, expires: q.Expires, unread: unread, generates: r.output}
	p.kept.read(e.index, r)
	p.refreshAt(e, now, pace)
	return Choice{
		Server: e.id, Reason: c.reason, Wait: milliseconds(wait), FirstEvent: milliseconds(wait + pace*unread/tokensPerMs),
		Pace: pace, UsualPace: usual, KeptTokens: int(c.kept), PromptTokens: int(r.prompt), Requests: e.load,
	}
}

// refreshAll computes the estimates of all engines.
func (p *Placer) refreshAll(now time.Time) {
	p.refreshedAt = now
	sum, count := 0.0, 0.0
	p.speeds, p.totalLoad = 0, 0
	repeatable := Query{Repeatable: true}
	for i, e := range p.engines {
		if e == nil {
			p.costs[i].wait = math.Inf(1)
			continue
		}
		p.setCost(e, now, e.pace.at(now, p.usualPace()))
		p.totalLoad += e.load
		if e.takes(&repeatable) && !now.Before(e.pausedUntil) {
			e.speed = min(max(p.usualPace()/e.paceAtRefresh, 0.25), 4)
			p.speeds += e.speed
		}
		if wait := p.costs[i].wait; !math.IsInf(wait, 1) {
			sum, count = sum+wait, count+1
		}
	}
	for b := range p.blocks {
		p.refreshBlock(b)
	}
	p.readingWeight = maxReadingWeight
	if count > 0 {
		p.readingWeight = min(minReadingWeight+sum/count/busyWait, maxReadingWeight)
	}
}

// refresh computes the estimates of an engine.
func (p *Placer) refresh(now time.Time, e *engineState) {
	p.refreshAt(e, now, e.pace.at(now, p.usualPace()))
}

// refreshAt computes the estimates of an engine that has the given pace.
func (p *Placer) refreshAt(e *engineState, now time.Time, pace float64) {
	if p.engines[e.index] != e {
		// A request of a previous incarnation ended.
		return
	}
	p.setCost(e, now, pace)
	p.refreshBlock(int(e.index) / blockSize)
}

func (p *Placer) setCost(e *engineState, now time.Time, pace float64) {
	e.paceAtRefresh = pace
	c := &p.costs[e.index]
	c.wait, c.perToken = p.waitAt(e, pace), pace/tokensPerMs*(1+pauseWeight*float64(e.load))
	if e.load >= p.slots || e.onTrial() && e.trial != "" || now.Before(e.pausedUntil) {
		c.wait = math.Inf(1)
	}
}

// block returns the costs of the engines of a block.
func (p *Placer) block(b int) []engineCost {
	return p.costs[b*blockSize : min((b+1)*blockSize, len(p.costs))]
}

func (p *Placer) refreshBlock(b int) {
	least := engineCost{math.Inf(1), math.Inf(1)}
	for _, c := range p.block(b) {
		if c.wait < least.wait {
			least.wait = c.wait
		}
		if c.perToken < least.perToken {
			least.perToken = c.perToken
		}
	}
	p.blocks[b] = least
}

// waitAt returns the expected time in milliseconds until an engine of the given pace begins to
// read a prompt that is placed now. Requests are sent only after their stages, so the engine
// has that time to read what was placed before: W ms of reading that arrives over D ms leaves
// a wait of about W-D if W is much larger than D, and little if it is smaller.
func (p *Placer) waitAt(e *engineState, pace float64) float64 {
	reading := pace * max(0, e.reading) / tokensPerMs
	wait := pace * (stepMs + generatingMs*max(0, e.generating))
	if reading > 0 {
		wait += reading * reading / (reading + p.sendDelay.value)
	}
	return wait
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
