package engine_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
)

// The engines of the model, as docs/design/load.md describes them. A step of an engine reads
// the next prompt, if one waits, and generates a token for each request that runs, so that a
// long prompt delays the tokens of all others.
const (
	modelSlots      = 32
	modelTokensMs   = 50.7
	modelStepMs     = 5.95
	modelPerRequest = 0.15
	modelKVTokens   = 100_000
	modelPeriod     = 600 * time.Millisecond
	modelEventSize  = 4
	modelTargetGap  = 300 * time.Millisecond
)

type (
	modelClass struct {
		shared, own, events int
		target              time.Duration
		// parts is the number of different shared parts.
		parts int
	}

	// placerModel is what a model run asks for engines.
	placerModel struct {
		place   func(now time.Time, q engine.Query) string
		observe func(now time.Time, o engine.Observation)
		settle  func(now time.Time, id, server string, outcome balance.Outcome)
	}

	modelConfig struct {
		seed    uint64
		engines int
		// paces are the paces of the engines by index, and slowShare is the share of
		// them that are 2.5 times as slow for modelPeriod.
		paces     []float64
		slowShare float64
		// load is the rate of requests as a share of the capacity.
		load float64
		// sendDelay is the longest time from the choice to the send.
		sendDelay time.Duration
		// lost is the share of observations that are lost.
		lost     float64
		duration time.Duration
		// placers choose the engines; a request asks one of them at random.
		placers []placerModel
		// classes are the classes of requests, or nil for modelClasses.
		classes []modelClass
		// isSlow, if set, replaces slowShare: it reports whether an engine is slow in a
		// period.
		isSlow func(engine, period int) bool
	}

	modelResult struct {
		requests, onTime, refused int
		// smooth counts the requests whose pauses between events met the target.
		smooth     int
		byEngine   []int
		placed     []modelPlacement
		firstEvent []float64
	}

	modelRequest struct {
		id      string
		class   *modelClass
		key     string
		placer  *placerModel
		arrived time.Time
		sent    time.Time
		engine  int
		read    bool
		tokens  int
		first   time.Time
		last    time.Time
		gap     time.Duration
	}

	modelEngine struct {
		pace    float64
		slow    []bool
		queue   []*modelRequest
		running []*modelRequest
		busy    bool
		// cache holds the shared parts and the tokens of own parts, from the last used one.
		cache       []modelPart
		cacheTokens int
	}

	modelPlacement struct {
		at     time.Duration
		engine int
	}

	modelPart struct {
		key    string
		tokens int
	}

	modelEvent struct {
		at   time.Time
		seq  int
		call func()
	}
	modelEvents []modelEvent

	modelRun struct {
		modelConfig
		now    time.Time
		events modelEvents
		seq    int
		nodes  []*modelEngine
		rng    *rand.Rand
		result modelResult
	}
)

var modelClasses = []modelClass{
	{shared: 6300, own: 2890, events: 13, target: 1100 * time.Millisecond, parts: 40},
	{shared: 568, own: 1800, events: 6, target: 1800 * time.Millisecond, parts: 60},
	{shared: 172, own: 543, events: 70, target: 1800 * time.Millisecond, parts: 20},
}

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].seq < h[j].seq
}
func (h modelEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (m *modelRun) after(d time.Duration, call func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now.Add(d), m.seq, call})
}

// modelCapacity returns the requests per second that the engines serve if they hold all
// shared parts and run as many requests as they have slots.
func modelCapacity(c modelConfig) float64 {
	perRequest := 0.0
	classes := c.classes
	if classes == nil {
		classes = modelClasses
	}
	for _, class := range classes {
		decode := float64(class.events*modelEventSize) * (modelStepMs + modelPerRequest*modelSlots) / modelSlots
		perRequest += (float64(class.own)/modelTokensMs + decode) / float64(len(classes))
	}
	speed := 0.0
	for i := range c.engines {
		speed += (1 - c.slowShare + c.slowShare/2.5) / c.paces[i%len(c.paces)]
	}
	return speed * 1000 / perRequest
}

// runModel serves requests that arrive at random, and returns how they fared.
func runModel(c modelConfig) modelResult {
	if c.classes == nil {
		c.classes = modelClasses
	}
	m := &modelRun{modelConfig: c, now: start, rng: rand.New(rand.NewPCG(c.seed, 1))}
	periods := int(c.duration/modelPeriod) + 20
	for i := range c.engines {
		e := &modelEngine{pace: c.paces[i%len(c.paces)]}
		for range periods {
			slow := m.rng.Float64() < c.slowShare
			if c.isSlow != nil {
				slow = c.isSlow(i, len(e.slow))
			}
			e.slow = append(e.slow, slow)
		}
		m.nodes = append(m.nodes, e)
	}
	m.result.byEngine = make([]int, c.engines)
	rate := c.load * modelCapacity(c)
	var arrive func()
	n := 0
	arrive = func() {
		m.arrive(n)
		n++
		if next := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second)); m.now.Add(next).Before(start.Add(c.duration)) {
			m.after(next, arrive)
		}
	}
	arrive()
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.call()
	}
	slices.Sort(m.result.firstEvent)
	return m.result
}

func (m *modelRun) arrive(n int) {
	class := &m.classes[m.rng.IntN(len(m.classes))]
	// The popularity of the parts of a class falls with their number.
	part := int(math.Pow(float64(class.parts), m.rng.Float64())) - 1
	r := &modelRequest{
		id: fmt.Sprint("r-", n), class: class, key: fmt.Sprintf("%d-%d", class.shared, part), arrived: m.now,
		placer: &m.placers[m.rng.IntN(len(m.placers))],
	}
	// The hint is right at the median and often far off.
	hint := float64(class.events*modelEventSize) * math.Exp(m.rng.NormFloat64()*0.7)
	m.result.requests++
	server := r.placer.place(m.now, engine.Query{
		RequestID: r.id, Affinity: r.key, Parts: []engine.Part{{ID: r.key, Tokens: class.shared}, {ID: r.id, Tokens: class.own}},
		PromptTokens: class.shared + class.own, OutputTokens: int(hint), Repeatable: true, Expires: m.now.Add(20 * time.Second),
	})
	if server == "" {
		m.result.refused++
		return
	}
	if _, err := fmt.Sscanf(server, "e-%d", &r.engine); err != nil {
		panic(err)
	}
	m.result.byEngine[r.engine]++
	m.result.placed = append(m.result.placed, modelPlacement{m.now.Sub(start), r.engine})
	delay := time.Duration(0)
	if m.sendDelay > 0 {
		delay = time.Duration(m.rng.Int64N(int64(m.sendDelay)))
	}
	m.after(delay+2*time.Millisecond, func() {
		r.sent = m.now
		e := m.nodes[r.engine]
		e.queue = append(e.queue, r)
		if !e.busy {
			m.step(r.engine)
		}
	})
}

// step runs the next step of an engine.
func (m *modelRun) step(i int) {
	e := m.nodes[i]
	for len(e.queue) > 0 && len(e.running) < modelSlots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	e.busy = len(e.running) > 0
	if !e.busy {
		return
	}
	ms := modelStepMs
	var reading *modelRequest
	for _, r := range e.running {
		switch {
		case r.read:
			ms += modelPerRequest
		case reading == nil:
			reading = r
			ms += float64(e.unread(r)) / modelTokensMs
		}
	}
	ms *= e.pace
	if e.slow[m.now.Sub(start)/modelPeriod%time.Duration(len(e.slow))] {
		ms *= 2.5
	}
	m.after(time.Duration(ms*float64(time.Millisecond)), func() {
		if reading != nil {
			reading.read = true
		}
		var rest []*modelRequest
		for _, r := range e.running {
			if !r.read || !m.generate(r) {
				rest = append(rest, r)
			}
		}
		e.running = rest
		m.step(i)
	})
}

// unread returns the tokens of a prompt that the engine has to read, and records that it
// reads them.
func (e *modelEngine) unread(r *modelRequest) int {
	unread := r.class.own
	if !e.touch(modelPart{r.key, r.class.shared}) {
		unread += r.class.shared
	}
	e.touch(modelPart{r.id, r.class.own + r.class.events*modelEventSize})
	return unread
}

func (e *modelEngine) touch(part modelPart) bool {
	at := slices.Index(e.cache, part)
	if at >= 0 {
		e.cache = slices.Delete(e.cache, at, at+1)
	} else {
		e.cacheTokens += part.tokens
	}
	e.cache = slices.Insert(e.cache, 0, part)
	for e.cacheTokens > modelKVTokens {
		last := len(e.cache) - 1
		e.cacheTokens -= e.cache[last].tokens
		e.cache = e.cache[:last]
	}
	return at >= 0
}

// generate generates a token of a request, and reports whether it was the last one.
func (m *modelRun) generate(r *modelRequest) bool {
	r.tokens++
	if r.tokens%modelEventSize != 0 {
		return false
	}
	server := fmt.Sprint("e-", r.engine)
	if r.tokens == modelEventSize {
		r.first = m.now
		took := m.now.Sub(r.sent) + 2*time.Millisecond
		m.report(r, engine.Observation{RequestID: r.id, Server: server, FirstEvent: took})
		latency := took + 2*time.Millisecond
		m.result.firstEvent = append(m.result.firstEvent, float64(latency)/float64(time.Millisecond))
		if latency <= r.class.target {
			m.result.onTime++
		}
	} else {
		r.gap = max(r.gap, m.now.Sub(r.last))
	}
	r.last = m.now
	if r.tokens < r.class.events*modelEventSize {
		return false
	}
	if r.gap <= modelTargetGap {
		m.result.smooth++
	}
	events := r.class.events - 1
	m.report(r, engine.Observation{RequestID: r.id, Server: server, Interval: r.last.Sub(r.first) / time.Duration(events), Events: events})
	m.after(4*time.Millisecond, func() { r.placer.settle(m.now, r.id, server, balance.Succeeded) })
	return true
}

// report delivers an observation after the delay of two messages, unless it is lost.
func (m *modelRun) report(r *modelRequest, o engine.Observation) {
	if m.rng.Float64() >= m.lost {
		m.after(4*time.Millisecond, func() { r.placer.observe(m.now, o) })
	}
}

// byTime returns the placer under test for a model run.
func byTime(c modelConfig) placerModel {
	p := engine.New()
	p.SetServers(modelServers(c), modelSlots)
	p.SetKVTokens(modelKVTokens)
	return placerModel{place: p.Place, observe: func(now time.Time, o engine.Observation) { p.Observe(now, o) }, settle: p.Settle}
}

// byCount returns the baseline: bounded load by the number of requests, and affinity by
// rendezvous.
func byCount(c modelConfig) placerModel {
	servers, loads, total := modelServers(c), make([]int, c.engines), 0
	engines, hashes := make(map[string]int), make([]uint64, c.engines)
	for i := range servers {
		hashes[i] = hash(servers[i].ID)
	}
	return placerModel{
		place: func(_ time.Time, q engine.Query) string {
			bound := 1.5*float64(total)/float64(c.engines) + 1.5
			best, bestRank, affinity := -1, uint64(0), hash(q.Affinity)
			for i := range servers {
				if rank := balance.Mix(affinity, hashes[i]); float64(loads[i]) < bound && loads[i] < modelSlots && rank >= bestRank {
					best, bestRank = i, rank
				}
			}
			for i := range servers {
				if best < 0 && loads[i] < 2*modelSlots && loads[i] == slices.Min(loads) {
					best = i
				}
			}
			if best < 0 {
				return ""
			}
			loads[best]++
			total++
			engines[q.RequestID] = best
			return servers[best].ID
		},
		observe: func(time.Time, engine.Observation) {},
		settle: func(_ time.Time, id, _ string, _ balance.Outcome) {
			if i, ok := engines[id]; ok {
				delete(engines, id)
				loads[i]--
				total--
			}
		},
	}
}

func modelServers(c modelConfig) []fleet.Server {
	var servers []fleet.Server
	for i := range c.engines {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i), Zone: fmt.Sprint("z-", i%3)})
	}
	return servers
}

// share returns a count as a share of all requests.
func (r modelResult) share(n int) float64 { return float64(n) / float64(r.requests) }

// quantile returns a quantile of the times to the first event in milliseconds.
func (r modelResult) quantile(q float64) float64 {
	return r.firstEvent[int(q*float64(len(r.firstEvent)-1))]
}

func (r modelResult) String() string {
	third := [3]int{}
	for i, n := range r.byEngine {
		third[i%3] += n
	}
	return fmt.Sprintf("%d requests, %.4f on time, %.4f without long pauses, %d refused; first event after %.0f ms (median), %.0f (0.95), %.0f (0.99); by third %v",
		r.requests, r.share(r.onTime), r.share(r.smooth), r.refused, r.quantile(0.5), r.quantile(0.95), r.quantile(0.99), third)
}
