package edge_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// newSlotSite starts instances before a plain server with two slots, of which inUse is set to
// the number in use and most to the largest.
func newSlotSite(t *testing.T, numInstances int) (s *testSite, most *atomic.Int32) {
	t.Helper()
	server, inUse, most := stand.NewServer("desk-1", "desk", "a"), &atomic.Int32{}, &atomic.Int32{}
	server.WorkTime = 30 * time.Millisecond
	server.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
		n := inUse.Add(1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		defer inUse.Add(-1)
		server.Run(w, r)
		return true
	}
	s = newTestSite(t, 0, configSpec(1, []string{apiKey}, routeSpec("desk", "idempotent", "desk", nil)), server)
	s.bounds = "[overload]\nsharedSlots = yes"
	startLinkedFleet(t, s, numInstances, 0)
	entry := server.Entry("ready")
	entry["slots"] = 2
	s.store.Put("servers", server.ID, entry)
	return s, most
}

// postAll sends requests to all instances at once and returns the number of answers by status,
// and the longest time of one.
func (s *testSite) postAll(prefix string, perInstance int) (map[int]int, time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	statuses, longest := make(map[int]int), time.Duration(0)
	for i, inst := range s.instances {
		for k := range perInstance {
			if inst.stopped {
				continue
			}
			wg.Go(func() {
				start := time.Now()
				status := s.post(i, "/desk/x", fmt.Sprintf("%s-%d-%d", prefix, i, k)).status
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
				longest = max(longest, time.Since(start))
			})
		}
	}
	wg.Wait()
	return statuses, longest
}

// TestSlotsOfAllInstances guards against instances that send more requests to a plain service
// together than it has slots, since each knows only its own.
func TestSlotsOfAllInstances(t *testing.T) {
	s, most := newSlotSite(t, 4)
	s.eventually("the owner to give slots", func() bool {
		s.postAll("first", 1)
		return s.slotDecisions("granted") > 0
	})
	s.postAll("settle", 2)
	most.Store(0)
	statuses, longest := s.postAll("burst", 8)
	if statuses[http.StatusOK] != 32 || most.Load() > 2 {
		t.Errorf("32 requests got %v, and %d were at a server with 2 slots at once; the longest took %v", statuses, most.Load(), longest)
	}
}

// TestSlotsWithoutOwner guards against requests that wait for an owner that has terminated.
func TestSlotsWithoutOwner(t *testing.T) {
	s, _ := newSlotSite(t, 4)
	s.eventually("the owner to give slots", func() bool {
		s.postAll("first", 1)
		return s.slotDecisions("granted") > 0
	})
	for _, inst := range s.instances {
		if s.labelledCounter(inst, "chervilpath_slot_decisions_total", `step="granted"`) > 0 {
			s.kill(inst)
		}
	}
	statuses, longest := s.postAll("after", 2)
	for status, n := range statuses {
		if status != http.StatusOK {
			t.Errorf("%d requests got status %d after the owner had terminated", n, status)
		}
	}
	if longest > time.Second {
		t.Errorf("a request took %v after the owner had terminated", longest)
	}
}

// slotDecisions returns how many decisions about slots all instances have made.
func (s *testSite) slotDecisions(step string) float64 {
	sum := 0.0
	for _, inst := range s.instances {
		sum += s.labelledCounter(inst, "chervilpath_slot_decisions_total", `step="`+step+`"`)
	}
	return sum
}

// labelledCounter returns the sum of a counter of an instance over the labels that contain the
// given one.
func (s *testSite) labelledCounter(inst *instance, name, label string) float64 {
	s.t.Helper()
	resp, err := http.Get("http://" + inst.operatorAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	sum := 0.0
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		line := scanner.Text()
		if strings.HasPrefix(line, name+"{") && strings.Contains(line, label) {
			n, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
			if err != nil {
				s.t.Fatal(err)
			}
			sum += n
		}
	}
	return sum
}

// TestRequestsWaitForEngines guards against requests that are refused although an engine has
// room again long before they are due.
func TestRequestsWaitForEngines(t *testing.T) {
	engine := stand.NewServer("llm-1", "llm", "a")
	engine.WorkTime = 50 * time.Millisecond
	engine.NumEvents = 2
	s := newTestSite(t, 3, configSpec(1, []string{apiKey}, routeSpec("desk", "streaming", "llm", map[string]any{"resumable": true})), engine)
	statuses, longest := s.postAll("r", 10)
	if statuses[http.StatusOK] != 30 {
		t.Errorf("30 requests for an engine with 8 slots got %v", statuses)
	}
	if longest > time.Second {
		t.Errorf("a request took %v", longest)
	}
}
