// Package fleet owns what one instance believes of the servers: which there
// are, where, and which are leaving.
//
// It takes the platform's list and its changes, and what peers say of
// departures. It must not call servers or read a clock, and a View is not safe
// for concurrent use; the Snapshot it returns is.
package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// recoveryGrace is how long after the store's return an entry that is missing from
	// it is still believed; the protocol says about two seconds.
	recoveryGrace = 2200 * time.Millisecond

	// maxRemovals is how many removals are kept to be told to other instances.
	maxRemovals = 256
)

type (
	// Server is one incarnation of a server.
	Server struct {
		ID      string
		Service string
		Address string
		Zone    string
		// Build is the version of its software.
		Build    string
		Slots    int
		Draining bool
		// Cold is how much longer the server remains slow after its start.
		Cold time.Duration
		// Born is the Unix millisecond of its start, or 0 if it does not say.
		Born int64
		// Sequence only grows while a server lives.
		Sequence int64
		// Revision is the store's revision of the entry.
		Revision int64
	}

	// Snapshot is an immutable list of servers that may get work.
	Snapshot struct {
		services  map[string][]Server
		byID      map[string]Server
		byAddress map[string]Server
	}

	// Changes are what changed after a revision, as one instance tells another.
	Changes struct {
		// Whole is set if Servers is the whole list.
		Whole   bool     `json:"whole,omitempty"`
		Servers []Server `json:"servers,omitempty"`
		Removed []string `json:"removed,omitempty"`
		// Missing are servers that may come back, since the store has just done so.
		Missing  []string `json:"missing,omitempty"`
		Revision int64    `json:"revision"`
	}

	// removal is a server that was removed at about a revision.
	removal struct {
		id       string
		revision int64
	}

	// View is what is believed now. Use New.
	View struct {
		known map[string]Server
		// missing holds the revision at which a server was first missed by a
		// store that had been out of reach.
		missing map[string]int64
		// outageAfter is the time without an answer of the store after which entries
		// may have lapsed in it.
		outageAfter time.Duration
		// lastAnswer is when the store last answered any instance, and doubtUntil
		// how long what is missing now may still come back.
		lastAnswer, graceUntil time.Time
		revision               int64
		// generation grows with each change of what is believed of the servers.
		generation int64
		// removals are the latest ones; what was removed up to the revision
		// oldest is no longer known.
		removals          []removal
		compactedRevision int64
	}
)

// New returns a view that knows no servers. Entries of live servers may be
// missing after the store has answered nobody for as long as outage.
func New(outageAfter time.Duration) *View {
	return &View{known: make(map[string]Server), missing: make(map[string]int64), outageAfter: outageAfter}
}

// Revision returns the store's revision up to which changes were taken.
func (v *View) Revision() int64 { return v.revision }

// StoreAnswered notes that the store answered some instance at a time. A failure
// that only some instances see lets no entries lapse, so what counts is the
// time in which nobody had an answer.
func (v *View) StoreAnswered(now, at time.Time) {
	if !v.lastAnswer.IsZero() && at.Sub(v.lastAnswer) > v.outageAfter {
		v.graceUntil = now.Add(recoveryGrace)
	}
	if at.After(v.lastAnswer) {
		v.lastAnswer = at
	}
}

// inGrace reports whether entries that are missing now may come back.
func (v *View) inGrace(now time.Time) bool { return now.Before(v.graceUntil) }

// Replace takes the whole list as of a revision and returns the ids that went.
func (v *View) Replace(now time.Time, servers []Server, revision int64) []string {
	v.StoreAnswered(now, now)
	if revision < v.revision {
		return nil
	}
	v.revision = revision
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		v.Set(s)
	}
	var removed []string
	for id := range v.known {
		if !listed[id] && v.Remove(now, id) {
			removed = append(removed, id)
		}
	}
	return removed
}

// Set takes one changed entry. An entry older than the known one is left out.
func (v *View) Set(s Server) {
	existing, ok := v.known[s.ID]
	if ok && s.Revision < existing.Revision {
		return
	}
	delete(v.missing, s.ID)
	if !ok || s != existing {
		v.generation++
	}
	v.known[s.ID] = s
}

// Generation returns a number that grows with each change of what a Snapshot
// holds.
func (v *View) Generation() int64 { return v.generation }

// Advance notes that changes up to a revision were taken.
func (v *View) Advance(revision int64) { v.revision = max(v.revision, revision) }

// Remove takes the removal of an entry and reports whether the server is to be
// treated as gone at once.
func (v *View) Remove(now time.Time, id string) bool {
	if _, ok := v.known[id]; !ok {
		return false
	}
	if !v.inGrace(now) {
		v.forget(id)
		return true
	}
	if _, ok := v.missing[id]; !ok {
		v.missing[id] = v.revision
	}
	return false
}

// Expire removes entries that stayed missing after the store's return and
// returns their ids.
func (v *View) Expire(now time.Time) []string {
	if v.inGrace(now) || now.Sub(v.lastAnswer) > v.outageAfter {
		return nil
	}
	var removed []string
	for id := range v.missing {
		v.forget(id)
		removed = append(removed, id)
	}
	return removed
}

// forget removes a server and keeps for other instances that it was removed.
func (v *View) forget(id string) {
	v.generation++
	delete(v.known, id)
	delete(v.missing, id)
	v.removals = append(v.removals, removal{id: id, revision: v.revision})
	if n := len(v.removals) - maxRemovals; n > 0 {
		v.compactedRevision = v.removals[n-1].revision
		v.removals = slices.Delete(v.removals, 0, n)
	}
}

// MissingCount returns the number of servers that may still come back.
func (v *View) MissingCount() int { return len(v.missing) }

// Snapshot returns the servers that may get work. Of several entries with one
// address only the one changed last counts.
func (v *View) Snapshot() *Snapshot {
	newest := make(map[string]Server)
	for _, s := range v.known {
		if existing, ok := newest[s.Address]; !ok || s.Revision > existing.Revision {
			newest[s.Address] = s
		}
	}
	out := &Snapshot{services: make(map[string][]Server), byID: make(map[string]Server), byAddress: newest}
	for _, s := range newest {
		if s.Draining {
			continue
		}
		out.services[s.Service] = append(out.services[s.Service], s)
		out.byID[s.ID] = s
	}
	for _, list := range out.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// Service returns the servers of a service, ordered by id. The caller must not
// change the slice.
func (s *Snapshot) Service(name string) []Server { return s.services[name] }

// Server returns the server with the given id.
func (s *Snapshot) Server(id string) (Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}

// Zone returns the zone of the server at an address, leaving ones included, or "".
func (s *Snapshot) Zone(address string) string { return s.byAddress[address].Zone }

// All returns the servers by id, in no order.
func (s *Snapshot) All() iter.Seq2[string, Server] { return maps.All(s.byID) }

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.byID) }

// ChangesSince returns the changes after a revision, for another instance. It returns
// the whole list if it no longer knows what was removed since.
func (v *View) ChangesSince(revision int64) Changes {
	out := Changes{Revision: v.revision}
	if revision >= v.revision {
		return out
	}
	out.Whole = revision == 0 || len(v.removals) > 0 && revision < v.compactedRevision
	for _, s := range v.known {
		if _, missing := v.missing[s.ID]; !missing && (out.Whole || s.Revision > revision) {
			out.Servers = append(out.Servers, s)
		}
	}
	for id, at := range v.missing {
		if out.Whole || at > revision {
			out.Missing = append(out.Missing, id)
		}
	}
	if !out.Whole {
		for _, r := range v.removals {
			if r.revision > revision {
				out.Removed = append(out.Removed, r.id)
			}
		}
	}
	return out
}

// Apply takes changes that another instance has from the store, if they are
// newer, and returns the ids that went.
func (v *View) Apply(now time.Time, c Changes) []string {
	if c.Revision <= v.revision {
		return nil
	}
	v.revision = c.Revision
	candidates := c.Removed
	if c.Whole {
		candidates = v.unlisted(c)
	}
	if len(c.Missing) > 0 && v.graceUntil.Before(now.Add(recoveryGrace)) {
		v.graceUntil = now.Add(recoveryGrace)
	}
	for _, id := range c.Missing {
		v.Remove(now, id)
	}
	var removed []string
	for _, id := range candidates {
		// The other instance does not expect it to come back.
		if _, ok := v.known[id]; ok {
			v.forget(id)
			removed = append(removed, id)
		}
	}
	for _, s := range c.Servers {
		v.Set(s)
	}
	return removed
}

// unlisted returns the known servers that a whole list no longer names.
func (v *View) unlisted(c Changes) []string {
	listed := make(map[string]bool, len(c.Servers)+len(c.Missing))
	for _, s := range c.Servers {
		listed[s.ID] = true
	}
	for _, id := range c.Missing {
		listed[id] = true
	}
	var out []string
	for id := range v.known {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}
