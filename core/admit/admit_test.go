package admit_test

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/admit"
	"chervilpath/core/declare"
	"chervilpath/core/fault"
)

var start = time.Unix(1_700_000_000, 0)

func newItem(org string, share float64, priority declare.Priority, cost float64) *admit.Item {
	return &admit.Item{
		Organisation: org, Share: share, Priority: priority, Cost: cost,
		Deadline: start.Add(time.Hour), Wake: func(error) {},
	}
}

func mustPush(t testing.TB, q *admit.Queue, it *admit.Item) {
	t.Helper()
	if err := q.Push(start, it); err != nil {
		t.Fatal(err)
	}
}

func TestSharesFollowWeights(t *testing.T) {
	q := admit.New(10000)
	for range 1000 {
		mustPush(t, q, newItem("small", 1, declare.Normal, 2))
		mustPush(t, q, newItem("large", 3, declare.Normal, 2))
	}
	got := map[string]int{}
	for range 400 {
		got[q.Pop(start).Organisation]++
	}
	if got["large"] < 298 || got["large"] > 302 {
		t.Errorf("organisation with share 3 got %d of 400 grants, want 298 to 302", got["large"])
	}
}

func TestHigherPriorityIsServedFirst(t *testing.T) {
	q := admit.New(100)
	mustPush(t, q, newItem("a", 1, declare.Low, 1))
	mustPush(t, q, newItem("b", 1, declare.Normal, 1))
	mustPush(t, q, newItem("c", 1, declare.High, 1))
	for _, want := range []string{"c", "b", "a"} {
		if got := q.Pop(start).Organisation; got != want {
			t.Errorf("Pop() = %q, want %q", got, want)
		}
	}
}

func TestPriorityCannotTakeOthersShare(t *testing.T) {
	q := admit.New(10000)
	for range 1000 {
		mustPush(t, q, newItem("greedy", 1, declare.High, 1))
	}
	for range 100 {
		mustPush(t, q, newItem("modest", 1, declare.Low, 1))
	}
	modest := 0
	for range 200 {
		if q.Pop(start).Organisation == "modest" {
			modest++
		}
	}
	if modest < 94 {
		t.Errorf("modest organisation got %d of 200 grants, want at least 94: its half, less the allowance", modest)
	}
}

func TestPopRefusesItemsThatCannotFinish(t *testing.T) {
	q := admit.New(10)
	var refused error
	late := newItem("a", 1, declare.Normal, 1)
	late.Deadline = start.Add(time.Second)
	late.Need = 900 * time.Millisecond
	late.Wake = func(err error) { refused = err }
	mustPush(t, q, late)
	mustPush(t, q, newItem("a", 1, declare.Normal, 1))
	got := q.Pop(start.Add(200 * time.Millisecond))
	if got == nil || got == late {
		t.Errorf("Pop() = %v, want the item that can finish", got)
	}
	if fault.From(refused).Kind() != fault.DeadlineTooShort {
		t.Errorf("late item was woken with %v, want deadlineTooShort", refused)
	}
	if err := q.Push(start.Add(time.Second), late); fault.From(err).Kind() != fault.DeadlineTooShort {
		t.Errorf("Push() of a late item = %v, want deadlineTooShort", err)
	}
}

func TestOneOrganisationCannotFillTheQueue(t *testing.T) {
	q := admit.New(10)
	var err error
	for range 10 {
		err = q.Push(start, newItem("greedy", 1, declare.Normal, 1))
	}
	if fault.From(err).Kind() != fault.Overloaded {
		t.Errorf("tenth Push() of one organisation = %v, want overloaded", err)
	}
	mustPush(t, q, newItem("modest", 1, declare.Normal, 1))
}

func TestExpectedWaitIgnoresOtherOrganisationsBacklog(t *testing.T) {
	q := admit.New(1000)
	for range 100 {
		q.Announce("greedy", 1, 1)
	}
	if got := q.ExpectedWait("greedy", 1, 10); got != 10*time.Second {
		t.Errorf("ExpectedWait(greedy) = %v, want 10s", got)
	}
	if got := q.ExpectedWait("modest", 1, 10); got != 0 {
		t.Errorf("ExpectedWait(modest) = %v, want 0", got)
	}
	q.Announce("modest", 1, 5)
	if got := q.ExpectedWait("modest", 1, 10); got != time.Second {
		t.Errorf("ExpectedWait(modest) = %v, want 1s: its own work at half the rate", got)
	}
}

// TestQueueStaysConsistent performs random operations and checks that every item
// leaves the queue exactly once and that an empty queue has no work left.
func TestQueueStaysConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := admit.New(50)
		waiting := map[*admit.Item]bool{}
		steps := rapid.SliceOfN(rapid.IntRange(0, 9), 1, 300).Draw(t, "steps")
		for i, step := range steps {
			switch {
			case step < 5:
				org := fmt.Sprint("o", rapid.IntRange(0, 5).Draw(t, "org"))
				it := newItem(org, 1, declare.Priority(step%3), float64(1+step))
				if q.Push(start, it) == nil {
					waiting[it] = true
				}
			case step < 8:
				it := q.Pop(start.Add(time.Duration(i)))
				if (it == nil) != (len(waiting) == 0) {
					t.Fatalf("Pop() = %v with %d waiting", it, len(waiting))
				}
				if it != nil && !waiting[it] {
					t.Fatal("Pop() returned an item that was not waiting")
				}
				delete(waiting, it)
			default:
				for it := range waiting {
					if !q.Remove(it) || q.Remove(it) {
						t.Fatal("Remove() does not report whether the item was waiting")
					}
					delete(waiting, it)
					break
				}
			}
			if q.Len() != len(waiting) {
				t.Fatalf("Len() = %d, want %d", q.Len(), len(waiting))
			}
		}
		for q.Pop(start) != nil {
		}
		if w := q.ExpectedWait("new", 1, 1); w != 0 {
			t.Fatalf("ExpectedWait() of an empty queue = %v, want 0", w)
		}
	})
}

func TestIdleOrganisationsAreForgotten(t *testing.T) {
	q := admit.New(100)
	for i := range 30000 {
		org := fmt.Sprint("o", i)
		mustPush(t, q, newItem(org, 1, declare.Normal, 1))
		q.Pop(start)
	}
	if n := q.Organisations(); n > 8192 {
		t.Errorf("queue holds state for %d idle organisations, want at most 8192", n)
	}
}

func BenchmarkAdmission1000Active(b *testing.B) {
	q := admit.New(math.MaxInt)
	names := make([]string, 30000)
	for i := range names {
		names[i] = fmt.Sprint("organisation-", i)
	}
	items := make([]admit.Item, 2000)
	for i := range items {
		items[i] = *newItem("", 1, declare.Normal, 1)
	}
	next := 0
	refill := func() {
		it := &items[next%len(items)]
		it.Organisation, it.Priority = names[(next*7919)%len(names)], declare.Priority(next%3)
		mustPush(b, q, it)
		next++
	}
	for range 1000 {
		refill()
	}
	b.ReportAllocs()
	for b.Loop() {
		it := q.Pop(start)
		if it == nil {
			b.Fatal("Pop() = nil, want an item")
		}
		refill()
	}
}

// TestSingleWaitingRequestIsCharged guards against dropping the state of an
// organisation together with its last item before the item is charged: one with
// never more than one request waiting would then be served for free.
func TestSingleWaitingRequestIsCharged(t *testing.T) {
	q := admit.New(10000)
	for range 1000 {
		mustPush(t, q, newItem("many", 1, declare.Normal, 1))
	}
	mustPush(t, q, newItem("one", 1, declare.Normal, 1))
	got := map[string]int{}
	for range 200 {
		org := q.Pop(start).Organisation
		got[org]++
		if org == "one" {
			mustPush(t, q, newItem("one", 1, declare.Normal, 1))
		}
	}
	if got["one"] > 105 {
		t.Errorf("organisation with one request at a time got %d of 200 grants, want at most 105", got["one"])
	}
}

// BenchmarkMemory reports the memory held per active organisation.
func BenchmarkMemory(b *testing.B) {
	const n = 30000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		q := admit.New(math.MaxInt)
		for i := range n {
			q.Announce(fmt.Sprint("organisation-", i), 1, 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/organisation")
		runtime.KeepAlive(q)
	}
}
