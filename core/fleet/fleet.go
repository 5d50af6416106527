// Package fleet owns what one instance believes of the servers: which there
// are, where, and which are leaving.
//
// It takes the platform's list and its changes, and what peers say of
// departures. It must not call servers or read a clock, and a View is not safe
// for concurrent use; the Snapshot it returns is.
package fleet

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lapse is how long after the store's return an entry that is missing from
	// it is still believed; the protocol says about two seconds.
	lapse = 2200 * time.Millisecond
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
		services map[string][]Server
		byID     map[string]Server
	}

	// View is what is believed now. Use New.
	View struct {
		known map[string]Server
		// missing holds when a server was first missed by a store that had
		// been out of reach.
		missing map[string]time.Time
		// lost is when the store last failed, regained when it answered after.
		lost, regained time.Time
		revision       int64
	}
)

// New returns a view that knows no servers.
func New() *View {
	return &View{known: make(map[string]Server), missing: make(map[string]time.Time)}
}

// Revision returns the store's revision up to which changes were taken.
func (v *View) Revision() int64 { return v.revision }

// Failed notes that the store did not answer.
func (v *View) Failed(now time.Time) { v.lost = now }

// Answered notes that the store answered.
func (v *View) Answered(now time.Time) {
	if v.regained.Before(v.lost) {
		v.regained = now
	}
}

// doubtful reports whether entries that are missing now may come back.
func (v *View) doubtful(now time.Time) bool {
	if v.lost.IsZero() {
		return false
	}
	return v.regained.Before(v.lost) || now.Sub(v.regained) < lapse
}

// Replace takes the whole list as of a revision and returns the ids that went.
func (v *View) Replace(now time.Time, servers []Server, revision int64) []string {
	v.Answered(now)
	if revision < v.revision {
		return nil
	}
	v.revision = revision
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		v.set(s)
	}
	var gone []string
	for id := range v.known {
		if !listed[id] && v.remove(now, id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Set takes one changed entry.
func (v *View) Set(s Server) { v.set(s) }

func (v *View) set(s Server) {
	have, ok := v.known[s.ID]
	if ok && s.Revision < have.Revision {
		return
	}
	delete(v.missing, s.ID)
	v.known[s.ID] = s
}

// Advance notes that changes up to a revision were taken.
func (v *View) Advance(revision int64) { v.revision = max(v.revision, revision) }

// Remove takes the removal of an entry and reports whether the server is to be
// treated as gone at once.
func (v *View) Remove(now time.Time, id string) bool { return v.remove(now, id) }

func (v *View) remove(now time.Time, id string) bool {
	if _, ok := v.known[id]; !ok {
		return false
	}
	if !v.doubtful(now) {
		delete(v.known, id)
		delete(v.missing, id)
		return true
	}
	if _, ok := v.missing[id]; !ok {
		v.missing[id] = now
	}
	return false
}

// Expire removes entries that stayed missing after the store's return and
// returns their ids.
func (v *View) Expire(now time.Time) []string {
	if v.doubtful(now) {
		return nil
	}
	var gone []string
	for id := range v.missing {
		delete(v.missing, id)
		delete(v.known, id)
		gone = append(gone, id)
	}
	return gone
}

// Depart marks a server as leaving by what a peer says, whatever the store
// told so far, if it is the same incarnation.
func (v *View) Depart(id string, born int64) bool {
	s, ok := v.known[id]
	if !ok || s.Draining || s.Born != born {
		return false
	}
	s.Draining = true
	v.known[id] = s
	return true
}

// Draining returns the servers that said they are leaving.
func (v *View) Draining() []Server {
	var out []Server
	for _, s := range v.known {
		if s.Draining {
			out = append(out, s)
		}
	}
	return out
}

// Snapshot returns the servers that may get work. Of several entries with one
// address only the one changed last counts.
func (v *View) Snapshot() *Snapshot {
	newest := make(map[string]Server)
	for _, s := range v.known {
		if have, ok := newest[s.Address]; !ok || s.Revision > have.Revision {
			newest[s.Address] = s
		}
	}
	out := &Snapshot{services: make(map[string][]Server), byID: make(map[string]Server)}
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

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.byID) }

// All returns every server that is believed, also those that are leaving.
func (v *View) All() []Server {
	out := make([]Server, 0, len(v.known))
	for _, s := range v.known {
		out = append(out, s)
	}
	return out
}

// Copy takes the list that another instance has from the store, if it is newer
// than this one's.
func (v *View) Copy(now time.Time, servers []Server, revision int64) {
	if revision <= v.revision {
		return
	}
	v.revision = revision
	listed := make(map[string]bool, len(servers))
	for _, s := range servers {
		listed[s.ID] = true
		v.set(s)
	}
	for id := range v.known {
		if !listed[id] {
			delete(v.known, id)
			delete(v.missing, id)
		}
	}
}
