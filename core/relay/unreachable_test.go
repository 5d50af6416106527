package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// plainSite serves requests of a plain service in virtual time. No connection can be
// opened to its servers whose IDs begin with "down"; the others work for a while on one
// request at a time and are sound.
type plainSite struct {
	relay *Relay
	stage *stage.Stage
	view  *fleet.View

	mu    sync.Mutex
	sends map[string][]string
}

const plainTimeout = 3 * time.Second

func newPlainSite(t *testing.T, kind route.Kind, seed uint64, work time.Duration, ids ...string) *plainSite {
	t.Helper()
	table, err := route.New(1, []route.Route{{
		Name: "book", Host: "h", Prefix: "/", Kind: kind, MaxAttempts: 2, TargetLatency: time.Second, Timeout: plainTimeout, Public: true,
		Targets: []route.Target{{Service: "desk", Weight: 1}},
	}}, []route.Service{{Name: "desk"}}, nil, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	view := fleet.New(time.Second)
	var servers []fleet.Server
	var endpoints []*declare.Endpoint
	for i, id := range ids {
		s := fleet.Server{ID: id, Service: "desk", Address: fmt.Sprint("10.0.0.1:", i+1), Slots: 1}
		servers = append(servers, s)
		endpoints = append(endpoints, declare.NewEndpoint(s.ID, s.Address, "a", s.Slots))
	}
	view.Replace(time.Now(), servers, 1)
	p := &plainSite{view: view, sends: make(map[string][]string)}
	p.stage = stage.New(declare.NewStage("desk", 512, endpoints), "edge-0", 1, systemClock, rand.New(rand.NewPCG(seed, 1)), stage.Policy{})
	deps := newDeps(t.Context(), table, view)
	deps.PlainStage = func(string) *stage.Stage { return p.stage }
	deps.Send = func(ctx context.Context, a Attempt) (*Response, error) {
		p.mu.Lock()
		p.sends[a.Request.ID] = append(p.sends[a.Request.ID], a.Server.ID)
		p.mu.Unlock()
		if strings.HasPrefix(a.Server.ID, "down") {
			return nil, &SendError{Err: errors.New("connection refused"), NotSent: true}
		}
		select {
		case <-time.After(work):
		case <-ctx.Done():
			return nil, &SendError{Err: ctx.Err()}
		}
		return &Response{Status: http.StatusOK, Body: io.NopCloser(strings.NewReader("answer"))}, nil
	}
	p.relay = New(deps)
	return p
}

// serve sends one request and returns its error.
func (p *plainSite) serve(t *testing.T, id string) error {
	_, err := p.relay.Serve(t.Context(), &Request{ID: id, Host: "h", Path: "/x", Timeout: plainTimeout, Arrived: time.Now()},
		ResponseWriter{Respond: func(int, map[string][]string, []byte) {}})
	return err
}

// count returns how often a request was sent to a server.
func (p *plainSite) count(id, server string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int64(0)
	for _, s := range p.sends[id] {
		if s == server {
			n++
		}
	}
	return n
}

// Guards against requests that are refused although a sound server would take them: it was
// busy, and servers that could not be reached were tried again until no attempt was left.
func TestRequestWaitsForTheSoundServerBesideUnreachableOnes(t *testing.T) {
	for _, kind := range []route.Kind{route.Idempotent, route.NonIdempotent} {
		var refused, repeated atomic.Int64
		for seed := range uint64(20) {
			synctest.Test(t, func(t *testing.T) {
				p := newPlainSite(t, kind, seed, 50*time.Millisecond, "down-1", "down-2", "up-1")
				var wg sync.WaitGroup
				send := func(id string, at time.Duration) {
					wg.Go(func() {
						time.Sleep(at)
						if err := p.serve(t, id); err != nil {
							refused.Add(1)
						}
						for _, server := range []string{"down-1", "down-2"} {
							repeated.Add(max(0, p.count(id, server)-1))
						}
					})
				}
				// Every tenth request comes while the one before it is still served.
				for i := range 30 {
					at := time.Duration(i) * 60 * time.Millisecond
					send(fmt.Sprint("r-", i), at)
					if i%10 == 0 {
						send(fmt.Sprint("r-", i, "b"), at+20*time.Millisecond)
					}
				}
				wg.Wait()
			})
		}
		if refused.Load() > 0 || repeated.Load() > 0 {
			t.Errorf("kind %v: %d of 660 requests are refused, and %d times one was sent again to a server that it had not reached", kind, refused.Load(), repeated.Load())
		}
	}
}

// Guards against requests that are refused after a few unreachable servers although an idle
// sound one was not tried.
func TestRequestReachesTheSoundServerAmongManyUnreachable(t *testing.T) {
	refused := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			ids := []string{"up-1"}
			for i := range 12 {
				ids = append(ids, fmt.Sprint("down-", i))
			}
			p := newPlainSite(t, route.NonIdempotent, seed, 10*time.Millisecond, ids...)
			for i := range 5 {
				if err := p.serve(t, fmt.Sprint("r-", i)); err != nil {
					refused++
				}
			}
		})
	}
	if refused > 0 {
		t.Errorf("%d of 100 requests are refused", refused)
	}
}

// Guards against requests that are refused because the stage still grants a server that has
// left the list, again and again within the same moment.
func TestServerThatHasJustLeftUsesUpNoRequest(t *testing.T) {
	var refused atomic.Int64
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			p := newPlainSite(t, route.NonIdempotent, seed, 50*time.Millisecond, "gone-1", "gone-2", "up-1")
			p.view.Replace(time.Now(), []fleet.Server{{ID: "up-1", Service: "desk", Address: "10.0.0.1:3", Slots: 1}}, 2)
			var wg sync.WaitGroup
			for i := range 3 {
				wg.Go(func() {
					if err := p.serve(t, fmt.Sprint("r-", i)); err != nil {
						refused.Add(1)
					}
				})
				synctest.Wait()
			}
			wg.Wait()
		})
	}
	if refused.Load() > 0 {
		t.Errorf("%d of 60 requests are refused", refused.Load())
	}
}

// Guards against requests that are held for servers of which none can be reached, or for a
// sound one that is busy until their time is over.
func TestRequestWithoutAServerInTimeIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlainSite(t, route.NonIdempotent, 1, 0, "down-1", "down-2", "down-3")
		for i := range 10 {
			start := time.Now()
			err := p.serve(t, fmt.Sprint("r-", i))
			if r, ok := errors.AsType[*Refusal](err); !ok || r.Fault.Ran() != fault.RanNo {
				t.Errorf("request %d: %v, want a refusal of what did not run", i, err)
			}
			if took := time.Since(start); took > plainTimeout {
				t.Errorf("request %d is refused after %v", i, took)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		p := newPlainSite(t, route.NonIdempotent, 1, time.Hour, "down-1", "down-2", "up-1")
		busy := stage.CallRequest{Organisation: declare.NewOrganisation("", 1), Cost: 1, Deadline: time.Now().Add(time.Hour), Arrived: time.Now()}
		busy.Query.Exclude = p.stage.EndpointIndexes([]string{"down-1", "down-2"})
		if _, ok := p.stage.TryAcquire(busy); !ok {
			t.Fatal("the sound server is not free")
		}
		start := time.Now()
		err := p.serve(t, "r-1")
		if r, ok := errors.AsType[*Refusal](err); !ok || r.Fault.Ran() != fault.RanNo {
			t.Errorf("beside a busy server: %v, want a refusal of what did not run", err)
		}
		if took := time.Since(start); took > plainTimeout {
			t.Errorf("refused after %v", took)
		}
	})
}
