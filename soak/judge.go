package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// The bounds that the instances are given and held to.
const (
	recoveryTime      = 3 * time.Second
	drainTimeout      = 2 * time.Second
	configPropagation = 2 * time.Second
	gracePeriod       = 6 * time.Second
	// stopWindow is until when after a SIGTERM requests are sent that must not be cut.
	stopWindow  = 2 * time.Second
	retryRatio  = 0.2
	retrySlack  = 56
	retryWindow = 10 * time.Second
)

type (
	// request is what a caller sent and saw.
	request struct {
		id            string
		route         string
		key           string
		instance      int
		processNumber int
		sent          time.Time
		ended         time.Time
		// status is 0 if the connection ended without a whole answer.
		status int
		// valid is set if a success was whole and belonged to the request.
		valid bool
		// server is the one that stamped a success.
		server string
		// abandoned is set if the caller left, or the server broke off.
		abandoned bool
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

	// disturbance is a time of trouble; it lasts while to is zero.
	disturbance struct{ from, to time.Time }

	// checker collects what callers, servers and the operator saw and says which
	// promises were broken. It is safe for concurrent use.
	checker struct {
		mu       sync.Mutex
		requests map[string]*request
		arrivals []arrival
		runs     map[string]int
		versions []version
		// withdrawnAt holds when the store acknowledged that a server leaves.
		withdrawnAt map[string]time.Time
		// disturbances are of an instance; those of -1 are of the store.
		disturbances map[int][]*disturbance
		// stoppedAt are when processes got SIGTERM, by instance and process.
		stoppedAt map[[2]int]time.Time
	}
)

// storeNumber stands for the store among the troubles of instances.
const storeNumber = -1

func newChecker() *checker {
	return &checker{
		requests: make(map[string]*request), runs: make(map[string]int), withdrawnAt: make(map[string]time.Time),
		disturbances: make(map[int][]*disturbance), stoppedAt: make(map[[2]int]time.Time),
	}
}

func (c *checker) locked(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// beginDisturbance begins trouble of an instance and returns its end.
func (c *checker) beginDisturbance(instance int) (end func()) {
	d := &disturbance{from: time.Now()}
	c.locked(func() { c.disturbances[instance] = append(c.disturbances[instance], d) })
	return func() { c.locked(func() { d.to = time.Now() }) }
}

// beginDisturbances begins trouble of some instances and returns its end.
func (c *checker) beginDisturbances(instances []*instance) (end func()) {
	var ends []func()
	for _, in := range instances {
		ends = append(ends, c.beginDisturbance(in.number))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// undisturbed reports whether an instance and the store were without trouble from one
// contact time before the first moment to the second.
func (c *checker) undisturbed(instance int, from, to time.Time) bool {
	for _, number := range []int{instance, storeNumber} {
		for _, d := range c.disturbances[number] {
			if d.from.Before(to) && (d.to.IsZero() || d.to.Add(recoveryTime).After(from)) {
				return false
			}
		}
	}
	return true
}

// violations returns the broken promises.
func (c *checker) violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []string
	report := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	for _, r := range c.requests {
		c.checkRequest(r, report)
	}
	for _, a := range c.arrivals {
		c.checkArrival(a, report)
	}
	c.checkRetryBudget(report)
	return violations
}

func (c *checker) checkRequest(r *request, report func(string, ...any)) {
	runs := c.runs[r.id]
	switch {
	case r.status >= 200 && r.status < 300 && !r.valid:
		report("%s: a success that is not its own whole answer", r.id)
	case (r.status == 429 || r.status == 503) && runs > 0:
		report("%s: refused with %d and ran %d times", r.id, r.status, runs)
	}
	if r.route == routeBook && runs > 1 {
		report("%s: ran %d times and may run once", r.id, runs)
	}
	stoppedAt, stopped := c.stoppedAt[[2]int{r.instance, r.processNumber}]
	if stopped && r.status == 0 && !r.abandoned && r.sent.Before(stoppedAt.Add(stopWindow)) && r.ended.After(stoppedAt) && c.undisturbed(r.instance, r.sent, r.ended) {
		report("%s: cut by the planned stop of instance %d", r.id, r.instance)
	}
	c.checkVersion(r, report)
}

// versionsInForce returns the versions that may be in force for a request.
func (c *checker) versionsInForce(r *request) []version {
	newest := -1
	for i, v := range c.versions {
		if !v.acked.IsZero() && v.acked.Add(configPropagation).Before(r.sent) && c.undisturbed(r.instance, v.acked, r.sent) {
			newest = i
		}
	}
	if newest < 0 {
		return nil
	}
	var out []version
	for _, v := range c.versions[newest:] {
		if v.sent.Before(r.ended) {
			out = append(out, v)
		}
	}
	return out
}

// checkVersion checks that a request was handled as a version allows that may be
// in force.
func (c *checker) checkVersion(r *request, report func(string, ...any)) {
	versions := c.versionsInForce(r)
	if len(versions) == 0 {
		return
	}
	serviceAllowed, keyAllowed, keyMissing := false, false, false
	for _, v := range versions {
		serviceAllowed = serviceAllowed || v.service == r.server
		if slices.Contains(v.keys, r.key) {
			keyAllowed = true
		} else {
			keyMissing = true
		}
	}
	oldest := versions[0].number
	switch {
	case r.route == routeReassigned && r.status == 200 && !serviceAllowed:
		report("%s: served by %s, as only versions before %d allow", r.id, r.server, oldest)
	case r.status == 200 && !keyAllowed:
		report("%s: served with key %s, as only versions before %d allow", r.id, r.key, oldest)
	case r.status == 401 && !keyMissing:
		report("%s: key %s denied, as no version from %d on does", r.id, r.key, oldest)
	}
}

func (c *checker) checkArrival(a arrival, report func(string, ...any)) {
	withdrawn, ok := c.withdrawnAt[a.server]
	r := c.requests[a.id]
	if !ok || r == nil || !a.at.After(withdrawn.Add(drainTimeout)) || !c.undisturbed(r.instance, withdrawn, a.at) {
		return
	}
	report("%s: reached server %s %v after it had said that it leaves", a.id, a.server, a.at.Sub(withdrawn))
}

// checkRetryBudget checks the budget of each service in windows that end with each
// arrival.
func (c *checker) checkRetryBudget(report func(string, ...any)) {
	seen := make(map[string]bool)
	var retries []arrival
	for _, a := range c.arrivals {
		if seen[a.service+a.id] {
			retries = append(retries, a)
		}
		seen[a.service+a.id] = true
	}
	for i, last := range retries {
		numRetries := 0
		for _, b := range retries[:i+1] {
			if b.service == last.service && last.at.Sub(b.at) < retryWindow {
				numRetries++
			}
		}
		numCalls := 0
		for _, b := range c.arrivals {
			if b.service == last.service && !b.at.After(last.at) && last.at.Sub(b.at) < retryWindow {
				numCalls++
			}
		}
		if allowed := retryRatio*float64(numCalls-numRetries) + retrySlack; float64(numRetries) > allowed {
			report("service %s got %d repeats in %v, %.0f are allowed", last.service, numRetries, retryWindow, allowed)
			return
		}
	}
}
