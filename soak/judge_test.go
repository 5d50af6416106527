package main

import (
	"strings"
	"testing"
	"time"
)

// calmRequest returns a judge of one answered request, long after any trouble.
func calmRequest(route string) (*judge, *request) {
	j := newJudge()
	at := time.Now()
	r := &request{id: "r", route: route, key: "k", sent: at, ended: at.Add(20 * time.Millisecond), status: 200, own: true, server: serviceDesk}
	j.requests[r.id] = r
	j.runs[r.id] = 1
	return j, r
}

// twoVersions returns two versions, the second in force since 3 s.
func twoVersions(r *request, first, second []string) []version {
	before, now := r.sent.Add(-20*time.Second), r.sent.Add(-5*time.Second)
	return []version{
		{number: 1, service: serviceDesk, keys: first, sent: before, acked: before},
		{number: 2, service: serviceMoved, keys: second, sent: now, acked: now},
	}
}

// Each promise can be seen to be broken.
func TestJudgeFindsPlantedFaults(t *testing.T) {
	for name, plant := range map[string]struct {
		route, want string
		plant       func(j *judge, r *request)
	}{
		"foreign answer": {routeStatus, "not its own", func(_ *judge, r *request) { r.own = false }},
		"false refusal":  {routeBook, "refused with 503", func(_ *judge, r *request) { r.status = 503 }},
		"run twice":      {routeBook, "ran 2 times", func(j *judge, r *request) { j.runs[r.id] = 2 }},
		"cut by a stop": {routeStatus, "cut by the planned stop", func(j *judge, r *request) {
			r.status = 0
			j.stops[[2]int{0, 0}] = r.sent.Add(time.Millisecond)
		}},
		"old version": {routeMoves, "only versions before 2", func(j *judge, r *request) {
			j.versions = twoVersions(r, []string{"k"}, []string{"k"})
		}},
		"revoked key": {routeStatus, "served with key k, as only versions before 2", func(j *judge, r *request) {
			j.versions = twoVersions(r, []string{"k"}, nil)
		}},
		"key denied": {routeStatus, "key k denied", func(j *judge, r *request) {
			r.status = 401
			j.versions = twoVersions(r, nil, []string{"k"})
		}},
		"late arrival": {routeStatus, "after it had said that it leaves", func(j *judge, r *request) {
			j.leaves["s"] = r.sent.Add(-3 * time.Second)
			j.arrivals = append(j.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		}},
		"too many repeats": {routeStatus, "repeats in", func(j *judge, r *request) {
			for range 70 {
				j.arrivals = append(j.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			j, r := calmRequest(plant.route)
			if got := j.verdict(); len(got) != 0 {
				t.Fatalf("without the fault: %v", got)
			}
			plant.plant(j, r)
			if got := strings.Join(j.verdict(), "\n"); !strings.Contains(got, plant.want) {
				t.Errorf("verdict %q, want one that says %q", got, plant.want)
			}
		})
	}
}

// Trouble of an instance or of the store excuses what has a bound in time.
func TestTroubleExcusesBounds(t *testing.T) {
	for _, who := range []int{0, theStore} {
		j, r := calmRequest(routeStatus)
		j.leaves["s"] = r.sent.Add(-3 * time.Second)
		j.arrivals = append(j.arrivals, arrival{id: r.id, server: "s", service: serviceDesk, at: r.sent})
		j.troubles[who] = []*span{{from: r.sent.Add(-4 * time.Second), to: r.sent.Add(-2 * time.Second)}}
		if got := j.verdict(); len(got) != 0 {
			t.Errorf("trouble of %d: %v", who, got)
		}
		j.troubles[who][0].to = r.sent.Add(-2 * time.Second)
		j.troubles[who][0].from = j.troubles[who][0].to.Add(-time.Second)
		j.troubles = map[int][]*span{1: j.troubles[who]}
		if got := j.verdict(); len(got) == 0 {
			t.Error("trouble of another instance excuses this one")
		}
	}
}

// A short run of the product keeps its promises.
func TestShortRun(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	var out strings.Builder
	broken, err := soak(options{Seed: 3, Duration: 6 * time.Second, Instances: 3, Callers: 6, Port: 18600}, &out)
	if err != nil || len(broken) > 0 {
		t.Errorf("%v\n%s", err, out.String())
	}
}
