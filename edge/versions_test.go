package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"chervilpath/edge"
	"chervilpath/platform/stand"
)

// randomConfig returns a configuration that serves /book/, /look/ and /draft/ for apiKey
// and differs at random in all that versions change.
func randomConfig(version int, rng *rand.Rand) map[string]any {
	timeout := func() int { return 4000 + rng.IntN(16000) }
	plain := []string{"desk", "moved"}
	routes := []map[string]any{
		routeSpec("book", "non_idempotent", plain[rng.IntN(2)], map[string]any{"timeoutMs": timeout(), "maxAttempts": 1 + rng.IntN(3)}),
		routeSpec("look", "idempotent", "", map[string]any{"timeoutMs": timeout(), "backends": []any{
			map[string]any{"service": "desk", "weight": rng.IntN(5)}, map[string]any{"service": "moved", "weight": 1 + rng.IntN(5)},
		}}),
		routeSpec("draft", "streaming", "llm", map[string]any{"timeoutMs": timeout(), "resumable": rng.IntN(2) == 0, "stages": []any{
			map[string]any{"service": "photos", "after": []int{}, "bytes": 1000},
		}}),
	}
	for i := range rng.IntN(4) * rng.IntN(80) {
		routes = append(routes, routeSpec(fmt.Sprint("added-", rng.IntN(1000), "-", i), "idempotent", plain[rng.IntN(2)], nil))
	}
	keys := []string{apiKey}
	for range rng.IntN(4) {
		keys = append(keys, fmt.Sprint("key-", rng.IntN(1000)))
	}
	out := configSpec(version, keys, routes...)
	services := out["services"].([]any)
	services[2].(map[string]any)["engine"] = map[string]any{"slots": 4 + rng.IntN(8), "kvCapacity": 100000}
	services[3].(map[string]any)["pieces"] = map[string]any{
		"slots": 1 + rng.IntN(2), "queue": 2, "batch": 1 + rng.IntN(8), "callMs": 10 + rng.IntN(30), "itemMs": 1, "roomMb": 5 + rng.IntN(10), "handleS": 2 + rng.IntN(8),
	}
	for range rng.IntN(4) {
		services = append(services, map[string]any{"name": fmt.Sprint("service-", rng.IntN(10)), "healthPath": "/healthz", "maxConns": 100})
	}
	out["services"] = services
	return withLimits(out, map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096 + rng.IntN(4096), "headerTimeoutMs": 1000 + rng.IntN(5000), "idleTimeoutMs": 2000 + rng.IntN(20000)})
}

// Failure: beside a new version of the configuration, or a change of the servers, a
// whole request gets neither an answer nor a refusal, or is refused.
func TestRequestsAreServedAcrossVersions(t *testing.T) {
	t.Parallel()
	const callers, duration = 6, 4 * time.Second
	engines := []*stand.Server{stand.NewServer("e-1", "llm", "a"), stand.NewServer("e-2", "llm", "b")}
	for _, e := range engines {
		e.NumEvents, e.EventGap = 4, 60*time.Millisecond
	}
	servers := append(engines, stand.NewServer("p-1", "photos", "a"), stand.NewServer("p-2", "photos", "b"))
	for i := range 4 {
		servers = append(servers, stand.NewServer(fmt.Sprint("i-", i), []string{"desk", "moved"}[i%2], "a"))
	}
	for _, server := range servers[2:] {
		server.WorkTime = 30 * time.Millisecond
	}
	rng := rand.New(rand.NewPCG(7, 7))
	s := newTestSite(t, 2, randomConfig(1, rng), servers...)
	end := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := s.connect(i % 2)
			for n := 0; time.Now().Before(end); n++ {
				name := []string{"book", "look", "draft"}[(i+n)%3]
				id := fmt.Sprintf("r-%d-%d", i, n)
				extra := "Content-Length: 2\r\n"
				if name == "draft" {
					extra += stand.HeaderPieces + ": 2\r\n" + stand.HeaderPieceKey + ": k\r\n"
				}
				c.send(requestHead("/"+name+"/1", id, extra) + "\r\nab")
				got := c.response()
				if got.err != nil || got.status != http.StatusOK || name == "draft" && !stand.IsCompleteStream(got.body, 4) {
					t.Errorf("%s %s: %+v", name, id, got)
					return
				}
			}
		})
	}
	for version := 2; time.Now().Before(end); version += 1 + rng.IntN(3) {
		s.store.Put("config", "main", randomConfig(version, rng))
		if rng.IntN(3) == 0 {
			// A server that is listed with other values, and one that comes and goes.
			server := servers[rng.IntN(len(servers))]
			entry := server.Entry("ready")
			entry["slots"] = 4 + rng.IntN(8)
			s.store.Put("servers", server.ID, entry)
			s.store.Put("servers", "gone-"+strconv.Itoa(version), map[string]any{"service": "nobody", "address": "127.0.0.1:1", "state": "ready", "slots": 1})
		}
		time.Sleep(time.Duration(rng.IntN(120)) * time.Millisecond)
	}
	wg.Wait()
	for _, server := range servers {
		requests, _ := server.Requests()
		for _, r := range requests {
			if id := r.Header.Get(stand.HeaderRequestID); strings.HasPrefix(r.URL.Path, "/book/") && server.Runs(id) != 1 {
				t.Errorf("request %s ran %d times", id, server.Runs(id))
			}
		}
	}
}

// Failure: settings that are read again, with or without SIGHUP, end or forget a request
// in progress, or the retries that it may make.
func TestRequestsAreServedAcrossChangedSettings(t *testing.T) {
	t.Parallel()
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents, engine.EventGap = 10, 100*time.Millisecond
	broken, sound := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a")
	broken.Intercept, sound.WorkTime = runAndAbort(broken), 50*time.Millisecond
	s := newTestSite(t, 1, configSpec(1, apiKeys, routeSpec("draft", "streaming", "llm", nil), routeSpec("look", "idempotent", "desk", map[string]any{"timeoutMs": 10000, "maxAttempts": 4})), engine, broken, sound)
	file := filepath.Join(t.TempDir(), "settings.ini")
	signals := make(chan os.Signal)
	go s.instances[0].edge.WatchSettings(t.Context(), edge.SettingsSource{File: file, Data: []byte(s.instances[0].settings), ReloadSignals: signals})
	end := time.Now().Add(3 * time.Second)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			c := s.connect(0)
			for n := 0; time.Now().Before(end); n++ {
				name, id := []string{"draft", "look"}[i%2], fmt.Sprintf("r-%d-%d", i, n)
				c.send(requestHead("/"+name+"/1", id, "Content-Length: 2\r\n") + "\r\nab")
				if got := c.response(); got.err != nil || got.status != http.StatusOK || name == "draft" && !stand.IsCompleteStream(got.body, 10) {
					t.Errorf("%s %s: %+v", name, id, got)
					return
				}
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		changed := fmt.Sprintf("%s\n# change %d\n", strings.Replace(s.instances[0].settings, "grace = 6s", fmt.Sprintf("grace = %ds", 6+n%3), 1), n)
		if n%4 == 3 {
			changed = changed[:len(changed)/2]
		}
		if err := os.WriteFile(file, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
		signals <- syscall.SIGHUP
		time.Sleep(30 * time.Millisecond)
	}
	wg.Wait()
}

// Failure: a request for a service that is new in a version is refused, since the instance
// that places its requests, or has its pieces processed, learns of the version later.
func TestNewServicesServeFromTheFirstRequest(t *testing.T) {
	t.Parallel()
	const versions, callers = 12, 8
	var servers []*stand.Server
	name := func(kind string, version int) string { return fmt.Sprint(kind, "-", version) }
	for v := 1; v <= versions; v++ {
		engine := stand.NewServer(name("engine", v), name("llm", v), "a")
		engine.NumEvents = 2
		servers = append(servers, engine, stand.NewServer(name("stage", v), name("photos", v), "a"))
	}
	config := func(version int) map[string]any {
		out := configSpec(version, apiKeys, routeSpec("draft", "streaming", name("llm", version), map[string]any{"stages": []any{
			map[string]any{"service": name("photos", version), "after": []int{}, "bytes": 1000},
		}}))
		services := out["services"].([]any)
		services[2].(map[string]any)["name"] = name("llm", version)
		services[3].(map[string]any)["name"] = name("photos", version)
		return out
	}
	s := newTestSite(t, 3, config(1), servers...)
	done := make(chan struct{})
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c := s.connect(i % 3)
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				id := fmt.Sprintf("r-%d-%d", i, n)
				c.send(requestHead("/draft/1", id, fmt.Sprintf("Content-Length: 0\r\n%s: 2\r\n%s: k\r\n", stand.HeaderPieces, stand.HeaderPieceKey)) + "\r\n")
				if got := c.response(); got.err != nil || got.status != http.StatusOK || !stand.IsCompleteStream(got.body, 2) {
					t.Errorf("%s: %+v", id, got)
				}
			}
		})
	}
	for v := 2; v <= versions; v++ {
		time.Sleep(200 * time.Millisecond)
		s.store.Put("config", "main", config(v))
	}
	time.Sleep(200 * time.Millisecond)
	close(done)
	wg.Wait()
}
