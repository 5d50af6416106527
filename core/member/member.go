// Package member tracks what one entry instance knows of the others: which are
// live, suspected, leaving or gone, and which revision each has in force.
//
// It follows SWIM (Das, Gupta and Motivala, DSN 2002): in each period an
// instance probes one other, indirectly through some of the rest if it does not
// answer, and updates are piggybacked on the probes, so that an instance's cost
// does not grow with the number of instances.
//
// Membership is a hint: two instances can disagree for seconds, so no guarantee
// may depend on it. The package sends nothing and reads no clock, and a Table is
// not safe for concurrent use.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a member. Of two entries with the same sequence, the one
// with the higher state is taken.
type State uint8

// The states of a member.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

const (
	// ProbePeriod is the time between two probes by one instance.
	ProbePeriod = time.Second

	// suspicionTimeout is how long a suspected member has to refute the suspicion
	// before it counts as gone.
	suspicionTimeout = 4 * ProbePeriod

	// tombstoneRetention is how long the entry of a gone member is kept, so that
	// late updates do not revive it.
	tombstoneRetention = 2 * time.Minute

	// maxUpdates is the largest number of members sent with one probe.
	maxUpdates = 6

	// neverTransmit, as a record's number of transmissions, keeps it from being
	// passed on.
	neverTransmit = 1 << 30

	// retransmitFactor times log2(members) is how often an update is passed on.
	retransmitFactor = 3
)

type (
	// Member is one incarnation of an instance.
	Member struct {
		// ID is unique to one process of the instance.
		ID            string
		Name          string
		Address       string
		FailureDomain string
		State         State
		// Sequence is raised only by the member itself, to override what others
		// report of it.
		Sequence uint64
		// Revision is the revision that the member has in force.
		Revision int64
		// Successor is the address of the instance that took over the keys of a
		// leaving member, or "" if none did.
		Successor string
		// Weight is the member's capacity for work on behalf of other instances.
		Weight float64
	}

	// Table holds all members that one instance knows, itself included. Use New
	// to make one.
	Table struct {
		self       Member
		members    map[string]*record
		probeOrder []string
		nextProbe  int
		rng        *rand.Rand
		// version increases with every change of a member.
		version int64
	}

	// record is what the table holds of another member.
	record struct {
		Member
		// transmissions counts how often the newest update was passed on.
		transmissions int
		// expires is when a suspected member becomes Gone or the entry of a gone
		// one is removed. It is zero in the other states.
		expires time.Time
	}
)

var stateNames = [...]string{Live: "live", Suspect: "suspect", Leaving: "leaving", Gone: "gone"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// New returns a table that holds only the instance itself.
func New(self Member, rng *rand.Rand) *Table {
	self.State = Live
	return &Table{self: self, members: make(map[string]*record), rng: rng}
}

// Version returns a number that increases with every change of a member.
func (t *Table) Version() int64 { return t.version }

// Self returns the instance's own entry.
func (t *Table) Self() Member { return t.self }

// SetRevision sets the revision that the instance itself has in force. It has no
// effect unless the revision is newer than the present one.
func (t *Table) SetRevision(revision int64) {
	if revision > t.self.Revision {
		t.self.Revision = revision
		t.self.Sequence++
		t.version++
	}
}

// Leave marks the instance itself as leaving. The successor is the address of
// the instance that took over its keys, or "".
func (t *Table) Leave(successor string) {
	t.self.State = Leaving
	t.self.Successor = successor
	t.self.Sequence++
	t.version++
}

// Merge applies an update about a member and reports whether it changed the
// member's entry. An update that reports the instance itself as suspected or
// gone is refuted.
func (t *Table) Merge(now time.Time, m Member) bool {
	if m.ID == "" {
		return false
	}
	if m.ID == t.self.ID {
		t.refute(m)
		return false
	}
	existing, ok := t.members[m.ID]
	if !ok {
		if m.State == Gone {
			return false
		}
		existing = &record{}
		t.members[m.ID] = existing
		t.addToProbeOrder(m.ID)
	} else if m.Sequence < existing.Sequence || (m.Sequence == existing.Sequence && m.State <= existing.State) {
		return false
	}
	if existing.State == Gone && m.State != Gone && m.Sequence <= existing.Sequence {
		return false
	}
	existing.Member = m
	t.version++
	existing.transmissions = 0
	t.setExpiry(now, existing)
	return true
}

// MergeAll applies the whole table of another instance. Its updates are not
// passed on: other instances fetch the table in the same way, and the members
// concerned announce themselves.
func (t *Table) MergeAll(now time.Time, members []Member) {
	for _, m := range members {
		if t.Merge(now, m) {
			t.members[m.ID].transmissions = neverTransmit
		}
	}
}

// refute raises the instance's own sequence if an update reports it as suspected
// or gone, so that its own entry overrides the update.
func (t *Table) refute(m Member) {
	if m.Sequence >= t.self.Sequence && (m.State == Suspect || m.State == Gone) {
		t.self.Sequence = m.Sequence + 1
		t.version++
	}
}

func (t *Table) setExpiry(now time.Time, r *record) {
	switch r.State {
	case Suspect:
		r.expires = now.Add(suspicionTimeout)
	case Gone:
		r.expires = now.Add(tombstoneRetention)
	default:
		r.expires = time.Time{}
	}
}

// addToProbeOrder inserts a new member at a random position of the probe order.
func (t *Table) addToProbeOrder(id string) {
	i := t.rng.IntN(len(t.probeOrder) + 1)
	t.probeOrder = slices.Insert(t.probeOrder, i, id)
	if i < t.nextProbe {
		t.nextProbe++
	}
}

// NextTarget returns the next member to probe, or false if there is none. Every
// member is probed once before any is probed again.
func (t *Table) NextTarget() (Member, bool) {
	for range len(t.probeOrder) + 1 {
		if t.nextProbe >= len(t.probeOrder) {
			t.nextProbe = 0
			t.rng.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
		}
		if len(t.probeOrder) == 0 {
			return Member{}, false
		}
		r := t.members[t.probeOrder[t.nextProbe]]
		t.nextProbe++
		if r.State != Gone {
			return r.Member, true
		}
	}
	return Member{}, false
}

// SampleLive returns up to n live members chosen at random, without the one that
// has the ID exclude.
func (t *Table) SampleLive(exclude string, n int) []Member {
	var out []Member
	for _, i := range t.rng.Perm(len(t.probeOrder)) {
		r := t.members[t.probeOrder[i]]
		if len(out) == n {
			break
		}
		if r.State == Live && r.ID != exclude {
			out = append(out, r.Member)
		}
	}
	return out
}

// MarkUnreachable records that a member answered neither a direct probe nor one
// through other members. A live member becomes suspected, a leaving one gone.
func (t *Table) MarkUnreachable(now time.Time, id string) {
	r, ok := t.members[id]
	if !ok {
		return
	}
	switch r.State {
	case Live:
		r.State = Suspect
	case Leaving:
		r.State = Gone
	default:
		return
	}
	t.version++
	r.transmissions = 0
	t.setExpiry(now, r)
}

// Expire marks members as gone that did not refute a suspicion in time, and
// removes gone members after tombstoneRetention.
func (t *Table) Expire(now time.Time) {
	for id, r := range t.members {
		if r.expires.IsZero() || now.Before(r.expires) {
			continue
		}
		t.version++
		if r.State == Suspect {
			r.State = Gone
			r.transmissions = 0
			t.setExpiry(now, r)
			continue
		}
		delete(t.members, id)
		if i := slices.Index(t.probeOrder, id); i >= 0 {
			t.probeOrder = slices.Delete(t.probeOrder, i, i+1)
			if i < t.nextProbe {
				t.nextProbe--
			}
		}
	}
}

// transmissionLimit returns how often an update is passed on.
func (t *Table) transmissionLimit() int { return retransmitFactor * bits.Len(uint(len(t.members)+1)) }

// Updates returns the members to send with the next probe, those with the fewest
// transmissions first, and counts this transmission.
func (t *Table) Updates() []Member {
	limit := t.transmissionLimit()
	var candidates []*record
	for _, r := range t.members {
		if r.transmissions < limit {
			candidates = append(candidates, r)
		}
	}
	slices.SortFunc(candidates, func(a, b *record) int {
		if c := cmp.Compare(a.transmissions, b.transmissions); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	out := make([]Member, 0, maxUpdates)
	for _, r := range candidates[:min(maxUpdates, len(candidates))] {
		r.transmissions++
		out = append(out, r.Member)
	}
	return out
}

// Members returns all members, the instance itself included, sorted by name.
func (t *Table) Members() []Member {
	out := []Member{t.self}
	for _, r := range t.members {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}

// NumServing returns the number of instances that take requests, this one
// included: suspected ones count, leaving ones don't.
func (t *Table) NumServing() int {
	n := 1
	for _, r := range t.members {
		if r.State == Live || r.State == Suspect {
			n++
		}
	}
	return n
}

// Rank returns how many live members have a higher score than this instance. The
// score orders the instances for one purpose; those whose tables agree also agree
// on the ranks.
func (t *Table) Rank(score func(id string) uint64) int {
	ownScore := score(t.self.ID)
	higher := 0
	for id, r := range t.members {
		if r.State == Live && score(id) > ownScore {
			higher++
		}
	}
	return higher
}
