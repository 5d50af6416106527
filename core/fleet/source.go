package fleet

import "time"

const (
	// searchWidth is the number of sources that a round of a search asks at the same
	// time. One answer with a recent confirmation ends the search.
	searchWidth = 3

	// minSearchBackoff is the pause after the first round of a search that found no
	// source. It doubles with each further round.
	minSearchBackoff = 50 * time.Millisecond
)

// Sources chooses the instance from which another one gets the changes of the store.
// It stays with one as long as that has a recent confirmation by the store, and
// then asks several others at a time. The zero value is ready to use; it is not safe
// for concurrent use.
type Sources struct {
	// Offset distributes the instances over their sources.
	Offset uint64

	// current is the source that had a recent confirmation last, or "".
	current string
	// rounds is the number of rounds of the current search that found none.
	rounds int
	// next counts the sources that searches have asked.
	next uint64
}

// Next returns the sources to ask, all at the same time, of those that exist, the
// preferred ones first. While no search is in progress there is one, among the first
// numPreferred.
func (s *Sources) Next(available []string, numPreferred int) []string {
	if len(available) == 0 {
		return nil
	}
	if s.rounds == 0 {
		for _, a := range available {
			if a == s.current {
				return []string{a}
			}
		}
		return []string{available[s.Offset%uint64(min(numPreferred, len(available)))]}
	}
	out := make([]string, 0, searchWidth)
	for range min(searchWidth, len(available)) {
		s.next++
		out = append(out, available[(s.Offset+s.next)%uint64(len(available))])
	}
	return out
}

// Searching reports whether the last source asked was stale. Its successors are to be
// asked without a wait for changes.
func (s *Sources) Searching() bool { return s.rounds > 0 }

// Found records that a source has a recent confirmation, and reports whether it is another
// one than before.
func (s *Sources) Found(source string) (changed bool) {
	changed = source != s.current
	s.current, s.rounds = source, 0
	return changed
}

// Failed records that none of the sources asked has a recent confirmation, and
// returns the pause before the next round, at most maxPause.
func (s *Sources) Failed(maxPause time.Duration) time.Duration {
	s.rounds++
	if s.rounds == 1 {
		// The source was just found stale. A search begins at once.
		return 0
	}
	return min(minSearchBackoff<<min(s.rounds-2, 8), maxPause)
}
