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
