package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// Failure: what is left of a request goes to a server that has left, or nowhere, since
// its service is no longer in the configuration.
func TestRequestsOfADroppedServiceFollowItsServers(t *testing.T) {
	t.Parallel()
	const drain = 2 * time.Second
	engine := stand.NewServer("e-1", "llm", "a")
	engine.NumEvents = 2
	leaving, joining := stand.NewServer("p-1", "photos", "a"), stand.NewServer("p-2", "photos", "a")
	leaving.WorkTime, joining.WorkTime = 400*time.Millisecond, 100*time.Millisecond
	t.Cleanup(joining.Close)
	draft := routeSpec("draft", "streaming", "llm", map[string]any{
		"timeoutMs": 20000, "targetLatencyMs": 6000, "stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 1000}},
	})
	config := func(version int, routes ...map[string]any) map[string]any {
		out := configSpec(version, apiKeys, routes...)
		services := out["services"].([]any)
		services[3].(map[string]any)["pieces"] = map[string]any{"slots": 1, "queue": 2, "batch": 1, "callMs": 400, "itemMs": 1, "roomMb": 10, "handleS": 30}
		return out
	}
	s := newTestSite(t, 1, config(1, draft), engine, leaving)
	done := make(chan response, 1)
	go func() {
		done <- s.send(t.Context(), 0, http.MethodPost, "/draft/1", "r-1", http.Header{
			stand.HeaderPieces: {"12"}, stand.HeaderPieceKey: {"k"}, stand.HeaderDeadline: {"15000"},
		}, "")
	}()
	s.eventually("the first piece", func() bool { return len(leaving.Arrivals()) > 0 })
	dropped := config(2, routeSpec("book", "non_idempotent", "desk", nil))
	dropped["services"] = dropped["services"].([]any)[:2]
	s.store.Put("config", "main", dropped)
	s.eventually("the second version", func() bool { return s.counter("chervilpath_configuration_version") == 2 })
	s.store.Put("servers", joining.ID, joining.Entry("ready"))
	s.store.Put("servers", leaving.ID, leaving.Entry("draining"))
	acknowledged := time.Now()
	if got := <-done; got.err != nil || got.status != http.StatusOK || !stand.IsCompleteStream(got.body, 2) {
		t.Errorf("the request of the dropped route: %+v", got)
	}
	for _, a := range leaving.Arrivals() {
		if after := a.At.Sub(acknowledged); after > drain && a.Path == "/stage-run" {
			t.Errorf("a call of %s reached the server %v after it was draining", a.Path, after.Round(time.Millisecond))
		}
	}
	if n := len(joining.Arrivals()); n == 0 {
		t.Error("no call reached the other server")
	}
}

// Failure: a service that returns to the configuration has the servers of long ago.
func TestReturningServiceHasItsCurrentServers(t *testing.T) {
	t.Parallel()
	old, current, other := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "a"), stand.NewServer("i-3", "moved", "a")
	t.Cleanup(current.Close)
	with := func(version int, names ...string) map[string]any {
		var routes []map[string]any
		var services []any
		for _, name := range names {
			routes = append(routes, routeSpec("to-"+name, "non_idempotent", name, nil))
			services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 100})
		}
		out := configSpec(version, apiKeys, routes...)
		out["services"] = services
		return out
	}
	s := newTestSite(t, 1, with(1, "desk", "moved"), old, other)
	if got := s.post(0, "/to-desk/1", "r-0"); got.status != http.StatusOK {
		t.Fatalf("first request: %+v", got)
	}
	for i := range 5 {
		s.store.Put("config", "main", with(2+2*i, "moved"))
		s.eventually("the service to be gone", func() bool { return s.counter("chervilpath_configuration_version") == float64(2+2*i) })
		if i == 0 {
			s.store.Remove("servers", old.ID)
			s.store.Put("servers", current.ID, current.Entry("ready"))
		}
		s.store.Put("config", "main", with(3+2*i, "desk", "moved"))
		s.eventually("the service to return", func() bool { return s.counter("chervilpath_configuration_version") == float64(3+2*i) })
		s.eventually("a request at the current server", func() bool { return s.post(0, "/to-desk/1", fmt.Sprint("r-", time.Now())).status == http.StatusOK })
	}
	if n := current.TotalRuns(); n == 0 {
		t.Error("no request ran at the current server")
	}
}
