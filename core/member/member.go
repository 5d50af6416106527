// Package member owns what one entry instance knows of the others: who is
// live, suspected, leaving or gone, and which revision each has in force.
//
// It follows SWIM (Das, Gupta and Motivala, DSN 2002): each period one other
// instance is probed, by others if it does not answer, and news travels with
// the probes, so that the cost for an instance does not grow with their number.
// What it says is a hint. Nothing that must hold may rest on it: two instances
// can disagree for seconds. The package sends nothing and reads no clock, and a
// Table is not safe for concurrent use.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a member. A higher state overrules a lower one of the
// same sequence.
type State uint8

// The states.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

const (
	// Period is the time between two probes by one instance.
	Period = time.Second

	// suspicion is how long a suspected member may refute.
	suspicion = 4 * Period

	// tombstone is how long a gone member is remembered, so that late news
	// does not bring it back.
	tombstone = 2 * time.Minute

	// maxNews is the most members told with one probe.
	maxNews = 6

	// toldEnough as the number of tellings keeps an entry from being passed on.
	toldEnough = 1 << 30

	// spread is the factor on log2(members) for how often news is told.
	spread = 3
)

type (
	// Member is one incarnation of an instance.
	Member struct {
		// ID is unique to a process.
		ID            string
		Name          string
		Address       string
		FailureDomain string
		State         State
		// Sequence is raised by the member itself only, to overrule what
		// others say of it.
		Sequence uint64
		// Revision is the revision that the member has in force.
		Revision int64
		// Successor is the address of the instance that took over its keys.
		Successor string
		// Weight is its capacity for work that it does for others.
		Weight float64
	}

	// Table is all members that one instance knows, itself included. Use New.
	Table struct {
		self    Member
		members map[string]*known
		order   []string
		next    int
		rng     *rand.Rand
	}

	known struct {
		Member
		// told counts how often the newest state was passed on.
		told int
		// until is when a suspicion ends in Gone, or a tombstone is dropped.
		until time.Time
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

// New returns a table that knows only the instance itself.
func New(self Member, rng *rand.Rand) *Table {
	self.State = Live
	return &Table{self: self, members: make(map[string]*known), rng: rng}
}

// Self returns the instance's own entry.
func (t *Table) Self() Member { return t.self }

// SetRevision notes the revision that the instance itself has in force.
func (t *Table) SetRevision(revision int64) {
	if revision > t.self.Revision {
		t.self.Revision = revision
		t.self.Sequence++
	}
}

// Leave announces that the instance leaves and who has its keys, if anyone.
func (t *Table) Leave(successor string) {
	t.self.State = Leaving
	t.self.Successor = successor
	t.self.Sequence++
}

// Merge takes news of a member and reports whether it changed anything.
func (t *Table) Merge(now time.Time, m Member) bool {
	if m.ID == "" {
		return false
	}
	if m.ID == t.self.ID {
		t.refute(m)
		return false
	}
	have, ok := t.members[m.ID]
	if !ok {
		if m.State == Gone {
			return false
		}
		have = &known{}
		t.members[m.ID] = have
		t.insert(m.ID)
	} else if m.Sequence < have.Sequence || (m.Sequence == have.Sequence && m.State <= have.State) {
		return false
	}
	if have.State == Gone && m.State != Gone && m.Sequence <= have.Sequence {
		return false
	}
	have.Member = m
	have.told = 0
	t.setUntil(now, have)
	return true
}

// MergeAll takes the whole table of another instance. What is new in it is not
// passed on as news: others get it the same way, and those whom it concerns
// announce themselves.
func (t *Table) MergeAll(now time.Time, members []Member) {
	for _, m := range members {
		if t.Merge(now, m) {
			t.members[m.ID].told = toldEnough
		}
	}
}

// refute overrules what others say of this instance.
func (t *Table) refute(m Member) {
	if m.Sequence >= t.self.Sequence && (m.State == Suspect || m.State == Gone) {
		t.self.Sequence = m.Sequence + 1
	}
}

func (t *Table) setUntil(now time.Time, k *known) {
	switch k.State {
	case Suspect:
		k.until = now.Add(suspicion)
	case Gone:
		k.until = now.Add(tombstone)
	default:
		k.until = time.Time{}
	}
}

// insert puts a new member at a random place of the probing order.
func (t *Table) insert(id string) {
	i := t.rng.IntN(len(t.order) + 1)
	t.order = slices.Insert(t.order, i, id)
	if i < t.next {
		t.next++
	}
}

// Target returns the next member to probe, or false if there is none. Every
// member is probed once before any is probed again.
func (t *Table) Target() (Member, bool) {
	for range len(t.order) + 1 {
		if t.next >= len(t.order) {
			t.next = 0
			t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
		}
		if len(t.order) == 0 {
			return Member{}, false
		}
		k := t.members[t.order[t.next]]
		t.next++
		if k.State != Gone {
			return k.Member, true
		}
	}
	return Member{}, false
}

// Helpers returns up to n live members that can probe the target.
func (t *Table) Helpers(target string, n int) []Member {
	var out []Member
	for _, i := range t.rng.Perm(len(t.order)) {
		k := t.members[t.order[i]]
		if len(out) == n {
			break
		}
		if k.State == Live && k.ID != target {
			out = append(out, k.Member)
		}
	}
	return out
}

// Fail notes that neither a probe nor its helpers reached a member.
func (t *Table) Fail(now time.Time, id string) {
	k, ok := t.members[id]
	if !ok {
		return
	}
	switch k.State {
	case Live:
		k.State = Suspect
	case Leaving:
		k.State = Gone
	default:
		return
	}
	k.told = 0
	t.setUntil(now, k)
}

// Expire turns suspicions that were not refuted into Gone and drops old tombstones.
func (t *Table) Expire(now time.Time) {
	for id, k := range t.members {
		if k.until.IsZero() || now.Before(k.until) {
			continue
		}
		if k.State == Suspect {
			k.State = Gone
			k.told = 0
			t.setUntil(now, k)
			continue
		}
		delete(t.members, id)
		if i := slices.Index(t.order, id); i >= 0 {
			t.order = slices.Delete(t.order, i, i+1)
			if i < t.next {
				t.next--
			}
		}
	}
}

// tellLimit returns how often news is passed on.
func (t *Table) tellLimit() int { return spread * bits.Len(uint(len(t.members)+1)) }

// News returns the members to tell with the next probe: those whose newest
// state has been told least often.
func (t *Table) News() []Member {
	limit := t.tellLimit()
	var fresh []*known
	for _, k := range t.members {
		if k.told < limit {
			fresh = append(fresh, k)
		}
	}
	slices.SortFunc(fresh, func(a, b *known) int {
		if c := cmp.Compare(a.told, b.told); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	out := make([]Member, 0, maxNews)
	for _, k := range fresh[:min(maxNews, len(fresh))] {
		k.told++
		out = append(out, k.Member)
	}
	return out
}

// Members returns all members, the instance itself included, ordered by name.
func (t *Table) Members() []Member {
	out := []Member{t.self}
	for _, k := range t.members {
		out = append(out, k.Member)
	}
	slices.SortFunc(out, func(a, b Member) int {
		if c := cmp.Compare(a.Name, b.Name); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return out
}

// Serving returns the number of instances that take requests, this one included.
func (t *Table) Serving() int {
	n := 1
	for _, k := range t.members {
		if k.State == Live || k.State == Suspect {
			n++
		}
	}
	return n
}

// Rank returns how many live members come before this instance in the order of
// rank for the given purpose. Instances agree on it when their tables agree.
func (t *Table) Rank(rank func(id string) uint64) int {
	own := rank(t.self.ID)
	before := 0
	for id, k := range t.members {
		if k.State == Live && rank(id) > own {
			before++
		}
	}
	return before
}
