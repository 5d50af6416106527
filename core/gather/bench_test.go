package gather_test

import (
	"fmt"
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/route"
)

// BenchmarkBatch measures one batch of 50 items out of a burst that waits for 42
// servers: adding as many items, choosing the batch and completing it.
func BenchmarkBatch(b *testing.B) {
	burst := route.PieceConfig{
		Slots: 1, MaxQueue: 2, MaxBatch: 50, CallTime: 200 * time.Millisecond, ItemTime: 3 * time.Millisecond,
		ResultCapacity: 1 << 40, ResultTTL: 4 * time.Second,
	}
	var list []fleet.Server
	for i := range 42 {
		list = append(list, fleet.Server{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: fmt.Sprint("z-", i%5)})
	}
	for _, n := range []int{100, 1_000, 10_000} {
		b.Run(fmt.Sprint("waiting=", n), func(b *testing.B) {
			q := gather.New(burst)
			q.SetServers(list, burst)
			now := start
			sequence := 0
			addRequest := func(pieces int) {
				sequence++
				items := make([]*gather.Item, pieces)
				for i := range items {
					items[i] = &gather.Item{
						RequestID: fmt.Sprint("r-", sequence), Piece: i, ResultBytes: 10, Class: "draft/0", Worth: 1 + float64(sequence%7),
						Due: now.Add(time.Duration(1000+sequence*7919%1000) * time.Millisecond), Deadline: now.Add(time.Hour),
						Done: func(string, error) {},
					}
				}
				if err := q.Add(now, items); err != nil {
					b.Fatal(err)
				}
			}
			for range n / 5 {
				addRequest(5)
			}
			for b.Loop() {
				for range 10 {
					addRequest(5)
				}
				batch, _ := q.Next(now)
				now = now.Add(9 * time.Millisecond)
				outcomes := make([]gather.ItemOutcome, len(batch.Items))
				for i, it := range batch.Items {
					outcomes[i].Handle = fmt.Sprintf("%s/%s-%d", batch.Server.Address, it.RequestID, it.Piece)
				}
				q.Complete(now, batch, gather.CallAnswered, outcomes)
			}
		})
	}
}

// BenchmarkChoice measures the choice of a server and a batch among 650 servers, of which
// half have a free slot, and the end of its call. In the second case all servers report their
// load with each answer.
func BenchmarkChoice(b *testing.B) {
	cfg := route.PieceConfig{
		Slots: 2, MaxQueue: 2, MaxBatch: 5, CallTime: 200 * time.Millisecond, ItemTime: 3 * time.Millisecond,
		ResultCapacity: 1 << 40, ResultTTL: 4 * time.Second,
	}
	for _, reports := range []bool{false, true} {
		b.Run(fmt.Sprint("reports=", reports), func(b *testing.B) {
			q := gather.New(cfg)
			var list []fleet.Server
			for i := range 650 {
				list = append(list, fleet.Server{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: fmt.Sprint("z-", i%5)})
			}
			q.SetServers(list, cfg)
			report := func(now time.Time, s fleet.Server, i int) {
				if reports {
					q.ReportLoad(now, s.Incarnation(), fleet.Load{Running: 1, Slots: 2, Pace: 1 + 1.5*float64(i%7/6)})
				}
			}
			for i, s := range list {
				report(start, s, i)
			}
			var batches []*gather.Batch
			for i := 0; b.Loop(); i++ {
				now := start.Add(time.Duration(i) * 100 * time.Microsecond)
				items := make([]*gather.Item, 5)
				for k := range items {
					items[k] = &gather.Item{RequestID: fmt.Sprint("r-", i), Piece: k, ResultBytes: 10, Class: "c", Worth: 1, Due: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
				}
				if err := q.Add(now, items); err != nil {
					b.Fatal(err)
				}
				if batch, _ := q.Next(now); batch != nil {
					batches = append(batches, batch)
				}
				if len(batches) > 650 {
					done := batches[0]
					batches = batches[1:]
					report(now, done.Server, i)
					completed, _ := q.Complete(now, done, gather.CallAnswered, allDone(done))
					var handles []string
					for _, c := range completed {
						handles = append(handles, c.Handle)
					}
					q.ReleaseResults(handles)
				}
			}
		})
	}
}
