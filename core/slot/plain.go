package slot

import (
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/stage"
)

// organisation stands for all organisations at the stage, whose queue is not used.
var organisation = declare.NewOrganisation("", 1)

// PlainServers returns the servers of a plain service. s balances requests over them, and
// must be used by one owner alone.
func PlainServers(s *stage.Stage) Servers {
	return Servers{
		Check: func(now time.Time) error {
			_, _, _, err := s.Forecast(now, organisation, 1, 0)
			return err
		},
		Capacity: func(now time.Time) (slots int, next time.Time) {
			slots, usable, next := s.Capacity(now)
			if slots == 0 && usable {
				// An ejected server may be called once, as a probe.
				slots = 1
			}
			return slots, next
		},
		Grant: func(now time.Time, q Query, added time.Time) (Grant, bool) { return grantPlain(now, s, q, added) },
	}
}

// grantPlain gives a request a slot at a plain server. Servers that the request excludes are
// used only if no other may serve it in time, and a request that must not run twice probes
// an ejected one only if no other takes requests.
func grantPlain(now time.Time, s *stage.Stage, q Query, added time.Time) (Grant, bool) {
	slots, _, _ := s.Capacity(now)
	req := stage.CallRequest{Organisation: organisation, Cost: 1, Deadline: q.Deadline, Arrived: added}
	req.Query = balance.Query{Exclude: s.EndpointIndexes(q.Exclude), NoProbe: !q.Repeatable && slots > 0}
	g, ok := s.TryAcquire(req)
	if !ok && len(q.Exclude) > 0 && !s.MayServe(q.Deadline, q.Exclude) {
		req.Query.Exclude = nil
		g, ok = s.TryAcquire(req)
	}
	if !ok {
		return Grant{}, false
	}
	return Grant{Server: g.Endpoint.Name(), End: func(_ time.Time, outcome balance.Outcome) {
		if outcome == balance.Succeeded {
			s.Finish(organisation, g, 1, 1, 1)
			return
		}
		s.Release(g, outcome)
	}}, true
}
