package edge_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// startMixedFleet starts a fleet at once: large instances, the first of which is the
// seed, and small ones, which do not work for others.
func startMixedFleet(t *testing.T, large, small int, config map[string]any, servers ...*stand.Server) *testSite {
	t.Helper()
	s := newTestSite(t, 0, config, servers...)
	seeds := freeAddress(t)
	for i := range large + small {
		peerAddress, cores := freeAddress(t), 0.1
		if i == 0 {
			peerAddress = seeds
		}
		if i < large {
			cores = 1
		}
		s.startWithCores(fmt.Sprint("edge-", i), freeAddress(t), peerAddress, freeAddress(t), seeds, cores)
	}
	for _, inst := range s.instances {
		s.eventually("the instance to be ready", func() bool { return s.getStatus(inst.operatorAddress+"/ready") == http.StatusOK })
	}
	return s
}

// Pattern: a whole fleet starts at once. Only the instances that work for others
// read the store, so its calls do not grow with the rest of the fleet.
func TestStoreCallsOfAStartDoNotGrowWithSmallInstances(t *testing.T) {
	var reads []int64
	for _, small := range []int{2, 12} {
		server := stand.NewServer("i-1", "desk", "a")
		s := startMixedFleet(t, 2, small, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), server)
		counts := s.store.Counts()
		reads = append(reads, counts.Reads)
		last := len(s.instances) - 1
		if got := s.post(last, "/book/1", "r-1"); got.status != http.StatusOK {
			t.Errorf("a small instance answers with status %d", got.status)
		}
	}
	if reads[1] > reads[0]+1 {
		t.Errorf("%d reads with 2 small instances and %d with 12", reads[0], reads[1])
	}
}

// Pattern: a whole fleet starts at once under load. Requests that come before an
// instance is settled wait for it, and only the owner calls stage servers, so none
// of them is called by more than one instance.
func TestStagesOfAStartAreGatheredByTheOwnersAlone(t *testing.T) {
	photos, engine := stand.NewServer("p-1", "photos", "a"), stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	photos.WorkTime = 30 * time.Millisecond
	route := routeSpec("draft", "streaming", "llm", map[string]any{
		"resumable": true, "sticky": true, "timeoutMs": 4000, "targetLatencyMs": 2000,
		"stages": []any{map[string]any{"service": "photos", "after": []any{}, "bytes": 100}},
	})
	s := newTestSite(t, 0, configSpec(1, apiKeys, route), photos, engine)
	seeds := freeAddress(t)
	const instances, large = 8, 2
	start := func(i int, peerAddress string, cores float64) {
		s.startWithCores(fmt.Sprint("edge-", i), freeAddress(t), peerAddress, freeAddress(t), seeds, cores)
	}
	for i := range instances - large {
		start(i, freeAddress(t), 0.1)
	}
	// Callers come before the instances are settled and try again while they have
	// no configuration.
	var wg sync.WaitGroup
	for i := range instances - large {
		wg.Go(func() {
			s.eventually("an answer", func() bool {
				got := s.send(t.Context(), i, http.MethodPost, "/draft/1", fmt.Sprint("r-", i), http.Header{
					stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {"k"},
				}, "")
				return got.status == http.StatusOK
			})
		})
	}
	// The instances that work for others, one of them the seed, start last.
	time.Sleep(150 * time.Millisecond)
	start(instances-2, freeAddress(t), 1)
	start(instances-1, seeds, 1)
	wg.Wait()
	// One owner alone makes one call at a time to the only server. All pieces of
	// all requests take at most as many calls as there are requests.
	if calls := len(photos.BatchSizes()); calls > instances {
		t.Errorf("%d calls for %d requests", calls, instances)
	}
	if most := photos.MostConcurrentCalls(); most != 1 {
		t.Errorf("up to %d calls at a time, want 1", most)
	}
}

// Pattern: the store is down for all. The instances that work for others keep asking
// it; the others find that their peers answer and leave it to them, so the calls do
// not grow with the fleet.
func TestStoreCallsOfAnOutageDoNotGrowWithSmallInstances(t *testing.T) {
	t.Parallel()
	// Outside of the directory all instances together make ten calls a second.
	const outage, perSecond = 3 * propagationBound, 10
	var calls []int64
	for _, small := range []int{2, 16} {
		s := startMixedFleet(t, 2, small, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), stand.NewServer("i-1", "desk", "a"))
		var n atomic.Int64
		s.store.SetCallFault(func(*http.Request) stand.CallFault {
			n.Add(1)
			return stand.Unavailable
		})
		time.Sleep(outage)
		calls = append(calls, n.Load())
	}
	if most := calls[0] + int64(perSecond*outage.Seconds()); calls[1] > most {
		t.Errorf("%d calls with 2 small instances and %d with 16, want at most %d", calls[0], calls[1], most)
	}
}
