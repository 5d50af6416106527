package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// versionedSite is a relay whose configuration and servers change while it serves.
type versionedSite struct {
	t        *testing.T
	table    atomic.Pointer[route.Table]
	snapshot atomic.Pointer[fleet.Snapshot]
	stage    *stage.Stage
	deps     Deps
}

// versionedTable returns a version with the routes /plain/ and /stream/, or with another.
func versionedTable(t *testing.T, version int64, kept bool, timeout time.Duration) *route.Table {
	t.Helper()
	routes := []route.Route{{Name: "other", Host: "h", Prefix: "/other/", Public: true, Targets: []route.Target{{Service: "new", Weight: 1}}}}
	services := []route.Service{{Name: "new"}}
	if kept {
		routes = []route.Route{
			{Name: "plain", Host: "h", Prefix: "/plain/", Kind: route.NonIdempotent, MaxAttempts: 1, Timeout: timeout, Public: true, Targets: []route.Target{{Service: "desk", Weight: 1}}},
			{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Streaming, MaxAttempts: 1, Timeout: timeout, TargetGap: time.Second, Public: true, Targets: []route.Target{{Service: "llm", Weight: 1}},
				Stages: []route.Stage{{Service: "photos"}}},
		}
		services = []route.Service{{Name: "desk"}, {Name: "llm", Engine: &route.EngineConfig{Slots: 8}}, {Name: "photos", Pieces: &route.PieceConfig{Slots: 1, MaxBatch: 1}}}
	}
	table, err := route.New(version, routes, services, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newVersionedSite returns a relay before one server of each service. Stages, the time
// until a response begins and a stream take one second each.
func newVersionedSite(t *testing.T) *versionedSite {
	s := &versionedSite{t: t}
	s.table.Store(versionedTable(t, 1, true, 20*time.Second))
	clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	s.stage = stage.New(declare.NewStage("desk", 10, nil), "self", 1, clock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	s.setServers("i-1", "e-1")
	s.deps = Deps{
		Quarantine: newTracker(),
		Clock:      clock, AwaitReady: func(context.Context) bool { return true }, ConfigFresh: func() bool { return true },
		Table: s.table.Load, Random: func() float64 { return 0 }, Log: func(Decision) {},
		Shutdown: func() Shutdown { return Shutdown{} }, ShutdownCtx: t.Context(), RecordCall: func(string) {}, AllowRetry: func(string) bool { return false },
		Servers: s.snapshot.Load, PlainStage: func(string) *stage.Stage { return s.stage },
		ResultZone: func(string) string { return "" }, FreeResults: func(string, []string) {},
		RunStage: func(_ context.Context, job StageJob) ([]string, error) {
			time.Sleep(time.Second)
			return make([]string, job.Pieces), nil
		},
		Place: func(_ context.Context, service string, q engine.Query) (string, error) {
			for _, server := range s.snapshot.Load().Service(service) {
				return server.ID, nil
			}
			return "", nil
		},
		Settle: func(string, string, string, balance.Outcome) {},
		Send: func(ctx context.Context, a Attempt) (*Response, error) {
			time.Sleep(time.Second)
			if a.Server.Service == "desk" {
				return &Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("whole"))}, nil
			}
			return &Response{Status: http.StatusOK, EventStream: true, Body: &endingDrip{drip: drip{ctx: ctx, pause: 250 * time.Millisecond, pieces: []string{"id: 1\n\n", "id: 2\n\n", "id: 3\n\n", "id: 4\n\n"}}}}, nil
		},
	}
	return s
}

// endingDrip is a drip that ends after its pieces.
type endingDrip struct{ drip }

func (d *endingDrip) Read(p []byte) (int, error) {
	if len(d.pieces) == 0 {
		return 0, io.EOF
	}
	return d.drip.Read(p)
}

// setServers sets the server of the service desk and that of llm, or none for "".
func (s *versionedSite) setServers(desk, llm string) {
	var list []fleet.Server
	var endpoints []*declare.Endpoint
	if desk != "" {
		list = append(list, fleet.Server{ID: desk, Service: "desk", Address: desk, Slots: 1})
		endpoints = append(endpoints, declare.NewEndpoint(desk, desk, "a", 1))
	}
	if llm != "" {
		list = append(list, fleet.Server{ID: llm, Service: "llm", Address: llm})
	}
	view := fleet.New(time.Second)
	view.Replace(time.Now(), list, 1)
	s.snapshot.Store(view.Snapshot())
	s.stage.SetDeclaration(declare.NewStage("desk", 10, endpoints))
}

// serve serves a request and returns what its caller receives.
func (s *versionedSite) serve(path, id string) (received string, err error) {
	var pieces []int
	if path == "/stream/1" {
		pieces = []int{2}
	}
	_, err = New(s.deps).Serve(s.t.Context(), &Request{ID: id, Host: "h", Path: path, Timeout: 20 * time.Second, Pieces: pieces, Arrived: time.Now()}, ResponseWriter{
		Respond:     func(_ int, _ map[string][]string, body []byte) { received += string(body) },
		WriteHeader: func(int, map[string][]string) {},
		Write:       func(p []byte) error { received += string(p); return nil },
	})
	return received, err
}

// Failure: a new version or list of servers ends a request in progress at some step: in
// the queue, while its stages run, after it was sent or within its stream.
func TestRequestsInProgressOutliveAnyChange(t *testing.T) {
	const stream = "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n"
	// An engine request is refused while there are no servers.
	withoutServers := map[string]bool{"no servers for a while": true, "all of these": true}
	changes := map[string]func(s *versionedSite){
		"route and service dropped": func(s *versionedSite) { s.table.Store(versionedTable(t, 2, false, 0)) },
		"shorter time-out":          func(s *versionedSite) { s.table.Store(versionedTable(t, 2, true, 500*time.Millisecond)) },
		"longer time-out":           func(s *versionedSite) { s.table.Store(versionedTable(t, 2, true, time.Hour)) },
		"other servers":             func(s *versionedSite) { s.setServers("i-2", "e-2") },
		"no servers for a while": func(s *versionedSite) {
			s.setServers("", "")
			time.AfterFunc(time.Second, func() { s.setServers("i-1", "e-1") })
		},
		"all of these": func(s *versionedSite) {
			s.table.Store(versionedTable(t, 2, false, 0))
			s.setServers("", "")
			time.AfterFunc(100*time.Millisecond, func() {
				s.table.Store(versionedTable(t, 3, true, time.Second))
				s.setServers("i-2", "e-2")
			})
		},
	}
	for name, change := range changes {
		for at := 100 * time.Millisecond; at < 3*time.Second; at += 200 * time.Millisecond {
			t.Run(fmt.Sprint(name, " after ", at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newVersionedSite(t)
					results := make(chan string, 4)
					for i, path := range []string{"/plain/1", "/plain/1", "/plain/1", "/stream/1"} {
						go func() {
							got, err := s.serve(path, fmt.Sprint("r-", i))
							var refusal *Refusal
							if withoutServers[name] && path == "/stream/1" && got == "" && errors.As(err, &refusal) {
								got, err = stream, nil
							}
							results <- fmt.Sprint(got, err)
						}()
						synctest.Wait()
					}
					time.Sleep(at)
					change(s)
					for range 4 {
						if got := <-results; got != "whole<nil>" && got != stream+"<nil>" {
							t.Errorf("a caller received %q", got)
						}
					}
				})
			})
		}
	}
}
