package main

import (
	"strings"
	"testing"
	"time"
)

// undisturbedRequest returns a checker with a single request, which was answered, ran
// once and was not disturbed.
func undisturbedRequest(route string) (*checker, *request) {
	c := newChecker()
	at := time.Now()
	r := &request{id: "r", route: route, key: "k", sent: at, ended: at.Add(20 * time.Millisecond), status: 200, valid: true, service: serviceDesk}
	c.requests[r.id] = r
	c.runs[r.id] = 1
	return c, r
}

// twoVersions returns two versions of the configuration with the given keys. The second
// has to be in force since 3 s before the request.
func twoVersions(r *request, first, second []string) []version {
	older, newer := r.sent.Add(-20*time.Second), r.sent.Add(-5*time.Second)
	return []version{
		{number: 1, service: serviceDesk, keys: first, sent: older, acked: older},
		{number: 2, service: serviceAlternate, keys: second, sent: newer, acked: newer},
	}
}

// TestCheckerFindsPlantedViolations tests that a violation of each promise is reported,
// and that nothing is reported without it.
func TestCheckerFindsPlantedViolations(t *testing.T) {
	for name, test := range map[string]struct {
		route, want string
		plant       func(c *checker, r *request)
	}{
		"foreign answer": {routeStatus, "belongs to another request", func(_ *checker, r *request) { r.valid = false }},
		"false refusal":  {routeBook, "refused with 503", func(_ *checker, r *request) { r.status = 503 }},
		"run twice":      {routeBook, "ran 2 times", func(c *checker, r *request) { c.runs[r.id] = 2 }},
		"cut by a stop": {routeStatus, "cut off by the planned stop", func(c *checker, r *request) {
			r.status = 0
			c.stoppedAt[[2]int{0, 0}] = r.sent.Add(time.Millisecond)
		}},
		"old version": {routeReassigned, "only versions before 2", func(c *checker, r *request) {
			c.versions = twoVersions(r, []string{"k"}, []string{"k"})
		}},
		"revoked key": {routeStatus, "served with key k, which only versions before 2", func(c *checker, r *request) {
			c.versions = twoVersions(r, []string{"k"}, nil)
		}},
		"key denied": {routeStatus, "key k denied", func(c *checker, r *request) {
			r.status = 401
			c.versions = twoVersions(r, nil, []string{"k"})
		}},
		"late arrival": {routeStatus, "after the server was withdrawn", func(c *checker, r *request) {
			c.withdrawnAt["s"] = r.sent.Add(-3 * time.Second)
			c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		}},
		"too many repeats": {routeStatus, "retries in", func(c *checker, r *request) {
			for range 70 {
				c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c, r := undisturbedRequest(test.route)
			if got := c.violations(); len(got) != 0 {
				t.Fatalf("violations before planting one: %v", got)
			}
			test.plant(c, r)
			if got := strings.Join(c.violations(), "\n"); !strings.Contains(got, test.want) {
				t.Errorf("violations = %q, want one that contains %q", got, test.want)
			}
		})
	}
}

// TestDisturbanceExcusesTimeBounds tests that a time bound is not checked while the
// instance or the store is disturbed or recovering, but is checked while only another
// instance is.
func TestDisturbanceExcusesTimeBounds(t *testing.T) {
	for _, number := range []int{0, storeNumber} {
		c, r := undisturbedRequest(routeStatus)
		c.withdrawnAt["s"] = r.sent.Add(-3 * time.Second)
		c.arrivals = append(c.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		c.disturbances[number] = []*disturbance{{from: r.sent.Add(-4 * time.Second), to: r.sent.Add(-2 * time.Second)}}
		if got := c.violations(); len(got) != 0 {
			t.Errorf("violations despite a disturbance of %d: %v", number, got)
		}
		c.disturbances[number][0].to = r.sent.Add(-2 * time.Second)
		c.disturbances[number][0].from = c.disturbances[number][0].to.Add(-time.Second)
		c.disturbances = map[int][]*disturbance{1: c.disturbances[number]}
		if got := c.violations(); len(got) == 0 {
			t.Error("no violation reported, though only another instance was disturbed")
		}
	}
}

// TestShortRun runs real processes under faults for 6 s and expects no violation.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	var out strings.Builder
	violations, err := soak(options{Seed: 3, Duration: 6 * time.Second, Instances: 3, Callers: 6, Port: 18600}, &out)
	if err != nil || len(violations) > 0 {
		t.Errorf("soak() = error %v; output:\n%s", err, out.String())
	}
}
