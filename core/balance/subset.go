package balance

import (
	"cmp"
	"slices"

	"chervilpath/core/declare"
)

// SubsetSize is the number of endpoints of a stage above which an instance uses
// a part of them only, so that connections do not grow with both fleets.
const SubsetSize = 128

// Subset returns the endpoints that the instance uses: all of them if there are
// no more than size, else size of them, as many of each failure domain as its
// part of all. Instances rank them by rendezvous hashing, so that a change of
// one endpoint changes one member of some subsets, and each endpoint is used by
// about as many instances.
func Subset(endpoints []*declare.Endpoint, instance string, size int) []*declare.Endpoint {
	if len(endpoints) <= size {
		return endpoints
	}
	domains := make(map[string][]*declare.Endpoint)
	for _, e := range endpoints {
		domains[e.FailureDomain()] = append(domains[e.FailureDomain()], e)
	}
	instanceHash := hashName(instance)
	rank := func(e *declare.Endpoint) uint64 { return Mix(hashName(e.Name()), instanceHash) }
	var out []*declare.Endpoint
	for _, members := range domains {
		n := max(1, (size*len(members)+len(endpoints)-1)/len(endpoints))
		slices.SortFunc(members, func(a, b *declare.Endpoint) int { return cmp.Compare(rank(b), rank(a)) })
		out = append(out, members[:min(n, len(members))]...)
	}
	slices.SortFunc(out, func(a, b *declare.Endpoint) int { return cmp.Compare(a.Name(), b.Name()) })
	return out
}
