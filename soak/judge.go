package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The bounds that the instances are given and held to.
const (
	contact     = 3 * time.Second
	drainBound  = 2 * time.Second
	configBound = 2 * time.Second
	grace       = 6 * time.Second
	// late is until when after a SIGTERM requests are sent that must not be cut.
	late         = 2 * time.Second
	repeatRatio  = 0.2
	repeatSlack  = 56
	repeatWindow = 10 * time.Second
)

type (
	// request is what a caller sent and saw.
	request struct {
		id       string
		route    string
		key      string
		instance int
		process  int
		sent     time.Time
		ended    time.Time
		// status is 0 if the connection ended without a whole answer.
		status int
		// own is set if a success was whole and belonged to the request.
		own bool
		// server is the one that stamped a success.
		server string
		// excused is set if the caller left, or the server broke off.
		excused bool
	}

	// arrival is a request that reached a server.
	arrival struct {
		id, server, service string
		at                  time.Time
	}

	// version is a configuration with the service of the route that moves and
	// the keys of callers.
	version struct {
		number  int
		service string
		keys    []string
		// sent and acked are when the operator wrote it.
		sent, acked time.Time
	}

	// span is a time of trouble; it lasts while to is zero.
	span struct{ from, to time.Time }

	// judge collects what callers, servers and the operator saw and says which
	// promises were broken. It is safe for concurrent use.
	judge struct {
		mu       sync.Mutex
		requests map[string]*request
		arrivals []arrival
		runs     map[string]int
		versions []version
		// leaves holds when the store acknowledged that a server leaves.
		leaves map[string]time.Time
		// troubles are of an instance; those of -1 are of the store.
		troubles map[int][]*span
		// stops are when processes got SIGTERM, by instance and process.
		stops map[[2]int]time.Time
	}
)

// theStore stands for the store among the troubles of instances.
const theStore = -1

func newJudge() *judge {
	return &judge{
		requests: make(map[string]*request), runs: make(map[string]int), leaves: make(map[string]time.Time),
		troubles: make(map[int][]*span), stops: make(map[[2]int]time.Time),
	}
}

func (j *judge) note(f func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f()
}

// trouble begins trouble of an instance and returns its end.
func (j *judge) trouble(instance int) (end func()) {
	s := &span{from: time.Now()}
	j.note(func() { j.troubles[instance] = append(j.troubles[instance], s) })
	return func() { j.note(func() { s.to = time.Now() }) }
}

// troubleAll begins trouble of some instances and returns its end.
func (j *judge) troubleAll(instances []*instance) (end func()) {
	var ends []func()
	for _, in := range instances {
		ends = append(ends, j.trouble(in.number))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// calm reports whether an instance and the store were without trouble from one
// contact time before the first moment to the second.
func (j *judge) calm(instance int, from, to time.Time) bool {
	for _, who := range []int{instance, theStore} {
		for _, s := range j.troubles[who] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.Add(contact).After(from)) {
				return false
			}
		}
	}
	return true
}

// verdict returns the broken promises.
func (j *judge) verdict() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var broken []string
	say := func(format string, args ...any) { broken = append(broken, fmt.Sprintf(format, args...)) }
	for _, r := range j.requests {
		j.judgeRequest(r, say)
	}
	for _, a := range j.arrivals {
		j.judgeArrival(a, say)
	}
	j.judgeRepeats(say)
	return broken
}

func (j *judge) judgeRequest(r *request, say func(string, ...any)) {
	runs := j.runs[r.id]
	switch {
	case r.status >= 200 && r.status < 300 && !r.own:
		say("%s: a success that is not its own whole answer", r.id)
	case (r.status == 429 || r.status == 503) && runs > 0:
		say("%s: refused with %d and ran %d times", r.id, r.status, runs)
	}
	if r.route == routeBook && runs > 1 {
		say("%s: ran %d times and may run once", r.id, runs)
	}
	stop, stopped := j.stops[[2]int{r.instance, r.process}]
	if stopped && r.status == 0 && !r.excused && r.sent.Before(stop.Add(late)) && r.ended.After(stop) && j.calm(r.instance, r.sent, r.ended) {
		say("%s: cut by the planned stop of instance %d", r.id, r.instance)
	}
	j.judgeVersion(r, say)
}

// inForce returns the versions that may be in force for a request.
func (j *judge) inForce(r *request) []version {
	newest := -1
	for i, v := range j.versions {
		if !v.acked.IsZero() && v.acked.Add(configBound).Before(r.sent) && j.calm(r.instance, v.acked, r.sent) {
			newest = i
		}
	}
	if newest < 0 {
		return nil
	}
	var out []version
	for _, v := range j.versions[newest:] {
		if v.sent.Before(r.ended) {
			out = append(out, v)
		}
	}
	return out
}

// judgeVersion checks that a request was handled as a version allows that may be
// in force.
func (j *judge) judgeVersion(r *request, say func(string, ...any)) {
	versions := j.inForce(r)
	if len(versions) == 0 {
		return
	}
	moved, with, without := false, false, false
	for _, v := range versions {
		moved = moved || v.service == r.server
		if slices.Contains(v.keys, r.key) {
			with = true
		} else {
			without = true
		}
	}
	oldest := versions[0].number
	switch {
	case r.route == routeMoves && r.status == 200 && !moved:
		say("%s: served by %s, as only versions before %d allow", r.id, r.server, oldest)
	case r.status == 200 && !with:
		say("%s: served with key %s, as only versions before %d allow", r.id, r.key, oldest)
	case r.status == 401 && !without:
		say("%s: key %s denied, as no version from %d on does", r.id, r.key, oldest)
	}
}

func (j *judge) judgeArrival(a arrival, say func(string, ...any)) {
	left, ok := j.leaves[a.server]
	r := j.requests[a.id]
	if !ok || r == nil || !a.at.After(left.Add(drainBound)) || !j.calm(r.instance, left, a.at) {
		return
	}
	say("%s: reached server %s %v after it had said that it leaves", a.id, a.server, a.at.Sub(left))
}

// judgeRepeats checks the budget of each service in windows that end with each
// arrival.
func (j *judge) judgeRepeats(say func(string, ...any)) {
	first := make(map[string]bool)
	var repeats []arrival
	for _, a := range j.arrivals {
		if first[a.service+a.id] {
			repeats = append(repeats, a)
		}
		first[a.service+a.id] = true
	}
	for i, a := range repeats {
		n := 0
		for _, b := range repeats[:i+1] {
			if b.service == a.service && a.at.Sub(b.at) < repeatWindow {
				n++
			}
		}
		asked := 0
		for _, b := range j.arrivals {
			if b.service == a.service && !b.at.After(a.at) && a.at.Sub(b.at) < repeatWindow {
				asked++
			}
		}
		if allowed := repeatRatio*float64(asked-n) + repeatSlack; float64(n) > allowed {
			say("service %s got %d repeats in %v, %.0f are allowed", a.service, n, repeatWindow, allowed)
			return
		}
	}
}
