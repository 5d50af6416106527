package stage_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

// newUnreachableStage returns a stage whose endpoint up is busy until the returned grant is
// released, and a request that could not reach its other endpoint, down.
func newUnreachableStage(t *testing.T) (s *stage.Stage, busy stage.Grant, req stage.CallRequest) {
	t.Helper()
	clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	s = stage.New(plainStage("down", "up"), "i", 1, clock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	req = stage.CallRequest{Organisation: declare.NewOrganisation("", 1), Cost: 1, Deadline: time.Now().Add(10 * time.Second), Need: time.Millisecond, Arrived: time.Now()}
	first := req
	first.Query.Exclude = s.EndpointIndexes([]string{"down"})
	busy, ok := s.TryAcquire(first)
	if !ok {
		t.Fatal("the sound endpoint is not free")
	}
	req.Unreachable = []string{"down"}
	return s, busy, req
}

// plainStage declares a stage whose endpoints have one slot each.
func plainStage(names ...string) *declare.Stage {
	var endpoints []*declare.Endpoint
	for _, name := range names {
		endpoints = append(endpoints, declare.NewEndpoint(name, "10.0.0.1:80", "a", 1))
	}
	return declare.NewStage("s", 4, endpoints)
}

// Guards against a request that waits for the endpoints it can reach without an end, or after
// they are gone, and against others that have to wait for it.
func TestRequestThatReachedNoEndpointWaitsForAnother(t *testing.T) {
	for name, tt := range map[string]struct {
		// end ends the wait after a second.
		end      func(s *stage.Stage, busy stage.Grant, cancel func())
		endpoint string
		kind     fault.Kind
		wait     time.Duration
	}{
		"the sound one is free": {func(s *stage.Stage, busy stage.Grant, _ func()) { s.Release(busy, balance.Succeeded) }, "up", 0, time.Second},
		"the sound one is gone": {func(s *stage.Stage, _ stage.Grant, _ func()) { s.SetDeclaration(plainStage("down")) }, "down", 0, time.Second},
		"the sound one leaves":  {func(s *stage.Stage, _ stage.Grant, _ func()) { s.UpdateMembership(map[string]bool{"up": true}, 1) }, "down", 0, time.Second},
		"the sound one wants nothing in time": {func(s *stage.Stage, _ stage.Grant, _ func()) {
			s.SetExcluded(map[string]time.Time{"up": time.Now().Add(time.Hour)})
		}, "down", 0, time.Second},
		"no endpoint wants anything in time": {func(s *stage.Stage, _ stage.Grant, _ func()) {
			s.SetExcluded(map[string]time.Time{"up": time.Now().Add(time.Hour), "down": time.Now().Add(time.Hour)})
		}, "", fault.EndpointUnavailable, time.Second},
		"the sound one is ejected": {func(s *stage.Stage, busy stage.Grant, _ func()) {
			s.Release(busy, balance.Failed)
		}, "up", 0, time.Second},
		"the caller leaves":     {func(_ *stage.Stage, _ stage.Grant, cancel func()) { cancel() }, "", fault.Cancelled, time.Second},
		"the sound one is busy": {func(*stage.Stage, stage.Grant, func()) {}, "", fault.DeadlineExceeded, 10 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, busy, req := newUnreachableStage(t)
			ctx, cancel := context.WithDeadline(t.Context(), req.Deadline)
			defer cancel()
			start := time.Now()
			time.AfterFunc(time.Second, func() { tt.end(s, busy, cancel) })
			// A request that has not tried the endpoint is not held up.
			time.AfterFunc(time.Second/2, func() {
				other := req
				other.Unreachable = nil
				if g, err := s.Acquire(t.Context(), other); err != nil || g.Endpoint.Name() != "down" || time.Since(start) > time.Second/2 {
					t.Errorf("%s: another request gets %v after %v, error %v", name, g.Endpoint, time.Since(start), err)
				} else {
					s.Release(g, balance.Succeeded)
				}
			})
			g, err := s.Acquire(ctx, req)
			if took := time.Since(start); took != tt.wait {
				t.Errorf("%s: waited %v, want %v", name, took, tt.wait)
			}
			if tt.endpoint == "" {
				if err == nil || fault.From(err).Kind() != tt.kind {
					t.Errorf("%s: endpoint %v, error %v, want kind %v", name, g.Endpoint, err, tt.kind)
				}
			} else if err != nil || g.Endpoint.Name() != tt.endpoint {
				t.Errorf("%s: endpoint %v, error %v, want %s", name, g.Endpoint, err, tt.endpoint)
			}
			if n := s.Status(time.Now()).Waiting; n != 0 {
				t.Errorf("%s: %d requests still wait", name, n)
			}
		})
	}
}

// Guards against a request that is sent to an unreachable endpoint again while the only other
// one is ejected: it waits for the probe of that one.
func TestRequestThatReachedNoEndpointProbesAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, busy, req := newUnreachableStage(t)
		s.Release(busy, balance.Failed)
		for range 2 {
			first := req
			first.Unreachable, first.Query.Exclude = nil, s.EndpointIndexes([]string{"down"})
			g, ok := s.TryAcquire(first)
			if !ok {
				t.Fatal("the sound endpoint is ejected too early")
			}
			s.Release(g, balance.Failed)
		}
		req.Query.NoProbe = true
		start := time.Now()
		g, err := s.Acquire(t.Context(), req)
		if err != nil || g.Endpoint.Name() != "up" || g.Reason != balance.Probe {
			t.Errorf("endpoint %v, reason %v, error %v, want a probe of the ejected one", g.Endpoint, g.Reason, err)
		}
		if took := time.Since(start); took == 0 || took > time.Second {
			t.Errorf("waited %v for the probe", took)
		}
	})
}
