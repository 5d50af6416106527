package balance_test

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/balance"
)

const (
	engines       = 8
	prefixes      = 400
	cacheCapacity = 64
	offeredLoad   = 0.7
)

// cache is an engine's LRU cache of prefixes, with the most recently used in front.
type cache struct{ order *list.List }

// touch marks a prefix as used and reports whether it was cached.
func (c *cache) touch(prefix int) bool {
	for e := c.order.Front(); e != nil; e = e.Next() {
		if e.Value == prefix {
			c.order.MoveToFront(e)
			return true
		}
	}
	c.order.PushFront(prefix)
	if c.order.Len() > cacheCapacity {
		c.order.Remove(c.order.Back())
	}
	return false
}

// simulatePrefixes sends calls with Zipf-distributed prefixes through a group. It
// returns the fraction of calls whose prefix was cached, and the number of calls of
// the most loaded engine as a ratio to the mean. A call whose prefix is cached takes
// half the time.
func simulatePrefixes(t *testing.T, withPrefix bool, seed uint64) (hitRate, maxToMean float64) {
	t.Helper()
	g := newGroup(t, engines, 8)
	rng := rand.New(rand.NewPCG(seed, 1))
	zipf := rand.NewZipf(rng, 1.05, 4, prefixes-1)
	caches := make([]*cache, engines)
	for i := range caches {
		caches[i] = &cache{order: list.New()}
	}
	type running struct {
		call balance.Call
		ends time.Time
	}
	var inFlight []running
	now := start
	callsPerEngine := make([]int, engines)
	const calls = 20000
	hits := 0
	gap := float64(callTime) / (engines * 8 * offeredLoad)
	for range calls {
		now = now.Add(time.Duration(rng.ExpFloat64() * gap))
		remaining := inFlight[:0]
		for _, r := range inFlight {
			if r.ends.After(now) {
				remaining = append(remaining, r)
				continue
			}
			g.End(r.ends, r.call, balance.Succeeded)
		}
		inFlight = remaining
		prefix := int(zipf.Uint64())
		q := anyQuery()
		if withPrefix {
			q.Prefix = balance.Hash("org", fmt.Sprint(prefix))
		}
		i, _ := g.Pick(now, q)
		if i < 0 {
			continue
		}
		took := callTime
		if caches[i].touch(prefix) {
			hits++
			took /= 2
		}
		callsPerEngine[i]++
		inFlight = append(inFlight, running{g.Begin(now, i, callTime), now.Add(took)})
	}
	largest := 0
	for _, n := range callsPerEngine {
		largest = max(largest, n)
	}
	return float64(hits) / calls, float64(largest) * engines / calls
}

// TestPrefixAffinityNearsClairvoyance compares the hit rate with that of a placement
// that knows the whole trace. As the caches together can hold every prefix, such a
// placement misses each prefix only once.
func TestPrefixAffinityNearsClairvoyance(t *testing.T) {
	clairvoyant := 1 - float64(prefixes)/20000
	for seed := range uint64(3) {
		hitRate, maxToMean := simulatePrefixes(t, true, seed)
		baseline, _ := simulatePrefixes(t, false, seed)
		t.Logf("seed %d: hit rate %.3f, without affinity %.3f, clairvoyant %.3f; most loaded engine has %.3f times the mean", seed, hitRate, baseline, clairvoyant, maxToMean)
		if hitRate < 0.8*clairvoyant {
			t.Errorf("hit rate = %.3f, want at least 0.8 of the clairvoyant %.3f", hitRate, clairvoyant)
		}
		if maxToMean > 1.25 {
			t.Errorf("most loaded engine had %.3f times the mean, want at most 1.25", maxToMean)
		}
	}
}
