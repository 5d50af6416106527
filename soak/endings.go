package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// lossSlack is how long after a request was written its connection may end without an
	// answer, as long as the request was not passed on.
	lossSlack = 200 * time.Millisecond

	// lateStopWindow is how long after SIGTERM a request may be sent that may be cut off
	// in the last sixth of gracePeriod if its server is still at work then.
	lateStopWindow = 3 * time.Second

	// configEffect is the time after the acknowledgement of a version for which the end of
	// a request is counted with the version.
	configEffect = configPropagation + time.Second
)

// silence is a time for which a sound server read and sent nothing.
type silence struct {
	server   string
	from, to time.Time
}

// sites are the servers that each request reached.
type sites map[string]map[string]bool

func (c *checker) serversReached() sites {
	out := make(sites)
	for _, a := range c.arrivals {
		if out[a.id] == nil {
			out[a.id] = make(map[string]bool)
		}
		out[a.id][a.server] = true
	}
	return out
}

// soundFor reports whether the instance of a request, the store and the servers that it
// reached were undisturbed until it ended. A disturbance of another server is none, and
// neither are a planned stop, a version or a sound server's silence.
func (c *checker) soundFor(r *request, servers map[string]bool) bool {
	for _, number := range []int{r.instance, storeNumber} {
		for _, d := range c.disturbances[number] {
			own := d.server == "" || servers[d.server]
			if own && d.overlaps(r.sent, r.ended) {
				return false
			}
		}
	}
	return true
}

// ending returns how a request ended, for the count, and whether the end breaks the
// promise that an answer is not cut off.
func (c *checker) ending(r *request, servers map[string]bool) (name string, broken bool) {
	switch {
	case r.abandoned:
		return "given up by the caller", false
	case r.status != 0:
		return fmt.Sprint("status ", r.status), false
	case len(servers) == 0 && (r.written.IsZero() || r.ended.Sub(r.written) <= lossSlack):
		return "closed before it was read", false
	case !c.soundFor(r, servers):
		return "cut while disturbed", false
	}
	stoppedAt, stopped := c.stopOf(r)
	if stopped && len(servers) > 0 && r.sent.Before(stoppedAt.Add(lateStopWindow)) && r.ended.After(stoppedAt.Add(gracePeriod*5/6)) {
		return "cut at the end of the grace period", false
	}
	causes := c.causes(r, servers)
	return "CUT beside " + strings.Join(slices.Sorted(maps.Keys(causes)), " and "), true
}

// stopOf returns when the process of a request received SIGTERM, if it had when the
// request ended.
func (c *checker) stopOf(r *request) (at time.Time, ok bool) {
	at, ok = c.stoppedAt[[2]int{r.instance, r.processNumber}]
	return at, ok && r.ended.After(at)
}

// causes returns what may have led to the end of a request, with the details.
func (c *checker) causes(r *request, servers map[string]bool) map[string]string {
	out := make(map[string]string)
	if at, ok := c.stopOf(r); ok {
		out["a stop"] = fmt.Sprintf("SIGTERM %v before it was sent and %v before its end", r.sent.Sub(at), r.ended.Sub(at))
	}
	for _, v := range c.versions {
		if v.sent.Before(r.ended) && r.sent.Before(v.acked.Add(configEffect)) {
			out["a version"] = fmt.Sprintf("version %d written %v before its end", v.number, r.ended.Sub(v.sent))
		}
	}
	for _, s := range c.silences {
		if servers[s.server] && s.from.Before(r.ended) && s.to.After(r.sent) {
			out["a silence"] = fmt.Sprintf("server %s fell silent %v before its end for %v", s.server, r.ended.Sub(s.from), s.to.Sub(s.from))
		}
	}
	if len(out) == 0 {
		out["nothing known"] = "no stop, version or silence"
	}
	return out
}

// checkEnding checks that the connection of a request that was read did not end without a
// complete answer while all that the request used was sound.
func (c *checker) checkEnding(r *request, servers map[string]bool, report func(string, ...any)) {
	if _, broken := c.ending(r, servers); !broken {
		return
	}
	report("%s: cut off after %v at instance %d with %d bytes of its answer (%v), servers %v: %s", r.id, r.ended.Sub(r.sent), r.instance, r.received, r.err,
		slices.Sorted(maps.Keys(servers)), strings.Join(slices.Sorted(maps.Values(c.causes(r, servers))), "; "))
}

// endings returns how many requests of each route ended in each way.
func (c *checker) endings() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts, reached := make(map[string]map[string]int), c.serversReached()
	for _, r := range c.requests {
		name, _ := c.ending(r, reached[r.id])
		if counts[name] == nil {
			counts[name] = make(map[string]int)
		}
		counts[name][r.route]++
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(&out, "  %-36s %v\n", name, strings.TrimPrefix(fmt.Sprint(counts[name]), "map"))
	}
	return out.String()
}
