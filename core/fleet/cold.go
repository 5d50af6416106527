package fleet

import "time"

// coldRetention is how long it is remembered since when a server is cold whose entry is
// gone. An entry that reappears unchanged must not start the time anew.
const coldRetention = 10 * time.Minute

type (
	// coldState is until when one incarnation of a server is slow, from its entries.
	coldState struct {
		born, sequence int64
		// cold is the remaining time by the entry with that sequence, and until the end of
		// that time, counted from when this instance first saw the entry.
		cold  time.Duration
		until time.Time
		// turnedAt is when the server became cold again after it had been warm, or zero.
		turnedAt time.Time
		// goneAt is when the entry was found to be gone, or zero.
		goneAt time.Time
	}

	// coldStates holds what is known of cold servers, by server ID and by zone.
	coldStates struct {
		servers map[string]coldState
		zones   map[string]time.Time
		// latest is the latest time that the view was given.
		latest time.Time
	}
)

// observe records the cold time of an entry that is seen now. It counts from when the
// incarnation and sequence of the entry were first seen. Without a start time, a lower
// sequence is that of another incarnation.
func (c *coldStates) observe(now time.Time, s Server) {
	cold := max(0, s.Cold)
	known, ok := c.servers[s.ID]
	until := now.Add(cold)
	if cold == 0 && known.until.Before(until) {
		until = known.until
	}
	switch {
	case !ok || known.born != s.Born || s.Born == 0 && s.Sequence < known.sequence:
		known = coldState{born: s.Born}
		if cold == 0 {
			until = time.Time{}
		}
	case s.Sequence < known.sequence || s.Sequence == known.sequence && cold == known.cold:
		known.goneAt = time.Time{}
		c.servers[s.ID] = known
		return
	default:
		if s.Sequence == known.sequence {
			// A server that does not count its updates contradicts itself. The longer time
			// is the safe one.
			until = latest(until, known.until)
		}
		if cold > 0 && !now.Before(known.until) {
			known.turnedAt = now
		}
	}
	known.sequence, known.cold, known.until, known.goneAt = s.Sequence, cold, until, time.Time{}
	c.servers[s.ID] = known
}

// addTo sets the times of a server in a Snapshot.
func (c *coldStates) addTo(s *Server) {
	s.ColdUntil = c.zones[s.Zone]
	if state, ok := c.servers[s.ID]; ok && state.born == s.Born {
		s.ColdUntil = latest(s.ColdUntil, state.until)
		s.TurnedColdAt = state.turnedAt
	}
}

// expire forgets servers that are long gone and zones whose time is over.
func (c *coldStates) expire(now time.Time, known map[string]Server) {
	for id, s := range c.servers {
		if _, ok := known[id]; ok {
			continue
		}
		if s.goneAt.IsZero() {
			s.goneAt = now
			c.servers[id] = s
		} else if now.Sub(s.goneAt) > coldRetention {
			delete(c.servers, id)
		}
	}
	for zone, until := range c.zones {
		if !now.Before(until) {
			delete(c.zones, zone)
		}
	}
}

// MarkZoneCold makes all servers of a zone count as cold until a time, also those that are
// listed later. It ignores a time that is earlier than one it was given before.
func (v *View) MarkZoneCold(zone string, until time.Time) {
	if until.After(v.cold.zones[zone]) {
		v.cold.zones[zone] = until
		v.generation++
	}
}
