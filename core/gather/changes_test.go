package gather_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// Failure: the capacity of a server that started again is counted wrongly, since the end
// of a call to the one before is counted for it.
func TestEndOfACallToAReplacedServerChangesNoOther(t *testing.T) {
	for _, status := range []gather.CallStatus{gather.CallAnswered, gather.CallFailed} {
		small := cfg
		small.ResultCapacity, small.MaxBatch = 100, 1
		q := gather.New(small)
		q.SetServers(servers("a"), small)
		large := item("old", time.Minute)
		large.ResultBytes = 60
		add(t, q, large)
		old, _ := q.Next(start)
		restarted := servers("a")
		restarted[0].Born = 2
		q.SetServers(restarted, small)
		q.Cancel([]*gather.Item{large})
		_, orphaned := q.Complete(start, old, status, allDone(old))
		q.ReleaseResults(orphaned)
		now := start.Add(10 * time.Millisecond)
		for i := range 2 {
			it := item(fmt.Sprint("new-", i), time.Minute)
			it.ResultBytes = 60
			add(t, q, it)
			b, _ := q.Next(now)
			if i == 0 && b == nil {
				t.Fatalf("call status %v: the new server gets no call", status)
			}
			if i == 1 && b != nil {
				t.Errorf("call status %v: the new server is to hold %d of 100 bytes", status, 2*60)
			}
			if b != nil {
				q.Complete(now, b, gather.CallAnswered, allDone(b))
			}
		}
	}
}

// Failure: pieces that wait or are processed are forgotten as servers, their addresses
// and the settings of the service change, or later ones wait for ever.
func TestPiecesEndAcrossChanges(t *testing.T) {
	const timeout = 3 * time.Second
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			rng := rand.New(rand.NewPCG(seed, 9))
			random := func(n int) int {
				mu.Lock()
				defer mu.Unlock()
				return rng.IntN(n)
			}
			handles := 0
			// Until the servers are sound, some of their calls fail.
			var sound atomic.Bool
			deps := gather.Deps{
				RunBatch: func(ctx context.Context, b *gather.Batch, _ func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
					time.Sleep(time.Duration(10+random(40)) * time.Millisecond)
					kind := random(12)
					switch {
					case sound.Load():
					case kind == 0:
						return gather.CallRefused, nil, nil
					case kind == 1:
						return gather.CallFailed, nil, context.DeadlineExceeded
					case kind == 2:
						<-ctx.Done()
						return gather.CallFailed, nil, ctx.Err()
					}
					out := make([]gather.ItemOutcome, len(b.Items))
					mu.Lock()
					defer mu.Unlock()
					for i := range out {
						handles++
						out[i] = gather.ItemOutcome{Handle: fmt.Sprint("h-", handles)}
						if rng.IntN(20) == 0 && !sound.Load() {
							out[i] = gather.ItemOutcome{Status: gather.ItemNoCapacity}
						}
					}
					return gather.CallAnswered, out, nil
				},
				Free:       func(context.Context, []string) error { time.Sleep(time.Millisecond); return nil },
				BatchEnded: func(string, *gather.Batch, time.Duration, error) {},
			}
			settings := route.PieceConfig{Slots: 1, MaxBatch: 4, CallTime: 20 * time.Millisecond, ItemTime: time.Millisecond, ResultCapacity: 400, ResultTTL: 4 * time.Second}
			clock := stage.Clock{Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop }}
			d := gather.NewDispatcher("s", settings, clock, deps)
			d.SetServers(servers("a", "b"), settings)
			var wg sync.WaitGroup
			process := func(id string, pieces int) error {
				begun := time.Now()
				const most = timeout + 100*time.Millisecond
				ctx, cancel := context.WithTimeout(t.Context(), most)
				defer cancel()
				items := make([]*gather.Item, pieces)
				for i := range items {
					items[i] = &gather.Item{RequestID: id, Piece: i, PieceKey: "k", ResultBytes: 20, Worth: 1, Zone: "a", CrossZoneBytes: 200_000, Due: begun.Add(timeout / 2), Deadline: begun.Add(timeout)}
				}
				got, err := d.Process(ctx, items)
				if took := time.Since(begun); took > most {
					t.Errorf("seed %d: pieces took %v", seed, took)
				}
				d.Free(got)
				return err
			}
			for i := range 200 {
				if random(6) == 0 {
					changed := settings
					changed.Slots, changed.MaxBatch, changed.CallTime = 1+random(2), 1+random(6), time.Duration(5+random(40))*time.Millisecond
					changed.ResultCapacity, changed.ResultTTL = int64(100+random(400)), time.Duration(500+random(4000))*time.Millisecond
					var list []fleet.Server
					for i := range 4 {
						if random(3) > 0 {
							list = append(list, fleet.Server{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("10.0.0.", i, ":", 80+random(2)), Zone: []string{"a", "b"}[i%2], Born: int64(random(2))})
						}
					}
					d.SetServers(list, changed)
				}
				wg.Go(func() { _ = process(fmt.Sprint("r-", i), 1+random(5)) })
				time.Sleep(time.Duration(random(30)) * time.Millisecond)
			}
			wg.Wait()
			time.Sleep(5 * time.Second)
			d.SetServers(servers("a", "b"), settings)
			for i := range 30 {
				// Some of these fail, with their servers.
				_ = process(fmt.Sprint("late-", i), 4)
			}
			time.Sleep(5 * time.Second)
			sound.Store(true)
			served := 0
			for i := range 10 {
				if process(fmt.Sprint("last-", i), 4) == nil {
					served++
				}
			}
			time.Sleep(10 * time.Second)
			if served < 10 {
				t.Errorf("seed %d: %d of 10 requests after all changes were served", seed, served)
			}
		})
	}
}
