package member

import (
	"cmp"
	"encoding/binary"
	"iter"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCapacityFraction is the least capacity of an instance that works for
	// others, as a fraction of the largest capacity of any instance.
	minCapacityFraction = 0.5

	// directorySize is the largest number of live members in a directory, and
	// that of the others.
	directorySize = 32
)

// Directory returns the members that work for others, the most capable first:
// the live ones, and after them those that have recently left or failed. Its size
// does not grow with the number of instances, and instances that know these
// members return the same live ones.
func (t *Table) Directory() []Member {
	maxWeight := 0.0
	for m := range t.all() {
		if m.State == Live {
			maxWeight = max(maxWeight, m.Weight)
		}
	}
	var live, others []ranked
	for m := range t.all() {
		if m.Weight < minCapacityFraction*maxWeight {
			continue
		}
		r := ranked{Member: *m, hash: xxhash.Sum64String(m.Name)}
		if m.State == Live {
			live = append(live, r)
		} else {
			others = append(others, r)
		}
	}
	return appendMostCapable(appendMostCapable(nil, live), others)
}

// all returns an iterator over all members, the instance itself included, in no
// particular order. The members must not be changed.
func (t *Table) all() iter.Seq[*Member] {
	return func(yield func(*Member) bool) {
		if !yield(&t.self) {
			return
		}
		for _, r := range t.members {
			if !yield(&r.Member) {
				return
			}
		}
	}
}

// ranked is a member with the hash that orders members of the same capacity.
type ranked struct {
	Member
	hash uint64
}

// appendMostCapable appends up to directorySize members, the most capable first.
func appendMostCapable(directory []Member, members []ranked) []Member {
	slices.SortFunc(members, func(a, b ranked) int {
		if c := cmp.Compare(b.Weight, a.Weight); c != 0 {
			return c
		}
		if c := cmp.Compare(b.hash, a.hash); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, r := range members[:min(directorySize, len(members))] {
		directory = append(directory, r.Member)
	}
	return directory
}

// Digest returns a number that differs, but for collisions, between directories
// with different members, states or sequences.
func Digest(directory []Member) uint64 {
	d := xxhash.New()
	for _, m := range directory {
		var b [9]byte
		binary.LittleEndian.PutUint64(b[:], m.Sequence)
		b[8] = byte(m.State)
		_, _ = d.WriteString(m.ID)
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// Owner returns the member of a directory that owns a key, by rendezvous hashing
// among the eligible ones, or false if none is eligible.
func Owner(directory []Member, key string, eligible func(Member) bool) (Member, bool) {
	var owner Member
	found, highest := false, uint64(0)
	for _, m := range directory {
		if m.State != Live || !eligible(m) {
			continue
		}
		if rank := xxhash.Sum64String(key + "\x00" + m.Name); !found || rank > highest {
			owner, found, highest = m, true, rank
		}
	}
	return owner, found
}
