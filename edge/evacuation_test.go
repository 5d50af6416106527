package edge_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"chervilpath/platform/stand"
)

// evacuationBounds make the instances of a site follow evacuations, with propagationBound as
// their bound.
var evacuationBounds = fmt.Sprintf("evacuation = %s", propagationBound)

// Guards against requests to servers of an evacuated zone by instances whose sources of changes
// are all cut off from the store but for one, against an evacuation that is taken back and set
// again while they are, and against servers that get nothing after its end.
func TestEvacuationIsInForceThoughMostSourcesAreCutOff(t *testing.T) {
	t.Parallel()
	const large, small = 5, 4
	for name, intercept := range map[string]func(http.ResponseWriter, *http.Request) bool{"refused": refuse, "silent": hang} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			evacuated, stays := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "b")
			s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), evacuated, stays)
			s.bounds = evacuationBounds
			links := startLinkedFleet(t, s, large, small)
			time.Sleep(propagationBound)
			for i, l := range links {
				if i != large-1 {
					l.intercept.Store(&intercept)
				}
			}
			for range 2 {
				s.store.Put("evacuations", "a", map[string]any{"odd": []int{1}})
				time.Sleep(propagationBound / 3)
				s.store.Remove("evacuations", "a")
				time.Sleep(propagationBound / 10)
			}
			s.store.Put("evacuations", "a", map[string]any{})
			s.store.Put("evacuations", "nowhere", map[string]any{})
			time.Sleep(propagationBound)
			if n := s.countRunsAt(evacuated, 0); n > 0 {
				t.Errorf("%d requests ran in a zone %v after its evacuation", n, propagationBound)
			}
			if n := s.countRunsAt(stays, 0); n == 0 {
				t.Error("no request ran in a zone that is not evacuated")
			}
			s.store.Remove("evacuations", "a")
			// Servers that return begin with few requests.
			s.eventually("requests in a zone after the end of its evacuation", func() bool { return s.countRunsAt(evacuated, 0) > 0 })
		})
	}
}

// Guards against engines and stage servers of an evacuated zone that get requests and pieces, or
// frees of results, and against a stream in progress that is cut.
func TestEvacuationHoldsForEnginesAndStages(t *testing.T) {
	t.Parallel()
	engines := []*stand.Server{stand.NewServer("e-1", "llm", "a"), stand.NewServer("e-2", "llm", "b")}
	photos := []*stand.Server{stand.NewServer("p-1", "photos", "a"), stand.NewServer("p-2", "photos", "b")}
	s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("draft", "streaming", "llm", map[string]any{
		"sticky": true, "resumable": true, "stages": []any{map[string]any{"service": "photos", "after": []int{}, "bytes": 1000}},
	})), append(engines, photos...)...)
	s.bounds = evacuationBounds
	startLinkedFleet(t, s, 2, 1)
	send := func(phase string) {
		for i := range 40 {
			s.send(t.Context(), i%len(s.instances), http.MethodPost, "/draft/1", fmt.Sprint(phase, i), http.Header{
				stand.HeaderPieces: {"2"}, stand.HeaderPieceKey: {"k"}, stand.HeaderPromptPrefix: {fmt.Sprintf("%x:5,%x:5", i%7, i)},
			}, "body")
		}
	}
	send("before")
	if len(engines[0].Arrivals()) == 0 || len(photos[0].Arrivals()) == 0 {
		t.Fatalf("%d requests and %d calls reached the zone before its evacuation, want some", len(engines[0].Arrivals()), len(photos[0].Arrivals()))
	}
	s.store.Put("evacuations", "a", map[string]any{})
	time.Sleep(propagationBound)
	runs, calls := len(engines[0].Arrivals()), len(photos[0].Arrivals())
	send("after")
	if n := len(engines[0].Arrivals()) - runs; n > 0 {
		t.Errorf("%d requests ran at an engine of an evacuated zone", n)
	}
	if n := len(photos[0].Arrivals()) - calls; n > 0 {
		t.Errorf("%d calls reached a stage server of an evacuated zone", n)
	}
	if engines[1].TotalRuns() < 40 {
		t.Errorf("%d of 40 requests ran at the other engine", engines[1].TotalRuns())
	}
}

// Guards against an instance that starts while the store is down and serves without knowing what
// is evacuated, or does not start at all though others know it.
func TestInstanceThatStartsLearnsEvacuationsFromOthers(t *testing.T) {
	t.Parallel()
	evacuated, stays := stand.NewServer("i-1", "desk", "a"), stand.NewServer("i-2", "desk", "b")
	s := newTestSite(t, 0, configSpec(1, apiKeys, routeSpec("look", "idempotent", "desk", nil)), evacuated, stays)
	s.bounds = evacuationBounds
	links := startLinkedFleet(t, s, 2, 0)
	s.store.Put("evacuations", "a", map[string]any{})
	time.Sleep(propagationBound)
	intercept := hang
	for _, l := range links {
		l.intercept.Store(&intercept)
	}
	down := newStoreLink(t, s.store)
	down.intercept.Store(&intercept)
	s.storeAddress = down.address
	s.startWithCores("late", freeAddress(t), freeAddress(t), freeAddress(t), s.instances[0].peerAddress, 0.1)
	late := len(s.instances) - 1
	s.eventually("the late instance to be ready", func() bool { return s.getStatus(s.instances[late].operatorAddress+"/ready") == http.StatusOK })
	if n := s.countRunsAt(evacuated, late); n > 0 {
		t.Errorf("%d requests ran in an evacuated zone", n)
	}
}
