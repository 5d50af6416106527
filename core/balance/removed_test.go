package balance_test

import (
	"testing"
	"time"

	"chervilpath/core/balance"
)

// Failure: an ejected endpoint is never probed again, since the end of a call to one that
// has been removed meanwhile is counted as its readmission.
func TestEndOfACallToARemovedEndpointChangesNoOther(t *testing.T) {
	es := endpoints(t, 2, 4)
	g := newGroup(t, 2, 4)
	now := start
	for i := range es {
		for range 3 {
			completeCall(g, now, i, callTime, balance.Failed)
		}
	}
	now = now.Add(3 * time.Second)
	probe := g.Begin(now, 0, callTime)
	g.SetEndpoints(es[1:])
	g.End(now.Add(callTime), probe, balance.Succeeded)
	now = now.Add(time.Second)
	if i, reason := g.Pick(now, anyQuery()); i < 0 || reason != balance.Probe {
		t.Errorf("picked %d for the reason %v, want a probe of the ejected endpoint", i, reason)
	}
	if n := g.InFlight(); n != 0 {
		t.Errorf("%d calls in flight, want none", n)
	}
}
