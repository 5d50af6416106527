package fleet

import (
	"maps"
	"slices"
	"time"
)

// maxRemovals is the number of removals that are kept for other instances.
const maxRemovals = 256

type (
	// history is what a View knows of the changes before its revision, besides the entries
	// themselves. A difference for an instance that has a revision needs all removals since
	// then, also those of servers that this instance has never known.
	history struct {
		// removals maps the IDs of servers that were removed, and not listed again since,
		// to the latest revision at which that may have been.
		removals map[string]int64
		// since is the revision after which all removals are in the map. It is 0 while there
		// is no list.
		since int64
	}

	// Update is one event of a watch of the store.
	Update struct {
		ID string
		// Server is the entry, or nil if it was removed or names no server to use.
		Server *Server
	}
)

// restart begins the history at the revision of a whole list, which does not tell what was
// listed and removed before it.
func (h *history) restart(revision int64) {
	if revision > h.since {
		h.since = revision
		clear(h.removals)
	}
}

// record records that a server was not listed any more at a revision.
func (h *history) record(id string, revision int64) {
	h.removals[id] = revision
	if len(h.removals) <= maxRemovals {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Values(h.removals)))
	h.since = oldest
	maps.DeleteFunc(h.removals, func(_ string, at int64) bool { return at <= oldest })
}

// after returns the IDs of the servers that were removed after a revision and not listed again.
func (h *history) after(revision int64) []string {
	var out []string
	for id, at := range h.removals {
		if at > revision {
			out = append(out, id)
		}
	}
	return out
}

// ApplyWatch applies the answer of a watch of the store: the events, in order, up to a revision.
// The watch must have begun at a revision that the view has. The view may have later changes
// from another instance by now, to which the answer adds nothing. ApplyWatch returns the IDs of
// the servers that it removed.
func (v *View) ApplyWatch(now time.Time, events []Update, revision int64) []string {
	v.StoreAnswered(now)
	if revision <= v.revision {
		return nil
	}
	v.revision = revision
	// Only the last event of a server holds at the revision. Those before it may be older than
	// what the view has.
	last := make(map[string]*Server, len(events))
	for _, e := range events {
		last[e.ID] = e.Server
	}
	var removed []string
	for id, s := range last {
		if s != nil {
			v.setAt(now, *s)
		} else if v.Remove(now, id) {
			removed = append(removed, id)
		}
	}
	return removed
}
