package engine

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// naiveCache is the cache of one engine as a plain list, from the last used entry.
type naiveCache []naiveEntry

type naiveEntry struct {
	name   string
	tokens float64
}

func (c *naiveCache) use(name string, tokens float64) {
	if i := slices.IndexFunc(*c, func(e naiveEntry) bool { return e.name == name }); i >= 0 {
		tokens = (*c)[i].tokens
		*c = slices.Delete(*c, i, i+1)
	}
	*c = slices.Insert(*c, 0, naiveEntry{name, tokens})
}

func (c *naiveCache) evict(budget float64) {
	sum := 0.0
	for i, e := range *c {
		if sum += e.tokens; sum > budget {
			*c = (*c)[:i]
			return
		}
	}
}

func (c naiveCache) has(name string) bool {
	return slices.ContainsFunc(c, func(e naiveEntry) bool { return e.name == name })
}

// Failure: the lists of kept parts lose entries, or have those of parts that were evicted, of
// engines that have started again, or of other engines.
func TestKeptPartsAreThoseOfAPlainList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget, engines = 1000, 4
		p := New()
		p.SetKVTokens(budget)
		caches := make([]naiveCache, engines)
		for step := range rapid.IntRange(1, 150).Draw(t, "steps") {
			i := rapid.IntRange(0, engines-1).Draw(t, "engine")
			if rapid.IntRange(0, 20).Draw(t, "restart") == 0 {
				p.kept.clear(int32(i))
				caches[i] = nil
				continue
			}
			q := Query{OutputTokens: 10}
			var names []string
			prefix := ""
			for k := range rapid.IntRange(1, 3).Draw(t, "shared") {
				id := rapid.IntRange(0, 2).Draw(t, "part")
				prefix += fmt.Sprint("/", id)
				names = append(names, prefix)
				q.Parts = append(q.Parts, Part{fmt.Sprint(id), 40 * (k + 1)})
			}
			own := rapid.IntRange(1, 300).Draw(t, "own")
			q.Parts = append(q.Parts, Part{fmt.Sprint("own-", step), own})
			r := p.size(&q)
			for e := range engines {
				want := 0.0
				for k := len(names) - 1; k >= 0 && want == 0; k-- {
					if caches[e].has(names[k]) {
						want = r.upTo[k]
					}
				}
				if got := p.kept.tokens(int32(e), &r); got != want {
					t.Fatalf("step %d: engine %d keeps %v tokens of %s, want %v", step, e, got, prefix, want)
				}
			}
			for k, name := range names {
				for _, e := range r.keepers[k] {
					if !caches[e].has(name) {
						t.Fatalf("step %d: engine %d is listed for %s", step, e, name)
					}
				}
			}
			p.kept.read(int32(i), &r)
			caches[i].use(fmt.Sprint("own-", step), float64(own+10))
			for k := len(names) - 1; k >= 0; k-- {
				caches[i].use(names[k], float64(q.Parts[k].Tokens))
			}
			caches[i].evict(budget)
		}
	})
}
