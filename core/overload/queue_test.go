package overload

import (
	"container/heap"
	"math/rand/v2"
	"runtime"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simWork is the work of a request of size 1 in the simulation.
const simWork = 30 * time.Millisecond

type (
	// simRequest is a request of the simulation with what became of it.
	simRequest struct {
		class, org                int
		size                      float64
		arrived                   time.Time
		timeout                   time.Duration
		answered, onTime, started bool
		refusals                  int
		// held is the longest wait before a refusal.
		held time.Duration
	}

	// simEvent is something that happens at a time: an arrival, or the end of a request.
	simEvent struct {
		at  time.Time
		do  func()
		seq int
	}

	simEvents []simEvent

	// simulation runs requests through a queue for a number of places.
	simulation struct {
		now         time.Time
		queue       *Queue
		events      simEvents
		places, seq int
		meanSize    float64
		rng         *rand.Rand
		target      time.Duration
		// work is the time for which a request of size 1 holds its place, and response that
		// until it is answered, or 0 if that is at the end.
		work, response time.Duration
		requests       map[*Job]*simRequest
		addedAt        map[*Job]time.Time
	}
)

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, k int) bool {
	return h[i].at.Before(h[k].at) || h[i].at.Equal(h[k].at) && h[i].seq < h[k].seq
}
func (h simEvents) Swap(i, k int) { h[i], h[k] = h[k], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	n := len(*h) - 1
	e := (*h)[n]
	*h = (*h)[:n]
	return e
}

func newSimulation(seed uint64, places int, target, work, response time.Duration) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		now: time.Unix(1000, 0), queue: New(work, rng.Float64), rng: rng, meanSize: 1, target: target, work: work, response: response,
		requests: make(map[*Job]*simRequest), addedAt: make(map[*Job]time.Time),
	}
	s.setPlaces(places)
	return s
}

func (s *simulation) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: t, do: do, seq: s.seq})
}

func (s *simulation) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
		s.dispatch()
	}
}

func (s *simulation) setPlaces(n int) {
	s.places = n
	s.queue.SetCapacity(s.now, n)
}

// add adds a request, which comes back after a refusal as long as it has time.
func (s *simulation) add(r *simRequest) {
	s.meanSize += 0.02 * (r.size - s.meanSize)
	relative := r.size / s.meanSize
	j := &Job{Deadline: r.arrived.Add(r.timeout), Response: time.Duration(r.size * float64(s.response)), Demand: Demand{
		Class: strconv.Itoa(r.class), Organisation: strconv.Itoa(r.org), Priority: r.class, RelativeSize: relative,
		Worth: (0.3 + 0.7*min(relative, 4)) / float64(int(1)<<r.class), Due: r.arrived.Add(s.target), Returned: r.refusals > 0,
	}}
	j.Demand.LateWorth = j.Demand.Worth / 2
	s.requests[j], s.addedAt[j] = r, s.now
	if err := s.queue.Add(s.now, j); err != nil {
		type retry interface{ RetryAfter() time.Duration }
		s.refuse(j, err.(retry).RetryAfter())
	}
}

func (s *simulation) refuse(j *Job, retryAfter time.Duration) {
	r := s.requests[j]
	r.held = max(r.held, s.now.Sub(s.addedAt[j]))
	delete(s.requests, j)
	delete(s.addedAt, j)
	left := r.arrived.Add(r.timeout).Sub(s.now)
	if r.refusals++; r.refusals <= 2 && left > min(s.work, time.Duration(0.1*float64(r.timeout))) {
		s.at(s.now.Add(min(retryAfter, left/3)), func() { s.add(r) })
	}
}

func (s *simulation) dispatch() {
	for {
		for _, d := range s.queue.Advance(s.now) {
			s.refuse(d.Job, d.Err.RetryAfter())
		}
		j := s.queue.Next(0)
		if j == nil || s.queue.Busy() >= s.places {
			return
		}
		s.queue.Start(s.now, j)
		r := s.requests[j]
		r.started = true
		delete(s.requests, j)
		delete(s.addedAt, j)
		factor := r.size * (0.8 + 0.4*s.rng.Float64())
		took := time.Duration(factor * float64(s.work))
		answeredAt := s.now.Add(took)
		if s.response > 0 {
			answeredAt = s.now.Add(time.Duration(factor * float64(s.response)))
		}
		r.answered = !answeredAt.After(r.arrived.Add(r.timeout))
		r.onTime = !answeredAt.After(r.arrived.Add(s.target))
		s.at(s.now.Add(took), func() { s.queue.End(j, took) })
	}
}

// served is the fraction of the requests that were answered, and their number.
type served struct {
	answered, all float64
}

func (s *served) add(answered bool) {
	s.all++
	if answered {
		s.answered++
	}
}

func (s served) share() float64 { return s.answered / max(1, s.all) }

// burst is what happens in the middle third of a simulated time.
type burst struct {
	name string
	// classes and all multiply the arrivals of the first class drawn and of all, and org
	// those of an organisation.
	class, all, org float64
	placesLost      float64
	large           bool
}

var bursts = []burst{
	{name: "class x 3", class: 3, all: 1, org: 1},
	{name: "all x 1.8", class: 1, all: 1.8, org: 1},
	{name: "organisation x 10", class: 1, all: 1, org: 10},
	{name: "a third of the servers gone", class: 1, all: 1, org: 1, placesLost: 1.0 / 3},
	{name: "a tenth is 10 times as large", class: 1, all: 1, org: 1, large: true},
}

// runBurst simulates a burst of 5 s after 3 s at the given load, and returns the requests that
// arrived in it.
func runBurst(seed uint64, b burst, load float64, places, classes, orgs, busyClass int, timeout, target, work, response time.Duration) []*simRequest {
	s := newSimulation(seed, places, target, work, response)
	start := s.now
	from, to := start.Add(3*time.Second), start.Add(8*time.Second)
	var during []*simRequest
	base := load * float64(places) / work.Seconds() / float64(classes*orgs)
	for class := range classes {
		for org := range orgs {
			for t := start; t.Before(to.Add(2 * time.Second)); {
				rate, inBurst := base, !t.Before(from) && t.Before(to)
				if inBurst {
					rate *= b.all
					if class == busyClass {
						rate *= b.class
					}
					if org == 0 {
						rate *= b.org
					}
				}
				t = t.Add(time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)))
				r := &simRequest{class: class, org: org, size: 1, arrived: t, timeout: timeout}
				if b.large && inBurst && s.rng.IntN(10) == 0 {
					r.size = 10
				}
				if inBurst {
					during = append(during, r)
				}
				s.at(t, func() { s.add(r) })
			}
		}
	}
	if b.placesLost > 0 {
		s.at(from, func() { s.setPlaces(places - int(b.placesLost*float64(places))) })
		s.at(to, func() { s.setPlaces(places) })
	}
	s.run()
	return during
}

// TestBursts checks that no class is served worse than a less urgent one, that no
// organisation is starved, and that large requests are not given up for small ones.
func TestBursts(t *testing.T) {
	for _, b := range bursts {
		t.Run(b.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				places, classes := rapid.IntRange(6, 24).Draw(t, "places"), rapid.IntRange(1, 4).Draw(t, "classes")
				orgs, load := rapid.IntRange(2, 20).Draw(t, "organisations"), rapid.Float64Range(0.6, 0.95).Draw(t, "load")
				busy := rapid.IntRange(0, classes-1).Draw(t, "busyClass")
				timeout := time.Duration(rapid.IntRange(800, 3000).Draw(t, "timeoutMs")) * time.Millisecond
				requests := runBurst(rapid.Uint64().Draw(t, "seed"), b, load, places, classes, orgs, busy, timeout, 150*time.Millisecond, simWork, 0)
				checkServed(t, requests, classes, orgs)
			})
		})
	}
}

// TestBurstsOfStreams checks the same for streams, which are answered long before they give
// back their places.
func TestBurstsOfStreams(t *testing.T) {
	for _, b := range bursts {
		t.Run(b.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				places, classes := rapid.IntRange(60, 400).Draw(t, "places"), rapid.IntRange(1, 4).Draw(t, "classes")
				orgs, load := rapid.IntRange(2, 20).Draw(t, "organisations"), rapid.Float64Range(0.6, 0.95).Draw(t, "load")
				busy := rapid.IntRange(0, classes-1).Draw(t, "busyClass")
				timeout := time.Duration(rapid.IntRange(4000, 8000).Draw(t, "timeoutMs")) * time.Millisecond
				requests := runBurst(rapid.Uint64().Draw(t, "seed"), b, load, places, classes, orgs, busy, timeout, 1100*time.Millisecond, 800*time.Millisecond, 200*time.Millisecond)
				checkServed(t, requests, classes, orgs)
			})
		})
	}
}

func checkServed(t *rapid.T, requests []*simRequest, classes, orgs int) {
	byClass, largeOf := make([]served, classes), make([]served, classes)
	byOrg := make([]served, orgs)
	var all served
	onTime, heldRefused := 0, 0
	for _, r := range requests {
		all.add(r.answered)
		byClass[r.class].add(r.answered)
		byOrg[r.org].add(r.answered)
		if r.size > 1 {
			largeOf[r.class].add(r.answered)
		}
		if r.onTime {
			onTime++
		}
		if r.held > 300*time.Millisecond {
			heldRefused++
		}
	}
	t.Logf("answered %.3f, on time %.3f, refused after more than 300 ms %.3f, by class %v, large %v", all.share(), float64(onTime)/all.all, float64(heldRefused)/all.all, byClass, largeOf)
	for i := range byClass {
		for k := i + 1; k < classes; k++ {
			if byClass[i].share() < byClass[k].share()-0.05 {
				t.Errorf("class %d is served %.3f and the less urgent class %d %.3f", i, byClass[i].share(), k, byClass[k].share())
			}
		}
		if largeOf[i].all >= 20 && largeOf[i].share() < byClass[i].share()/2 {
			t.Errorf("large requests of class %d are served %.3f and all of it %.3f", i, largeOf[i].share(), byClass[i].share())
		}
	}
	for i, o := range byOrg {
		if o.all >= 20 && (o.answered == 0 || o.share() < all.share()/4) {
			t.Errorf("organisation %d is served %.3f and all %.3f", i, o.share(), all.share())
		}
	}
}

func filled(n int) (*Queue, time.Time) {
	now := time.Unix(1000, 0)
	q := New(simWork, func() float64 { return 0.5 })
	q.SetCapacity(now, n)
	return q, now
}

func benchJob(now time.Time, i int) *Job {
	return &Job{Deadline: now.Add(90 * time.Second), Demand: Demand{
		Class: strconv.Itoa(i % 4), Organisation: strconv.Itoa(i % 30000), Priority: i % 4, Worth: 1 + float64(i%7), LateWorth: 0.5, RelativeSize: 0.5 + float64(i%5)/4, Due: now.Add(time.Duration(50+i%7000) * time.Millisecond),
	}}
}

// BenchmarkDecision measures a decision, which is an arrival, a turn and an end, while
// 10,000 requests wait.
func BenchmarkDecision(b *testing.B) {
	q, now := filled(100)
	for i := range 10000 {
		if err := q.Add(now, benchJob(now, i)); err != nil {
			b.Fatal(err)
		}
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(300 * time.Microsecond)
		_ = q.Add(now, benchJob(now, i))
		q.Advance(now)
		j := q.Next(0)
		q.Start(now, j)
		q.End(j, simWork)
	}
	b.ReportMetric(float64(q.Len()), "waiting")
}

// TestMemory checks that a waiting request takes no more than 512 bytes.
func TestMemory(t *testing.T) {
	q, now := filled(100)
	var before, after runtime.MemStats
	// The names of organisations are the configuration's, so they exist already.
	for i := range 30000 {
		_ = q.Add(now, benchJob(now, i))
		q.Remove(now, q.Next(0))
	}
	jobs := make([]*Job, 10000)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range jobs {
		jobs[i] = benchJob(now, i)
		jobs[i].Demand.Class, jobs[i].Demand.Organisation = "a", "b"
		if err := q.Add(now, jobs[i]); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if per := float64(after.HeapAlloc-before.HeapAlloc) / float64(len(jobs)); per > 512 {
		t.Errorf("a waiting request takes %.0f bytes", per)
	}
	runtime.KeepAlive(q)
}
