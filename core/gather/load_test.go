package gather_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/fleet"
	"chervilpath/core/gather"
	"chervilpath/core/route"
)

// uneven is a small model of a stage service whose servers are slow at times: on average
// slowShare of them take slowFactor times as long, for slowTime at a time.
const (
	slowShare  = 0.15
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond

	numUneven     = 20
	unevenTime    = 10 * time.Second
	unevenPieces  = 5
	unevenLoad    = 0.8
	unevenTargets = 700 * time.Millisecond
)

var unevenCfg = route.PieceConfig{
	Slots: 1, MaxQueue: 2, MaxBatch: 20, CallTime: 100 * time.Millisecond, ItemTime: 5 * time.Millisecond,
	ResultCapacity: 1 << 40, ResultTTL: 4 * time.Second,
}

// slowSpells returns when a server becomes slow, over the time of the model.
func slowSpells(rng *rand.Rand) (out []time.Duration) {
	gap := float64(slowTime) * (1 - slowShare) / slowShare
	for at := time.Duration(rng.ExpFloat64() * gap); at < unevenTime+10*time.Second; at += slowTime + time.Duration(rng.ExpFloat64()*gap) {
		out = append(out, at)
	}
	return out
}

// unevenEvent is an arrival, the end of a call if batch is set, or a time to look again.
type unevenEvent struct {
	at    time.Duration
	seq   int
	batch *gather.Batch
	wake  bool
}

type unevenEvents []unevenEvent

func (h unevenEvents) Len() int { return len(h) }
func (h unevenEvents) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h unevenEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *unevenEvents) Push(x any)   { *h = append(*h, x.(unevenEvent)) }
func (h *unevenEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// unevenResult counts the requests of a run and what slow servers did of it.
type unevenResult struct {
	requests, onTime, refused int
	pieces, slowPieces        int
	busy, slowBusy            time.Duration
}

func (r *unevenResult) add(o unevenResult) {
	r.requests, r.onTime, r.refused = r.requests+o.requests, r.onTime+o.onTime, r.refused+o.refused
	r.pieces, r.slowPieces = r.pieces+o.pieces, r.slowPieces+o.slowPieces
	r.busy, r.slowBusy = r.busy+o.busy, r.slowBusy+o.slowBusy
}

func (r unevenResult) String() string {
	return fmt.Sprintf("%d requests, %.4f on time, %.4f refused, %.4f of the pieces and %.4f of the servers' time at slow servers, %.1f s busy",
		r.requests, float64(r.onTime)/float64(r.requests), float64(r.refused)/float64(r.requests),
		float64(r.slowPieces)/float64(r.pieces), float64(r.slowBusy)/float64(r.busy), r.busy.Seconds())
}

// runUneven runs the model. reports returns what a server reports at the end of a call,
// given its pace, and whether it reports anything. load is in multiples of the capacity.
func runUneven(seed uint64, load float64, reports func(now time.Duration, pace float64) (fleet.Load, bool)) (out unevenResult) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var list []fleet.Server
	spells := make(map[string][]time.Duration)
	for i := range numUneven {
		s := fleet.Server{ID: fmt.Sprint("s-", i), Address: fmt.Sprint("10.0.0.", i, ":80")}
		list = append(list, s)
		spells[s.ID] = slowSpells(rng)
	}
	pace := func(id string, at time.Duration) float64 {
		for _, from := range spells[id] {
			if at >= from && at < from+slowTime {
				return slowFactor
			}
		}
		return 1
	}
	q := gather.New(unevenCfg)
	q.SetServers(list, unevenCfg)
	var events unevenEvents
	seq := 0
	push := func(e unevenEvent) {
		seq++
		e.seq = seq
		heap.Push(&events, e)
	}
	// At full batches, and without slow times, a server does this many pieces a second.
	perServer := float64(unevenCfg.MaxBatch) / (unevenCfg.CallTime + time.Duration(unevenCfg.MaxBatch)*unevenCfg.ItemTime).Seconds()
	capacity := perServer * numUneven * (1 - slowShare + slowShare/slowFactor)
	rate := load * capacity / unevenPieces
	for at := time.Duration(0); at < unevenTime; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		push(unevenEvent{at: at})
	}
	nextWake := time.Duration(0)
	left := make(map[string]int)
	end := func(it *gather.Item, now time.Time, err error) {
		left[it.RequestID]--
		if err != nil {
			left[it.RequestID] = -unevenPieces
		}
		if left[it.RequestID] == 0 && !now.After(it.Due) {
			out.onTime++
		}
	}
	for len(events) > 0 {
		e := heap.Pop(&events).(unevenEvent)
		now := start.Add(e.at)
		switch {
		case e.batch != nil:
			s := e.batch.Server
			if l, ok := reports(e.at, pace(s.ID, e.at)); ok {
				q.ReportLoad(now, s.Incarnation(), l)
			}
			completed, _ := q.Complete(now, e.batch, gather.CallAnswered, allDone(e.batch))
			handles := []string{}
			for _, c := range completed {
				end(c.Item, now, c.Err)
				handles = append(handles, c.Handle)
			}
			q.ReleaseResults(handles)
		case !e.wake:
			id := fmt.Sprint("r-", out.requests)
			out.requests++
			left[id] = unevenPieces
			due := now.Add(unevenTargets/2 + time.Duration(rng.Int64N(int64(unevenTargets))))
			items := make([]*gather.Item, unevenPieces)
			for i := range items {
				items[i] = &gather.Item{RequestID: id, Piece: i, ResultBytes: 10, Class: "c", Worth: 1, Due: due, Deadline: due.Add(1500 * time.Millisecond), Done: func(string, error) {}}
			}
			if q.Add(now, items) != nil {
				out.refused++
			}
		}
		for {
			b, expired := q.Next(now)
			for _, it := range expired {
				end(it, now, fmt.Errorf("expired"))
			}
			if b == nil {
				break
			}
			p := pace(b.Server.ID, e.at)
			took := time.Duration(p * float64(unevenCfg.CallTime+time.Duration(len(b.Items))*unevenCfg.ItemTime))
			out.pieces += len(b.Items)
			out.busy += took
			if p > 1 {
				out.slowPieces += len(b.Items)
				out.slowBusy += took
			}
			push(unevenEvent{at: e.at + took, batch: b})
		}
		if at := q.NextWakeup(now); !at.IsZero() {
			wake := max(e.at+time.Millisecond, at.Sub(start))
			if nextWake <= e.at || wake < nextWake {
				nextWake = wake
				push(unevenEvent{at: wake, wake: true})
			}
		}
	}
	return out
}

func reportNothing(time.Duration, float64) (fleet.Load, bool) { return fleet.Load{}, false }

func reportPace(_ time.Duration, pace float64) (fleet.Load, bool) {
	return fleet.Load{Running: 1, Slots: 1, Pace: pace}, true
}

// Guards against loss by the reported pace, and against its being of no use: with servers
// that are slow for 600 ms at a time, no smaller share of requests may be in time than
// without it, and less of the work may be done where it takes 2.5 times as long.
func TestReportedPaceKeepsWorkFromSlowServers(t *testing.T) {
	for _, load := range []float64{0.4, unevenLoad, 0.95, 1.2} {
		var before, after unevenResult
		for seed := range uint64(8) {
			before.add(runUneven(seed, load, reportNothing))
			after.add(runUneven(seed, load, reportPace))
		}
		t.Logf("load %.2f, without reports: %v", load, before)
		t.Logf("load %.2f, with reports:    %v", load, after)
		if before.requests != after.requests {
			t.Fatalf("%d and %d requests, want the same", before.requests, after.requests)
		}
		if after.onTime < before.onTime {
			t.Errorf("load %.2f: %d requests on time with reports, %d without", load, after.onTime, before.onTime)
		}
		if after.slowPieces >= before.slowPieces || after.slowBusy >= before.slowBusy {
			t.Errorf("load %.2f: %d pieces and %v at slow servers with reports, %d and %v without", load, after.slowPieces, after.slowBusy, before.slowPieces, before.slowBusy)
		}
	}
}

func reportOf(q *gather.Queue, now time.Time, i int, l fleet.Load) {
	q.ReportLoad(now, servers("a", "a", "a")[i].Incarnation(), l)
}

// Guards against items that wait for ever for a server that is not slow: one that reports to
// be slow is avoided while another one will be free earlier, and not for longer than its
// report counts. If there is no other one it is used at once.
func TestSlowServerIsAvoidedForAWhileOnly(t *testing.T) {
	q := newQueue(t, "a", "a")
	add(t, q, item("busy", 2*time.Second))
	busy, _ := q.Next(start)
	slow := 0
	if busy.Server.ID == "s-0" {
		slow = 1
	}
	now := start.Add(100 * time.Millisecond)
	reportOf(q, now, slow, fleet.Load{Slots: 1, Pace: 2.5})
	if err := q.Add(now, []*gather.Item{item("next", 3*time.Second)}); err != nil {
		t.Fatal(err)
	}
	if b, _ := q.Next(now); b != nil {
		t.Fatalf("the slow server got %d items, though the other one will be free earlier", len(b.Items))
	}
	at := q.NextWakeup(now)
	if at.IsZero() || at.After(now.Add(600*time.Millisecond)) {
		t.Fatalf("next wake-up %v later, want 600 ms at most", at.Sub(now))
	}
	if b, _ := q.Next(now.Add(600 * time.Millisecond)); b == nil {
		t.Error("the server got nothing after its report had become worthless")
	}
	alone := newQueue(t, "a")
	alone.ReportLoad(start, fleet.Incarnation{ID: "s-0"}, fleet.Load{Slots: 1, Pace: 2.5})
	add(t, alone, item("only", 2*time.Second))
	if b, _ := alone.Next(start); b == nil || b.Expected() != time.Duration(2.5*float64(cfg.CallTime+cfg.ItemTime)) || b.Pace() != 2.5 {
		t.Errorf("batch %+v, want one that is expected to take 2.5 times as long", b)
	}
}

// Guards against harm by absurd reports: they lengthen the expected time of a call, and so its
// time-out, to ten times the usual at most, and another incarnation's report counts for nothing.
func TestAbsurdReportIsBounded(t *testing.T) {
	q := newQueue(t, "a")
	q.ReportLoad(start, fleet.Incarnation{ID: "s-0"}, fleet.Load{Running: 1_000_000, Waiting: 1_000_000, Slots: 1, Pace: 1000})
	q.ReportLoad(start, fleet.Incarnation{ID: "unknown"}, fleet.Load{Slots: 1, Pace: 1})
	add(t, q, item("only", 20*time.Second))
	if b, _ := q.Next(start); b == nil || b.Expected() > 10*(cfg.CallTime+cfg.ItemTime) {
		t.Errorf("batch %+v, want one that is expected to take ten times as long at most", b)
	}
	other := newQueue(t, "a")
	other.ReportLoad(start, fleet.Incarnation{ID: "s-0", Born: 7}, fleet.Load{Slots: 1, Pace: 2.5})
	add(t, other, item("only", 2*time.Second))
	if b, _ := other.Next(start); b == nil || b.Pace() != 0 {
		t.Errorf("batch %+v, want one without a report", b)
	}
}

// Guards against calls that wait behind those of other clients: a server that reports one is
// chosen after one that reports none.
func TestServerWithCallsOfOthersIsChosenLast(t *testing.T) {
	q := newQueue(t, "a", "a")
	reportOf(q, start, 0, fleet.Load{Running: 1, Waiting: 1, Slots: 1, Pace: 1})
	reportOf(q, start, 1, fleet.Load{Slots: 1, Pace: 1})
	add(t, q, item("next", 2*time.Second))
	if b, _ := q.Next(start); b == nil || b.Server.ID != "s-1" {
		t.Errorf("batch %+v, want one for s-1", b)
	}
}

// Guards against another treatment of servers that report no pace: one that was learned to be
// slow is used when it is free, as without reports.
func TestServerWithoutAPaceIsUsedAsBefore(t *testing.T) {
	for _, reports := range []bool{false, true} {
		q := newQueue(t, "a", "a")
		now := start
		batch := func(name string) *gather.Batch {
			if err := q.Add(now, []*gather.Item{item(name, 60*time.Second)}); err != nil {
				t.Fatal(err)
			}
			b, _ := q.Next(now)
			if b == nil {
				t.Fatalf("reports %v: %s: a free server got nothing", reports, name)
			}
			return b
		}
		for i := range 5 {
			usual, slow := batch(fmt.Sprint("a-", i)), batch(fmt.Sprint("b-", i))
			if usual.Server.ID != "s-0" {
				usual, slow = slow, usual
			}
			now = now.Add(210 * time.Millisecond)
			q.Complete(now, usual, gather.CallAnswered, allDone(usual))
			now = now.Add(420 * time.Millisecond)
			q.Complete(now, slow, gather.CallAnswered, allDone(slow))
		}
		if reports {
			reportOf(q, now, 0, fleet.Load{Slots: 1})
			reportOf(q, now, 1, fleet.Load{Slots: 1})
		}
		if b := batch("first"); b.Server.ID != "s-0" {
			t.Errorf("reports %v: the slower server comes first", reports)
		}
		batch("second")
	}
}

// Guards against batches that make their items late at a slow server: it gets no more items than
// it is expected to finish by their due time.
func TestBatchesOfSlowServersAreSmaller(t *testing.T) {
	q := newQueue(t, "a")
	q.ReportLoad(start, fleet.Incarnation{ID: "s-0"}, fleet.Load{Slots: 1, Pace: 2.5})
	for i := range cfg.MaxBatch {
		add(t, q, item(fmt.Sprint(i), 560*time.Millisecond))
	}
	// Two items take 550 ms, three 575 ms.
	if b, _ := q.Next(start); b == nil || len(b.Items) != 2 {
		t.Errorf("batch %+v, want one of 2 items", b)
	}
}
