package gather_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/stage"
)

// A second copy of an answer, late on a connection in use again, is taken by the
// transport for the answer to the next call. Its results must not be given to another
// request, also if they have been freed meanwhile.
func TestCopyOfAnAnswerIsNotGivenToAnotherRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var previous []gather.ItemOutcome
		calls, copies := 0, 0
		d := gather.NewDispatcher("photos", cfg, stage.Clock{
			Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		}, gather.Deps{
			RunBatch: func(_ context.Context, b *gather.Batch, _ func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
				time.Sleep(200 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				calls++
				if calls%2 == 0 {
					return gather.CallAnswered, previous, nil
				}
				previous = nil
				for _, it := range b.Items {
					previous = append(previous, gather.ItemOutcome{Handle: fmt.Sprintf("%s/%s-%d", b.Server.Address, it.RequestID, calls)})
				}
				return gather.CallAnswered, previous, nil
			},
			Free: func(context.Context, []string) error { return nil },
			BatchEnded: func(_ string, _ *gather.Batch, _ time.Duration, err error) {
				if err != nil {
					mu.Lock()
					copies++
					mu.Unlock()
				}
			},
		})
		d.SetServers(servers("a"), cfg)
		var seen []string
		for i := range 4 {
			it := &gather.Item{RequestID: fmt.Sprint("r-", i), ResultBytes: 10, Worth: 1, Due: time.Now().Add(time.Second), Deadline: time.Now().Add(5 * time.Second)}
			handles, err := d.Process(t.Context(), []*gather.Item{it})
			if err != nil {
				t.Fatal(err)
			}
			if slices.Contains(seen, handles[0]) {
				t.Errorf("request %d got result %s of an earlier one", i, handles[0])
			}
			seen = append(seen, handles...)
			d.Free(handles)
		}
		if copies == 0 {
			t.Error("no copy was recognised")
		}
		synctest.Wait()
	})
}

// Guards against pieces that are sent to a cold server that may not get them, that use up an
// attempt there, or that wait although another server is free.
func TestBatchesThatAreNotAdmittedGoElsewhere(t *testing.T) {
	for name, tt := range map[string]struct {
		cold int
		// released is when the cold servers may get a batch.
		released time.Duration
		served   bool
	}{
		"another server":       {1, time.Hour, true},
		"permission in time":   {2, 1500 * time.Millisecond, true},
		"no permission at all": {2, time.Hour, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			start, asked, sent := time.Now(), 0, make(map[string]int)
			d := gather.NewDispatcher("photos", cfg, stage.Clock{
				Now: time.Now, AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
			}, gather.Deps{
				RunBatch: func(_ context.Context, b *gather.Batch, _ func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
					mu.Lock()
					defer mu.Unlock()
					sent[b.Server.ID]++
					return gather.CallAnswered, []gather.ItemOutcome{{Handle: fmt.Sprint(b.Server.Address, "/", b.Items[0].RequestID)}}, nil
				},
				Free: func(context.Context, []string) error { return nil }, BatchEnded: func(string, *gather.Batch, time.Duration, error) {},
				Admit: func(context.Context, string, *gather.Batch) (bool, time.Duration) {
					mu.Lock()
					defer mu.Unlock()
					asked++
					return time.Since(start) >= tt.released, 200 * time.Millisecond
				},
			})
			list := []fleet.Server{servers("a")[0], servers("a", "a")[1]}
			for i := range tt.cold {
				list[i].ColdUntil = start.Add(time.Hour)
			}
			d.SetServers(list, cfg)
			_, err := d.Process(t.Context(), []*gather.Item{{RequestID: "r", ResultBytes: 10, Worth: 1, Due: start.Add(time.Second), Deadline: start.Add(5 * time.Second)}})
			if (err == nil) != tt.served || asked == 0 && tt.cold > 1 || asked > 60 {
				t.Errorf("%s: error %v, %d questions", name, err, asked)
			}
			if n := sent["s-0"] + sent["s-1"]; n > 1 || tt.released == time.Hour && sent["s-0"] > 0 {
				t.Errorf("%s: sent to %v", name, sent)
			}
			synctest.Wait()
		})
	}
}
