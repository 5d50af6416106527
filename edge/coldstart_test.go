package edge_test

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// coldBound is the most requests that a cold server may get in a second, with the rate of
// coldConfig and the settings of newColdSite, and coldTime how long servers stay cold.
const (
	coldBound = 27
	coldTime  = 30 * time.Second
)

// coldConfig returns a configuration in which cold servers tolerate 15 requests a second.
func coldConfig(routes ...map[string]any) map[string]any {
	spec := configSpec(1, apiKeys, routes...)
	for _, svc := range spec["services"].([]any) {
		svc.(map[string]any)["coldPerS"] = 15
		svc.(map[string]any)["coldStartS"] = 30
	}
	return spec
}

// newColdSite starts instances that limit the requests to cold servers, and waits until
// their owners grant permissions.
func newColdSite(t *testing.T, numInstances int, config map[string]any, servers ...*stand.Server) *testSite {
	t.Helper()
	s := newTestSite(t, 0, config, servers...)
	s.bounds = "coldOver = 1.5\ncoldSlack = 5"
	seeds := ""
	for i := range numInstances {
		peerAddress := freeAddress(t)
		if i == 0 {
			seeds = peerAddress
		}
		s.start(fmt.Sprintf("edge-%d", i), freeAddress(t), peerAddress, freeAddress(t), seeds)
	}
	for _, inst := range s.instances {
		s.eventually("the instance to be ready", func() bool { return s.getStatus(inst.operatorAddress+"/ready") == http.StatusOK })
	}
	return s
}

// burst sends requests to all instances for some time, a few at a time, and returns the
// numbers of answers by status, and the shortest Retry-After of a 503.
func (s *testSite) burst(name string, p noticePath, d time.Duration) (byStatus map[int]int, shortest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	byStatus = make(map[int]int)
	end := time.Now().Add(d)
	for k := range 6 {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				got := s.send(s.t.Context(), (k+i)%len(s.instances), http.MethodPost, "/look/1", fmt.Sprintf("%s-%d-%d", name, k, i), p.header, "")
				mu.Lock()
				byStatus[got.status]++
				if got.status == http.StatusServiceUnavailable {
					seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					if retryAfter := time.Duration(seconds * float64(time.Second)); err == nil && (shortest == 0 || retryAfter < shortest) {
						shortest = retryAfter
					}
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return byStatus, shortest
}

// Guards against more requests to a cold server than it bears, by any path and from all
// instances together, and against a cold server that gets none or hinders the others.
func TestColdServerGetsNoMoreThanItBears(t *testing.T) {
	t.Parallel()
	for name, p := range noticePaths() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cold, warm := stand.NewServer("i-1", p.service, "a"), stand.NewServer("i-2", p.service, "a")
			servers := []*stand.Server{cold, warm}
			if p.service == "photos" {
				cold.WorkTime, warm.WorkTime = 5*time.Millisecond, 20*time.Millisecond
				servers = append(servers, stand.NewServer("e-1", "llm", "a"))
			}
			for _, server := range servers {
				if server.Service == "llm" {
					server.NumEvents = p.numEvents
				}
			}
			cold.TurnCold(coldTime)
			s := newColdSite(t, 3, coldConfig(p.route), servers...)
			s.eventually("a request to reach the cold server", func() bool {
				s.burst(fmt.Sprint("first-", time.Now().UnixNano()), p, 100*time.Millisecond)
				return len(cold.Arrivals()) > 0
			})
			byStatus, _ := s.burst("burst", p, 3*time.Second)
			if most := cold.MostArrivals(time.Time{}, time.Second); most > coldBound || most < 5 {
				t.Errorf("the cold server got %d requests in a second, want 5 to %d", most, coldBound)
			}
			if len(byStatus) != 1 || byStatus[http.StatusOK] < 100 {
				t.Errorf("answers by status %v, want only 200", byStatus)
			}
			if granted, denied := s.counter(`chervilpath_cold_admissions_total{result="granted"}`), s.counter(`chervilpath_cold_admissions_total{result="denied"}`); granted == 0 || denied == 0 && name == "plain" {
				// Engines that could get no permission and stage servers that take longer are not
				// chosen, so that none may be denied there.
				t.Errorf("%g permissions granted and %g denied", granted, denied)
			}
		})
	}
}

// Guards against requests that are held or run, and not refused with a time, when there
// are only cold servers, and against instances that send without an answer of the owner.
func TestRequestsBeyondWhatColdServersBearAreRefused(t *testing.T) {
	t.Parallel()
	p := noticePaths()["plain"]
	cold := stand.NewServer("i-1", p.service, "a")
	cold.TurnCold(coldTime)
	s := newColdSite(t, 3, coldConfig(p.route), cold)
	s.eventually("a request to reach the cold server", func() bool {
		s.burst(fmt.Sprint("first-", time.Now().UnixNano()), p, 100*time.Millisecond)
		return len(cold.Arrivals()) > 0
	})
	before := len(cold.Arrivals())
	byStatus, shortest := s.burst("burst", p, 3*time.Second)
	if byStatus[http.StatusOK] == 0 || byStatus[http.StatusServiceUnavailable] == 0 || len(byStatus) != 2 || shortest <= 0 {
		t.Errorf("answers by status %v, shortest Retry-After %v", byStatus, shortest)
	}
	if got := len(cold.Arrivals()) - before; got != byStatus[http.StatusOK] {
		t.Errorf("%d requests reached the server, %d were served", got, byStatus[http.StatusOK])
	}
	if most := cold.MostArrivals(time.Time{}, time.Second); most > coldBound {
		t.Errorf("the cold server got %d requests in a second, want at most %d", most, coldBound)
	}
	// Two of three die: the last one reaches no majority, whoever the owner was.
	s.kill(s.instances[0])
	s.kill(s.instances[1])
	s.instances = s.instances[2:]
	time.Sleep(1200 * time.Millisecond)
	before = len(cold.Arrivals())
	byStatus, _ = s.burst("alone", p, time.Second)
	if got := len(cold.Arrivals()) - before; got > 0 || byStatus[http.StatusServiceUnavailable] == 0 {
		t.Errorf("an instance that is cut off sent %d requests, answers by status %v", got, byStatus)
	}
}

// Guards against limits where the configuration or the settings have none, also by rates
// that no server can mean.
func TestColdServersWithoutARateAreNotLimited(t *testing.T) {
	t.Parallel()
	p := noticePaths()["plain"]
	for name, rate := range map[string]any{"none": nil, "zero": 0, "negative": -15, "huge": 1e300} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cold := stand.NewServer("i-1", p.service, "a")
			cold.TurnCold(coldTime)
			spec := configSpec(1, apiKeys, p.route)
			services := spec["services"].([]any)
			for i := range services {
				svc := maps.Clone(services[i].(map[string]any))
				if rate != nil {
					svc["coldPerS"] = rate
				}
				services[i] = svc
			}
			s := newColdSite(t, 1, spec, cold)
			time.Sleep(1500 * time.Millisecond)
			byStatus, _ := s.burst("burst", p, time.Second)
			if most := cold.MostArrivals(time.Time{}, time.Second); most <= coldBound || len(byStatus) != 1 || byStatus[http.StatusOK] == 0 {
				t.Errorf("the server got at most %d requests in a second, answers by status %v", most, byStatus)
			}
		})
	}
}
