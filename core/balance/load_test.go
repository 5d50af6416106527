package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/fleet"
)

// The model of a plain service: instances that do not know of each other's calls send to
// the same servers, which process modelSlots calls at a time and let others wait.
const (
	modelServers   = 8
	modelInstances = 24
	modelSlots     = 6
	modelWork      = 30 * time.Millisecond
	modelTarget    = 150 * time.Millisecond
	modelDuration  = 20 * time.Second
	slowShare      = 0.15
	slowFactor     = 2.5
	slowTime       = 600 * time.Millisecond
)

type (
	modelCall struct {
		arrived  time.Duration
		instance int
		server   int
		call     balance.Call
		work     time.Duration
	}

	modelEvent struct {
		at  time.Duration
		seq int
		// call ends at its server if ends is set, and arrives at its instance otherwise.
		// Without a call, the instance looks again.
		call     *modelCall
		ends     bool
		instance int
	}

	modelEvents []modelEvent

	modelServer struct {
		spells  []time.Duration
		running int
		waiting []*modelCall
	}

	modelResult struct {
		requests, onTime int
		busy, slowBusy   time.Duration
		// spread is the sum over samples of the standard deviation of the servers' calls.
		spread  float64
		samples int
	}
)

func (h modelEvents) Len() int { return len(h) }
func (h modelEvents) Less(i, k int) bool {
	return h[i].at < h[k].at || h[i].at == h[k].at && h[i].seq < h[k].seq
}
func (h modelEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *modelEvents) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *modelEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *modelServer) pace(at time.Duration) float64 {
	for _, from := range s.spells {
		if at >= from && at < from+slowTime {
			return slowFactor
		}
	}
	return 1
}

func (r modelResult) String() string {
	return fmt.Sprintf("%d requests, %.4f on time, %.4f of the servers' time while slow, deviation of calls per server %.3f",
		r.requests, float64(r.onTime)/float64(r.requests), float64(r.slowBusy)/float64(r.busy), r.spread/float64(r.samples))
}

// runModel runs the model at a load in multiples of the capacity. report returns what a server
// reports, and whether it reports anything.
func runModel(t *testing.T, seed uint64, load, share float64, report func(l fleet.Load) (fleet.Load, bool)) (out modelResult) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	list := endpoints(t, modelServers, modelSlots)
	servers := make([]*modelServer, modelServers)
	for i := range servers {
		servers[i] = &modelServer{}
		if share == 0 {
			continue
		}
		gap := float64(slowTime) * (1 - share) / share
		for at := time.Duration(rng.ExpFloat64() * gap); at < 2*modelDuration; at += slowTime + time.Duration(rng.ExpFloat64()*gap) {
			servers[i].spells = append(servers[i].spells, at)
		}
	}
	groups := make([]*balance.Group, modelInstances)
	queues := make([][]*modelCall, modelInstances)
	for i := range groups {
		groups[i] = balance.New(list, modelInstances, balance.Adaptive, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	var events modelEvents
	seq := 0
	push := func(e modelEvent) {
		seq++
		e.seq = seq
		heap.Push(&events, e)
	}
	rate := load * modelServers * modelSlots / modelWork.Seconds() * (1 - share + share/slowFactor)
	for at := time.Duration(0); at < modelDuration; at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second)) {
		push(modelEvent{at: at, call: &modelCall{arrived: at, instance: rng.IntN(modelInstances), work: modelWork/2 + time.Duration(rng.Int64N(int64(modelWork)))}})
	}
	begin := func(at time.Duration, s *modelServer, c *modelCall) {
		s.running++
		p := s.pace(at)
		took := time.Duration(p * float64(c.work))
		out.busy += took
		if p > 1 {
			out.slowBusy += took
		}
		push(modelEvent{at: at + took, call: c, ends: true})
	}
	dispatch := func(at time.Duration, instance int) {
		for len(queues[instance]) > 0 {
			i, _ := groups[instance].Pick(start.Add(at), anyQuery())
			if i < 0 {
				push(modelEvent{at: at + 5*time.Millisecond, instance: instance})
				return
			}
			c := queues[instance][0]
			queues[instance] = queues[instance][1:]
			c.server, c.call = i, groups[instance].Begin(start.Add(at), i, modelWork)
			if s := servers[i]; s.running < modelSlots {
				begin(at, s, c)
			} else {
				s.waiting = append(s.waiting, c)
			}
		}
	}
	nextSample := time.Duration(0)
	for len(events) > 0 {
		e := heap.Pop(&events).(modelEvent)
		for ; nextSample < e.at; nextSample += 5 * time.Millisecond {
			sum, squares := 0.0, 0.0
			for _, s := range servers {
				n := float64(s.running + len(s.waiting))
				sum, squares = sum+n, squares+n*n
			}
			out.samples++
			out.spread += math.Sqrt(max(0, squares/modelServers-sum*sum/modelServers/modelServers))
		}
		switch {
		case e.ends:
			s, g := servers[e.call.server], groups[e.call.instance]
			s.running--
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				begin(e.at, s, next)
			}
			l := fleet.Load{Running: s.running, Waiting: len(s.waiting), Slots: modelSlots, Pace: s.pace(e.at)}
			if l, ok := report(l); ok {
				g.ReportServerLoad(start.Add(e.at), list[e.call.server].Name(), l)
			}
			g.End(start.Add(e.at), e.call.call, balance.Succeeded)
			if e.at-e.call.arrived <= modelTarget {
				out.onTime++
			}
			dispatch(e.at, e.call.instance)
		case e.call != nil:
			out.requests++
			queues[e.call.instance] = append(queues[e.call.instance], e.call)
			dispatch(e.at, e.call.instance)
		default:
			dispatch(e.at, e.instance)
		}
	}
	return out
}

func noReport(fleet.Load) (fleet.Load, bool)      { return fleet.Load{}, false }
func wholeReport(l fleet.Load) (fleet.Load, bool) { return l, true }

// Guards against loss by reported loads, and against their being of no use: no smaller share
// of requests may be in time than without them, and less of the work may be done by servers
// while they take 2.5 times as long.
func TestReportedLoadKeepsCallsFromSlowServers(t *testing.T) {
	for _, load := range []float64{0.4, 0.6, 0.8} {
		var onTime, busy, slow [2]float64
		for seed := range uint64(8) {
			for i, report := range []func(fleet.Load) (fleet.Load, bool){noReport, wholeReport} {
				r := runModel(t, seed, load, slowShare, report)
				t.Logf("load %.1f, reports %v: %v", load, i == 1, r)
				onTime[i] += float64(r.onTime)
				busy[i] += r.busy.Seconds()
				slow[i] += r.slowBusy.Seconds()
			}
		}
		if onTime[1] < onTime[0] || slow[1] >= slow[0] {
			t.Errorf("load %.1f: %v requests in time and %.1f s at slow servers with reports, %v and %.1f s without", load, onTime[1], slow[1], onTime[0], slow[0])
		}
	}
}

// Guards against decisions that swing between servers because of old reports: with 24
// instances that make many decisions between two reports of a server, the servers' numbers of
// calls may differ no more than without reports.
func TestReportedLoadDoesNotMakeDecisionsSwing(t *testing.T) {
	for _, load := range []float64{0.4, 0.8} {
		var spread [2]float64
		for seed := range uint64(8) {
			for i, report := range []func(fleet.Load) (fleet.Load, bool){noReport, wholeReport} {
				r := runModel(t, seed, load, 0, report)
				t.Logf("load %.1f, reports %v: %v", load, i == 1, r)
				spread[i] += r.spread / float64(r.samples)
			}
		}
		if spread[1] > spread[0] {
			t.Errorf("load %.1f: the calls of servers differ by %.3f with reports, %.3f without", load, spread[1], spread[0])
		}
	}
}

// BenchmarkPickReported measures a choice among 650 servers that all report their load.
func BenchmarkPickReported(b *testing.B) {
	g := newGroup(b, 650, 8)
	for i := range g.Len() {
		g.ReportServerLoad(start, g.Endpoint(i).Name(), fleet.Load{Running: 3, Slots: 8, Pace: 1 + 1.5*float64(i%7/6)})
	}
	b.ReportAllocs()
	for b.Loop() {
		i, _ := g.Pick(start, balance.Query{})
		g.End(start, g.Begin(start, i, callTime), balance.Succeeded)
	}
}
