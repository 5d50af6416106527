package fleet

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

// Snapshot is an immutable list of the servers that may get work.
type Snapshot struct {
	services map[string][]Server
	byID     map[string]Server
	// byAddress holds draining servers too.
	byAddress map[string]Server
	// leaving holds by service the servers that said that they are leaving, as
	// others may not know yet.
	leaving map[string][]Server
	// evacuated holds by service the servers in evacuated zones, and numEvacuated their
	// number by zone.
	evacuated    map[string][]Server
	numEvacuated map[string]int
	evacuations  Evacuations
}

// Snapshot returns the servers that may get work. Of several entries with the
// same address only the latest counts.
func (v *View) Snapshot() *Snapshot {
	newest := make(map[string]Server)
	for _, s := range v.known {
		if existing, ok := newest[s.Address]; !ok || s.Revision > existing.Revision {
			newest[s.Address] = s
		}
	}
	out := &Snapshot{services: make(map[string][]Server), byID: make(map[string]Server), byAddress: newest, leaving: make(map[string][]Server), evacuations: v.evacuations, evacuated: make(map[string][]Server), numEvacuated: make(map[string]int)}
	for _, s := range newest {
		if s.Draining {
			continue
		}
		if v.notices.leaves(s.Incarnation()) {
			out.leaving[s.Service] = append(out.leaving[s.Service], s)
			continue
		}
		if v.evacuations.Contains(s.Zone) {
			out.evacuated[s.Service] = append(out.evacuated[s.Service], s)
			out.numEvacuated[s.Zone]++
			continue
		}
		v.cold.addTo(&s)
		s.ExcludedUntil = v.notices.excludedUntil(s.Incarnation())
		out.services[s.Service] = append(out.services[s.Service], s)
		out.byID[s.ID] = s
	}
	for _, list := range out.services {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	return out
}

// Service returns the servers of a service, ordered by ID, including those that want
// no requests for a while. The caller must not change the slice.
func (s *Snapshot) Service(name string) []Server { return s.services[name] }

// Server returns the server with the given ID.
func (s *Snapshot) Server(id string) (Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}

// Callable returns the server with the given ID if it may get a request now.
func (s *Snapshot) Callable(now time.Time, id string) (Server, bool) {
	server, ok := s.byID[id]
	return server, ok && !now.Before(server.ExcludedUntil)
}

// ServerAt returns the server at an address, which may be draining.
func (s *Snapshot) ServerAt(address string) (Server, bool) {
	server, ok := s.byAddress[address]
	return server, ok
}

// Unwilling returns the IDs of the servers of a service that said that they are leaving
// or want no requests from this instance now, or whose zone is evacuated, which other
// instances may not know.
func (s *Snapshot) Unwilling(now time.Time, service string) []string {
	var out []string
	for _, server := range s.leaving[service] {
		out = append(out, server.ID)
	}
	for _, server := range s.evacuated[service] {
		out = append(out, server.ID)
	}
	for _, server := range s.services[service] {
		if now.Before(server.ExcludedUntil) {
			out = append(out, server.ID)
		}
	}
	return out
}

// Leaving returns the servers that said that they are leaving, in no particular order.
func (s *Snapshot) Leaving() iter.Seq[Server] {
	return func(yield func(Server) bool) {
		for _, list := range s.leaving {
			for _, server := range list {
				if !yield(server) {
					return
				}
			}
		}
	}
}

// EarliestReturn returns when the first server of a service wants requests again, if
// all of them want none now. Otherwise it returns the zero time.
func (s *Snapshot) EarliestReturn(now time.Time, service string) time.Time {
	var first time.Time
	for _, server := range s.services[service] {
		if !now.Before(server.ExcludedUntil) {
			return time.Time{}
		}
		if first.IsZero() || server.ExcludedUntil.Before(first) {
			first = server.ExcludedUntil
		}
	}
	return first
}

// Zone returns the zone of the server at an address, or "" if there is none.
// Unlike the other methods it covers draining servers too.
func (s *Snapshot) Zone(address string) string { return s.byAddress[address].Zone }

// All returns the servers by ID, in no particular order.
func (s *Snapshot) All() iter.Seq2[string, Server] { return maps.All(s.byID) }

// Len returns the number of servers.
func (s *Snapshot) Len() int { return len(s.byID) }
