package engine

import (
	"github.com/cespare/xxhash/v2"

	"chervilpath/core/balance"
)

const (
	// maxParts is the number of parts of a prompt that are looked at.
	maxParts = 8

	// maxTokens is the largest number of tokens of a request that is believed.
	maxTokens = 1 << 22
)

type (
	// request is what a choice needs of a query: the size of the prompt and the answer,
	// and the parts. Tokens are counted as floating-point numbers.
	request struct {
		prompt, output float64
		parts          int
		// keys identify the beginnings of the prompt that end with each part, upTo are
		// their tokens, and keepers the engines that keep them, until the next placement.
		keys    [maxParts]uint64
		upTo    [maxParts]float64
		keepers [maxParts][]int32
	}

	// typicalRequest is the mean size of requests, for those that do not say theirs.
	typicalRequest struct{ prompt, output mean }

	// mean is the mean of the first values, and of about the latest hundred later on.
	mean struct {
		value float64
		count int
	}

	// keptParts estimates which beginnings of prompts the KV caches of the engines hold,
	// from the requests that were placed on them: each is a list of the beginnings, and of the
	// rests of prompts with their answers, in the order of their last use, bounded by the
	// tokens that a cache holds.
	keptParts struct {
		budget  float64
		nodes   []keptNode
		free    []int32
		byKey   map[uint64]*keepers
		pool    []*keepers
		byOwner map[keptKey]int32
		caches  []cache
	}

	keptKey struct {
		key    uint64
		engine int32
	}

	// keepers are the engines that hold a beginning, and their nodes.
	keepers struct{ engines, nodes []int32 }

	// cache is the list of one engine, from the last used node to the first one.
	cache struct {
		tokens      float64
		first, last int32
	}

	keptNode struct {
		keptKey
		tokens float64
		// position is the index in keepers.
		position       int32
		newer, earlier int32
	}
)

const none = int32(-1)

// size returns the size of a request. Where the query does not say it, it is the mean.
func (p *Placer) size(q *Query) request {
	r := request{prompt: tokens(q.PromptTokens), output: tokens(q.OutputTokens)}
	sum, key := 0.0, uint64(0)
	for _, part := range q.Parts[:min(len(q.Parts), maxParts)] {
		key = max(1, balance.Mix(key*31+1, xxhash.Sum64String(part.ID)))
		sum += tokens(part.Tokens)
		r.keys[r.parts], r.upTo[r.parts] = key, sum
		r.parts++
	}
	for k := range r.shared() {
		r.keepers[k] = p.kept.engines(r.keys[k])
	}
	r.prompt = max(r.prompt, sum)
	if r.prompt == 0 {
		r.prompt = p.typical.prompt.value
	}
	if r.output == 0 {
		r.output = p.typical.output.value
	}
	return r
}

// shared returns the number of parts that other requests may share: all but the last one, or
// the only one.
func (r *request) shared() int { return max(min(r.parts, 1), r.parts-1) }

func tokens(n int) float64 { return float64(min(max(n, 0), maxTokens)) }

// add adds a request, as far as it says its size.
func (t *typicalRequest) add(q *Query) {
	if q.PromptTokens > 0 {
		t.prompt.add(tokens(q.PromptTokens))
	}
	if q.OutputTokens > 0 {
		t.output.add(tokens(q.OutputTokens))
	}
}

// add adds a value.
func (m *mean) add(value float64) {
	m.count = min(m.count+1, 100)
	m.value += (value - m.value) / float64(m.count)
}

func newKeptParts() keptParts {
	return keptParts{byKey: make(map[uint64]*keepers), byOwner: make(map[keptKey]int32)}
}

// engines returns the engines that hold a beginning.
func (k *keptParts) engines(key uint64) []int32 {
	if held, ok := k.byKey[key]; ok {
		return held.engines
	}
	return nil
}

// tokens returns how much of a prompt an engine holds.
func (k *keptParts) tokens(engine int32, r *request) float64 {
	for i := r.shared() - 1; i >= 0; i-- {
		if _, ok := k.byOwner[keptKey{r.keys[i], engine}]; ok {
			return r.upTo[i]
		}
	}
	return 0
}

// read records that an engine reads a prompt.
func (k *keptParts) read(engine int32, r *request) {
	if k.budget <= 0 {
		return
	}
	k.cacheOf(engine)
	shared := r.shared()
	before := 0.0
	if shared > 0 {
		before = r.upTo[shared-1]
	}
	k.link(k.newNode(keptKey{engine: engine}, r.prompt-before+r.output))
	// The beginnings are used last to first, so that a shorter one is evicted after those
	// that contain it.
	for i := shared - 1; i >= 0; i-- {
		key := keptKey{r.keys[i], engine}
		n, ok := k.byOwner[key]
		if ok {
			k.unlink(n)
		} else {
			owned := r.upTo[i]
			if i > 0 {
				owned -= r.upTo[i-1]
			}
			n = k.add(key, owned)
		}
		k.link(n)
	}
	c := &k.caches[engine]
	for c.tokens > k.budget && c.last != none {
		k.remove(c.last)
	}
}

func (k *keptParts) cacheOf(engine int32) *cache {
	for int(engine) >= len(k.caches) {
		k.caches = append(k.caches, cache{first: none, last: none})
	}
	return &k.caches[engine]
}

func (k *keptParts) setBudget(tokens int) {
	k.budget = float64(max(tokens, 0))
	for i := range k.caches {
		for c := &k.caches[i]; c.tokens > k.budget && c.last != none; {
			k.remove(c.last)
		}
	}
}

// clear forgets what an engine holds.
func (k *keptParts) clear(engine int32) {
	for c := k.cacheOf(engine); c.last != none; {
		k.remove(c.last)
	}
}

// add returns a new node, which is not in its engine's list yet.
func (k *keptParts) add(key keptKey, tokens float64) int32 {
	held, ok := k.byKey[key.key]
	if !ok {
		if n := len(k.pool); n > 0 {
			held, k.pool = k.pool[n-1], k.pool[:n-1]
		} else {
			held = &keepers{}
		}
		k.byKey[key.key] = held
	}
	n := k.newNode(key, tokens)
	k.nodes[n].position = int32(len(held.engines))
	held.engines, held.nodes = append(held.engines, key.engine), append(held.nodes, n)
	k.byOwner[key] = n
	return n
}

// newNode returns a node that is in no list. One without a key stands for what no other
// request can use: the own part of a prompt and its answer.
func (k *keptParts) newNode(key keptKey, tokens float64) int32 {
	if last := len(k.free) - 1; last >= 0 {
		n := k.free[last]
		k.free = k.free[:last]
		k.nodes[n] = keptNode{keptKey: key, tokens: tokens, newer: none, earlier: none}
		return n
	}
	k.nodes = append(k.nodes, keptNode{keptKey: key, tokens: tokens, newer: none, earlier: none})
	return int32(len(k.nodes) - 1)
}

// remove forgets a node.
func (k *keptParts) remove(n int32) {
	k.unlink(n)
	k.free = append(k.free, n)
	node := &k.nodes[n]
	if node.key == 0 {
		return
	}
	held := k.byKey[node.key]
	last := len(held.engines) - 1
	moved := held.nodes[last]
	held.engines[node.position], held.nodes[node.position] = held.engines[last], moved
	k.nodes[moved].position = node.position
	held.engines, held.nodes = held.engines[:last], held.nodes[:last]
	if last == 0 {
		delete(k.byKey, node.key)
		k.pool = append(k.pool, held)
	}
	delete(k.byOwner, node.keptKey)
}

// link makes a node the last used one of its engine.
func (k *keptParts) link(n int32) {
	node := &k.nodes[n]
	c := &k.caches[node.engine]
	node.newer, node.earlier = none, c.first
	if c.first != none {
		k.nodes[c.first].newer = n
	} else {
		c.last = n
	}
	c.first = n
	c.tokens += node.tokens
}

// unlink takes a node out of its engine's list.
func (k *keptParts) unlink(n int32) {
	node := &k.nodes[n]
	c := &k.caches[node.engine]
	if node.newer != none {
		k.nodes[node.newer].earlier = node.earlier
	} else {
		c.first = node.earlier
	}
	if node.earlier != none {
		k.nodes[node.earlier].newer = node.newer
	} else {
		c.last = node.newer
	}
	c.tokens -= node.tokens
}
