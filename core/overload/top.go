package overload

import (
	"cmp"
	"slices"
	"sync"
)

// maxTop is the number of organisations that are counted at a time. There are up to 30,000.
const maxTop = 64

type (
	// Counts are the numbers of requests that were delayed, refused immediately, refused
	// after they had waited, and given up by their callers.
	Counts struct {
		Delayed, Refused, Dropped, GaveUp int64
	}

	// OrganisationCounts are the counts of one organisation. Up to Uncounted further ones
	// may have been missed before the organisation was on the list.
	OrganisationCounts struct {
		Name string
		Counts
		Uncounted int64
	}

	// Top counts the requests of the organisations with the most of them, by the
	// space-saving algorithm (Metwally, Agrawal and El Abbadi, 2005). The zero Top is
	// empty. It is safe for concurrent use.
	Top struct {
		mu      sync.Mutex
		entries map[string]*OrganisationCounts
	}
)

// total returns the number of requests, some of which may not be the organisation's.
func (c *OrganisationCounts) total() int64 {
	return c.Delayed + c.Refused + c.Dropped + c.GaveUp + c.Uncounted
}

// Add adds counts of an organisation. If the list is full, the organisation takes the place
// of the one with the fewest.
func (t *Top) Add(organisation string, c Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]*OrganisationCounts, maxTop)
	}
	e, ok := t.entries[organisation]
	if !ok {
		e = &OrganisationCounts{Name: organisation}
		if len(t.entries) >= maxTop {
			var least *OrganisationCounts
			for _, other := range t.entries {
				if least == nil || other.total() < least.total() {
					least = other
				}
			}
			e.Uncounted = least.total()
			delete(t.entries, least.Name)
		}
		t.entries[organisation] = e
	}
	e.Delayed += c.Delayed
	e.Refused += c.Refused
	e.Dropped += c.Dropped
	e.GaveUp += c.GaveUp
}

// List returns the counted organisations, those with the most requests first.
func (t *Top) List() []OrganisationCounts {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]OrganisationCounts, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, *e)
	}
	slices.SortFunc(out, func(a, b OrganisationCounts) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Name, b.Name))
	})
	return out
}
