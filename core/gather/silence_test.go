package gather_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/gather"
	"chervilpath/core/route"
	"chervilpath/core/stage"
)

// dialTimeout is how long a server that takes no connections is waited for.
const dialTimeout = 250 * time.Millisecond

// stageService stands for the servers of a stage service, which are all silent until a
// time: they take calls, and make and answer nothing. A call that has been given up by then
// makes its results nevertheless, which occupy room that nobody frees.
type stageService struct {
	silentFrom, silentUntil time.Time
	// unreachable is set if they take no connections either while they are silent.
	unreachable bool
	cfg         route.PieceConfig

	mu             sync.Mutex
	calls, results int
	// heldBytes is what results occupy at each server.
	heldBytes map[string]int64
	owner     map[string]string
}

func (s *stageService) runBatch(ctx context.Context, b *gather.Batch, _ func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	now := time.Now()
	silent := !now.Before(s.silentFrom) && now.Before(s.silentUntil)
	if silent && s.unreachable {
		time.Sleep(dialTimeout)
		return gather.CallFailed, nil, errors.New("no connection")
	}
	answered := make(chan []gather.ItemOutcome, 1)
	go func() {
		if silent {
			time.Sleep(s.silentUntil.Sub(now))
		}
		time.Sleep(s.cfg.CallTime + s.cfg.ItemTime*time.Duration(len(b.Items)))
		answered <- s.makeResults(b)
	}()
	select {
	case outcomes := <-answered:
		return gather.CallAnswered, outcomes, nil
	case <-ctx.Done():
		return gather.CallFailed, nil, errors.New("no answer")
	}
}

func (s *stageService) makeResults(b *gather.Batch) []gather.ItemOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]gather.ItemOutcome, len(b.Items))
	for i, it := range b.Items {
		if s.heldBytes[b.Server.ID]+it.ResultBytes > s.cfg.ResultCapacity {
			out[i].Status = gather.ItemNoCapacity
			continue
		}
		s.results++
		h := fmt.Sprintf("%s/%d", b.Server.Address, s.results)
		s.heldBytes[b.Server.ID] += it.ResultBytes
		s.owner[h] = b.Server.ID
		out[i].Handle = h
		time.AfterFunc(s.cfg.ResultTTL, func() { s.release(h, it.ResultBytes) })
	}
	return out
}

func (s *stageService) release(handle string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.owner[handle]; ok {
		s.heldBytes[id] -= bytes
		delete(s.owner, handle)
	}
}

// Guards against requests that fail because the servers of a stage are silent for a
// while, and against room that stays taken afterwards: the calls are given up and their
// pieces made again, by another server or the same.
func TestSilentStageServersDelayRequestsOnly(t *testing.T) {
	const (
		bytes    = 100
		requests = 60
		interval = 100 * time.Millisecond
		silentAt = time.Second
	)
	cfg := route.PieceConfig{Slots: 1, MaxQueue: 2, MaxBatch: 8, CallTime: 20 * time.Millisecond, ItemTime: time.Millisecond, ResultCapacity: 10 * bytes, ResultTTL: 4 * time.Second}
	pauses := []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, 1800 * time.Millisecond}
	pauses = append(pauses, pauses...)
	for _, zones := range [][]string{{"a"}, {"a", "b", "c"}} {
		for n, pause := range pauses {
			unreachable := n >= len(pauses)/2
			t.Run(fmt.Sprintf("%d servers, %v, unreachable %v", len(zones), pause, unreachable), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					began := time.Now()
					s := &stageService{silentFrom: began.Add(silentAt), silentUntil: began.Add(silentAt + pause), unreachable: unreachable, cfg: cfg, heldBytes: make(map[string]int64), owner: make(map[string]string)}
					d := gather.NewDispatcher("photos", cfg, stage.Clock{
						Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
					}, gather.Deps{
						RunBatch: s.runBatch, BatchEnded: func(string, *gather.Batch, time.Duration, error) {},
						Free: func(_ context.Context, handles []string) error {
							for _, h := range handles {
								s.release(h, bytes)
							}
							return nil
						},
					})
					d.SetServers(servers(zones...), cfg)
					var wg sync.WaitGroup
					var worst time.Duration
					for i := range requests {
						wg.Go(func() {
							arrived := time.Now()
							handles, err := d.Process(t.Context(), []*gather.Item{{
								RequestID: fmt.Sprint("r-", i), PieceKey: "k", ResultBytes: bytes, Worth: 1, Due: arrived.Add(2 * time.Second), Deadline: arrived.Add(6 * time.Second),
							}})
							took := time.Since(arrived)
							if err != nil {
								t.Errorf("the request at %v failed after %v: %v", arrived.Sub(began), took, err)
							}
							if arrived.After(s.silentUntil.Add(cfg.ResultTTL)) && took > 100*time.Millisecond {
								t.Errorf("the request at %v took %v", arrived.Sub(began), took)
							}
							s.mu.Lock()
							worst = max(worst, took)
							s.mu.Unlock()
							d.Free(handles)
						})
						time.Sleep(interval)
					}
					wg.Wait()
					time.Sleep(2 * cfg.ResultTTL)
					s.mu.Lock()
					for id, n := range s.heldBytes {
						if n != 0 {
							t.Errorf("%d bytes stay taken at %s", n, id)
						}
					}
					s.mu.Unlock()
					// The queue must know that the room is free again: a stage that needs
					// nearly all of it is made at once.
					arrived := time.Now()
					items := make([]*gather.Item, 9*len(zones))
					for i := range items {
						items[i] = &gather.Item{RequestID: "last", Piece: i, PieceKey: "k", ResultBytes: bytes, Worth: 1, Due: arrived.Add(2 * time.Second), Deadline: arrived.Add(3 * time.Second)}
					}
					if _, err := d.Process(t.Context(), items); err != nil {
						t.Errorf("after the silence: %v", err)
					}
					t.Logf("%d calls, %d results, slowest request %v", s.calls, s.results, worst)
				})
			})
		}
	}
}
