package gather_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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
			RunBatch: func(_ context.Context, b *gather.Batch, _ func(*gather.Item) time.Duration, _ func([]gather.ItemOutcome) bool) (gather.CallStatus, []gather.ItemOutcome, error) {
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
