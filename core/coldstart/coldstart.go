// Package coldstart limits the requests that servers receive while they are slow after a
// start.
//
// The owner of a service grants permissions, one for each request, from a third of the
// bound that holds for all instances together. Three instances that believe they are the
// owner therefore stay within the bound. Tenure decides whether this instance may grant,
// and Limiter whether a server may receive a request now. The package sends nothing and
// reads no clock.
package coldstart

import (
	"math"
	"slices"
	"time"

	"chervilpath/core/member"
)

const (
	// Window is the time over which the requests to a cold server are bounded.
	Window = time.Second

	// Validity is how long a permission may be used, counted from the moment at which it
	// was asked for.
	Validity = 250 * time.Millisecond

	// Settling is the time after which no permission of an earlier owner, and no request
	// that was sent before a server was known to be cold, counts any more.
	Settling = Window + Validity

	// MaxContactAge is the age up to which the last answer of a member shows that this
	// instance reaches it.
	MaxContactAge = time.Second

	// maxOwners is the number of instances that may grant permissions for a service at the
	// same time, each of them from its share of the bound.
	maxOwners = 3

	// maxTenureGap is the longest time between two confirmations of a tenure. A process
	// that was stopped for longer may have been replaced as the owner.
	maxTenureGap = 700 * time.Millisecond
)

// Allowance returns how many permissions one owner may grant for a server in each
// Settling, if a server that tolerates rate requests per second while it is cold may
// receive rate times over, plus slack, in any Window. It returns 0 if the rate or over is
// not positive or is no number: cold servers of the service are then not limited, and
// nothing has to be granted.
func Allowance(rate, over, slack float64) int {
	if !Limited(rate, over) {
		return 0
	}
	share := (rate*over + max(0, slack)) / maxOwners
	return int(math.Floor(min(share, math.MaxInt32)))
}

// Limited reports whether cold servers that tolerate rate requests per second are limited.
func Limited(rate, over float64) bool { return rate > 0 && over > 0 }

// IsOwner reports whether an instance may own the permissions of a service: it is the
// service's owner among the live members of its directory, and among the first three of
// all members.
//
// The rank among all members, also those that are not live, limits the number of
// instances that grant at the same time to three even if their views of who is live
// differ. The incarnations of an instance are one member.
func IsOwner(self member.Member, directory []member.Member, service string) bool {
	if owner, ok := member.Owner(directory, service, anyMember); !ok || owner.ID != self.ID {
		return false
	}
	before := 0
	for i, m := range directory {
		if m.Name == self.Name || isListed(directory[:i], m.Name) {
			continue
		}
		pair := [...]member.Member{{ID: self.ID, Name: self.Name}, {ID: m.ID, Name: m.Name}}
		if first, _ := member.Owner(pair[:], service, anyMember); first.ID != self.ID {
			before++
		}
	}
	return before < maxOwners
}

func anyMember(member.Member) bool { return true }

// MajorityUntil returns until when an instance counts as reaching more than half of its
// directory, itself included, or a time that is not after now if it does not. reachedAt
// returns when a call was last made that a member answered, or the zero time. unknown is
// the number of instances that are known to exist but are not known as members, such as the
// seeds of an instance that was cut off when it started.
func MajorityUntil(now time.Time, self member.Member, directory []member.Member, unknown int, reachedAt func(member.Member) time.Time) time.Time {
	total := unknown
	var contacts []time.Time
	// A directory is small, so that a scan for each member is cheap.
	for i, m := range directory {
		if isListed(directory[:i], m.Name) {
			continue
		}
		total++
		if m.Name != self.Name {
			contacts = append(contacts, lastContact(directory[i:], m.Name, reachedAt))
		}
	}
	// With itself, total/2 others are more than half.
	needed := total / 2
	switch {
	case needed == 0:
		return now.Add(MaxContactAge)
	case needed > len(contacts):
		return time.Time{}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[needed-1].Add(MaxContactAge)
}

func isListed(members []member.Member, name string) bool {
	for _, m := range members {
		if m.Name == name {
			return true
		}
	}
	return false
}

// lastContact returns when an incarnation of a member that is not gone was last reached.
func lastContact(members []member.Member, name string, reachedAt func(member.Member) time.Time) time.Time {
	var last time.Time
	for _, m := range members {
		if m.Name == name && m.State != member.Gone {
			if at := reachedAt(m); at.After(last) {
				last = at
			}
		}
	}
	return last
}

// Tenure is the time for which this instance has owned the permissions of a service
// without a break. The zero value has no tenure. It is not safe for concurrent use.
type Tenure struct {
	// since is the start of the tenure, or zero, and last its latest confirmation.
	since, last time.Time
}

// Confirm records whether the instance is the owner now, see IsOwner. It has to be called
// more often than every maxTenureGap.
func (t *Tenure) Confirm(now time.Time, owner bool) {
	if !owner {
		*t = Tenure{}
		return
	}
	if t.since.IsZero() || now.Sub(t.last) > maxTenureGap {
		t.since = now
	}
	t.last = now
}

// Holds reports whether permissions may be granted now. A tenure holds once it has lasted
// so long that no permission of an earlier owner is in use any more, which may also be an
// earlier process of the same instance.
func (t *Tenure) Holds(now time.Time) bool {
	return !t.since.IsZero() && now.Sub(t.last) <= maxTenureGap && now.Sub(t.since) >= Settling
}
