package main

import (
	"time"

	"chervilpath/platform/stand"
)

const (
	// noticeTime is how long after an answer in which a server says that it wants no
	// requests these may still arrive, and maxEarlyRequests how many may after that.
	noticeTime       = 500 * time.Millisecond
	maxEarlyRequests = 2
)

type (
	// notice is an arrival of a request with what the server said in its answer.
	notice struct {
		server string
		stand.Arrival
		// zone is that of the server.
		zone string
	}

	// told is what a server has told one process of an instance.
	told struct {
		server            string
		instance, process int
	}

	// rest is a time for which a server wants no requests.
	rest struct {
		from, until time.Time
		early       int
	}
)

// checkNotices checks that a process sent no request to a server later than drainTimeout
// after the server had told it that it is leaving, and next to none in the time for which
// the server had told it that it wants none. The notices of a server are in the order of
// their arrival.
func (c *checker) checkNotices(report func(string, ...any)) {
	leaving, rests := make(map[told]time.Time), make(map[told]*rest)
	for _, n := range c.notices {
		r := c.requests[n.RequestID]
		if r == nil {
			continue
		}
		key := told{n.server, r.instance, r.processNumber}
		if said, ok := leaving[key]; ok && r.sent.After(said.Add(drainTimeout)) && c.undisturbed(r.instance, said, n.At) {
			report("%s: sent to server %s %v after it had told instance %d that it is leaving", r.id, n.server, r.sent.Sub(said), r.instance)
		}
		if x := rests[key]; x != nil && n.At.After(x.from.Add(noticeTime)) && n.At.Before(x.until) && c.undisturbed(r.instance, x.from, n.At) {
			if x.early++; x.early == maxEarlyRequests+1 {
				report("%s: sent to server %s %v before it wants requests from instance %d", r.id, n.server, x.until.Sub(n.At), r.instance)
			}
		}
		if _, ok := leaving[key]; n.Leaving && !ok && r.status != 0 {
			leaving[key] = r.ended
		}
		if x := rests[key]; !n.RefusesUntil.IsZero() && (x == nil || n.RefusesUntil.After(x.until)) {
			rests[key] = &rest{from: n.At, until: n.RefusesUntil}
		}
	}
}
