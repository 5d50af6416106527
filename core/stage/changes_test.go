package stage_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
	"chervilpath/core/stage"
)

// newPlainStage returns an empty stage in the time of a bubble.
func newPlainStage(endpoints ...*declare.Endpoint) *stage.Stage {
	clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
	return stage.New(declare.NewStage("s", 64, endpoints), "self", 1, clock, rand.New(rand.NewPCG(1, 2)), stage.Policy{})
}

// changeAtRandom applies a random list of servers, as a change of the list or a new
// version of the configuration does.
func changeAtRandom(s *stage.Stage, rng *rand.Rand) {
	var endpoints []*declare.Endpoint
	excluded := make(map[string]time.Time)
	for i := range 4 {
		if rng.IntN(3) == 0 {
			continue
		}
		name := fmt.Sprint("e-", i)
		endpoints = append(endpoints, declare.NewEndpoint(name, fmt.Sprint("10.0.0.", i, ":", 80+rng.IntN(2)), "a", 1+rng.IntN(2)))
		if rng.IntN(6) == 0 {
			excluded[name] = time.Now().Add(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
	}
	s.SetDeclaration(declare.NewStage("s", 64, endpoints))
	s.UpdateMembership(nil, 1+rng.IntN(3))
	s.SetExcluded(excluded)
}

// Failure: a request that waits for a server, or has one, is forgotten as the servers
// change, or its place is never free again.
func TestRequestsEndAcrossChangesOfTheServers(t *testing.T) {
	const (
		timeout  = 2 * time.Second
		callTime = 40 * time.Millisecond
	)
	outcomes := []balance.Outcome{balance.Succeeded, balance.Succeeded, balance.Succeeded, balance.Failed, balance.Full, balance.Abandoned, balance.Unreachable}
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := newPlainStage(declare.NewEndpoint("e-0", "10.0.0.0:80", "a", 2))
			org := declare.NewOrganisation("o", 1)
			var wg sync.WaitGroup
			for range 300 {
				if rng.IntN(8) == 0 {
					changeAtRandom(s, rng)
				}
				outcome := outcomes[rng.IntN(len(outcomes))]
				noProbe := rng.IntN(2) == 0
				wg.Go(func() {
					begun := time.Now()
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					g, err := s.Acquire(ctx, stage.CallRequest{
						Organisation: org, Priority: declare.Normal, Cost: 1, Deadline: begun.Add(timeout), Need: callTime, Arrived: begun, Query: balance.Query{NoProbe: noProbe},
					})
					if took := time.Since(begun); took > timeout {
						t.Errorf("seed %d: waited for %v", seed, took)
					}
					if err != nil {
						return
					}
					time.Sleep(callTime)
					if outcome == balance.Succeeded {
						s.Finish(org, g, 1, 1, 1)
					} else {
						s.Release(g, outcome)
					}
				})
				time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
			}
			wg.Wait()
			if _, calls := s.Demand(); calls != 0 {
				t.Errorf("seed %d: %v calls wait or are in flight, want none", seed, calls)
			}
			// A request that waits for longer than any ejection or exclusion is served.
			begun := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			time.AfterFunc(time.Second, func() {
				s.SetDeclaration(declare.NewStage("s", 64, []*declare.Endpoint{declare.NewEndpoint("e-1", "10.0.0.1:80", "a", 1)}))
			})
			g, err := s.Acquire(ctx, stage.CallRequest{Organisation: org, Priority: declare.Normal, Cost: 1, Deadline: begun.Add(5 * time.Second), Arrived: begun})
			if err != nil {
				t.Errorf("seed %d: a request after all changes: %v", seed, err)
				return
			}
			s.Finish(org, g, 1, 1, 1)
		})
	}
}
