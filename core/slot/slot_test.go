package slot

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/overload"
	"chervilpath/core/stage"
)

var clock = stage.Clock{
	Now:       time.Now,
	AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
}

// newOwner returns the owner of the slots of servers a, b and so on.
func newOwner(servers, slots int, report func(Event)) (*Owner, *stage.Stage) {
	endpoints := make([]*declare.Endpoint, servers)
	for i := range endpoints {
		name := string(rune('a' + i))
		endpoints[i] = declare.NewEndpoint(name, name, "z", slots)
	}
	s := stage.New(declare.NewStage("desk", 100, endpoints), "owner", 1, clock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	if report == nil {
		report = func(Event) {}
	}
	return New("desk", PlainServers(s), clock, func() float64 { return 0.5 }, report), s
}

func query(id string, wait time.Duration) Query {
	now := time.Now()
	return Query{
		Service: "desk", RequestID: id, Repeatable: true, Deadline: now.Add(1500 * time.Millisecond),
		Demand: overload.Demand{Class: "c", Organisation: "o", Worth: 1, LateWorth: 0.5, Due: now.Add(150 * time.Millisecond), RelativeSize: 1, Wait: wait},
	}
}

// TestSlotsAreBounded guards against more requests at the servers than they have slots, and
// against requests that are refused though all can be served in time.
func TestSlotsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newOwner(3, 6, nil)
		inUse, most, done := 0, 0, make(chan struct{})
		inUseLock := make(chan struct{}, 1)
		for i := range 54 {
			go func() {
				defer func() { done <- struct{}{} }()
				server, err := o.Acquire(t.Context(), query(fmt.Sprint(i), time.Second))
				if err != nil || server == "" {
					t.Errorf("request %d got %q, %v", i, server, err)
					return
				}
				inUseLock <- struct{}{}
				inUse++
				most = max(most, inUse)
				<-inUseLock
				time.Sleep(30 * time.Millisecond)
				inUseLock <- struct{}{}
				inUse--
				<-inUseLock
				o.Release(fmt.Sprint(i), balance.Succeeded, 30*time.Millisecond)
			}()
		}
		for range 54 {
			<-done
		}
		if most != 18 {
			t.Errorf("%d requests had one of 18 slots at once", most)
		}
	})
}

// TestTurnIsKeptBetweenCalls guards against a request that loses its turn, or a slot that was
// granted between two calls, because each call waits only for a short time.
func TestTurnIsKeptBetweenCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newOwner(1, 1, nil)
		if server, err := o.Acquire(t.Context(), query("first", 0)); server != "a" || err != nil {
			t.Fatalf("first got %q, %v", server, err)
		}
		q := query("second", 40*time.Millisecond)
		if server, err := o.Acquire(t.Context(), q); server != "" || err != nil {
			t.Fatalf("second got %q, %v while the slot is in use", server, err)
		}
		o.Release("first", balance.Succeeded, 40*time.Millisecond)
		time.Sleep(10 * time.Millisecond)
		if server, err := o.Acquire(t.Context(), q); server != "a" || err != nil {
			t.Errorf("second got %q, %v after the slot was free", server, err)
		}
	})
}

// TestLostCallers guards against slots that stay in use, and turns that are kept, for requests
// whose instance ended without a word.
func TestLostCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		steps := make(map[Step]int)
		o, _ := newOwner(1, 1, func(e Event) { steps[e.Step]++ })
		_, _ = o.Acquire(t.Context(), query("holds", 0))
		_, _ = o.Acquire(t.Context(), query("waits", time.Millisecond))
		time.Sleep(2 * detachedTime)
		if waiting, held := o.Counts(); waiting != 0 || held != 1 {
			t.Errorf("%d requests wait and %d slots are in use", waiting, held)
		}
		time.Sleep(2 * time.Second)
		if _, held := o.Counts(); held != 0 || steps[Expired] != 1 || steps[GaveUp] != 1 {
			t.Errorf("%d slots are in use after their deadline; steps: %v", held, steps)
		}
	})
}

// TestFullServers guards against a new owner that goes on sending to servers whose slots
// others use, since it does not know of them.
func TestFullServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newOwner(1, 6, nil)
		full, start := 0, time.Now()
		for i := 0; time.Since(start) < 3*time.Second; i++ {
			id := fmt.Sprint(i)
			server, err := o.Acquire(t.Context(), query(id, time.Second))
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			if server == "" {
				continue
			}
			full++
			o.Release(id, balance.Full, 0)
		}
		// The pauses double from 20 ms to 1 s.
		if full > 10 {
			t.Errorf("a server that answers that it is full got %d requests in 3 s", full)
		}
	})
}

// TestServersGone guards against requests that wait for servers that take none.
func TestServersGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, servers := newOwner(1, 1, nil)
		servers.SetDeclaration(declare.NewStage("desk", 100, nil))
		o.Update()
		_, err := o.Acquire(t.Context(), query("r", time.Second))
		if e, ok := errors.AsType[*fault.Error](err); !ok || e.Kind() != fault.EndpointUnavailable || e.Ran() != fault.RanNo {
			t.Errorf("the request got %v", err)
		}
	})
}

// TestExcludedServers guards against a retry at the server that could not be reached while
// another one may serve the request.
func TestExcludedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newOwner(2, 1, nil)
		for i := range 5 {
			q := query(fmt.Sprint(i), time.Second)
			q.Exclude = []string{"a"}
			if server, err := o.Acquire(t.Context(), q); server != "b" || err != nil {
				t.Errorf("the request got %q, %v", server, err)
			}
			o.Release(q.RequestID, balance.Succeeded, time.Millisecond)
		}
		q := query("last", time.Second)
		q.Exclude = []string{"a", "b"}
		if server, err := o.Acquire(t.Context(), q); server == "" || err != nil {
			t.Errorf("a request that excludes all servers got %q, %v", server, err)
		}
	})
}

// TestCancelledCall guards against a turn that is kept for a caller that has gone.
func TestCancelledCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, _ := newOwner(1, 1, nil)
		_, _ = o.Acquire(t.Context(), query("holds", 0))
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		if _, err := o.Acquire(ctx, query("waits", time.Second)); err == nil {
			t.Error("a cancelled call got no error")
		}
		if waiting, _ := o.Counts(); waiting != 0 {
			t.Errorf("%d requests wait", waiting)
		}
	})
}

// TestTwoOwners guards against requests that are lost, or servers that get much more than they
// can run, while two instances believe that they are the owner.
func TestTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const numServers, slots, tries = 3, 6, 4
		owners := make([]*Owner, 2)
		for i := range owners {
			owners[i], _ = newOwner(numServers, slots, nil)
		}
		var mu sync.Mutex
		running, sends, full, answered := make(map[string]int), 0, 0, 0
		begin := func(server string) bool {
			mu.Lock()
			defer mu.Unlock()
			sends++
			if running[server] >= slots {
				full++
				return false
			}
			running[server]++
			return true
		}
		end := func(server string) {
			mu.Lock()
			defer mu.Unlock()
			running[server]--
			answered++
		}
		serve := func(o *Owner, id string) {
			deadline := time.Now().Add(1500 * time.Millisecond)
			for try := range tries {
				q := query(fmt.Sprint(id, "/", try), time.Until(deadline))
				q.Deadline = deadline
				server, err := o.Acquire(t.Context(), q)
				if err != nil || server == "" {
					return
				}
				if !begin(server) {
					o.Release(q.RequestID, balance.Full, 0)
					continue
				}
				time.Sleep(30 * time.Millisecond)
				end(server)
				o.Release(q.RequestID, balance.Succeeded, 30*time.Millisecond)
				return
			}
		}
		rng := rand.New(rand.NewPCG(7, 7))
		var wg sync.WaitGroup
		const requests = 2000
		for i := range requests {
			// 0.8 of what the servers can do.
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond) / (0.8 * numServers * slots)))
			wg.Go(func() { serve(owners[i%2], fmt.Sprint(i)) })
		}
		wg.Wait()
		t.Logf("%d requests, %d sends, %d to full servers, %d answered", requests, sends, full, answered)
		if answered < 0.95*requests {
			t.Errorf("%d of %d requests were answered", answered, requests)
		}
		if full > requests/5 {
			t.Errorf("%d of %d sends were to full servers", full, sends)
		}
	})
}
