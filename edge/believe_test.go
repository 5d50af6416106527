package edge_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// The bounds of the deployments: a configuration is in force within 2 s, and a
// leaving server gets nothing after 2 s.
const bound = 2 * time.Second

func TestConfigurationIsInForceWithinItsBoundAndNeverGoesBack(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
	s := newSite(t, 2, configuration(2, keys, route("book", "non_idempotent", "desk", nil)), a, b)
	s.store.Put("config", "main", configuration(5, keys, route("book", "non_idempotent", "moved", nil)))
	time.Sleep(bound)
	s.store.Put("config", "main", configuration(3, keys, route("book", "non_idempotent", "desk", nil)))
	time.Sleep(bound / 2)
	for i := range 2 {
		id := fmt.Sprintf("r-%d", i)
		if got := s.post(i, "/book/1", id); b.Runs(id) != 1 {
			t.Errorf("instance %d: status %d, and the request did not run where version 5 sends it", i, got.status)
		}
	}
}

func TestRevokedKeyEndsWithinItsBound(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	s := newSite(t, 2, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	s.store.Put("config", "main", configuration(2, []string{"other"}, route("book", "non_idempotent", "desk", nil)))
	time.Sleep(bound)
	for i := range 2 {
		if got := s.post(i, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusUnauthorized {
			t.Errorf("instance %d: status %d, want 401", i, got.status)
		}
	}
}

// refusing has the store refuse every second call.
func refusing(how stand.CallFault) (func(*http.Request) stand.CallFault, *atomic.Int64) {
	var calls atomic.Int64
	return func(*http.Request) stand.CallFault {
		if calls.Add(1)%2 == 0 {
			return how
		}
		return stand.NoFault
	}, &calls
}

func TestNewsComeThroughAStoreThatFails(t *testing.T) {
	t.Parallel()
	for name, how := range map[string]stand.CallFault{"busy": stand.Unavailable, "many": stand.TooManyRequests, "reset": stand.ConnectionReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
			s := newSite(t, 3, configuration(2, keys, route("book", "non_idempotent", "desk", nil)), a, b)
			f, refused := refusing(how)
			s.store.SetCallFault(f)
			s.store.Put("config", "main", configuration(5, keys, route("book", "non_idempotent", "moved", nil)))
			time.Sleep(bound)
			for i := range 3 {
				id := fmt.Sprintf("r-%d", i)
				if got := s.post(i, "/book/1", id); b.Runs(id) != 1 {
					t.Errorf("instance %d: status %d, not version 5", i, got.status)
				}
			}
			if refused.Load() == 0 {
				t.Error("the store was not asked")
			}
		})
	}
}

func TestDroppedHistoryIsReadAgain(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "moved", "a")
	s := newSite(t, 1, configuration(2, keys, route("book", "non_idempotent", "desk", nil)), a, b)
	s.store.MuteWatches(true)
	s.store.Put("config", "main", configuration(5, keys, route("book", "non_idempotent", "moved", nil)))
	time.Sleep(bound / 4)
	s.store.Compact()
	s.store.MuteWatches(false)
	time.Sleep(bound)
	if s.post(0, "/book/1", "r-1"); b.Runs("r-1") != 1 {
		t.Error("the version whose event was lost is not in force")
	}
}

func TestLeavingServerGetsNothingAfterItsBound(t *testing.T) {
	t.Parallel()
	a, b := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	s := newSite(t, 2, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a, b)
	s.store.Put("servers", "i-1", a.Entry("draining"))
	time.Sleep(bound)
	before := a.TotalRuns()
	for i := range 20 {
		if got := s.post(i%2, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
	if n := a.TotalRuns() - before; n != 0 {
		t.Errorf("%d requests reached the leaving server", n)
	}
}

func TestForeignEntriesNameNoServer(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-1", "desk", "a")
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	for name, spec := range map[string]string{
		"i-2": `{"service":"desk","address":5,"state":"ready"}`, "i-3": `"text"`, "i-4": `{"service":"desk","state":"odd","address":"127.0.0.1:1"}`,
		"i-5": `null`, "i-6": `{"state":"ready"}`,
	} {
		s.store.PutRaw("servers", name, []byte(spec))
	}
	time.Sleep(bound / 4)
	for i := range 10 {
		if got := s.post(0, "/book/1", fmt.Sprintf("r-%d", i)); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
}

func TestAddressOfAnotherServiceIsNeverRun(t *testing.T) {
	t.Parallel()
	a := stand.NewServer("i-9", "moved", "a")
	s := newSite(t, 1, configuration(1, keys, route("book", "non_idempotent", "desk", nil)), a)
	// The entry names a server that is gone; its address serves another now.
	entry := a.Entry("ready")
	entry["service"] = "desk"
	s.store.Remove("servers", "i-9")
	s.store.Put("servers", "i-1", entry)
	time.Sleep(bound / 4)
	if got := s.post(0, "/book/1", "r-1"); got.status != http.StatusServiceUnavailable || a.TotalRuns() != 0 {
		t.Errorf("status %d and %d runs, want 503 and none", got.status, a.TotalRuns())
	}
}

func TestOwnerThatDiesIsReplaced(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	photos := stand.NewServer("p-1", "photos", "a")
	r := route("draft", "streaming", "llm", map[string]any{"stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 10}}})
	s := newSite(t, 3, configuration(1, keys, r), engine, photos)
	time.Sleep(bound)
	// Each of the others is killed in turn, so the owner is among them or the
	// request is served by its own instance.
	for _, victim := range []int{2, 1} {
		s.kill(s.instances[victim])
		began := time.Now()
		got := s.send(t.Context(), 0, http.MethodPost, "/draft/1", fmt.Sprintf("r-%d", victim), http.Header{
			stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {"k"},
		}, "")
		if took := time.Since(began); got.status != http.StatusOK || took > time.Second {
			t.Errorf("after instance %d died: status %d in %v, want 200 within a second", victim, got.status, took)
		}
	}
}
