package gather_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fault"
	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/route"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var cfg = route.PieceConfig{
	Slots: 1, MaxQueue: 2, MaxBatch: 4, CallTime: 200 * time.Millisecond, ItemTime: 10 * time.Millisecond,
	ResultCapacity: 1000, ResultTTL: 4 * time.Second,
}

func servers(zones ...string) []fleet.Server {
	var out []fleet.Server
	for i, z := range zones {
		out = append(out, fleet.Server{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("10.0.0.", i, ":80"), Zone: z})
	}
	return out
}

func item(name string, due time.Duration) *gather.Item {
	return &gather.Item{
		RequestID: name, PieceKey: "k", ResultBytes: 10, Worth: 1, Due: start.Add(due), Deadline: start.Add(due + 5*time.Second),
		Done: func(string, error) {},
	}
}

func newQueue(t *testing.T, zones ...string) *gather.Queue {
	t.Helper()
	q := gather.New(cfg)
	q.SetServers(servers(zones...), cfg)
	return q
}

func add(t *testing.T, q *gather.Queue, items ...*gather.Item) {
	t.Helper()
	if err := q.Add(start, items); err != nil {
		t.Fatal(err)
	}
}

func allDone(b *gather.Batch) []gather.ItemOutcome {
	out := make([]gather.ItemOutcome, len(b.Items))
	for i, it := range b.Items {
		out[i] = gather.ItemOutcome{Handle: fmt.Sprintf("%s/%s-%d", b.Server.Address, it.RequestID, it.Piece)}
	}
	return out
}

func TestNextFillsBatchesWithinSlots(t *testing.T) {
	q := newQueue(t, "a")
	for i := range 6 {
		add(t, q, item(fmt.Sprint(i), 2*time.Second))
	}
	b, _ := q.Next(start)
	if b == nil || len(b.Items) != cfg.MaxBatch {
		t.Fatalf("first batch: %+v, want a full one", b)
	}
	if second, _ := q.Next(start); second != nil {
		t.Error("a second call started on a server without a free slot")
	}
	q.Complete(start.Add(240*time.Millisecond), b, gather.CallAnswered, allDone(b))
	if b, _ := q.Next(start.Add(240 * time.Millisecond)); b == nil || len(b.Items) != 2 {
		t.Errorf("second batch: %+v, want the 2 remaining items", b)
	}
}

func TestLeastWorthIsLateUnderOverload(t *testing.T) {
	q := newQueue(t, "a")
	busy := item("busy", 3*time.Second)
	add(t, q, busy)
	b, _ := q.Next(start)
	for i := range 8 {
		it := item(fmt.Sprint("low-", i), 460*time.Millisecond)
		it.Worth = 0.1
		add(t, q, it)
	}
	for i := range 4 {
		add(t, q, item(fmt.Sprint("high-", i), 470*time.Millisecond))
	}
	now := start.Add(210 * time.Millisecond)
	q.Complete(now, b, gather.CallAnswered, allDone(b))
	next, _ := q.Next(now)
	if next == nil {
		t.Fatal("no batch")
	}
	for _, it := range next.Items {
		if it.Worth != 1 {
			t.Errorf("%s is scheduled before items with more worth", it.RequestID)
		}
	}
}

func TestItemWaitsForItsZoneWhileTimeRemains(t *testing.T) {
	q := newQueue(t, "a", "b")
	first := item("first", 2*time.Second)
	first.Zone, first.CrossZoneBytes = "b", 1_000_000
	add(t, q, first)
	b, _ := q.Next(start)
	if b.Server.Zone != "b" {
		t.Fatalf("processed in zone %s, want b", b.Server.Zone)
	}
	relaxed, urgent := item("patient", 2*time.Second), item("urgent", 230*time.Millisecond)
	relaxed.Zone, relaxed.CrossZoneBytes = "b", 1_000_000
	urgent.Zone, urgent.CrossZoneBytes = "b", 1_000_000
	add(t, q, relaxed)
	if b, _ := q.Next(start); b != nil {
		t.Errorf("an item with enough time is processed in zone %s", b.Server.Zone)
	}
	add(t, q, urgent)
	if b, _ := q.Next(start); b == nil || b.Items[0] != urgent || b.Server.Zone != "a" {
		t.Errorf("the urgent item waits for its zone: %+v", b)
	}
}

// An item that misses its due time anyway loses nothing by waiting for its zone,
// as long as it finishes by its deadline.
func TestLateItemWaitsForItsZone(t *testing.T) {
	q := newQueue(t, "a", "b")
	first := item("first", 2*time.Second)
	first.Zone, first.CrossZoneBytes = "b", 1_000_000
	add(t, q, first)
	if b, _ := q.Next(start); b.Server.Zone != "b" {
		t.Fatalf("processed in zone %s, want b", b.Server.Zone)
	}
	late := item("late", 100*time.Millisecond)
	late.Zone, late.CrossZoneBytes = "b", 1_000_000
	add(t, q, late)
	if b, _ := q.Next(start); b != nil {
		t.Errorf("an item that misses its due time is processed in zone %s", b.Server.Zone)
	}
	soon := item("soon", 100*time.Millisecond)
	soon.Zone, soon.CrossZoneBytes = "b", 1_000_000
	soon.Deadline = start.Add(300 * time.Millisecond)
	add(t, q, soon)
	if b, _ := q.Next(start); b == nil || b.Items[0] != soon || b.Server.Zone != "a" {
		t.Errorf("an item that would miss its deadline waits for its zone: %+v", b)
	}
}

func TestResultCapacityIsReservedAndReleased(t *testing.T) {
	q := newQueue(t, "a")
	var handles []string
	for i := range 3 {
		it := item(fmt.Sprint(i), 2*time.Second)
		it.ResultBytes = 400
		add(t, q, it)
	}
	b, _ := q.Next(start)
	if len(b.Items) != 2 {
		t.Fatalf("%d items of 400 bytes with a capacity of 1000, want 2", len(b.Items))
	}
	done, _ := q.Complete(start, b, gather.CallAnswered, allDone(b))
	for _, c := range done {
		handles = append(handles, c.Handle)
	}
	if b, _ := q.Next(start); b != nil {
		t.Error("an item was assigned to a server without free capacity")
	}
	q.ReleaseResults(handles)
	if b, _ := q.Next(start); b == nil {
		t.Error("released capacity is not used")
	}
}

func TestAddRejectsItemsThatCannotMeetTheirDeadline(t *testing.T) {
	q := newQueue(t, "a")
	it := item("late", 0)
	it.Deadline = start.Add(100 * time.Millisecond)
	err := q.Add(start, []*gather.Item{it})
	if fault.From(err).Kind() != fault.Overloaded {
		t.Errorf("Add() = %v, want an error of kind overloaded", err)
	}
}

func TestRefusedCallsDoNotCountAsAttempts(t *testing.T) {
	q := newQueue(t, "a", "a")
	add(t, q, item("1", 3*time.Second))
	now := start
	for range 10 {
		b, _ := q.Next(now)
		if b == nil {
			now = now.Add(50 * time.Millisecond)
			continue
		}
		if done, _ := q.Complete(now, b, gather.CallRefused, nil); len(done) != 0 {
			t.Fatalf("an item that was only refused has completed: %v", done[0].Err)
		}
	}
}

// A server that other clients keep full is called less and less often. After it
// has accepted a call, it is called again immediately, and the backoff restarts.
func TestBackoffOfFullServerGrows(t *testing.T) {
	q := newQueue(t, "a")
	add(t, q, item("1", 10*time.Second))
	now := start
	calls := 0
	for ; now.Sub(start) < 2*time.Second; now = now.Add(10 * time.Millisecond) {
		if b, _ := q.Next(now); b != nil {
			calls++
			q.Complete(now, b, gather.CallRefused, nil)
		}
	}
	if calls > 15 {
		t.Errorf("a full server got %d calls in 2 s", calls)
	}
	now = now.Add(time.Second)
	b, _ := q.Next(now)
	if b == nil {
		t.Fatal("the server is not called any more")
	}
	q.Complete(now, b, gather.CallAnswered, allDone(b))
	add(t, q, item("2", 10*time.Second))
	if b, _ = q.Next(now); b == nil {
		t.Fatal("a server that accepted a call is not called again")
	}
	q.Complete(now, b, gather.CallRefused, nil)
	if b, _ = q.Next(now.Add(40 * time.Millisecond)); b == nil {
		t.Error("the first refusal after an accepted call does not restart the backoff")
	}
}

// Every item completes exactly once, unless it was cancelled, whatever the
// servers answer.
func TestEveryItemCompletesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := gather.New(cfg)
		q.SetServers(servers("a", "b"), cfg)
		completions := make(map[*gather.Item]int)
		cancelled := make(map[*gather.Item]bool)
		var calls []*gather.Batch
		now := start
		count := func(done []gather.Completion) {
			for _, c := range done {
				completions[c.Item]++
			}
		}
		var all []*gather.Item
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch op := rapid.IntRange(0, 3).Draw(t, "op"); {
			case op == 0:
				it := &gather.Item{
					RequestID: fmt.Sprint(len(all)), ResultBytes: 100, Worth: rapid.Float64Range(0.1, 4).Draw(t, "worth"),
					Due: now.Add(time.Second), Deadline: now.Add(3 * time.Second),
				}
				if q.Add(now, []*gather.Item{it}) == nil {
					all = append(all, it)
				}
			case op == 1 && len(all) > 0:
				it := all[rapid.IntRange(0, len(all)-1).Draw(t, "drop")]
				q.Cancel([]*gather.Item{it})
				cancelled[it] = true
			case op == 2 && len(calls) > 0:
				b := calls[0]
				calls = calls[1:]
				status := gather.CallStatus(rapid.IntRange(0, 2).Draw(t, "ending"))
				out := allDone(b)
				for i := range out {
					if status := gather.ItemStatus(rapid.IntRange(0, 4).Draw(t, "reason")); status != gather.ItemDone {
						out[i] = gather.ItemOutcome{Status: status}
					}
				}
				done, orphaned := q.Complete(now, b, status, out)
				count(done)
				q.ReleaseResults(orphaned)
			default:
				b, expired := q.Next(now)
				for _, it := range expired {
					completions[it]++
				}
				if b != nil {
					calls = append(calls, b)
				}
			}
		}
		for _, b := range calls {
			done, _ := q.Complete(now, b, gather.CallAnswered, allDone(b))
			count(done)
		}
		for {
			now = now.Add(500 * time.Millisecond)
			b, expired := q.Next(now)
			for _, it := range expired {
				completions[it]++
			}
			if b != nil {
				done, _ := q.Complete(now, b, gather.CallAnswered, allDone(b))
				count(done)
			}
			if now.Sub(start) > time.Minute {
				break
			}
		}
		for i, it := range all {
			if n := completions[it]; n > 1 || n == 0 && !cancelled[it] {
				t.Fatalf("item %d completed %d times", i, n)
			}
		}
	})
}

// A server that wants no calls gets none until then, and what waits for it alone is
// refused at once if it could not finish in time after that.
func TestServerThatWantsNoCallsGetsNone(t *testing.T) {
	q := newQueue(t, "a", "b")
	exclude := func(until ...time.Time) {
		list := servers("a", "b")
		for i := range until {
			list[i].ExcludedUntil = until[i]
		}
		q.SetServers(list, cfg)
	}
	until := start.Add(2 * time.Second)
	exclude(until)
	add(t, q, item("r1", time.Second), item("r2", time.Second))
	b, _ := q.Next(start)
	if b == nil || b.Server.ID != "s-1" {
		t.Fatalf("batch %+v, want one at the server that wants calls", b)
	}
	// Work that was assigned and failed goes back to the queue, not to the other one.
	q.Complete(start, b, gather.CallRefused, nil)
	exclude(until, until)
	urgent := item("r3", 100*time.Millisecond)
	urgent.Deadline = start.Add(time.Second)
	err := fault.From(q.Add(start, []*gather.Item{urgent}))
	if err.Kind() != fault.Overloaded || err.RetryAfter() != 2*time.Second {
		t.Errorf("an urgent item: %v, retry after %v, want Overloaded and 2 s", err, err.RetryAfter())
	}
	if b, expired := q.Next(start); b != nil || len(expired) != 0 {
		t.Errorf("batch %+v, expired %d, want neither while both servers want nothing", b, len(expired))
	}
	if at := q.NextWakeup(start); at.After(until) {
		t.Errorf("the next wakeup is in %v, want at the first return", at.Sub(start))
	}
	exclude(start.Add(time.Hour), start.Add(time.Hour))
	if b, expired := q.Next(start); b != nil || len(expired) != 2 {
		t.Errorf("batch %+v, expired %d, want both items refused", b, len(expired))
	}
	exclude()
	add(t, q, item("r4", time.Second))
	if b, _ := q.Next(start.Add(300 * time.Millisecond)); b == nil || len(b.Items) != 1 {
		t.Errorf("batch %+v, want one with the new item", b)
	}
}
