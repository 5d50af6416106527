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

const declarations = `[stage s]
[endpoint e]
address = http://127.0.0.1:1
kind = pool
stages = s
failureDomain = d
slots = 1
`

// newStage returns a stage with one endpoint with one slot, and a request for it.
// In tests that depend on time it must be called in a synctest bubble.
func newStage(t *testing.T) (*stage.Stage, stage.CallRequest) {
	t.Helper()
	text := declarations + "[organisation roofs]\nkeyHashes = " + declare.HashKey("k") + "\n"
	set, problems := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(text)}})
	if set == nil {
		t.Fatal(problems)
	}
	decl, _ := set.Stage("s")
	org, _ := set.Organisation("roofs")
	clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	s := stage.New(decl, "i", 1, clock, rand.New(rand.NewPCG(1, 1)), stage.Policy{})
	return s, stage.CallRequest{Organisation: org, Cost: 1, Deadline: time.Now().Add(time.Minute), Arrived: time.Now()}
}

func TestAcquireEndsOnCancelOrGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, req := newStage(t)
		first, err := s.Acquire(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancelled, granted := make(chan error), make(chan error)
		go func() {
			_, err := s.Acquire(ctx, req)
			cancelled <- err
		}()
		go func() {
			g, err := s.Acquire(context.Background(), req)
			if err == nil && g.Waited != time.Second {
				t.Errorf("waited %v, want 1s", g.Waited)
			}
			granted <- err
		}()
		synctest.Wait()
		if n := s.Status(time.Now()).Waiting; n != 2 {
			t.Errorf("%d requests wait, want 2", n)
		}
		cancel()
		if e := fault.From(<-cancelled); e.Kind() != fault.Cancelled || e.Ran() != fault.RanNo || e.Stage() != "s" {
			t.Errorf("Acquire() of the cancelled caller = %v, ran %v", e, e.Ran())
		}
		time.Sleep(time.Second)
		s.Release(first, balance.Succeeded)
		if err := <-granted; err != nil {
			t.Error(err)
		}
		if n := s.Status(time.Now()).Waiting; n != 0 {
			t.Errorf("%d requests wait, want none", n)
		}
	})
}

// If every call has failed, new requests are refused immediately, until a probe
// is due: then one of them is admitted.
func TestFailedStageRefusesUntilAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, req := newStage(t)
		for range 3 {
			g, err := s.Acquire(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			s.Release(g, balance.Failed)
		}
		_, _, _, err := s.Forecast(time.Now(), req.Organisation, 1, 0)
		if e := fault.From(err); e == nil || e.Kind() != fault.EndpointUnavailable || e.Ran() != fault.RanNo {
			t.Errorf("Forecast() of a failed stage = %v, want kind EndpointUnavailable and not run", err)
		}
		time.Sleep(time.Second)
		if _, _, _, err := s.Forecast(time.Now(), req.Organisation, 1, 0); err != nil {
			t.Errorf("Forecast() when a probe is due = %v", err)
		}
		req.Arrived = time.Now()
		probe, err := s.Acquire(context.Background(), req)
		if err != nil || probe.Reason != balance.Probe {
			t.Errorf("Acquire() when a probe is due = %v, %v", probe.Reason, err)
		}
	})
}

// A request that waits while the only endpoint is ejected is granted the probe
// when it is due, although no other call happens.
func TestWaitingRequestsWakeForProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, req := newStage(t)
		for range 3 {
			g, _ := s.Acquire(context.Background(), req)
			s.Release(g, balance.Failed)
		}
		req.Arrived = time.Now()
		g, err := s.Acquire(context.Background(), req)
		if err != nil || g.Waited == 0 || g.Waited > time.Second {
			t.Errorf("Acquire() with an ejected endpoint waited %v, error %v", g.Waited, err)
		}
	})
}

// Requests that wait are refused at once when the only endpoint wants no calls until
// after their deadlines. The others wait for it.
func TestWaitingRequestsAreRefusedWhenNoEndpointWantsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, req := newStage(t)
		g, err := s.Acquire(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		urgent := req
		urgent.Deadline = time.Now().Add(2 * time.Second)
		refused, granted := make(chan time.Duration, 1), make(chan time.Duration, 1)
		begin := time.Now()
		go func() {
			if _, err := s.Acquire(context.Background(), urgent); fault.From(err).Kind() != fault.EndpointUnavailable || fault.From(err).Ran() != fault.RanNo {
				t.Errorf("the urgent request ends with %v, want EndpointUnavailable, not run", err)
			}
			refused <- time.Since(begin)
		}()
		go func() {
			if _, err := s.Acquire(context.Background(), req); err != nil {
				t.Error(err)
			}
			granted <- time.Since(begin)
		}()
		synctest.Wait()
		s.SetExcluded(map[string]time.Time{"e": begin.Add(5 * time.Second)})
		s.Release(g, balance.Full)
		if waited := <-refused; waited > time.Millisecond {
			t.Errorf("refused after %v, want at once", waited)
		}
		if waited := <-granted; waited < 5*time.Second || waited > 5100*time.Millisecond {
			t.Errorf("granted after %v, want 5 s", waited)
		}
	})
}

// A pause that ends early is not overlooked because a later one was scheduled first.
func TestEarlierEndOfAPauseIsScheduled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, req := newStage(t)
		begin := time.Now()
		s.SetExcluded(map[string]time.Time{"e": begin.Add(20 * time.Second)})
		granted := make(chan time.Duration, 1)
		go func() {
			if _, err := s.Acquire(context.Background(), req); err != nil {
				t.Error(err)
			}
			granted <- time.Since(begin)
		}()
		synctest.Wait()
		// The endpoint has started again.
		s.SetExcluded(nil)
		if waited := <-granted; waited > time.Second {
			t.Errorf("granted after %v, want at once", waited)
		}
	})
}

// Guards against a data race between a request that ends its wait with an error and a
// changed declaration, which a server's answer may now cause at any time. It fails with
// the race detector.
func TestRefusalDuringAChangeOfTheDeclaration(t *testing.T) {
	set, _ := declare.Build([]declare.Fragment{{Name: "t.ini", Data: []byte(declarations)}})
	decl, _ := set.Stage("s")
	s, req := newStage(t)
	if _, err := s.Acquire(t.Context(), req); err != nil {
		t.Fatal(err)
	}
	const rounds = 200
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for range rounds {
			s.SetDeclaration(decl)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range rounds {
		if _, err := s.Acquire(ctx, req); fault.From(err).Stage() != "s" {
			t.Errorf("a request ends with %v of stage %q, want one of s", err, fault.From(err).Stage())
		}
	}
	<-changed
}
