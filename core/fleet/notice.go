package fleet

import "time"

// leavingRetention is how long a server that said that it is leaving is remembered
// after its entry was removed, in case the entry reappears.
const leavingRetention = 10 * time.Minute

type (
	// Notice is what a server says of itself in an answer.
	Notice struct {
		// Leaving is set if the server is about to stop.
		Leaving bool
		// RetryAfter is how long the server wants no requests from the instance that
		// it answered, counted from the answer, or 0.
		RetryAfter time.Duration
	}

	// Incarnation identifies one start of a server.
	Incarnation struct {
		ID string
		// Born is the start time in Unix milliseconds, or 0 if it is not known.
		Born int64
	}

	// notices holds what servers have said to this instance, by their IDs.
	notices struct {
		leaving  map[string]leavingNotice
		excluded map[string]exclusion
	}

	leavingNotice struct {
		born int64
		at   time.Time
	}

	exclusion struct {
		born  int64
		until time.Time
	}
)

// Incarnation returns the incarnation that the entry is of.
func (s Server) Incarnation() Incarnation { return Incarnation{ID: s.ID, Born: s.Born} }

// ObserveLeaving records that an incarnation of a server said that it is leaving. That
// holds until it has started again, whatever entries say.
func (v *View) ObserveLeaving(now time.Time, inc Incarnation) {
	s, known := v.known[inc.ID]
	if known && s.Born != inc.Born || v.notices.leaves(inc) {
		return
	}
	v.notices.leaving[inc.ID] = leavingNotice{born: inc.Born, at: now}
	v.generation++
	v.events = append(v.events, Event{Kind: Leaving, Server: s})
}

// Exclude records that an incarnation of a server wants no requests from this instance
// until the given time. It ignores a time that is earlier than one it was given before.
func (v *View) Exclude(inc Incarnation, until time.Time) {
	s, known := v.known[inc.ID]
	if !known || s.Born != inc.Born || !until.After(v.notices.excludedUntil(inc)) {
		return
	}
	v.notices.excluded[inc.ID] = exclusion{born: inc.Born, until: until}
	v.generation++
	v.events = append(v.events, Event{Kind: Excluded, Server: s, Until: until})
}

// leaves reports whether the incarnation said that it is leaving.
func (n *notices) leaves(inc Incarnation) bool {
	l, ok := n.leaving[inc.ID]
	return ok && l.born == inc.Born
}

// excludedUntil returns until when the incarnation wants no requests, or the zero time.
func (n *notices) excludedUntil(inc Incarnation) time.Time {
	if x, ok := n.excluded[inc.ID]; ok && x.born == inc.Born {
		return x.until
	}
	return time.Time{}
}

// started drops what an earlier incarnation of a server said, as its entry changes from
// old to current.
func (v *View) started(old, current Server) {
	if current.Born == 0 {
		// Without a start time, an entry that was draining and is ready again is of
		// another incarnation.
		if old.Draining && !current.Draining {
			v.dropNotices(current)
		}
		return
	}
	l, leaving := v.notices.leaving[current.ID]
	x, excluded := v.notices.excluded[current.ID]
	if leaving && l.born != current.Born || excluded && x.born != current.Born {
		v.dropNotices(current)
	}
}

// dropNotices forgets what a server said, and records that it may be used again.
func (v *View) dropNotices(s Server) {
	_, leaving := v.notices.leaving[s.ID]
	_, excluded := v.notices.excluded[s.ID]
	if !leaving && !excluded {
		return
	}
	delete(v.notices.leaving, s.ID)
	delete(v.notices.excluded, s.ID)
	v.generation++
	v.events = append(v.events, Event{Kind: Returned, Server: s})
}

// ExcludedCount returns the number of servers that are excluded for a while.
func (v *View) ExcludedCount() int { return len(v.notices.excluded) }

// ExpireNotices drops exclusions and cold times that have ended, and what is known of
// servers whose entries are long gone.
func (v *View) ExpireNotices(now time.Time) {
	v.cold.expire(now, v.known)
	for id, x := range v.notices.excluded {
		if now.Before(x.until) {
			continue
		}
		delete(v.notices.excluded, id)
		if s, ok := v.known[id]; ok && !v.notices.leaves(s.Incarnation()) {
			v.events = append(v.events, Event{Kind: Returned, Server: s})
		}
	}
	for id, l := range v.notices.leaving {
		if _, known := v.known[id]; !known && now.Sub(l.at) > leavingRetention {
			delete(v.notices.leaving, id)
		}
	}
}
