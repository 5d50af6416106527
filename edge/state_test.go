package edge_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// propagationBound is the bound that the deployments set: a new configuration is
// in force within 2 s, and a draining server gets no requests after 2 s.
const propagationBound = 2 * time.Second

func TestConfigurationIsInForceWithinBoundAndNeverReverts(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
	s := newTestSite(t, 2, configSpec(2, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	s.store.Put("config", "main", configSpec(5, apiKeys, routeSpec("book", "non_idempotent", "moved", nil)))
	time.Sleep(propagationBound)
	s.store.Put("config", "main", configSpec(3, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)))
	time.Sleep(propagationBound / 2)
	for i := range 2 {
		id := fmt.Sprintf("r-%d", i)
		if got := s.post(i, "/book/1", id); b.Runs(id) != 1 {
			t.Errorf("instance %d: status %d, and the request did not run on the server of version 5", i, got.status)
		}
	}
}

func TestRevokedKeyIsDeniedWithinBound(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	s := newTestSite(t, 2, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	s.store.Put("config", "main", configSpec(2, []string{"other"}, routeSpec("book", "non_idempotent", "desk", nil)))
	time.Sleep(propagationBound)
	for i := range 2 {
		if got := s.post(i, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusUnauthorized {
			t.Errorf("instance %d: status %d, want 401", i, got.status)
		}
	}
}

// failEverySecondCall returns a function that makes every second call to the
// store fail with the given fault, and a counter of the calls.
func failEverySecondCall(fault stand.CallFault) (func(*http.Request) stand.CallFault, *atomic.Int64) {
	var calls atomic.Int64
	return func(*http.Request) stand.CallFault {
		if calls.Add(1)%2 == 0 {
			return fault
		}
		return stand.NoFault
	}, &calls
}

func TestConfigurationArrivesDespiteStoreFailures(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]stand.CallFault{"busy": stand.Unavailable, "many": stand.TooManyRequests, "reset": stand.ConnectionReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
			s := newTestSite(t, 3, configSpec(2, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
			callFault, calls := failEverySecondCall(fault)
			s.store.SetCallFault(callFault)
			s.store.Put("config", "main", configSpec(5, apiKeys, routeSpec("book", "non_idempotent", "moved", nil)))
			time.Sleep(propagationBound)
			for i := range 3 {
				id := fmt.Sprintf("r-%d", i)
				if got := s.post(i, "/book/1", id); b.Runs(id) != 1 {
					t.Errorf("instance %d: status %d, and the request did not run on the server of version 5", i, got.status)
				}
			}
			if calls.Load() == 0 {
				t.Error("no calls to the store")
			}
		})
	}
}

func TestStoreIsReadAgainAfterCompaction(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
	s := newTestSite(t, 1, configSpec(2, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	s.store.MuteWatches(true)
	s.store.Put("config", "main", configSpec(5, apiKeys, routeSpec("book", "non_idempotent", "moved", nil)))
	time.Sleep(propagationBound / 4)
	s.store.Compact()
	s.store.MuteWatches(false)
	time.Sleep(propagationBound)
	if s.post(0, "/book/1", "r-1"); b.Runs("r-1") != 1 {
		t.Error("the configuration whose event was compacted is not in force")
	}
}

func TestDrainingServerGetsNoRequestsAfterBound(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	s := newTestSite(t, 2, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a, b)
	s.store.Put("servers", "i-1", a.Entry("draining"))
	time.Sleep(propagationBound)
	before := a.TotalRuns()
	for i := range 20 {
		if got := s.post(i%2, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
	if n := a.TotalRuns() - before; n != 0 {
		t.Errorf("%d requests reached the draining server", n)
	}
}

func TestInvalidServerEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	for name, spec := range map[string]string{
		"i-2": `{"service":"desk","address":5,"state":"ready"}`, "i-3": `"text"`, "i-4": `{"service":"desk","state":"odd","address":"127.0.0.1:1"}`,
		"i-5": `null`, "i-6": `{"state":"ready"}`,
	} {
		s.store.PutRaw("servers", name, []byte(spec))
	}
	time.Sleep(propagationBound / 4)
	for i := range 10 {
		if got := s.post(0, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestServerOfAnotherServiceGetsNoRequests(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-9", "moved", "a")
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	// The entry is of a server that no longer exists; a server of another service
	// now listens at its address.
	entry := a.Entry("ready")
	entry["service"] = "desk"
	s.store.Remove("servers", "i-9")
	s.store.Put("servers", "i-1", entry)
	time.Sleep(propagationBound / 4)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusServiceUnavailable || a.TotalRuns() != 0 {
		t.Errorf("status %d and %d runs, want 503 and none", got.status, a.TotalRuns())
	}
}

func TestFailedOwnerIsReplaced(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	photos := stand.NewServer("p-1", "photos", "a")
	r := routeSpec("draft", "streaming", "llm", map[string]any{"stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 10}}})
	s := newTestSite(t, 3, configSpec(1, apiKeys, r), engine, photos)
	time.Sleep(propagationBound)
	// The other instances are killed one after the other. The owner is either one
	// of them or the instance that serves the requests.
	for _, i := range []int{2, 1} {
		s.kill(s.instances[i])
		start := time.Now()
		got := s.send(t.Context(), 0, http.MethodPost, "/draft/1", fmt.Sprintf("r-%d", i), http.Header{
			stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {"k"},
		}, "")
		if elapsed := time.Since(start); got.status != http.StatusOK || elapsed > time.Second {
			t.Errorf("after instance %d died: status %d in %v, want 200 within a second", i, got.status, elapsed)
		}
	}
}

// Pattern: the store refuses some instances for seconds and serves the others, while
// servers leave. For the refused ones this is no outage of the store, after which
// missing servers would count as present for a while.
func TestRefusedInstancesRemoveServersAsTheOthersDo(t *testing.T) {
	t.Parallel()
	gone, left := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), gone, left)
	var refuse atomic.Bool
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(link.Close)
	seeds := freeAddress(t)
	s.start("edge-0", freeAddress(t), seeds, freeAddress(t), seeds)
	s.storeAddress = strings.TrimPrefix(link.URL, "http://")
	s.start("edge-1", freeAddress(t), freeAddress(t), freeAddress(t), seeds)
	for _, inst := range s.instances {
		s.eventually("the instance to be ready", func() bool { return s.getStatus(inst.operatorAddress+"/ready") == http.StatusOK })
	}
	refuse.Store(true)
	time.Sleep(2 * propagationBound)
	refuse.Store(false)
	time.Sleep(propagationBound / 4)
	s.store.Remove("servers", "i-1")
	time.Sleep(propagationBound)
	before := gone.TotalRuns()
	for i := range 20 {
		s.post(1, "/look/1", fmt.Sprint("r-", i))
	}
	if n := gone.TotalRuns() - before; n > 0 {
		t.Errorf("%d of 20 requests ran at a server that was removed %v before", n, propagationBound)
	}
}

// A listing in which no object is the entry of a server, such as a late copy of the
// answer to another call, is an error. It must not remove all servers.
func TestListingWithoutServersIsRefused(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("book", "non_idempotent", "desk", nil)), a)
	var mixUp atomic.Bool
	link := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if mixUp.Load() && strings.HasSuffix(r.URL.Path, "/servers") && !r.URL.Query().Has("watch") {
			r.URL.Path = strings.TrimSuffix(r.URL.Path, "servers") + "config"
		}
		s.store.ServeHTTP(w, r)
	}))
	t.Cleanup(link.Close)
	s.storeAddress = strings.TrimPrefix(link.URL, "http://")
	seeds := freeAddress(t)
	s.start("edge-0", freeAddress(t), seeds, freeAddress(t), seeds)
	s.eventually("the instance to be ready", func() bool { return s.getStatus(s.instances[0].operatorAddress+"/ready") == http.StatusOK })
	mixUp.Store(true)
	s.store.MuteWatches(true)
	added := stand.NewServer("i-2", "desk", "a")
	t.Cleanup(added.Close)
	s.store.Put("servers", "i-2", added.Entry("ready"))
	s.store.Compact()
	s.store.MuteWatches(false)
	time.Sleep(propagationBound)
	for i := range 6 {
		if got := s.post(0, "/book/1", fmt.Sprint("r-", i)); got.status == http.StatusOK {
			return
		}
	}
	t.Error("no request is served after a listing without servers")
}
