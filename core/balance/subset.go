package balance

import (
	"cmp"
	"slices"

	"chervilpath/core/declare"
)

// SubsetSize is the number of endpoints of a stage above which each instance uses
// only a subset of them. It keeps the number of connections from growing with the
// product of instances and endpoints.
const SubsetSize = 128

// Subset returns the endpoints that the instance uses: all of them if there are no
// more than size, and otherwise about size of them, from each failure domain in
// proportion to its endpoints. Instances rank the endpoints by rendezvous hashing,
// so that a change of one endpoint changes at most one member of each subset, and
// all endpoints are used by about equally many instances.
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
