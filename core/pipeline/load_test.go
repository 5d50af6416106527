package pipeline_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/pipeline"
	"chervilpath/core/stage"
)

const (
	deadline = 3 * time.Second

	// resetTime is how long a call of an endpoint that is down takes to fail.
	resetTime = 5 * time.Millisecond
)

type (
	// server stands in for one endpoint: it works on as many calls as it has
	// slots, and the rest wait in it.
	server struct {
		slots chan struct{}
		// slow multiplies the time of a call.
		slow func(now time.Time) float64
		down func(now time.Time) bool
	}

	// load is one run of traffic in virtual time.
	load struct {
		servers   map[string]*server
		runners   []*pipeline.Runner
		set       *declare.Set
		rng       *rand.Rand
		seconds   int
		rate      float64
		organised func(rng *rand.Rand) string
		kind      func(rng *rand.Rand) string

		mu      sync.Mutex
		calls   map[string]int
		charges []pipeline.Charge
		ids     int
		results []outcome
	}

	outcome struct {
		at           time.Time
		organisation string
		kind         string
		took         time.Duration
		err          error
	}
)

func always(v float64) func(time.Time) float64 { return func(time.Time) float64 { return v } }

func never(time.Time) bool { return false }

// fleet declares a pipeline whose generation serves about 200 requests a second.
func fleet(t testing.TB, organisations int) *declare.Set {
	t.Helper()
	var b strings.Builder
	b.WriteString(`[pipeline quote]
stages = encode, retrieve, rerank, generate
[pipeline status]
stages = retrieve
[stage encode]
unit = images
[stage retrieve]
hedge = yes
[stage rerank]
[stage generate]
unit = tokens
[kind quote]
pipeline = quote
retries = 2
[kind urgent]
pipeline = quote
priority = high
retries = 2
[kind status]
pipeline = status
retries = 2
`)
	for _, s := range []struct {
		name     string
		n, slots int
	}{{"encode", 4, 4}, {"retrieve", 4, 4}, {"rerank", 4, 4}, {"generate", 10, 8}} {
		for i := range s.n {
			fmt.Fprintf(&b, "[endpoint %s-%d]\naddress = http://127.0.0.1:1\nkind = pool\nstages = %s\nfailureDomain = d%d\nslots = %d\n", s.name, i, s.name, i%3, s.slots)
		}
	}
	for i := range organisations {
		fmt.Fprintf(&b, "[organisation o%d]\nkeyHashes = %s\n", i, declare.HashKey(fmt.Sprint("key", i)))
	}
	set, problems := declare.Build([]declare.Fragment{{Name: "fleet.ini", Data: []byte(b.String())}})
	if set == nil {
		t.Fatal(problems)
	}
	return set
}

// newLoad has to be called in a synctest bubble.
func newLoad(t testing.TB, policy stage.Policy, seed uint64, instances int) *load {
	l := &load{
		servers: make(map[string]*server),
		set:     fleet(t, 10),
		rng:     rand.New(rand.NewPCG(seed, 1)),
		calls:   make(map[string]int),
		kind:    func(*rand.Rand) string { return "quote" },
		organised: func(rng *rand.Rand) string {
			return fmt.Sprint("o", rng.IntN(10))
		},
	}
	for _, name := range l.set.Endpoints() {
		e, _ := l.set.Endpoint(name)
		l.servers[name] = &server{slots: make(chan struct{}, e.Slots()), slow: always(1), down: never}
	}
	for i := range instances {
		r := pipeline.New(l.deps(), policy, rand.New(rand.NewPCG(seed, uint64(i))))
		r.SetInstances(instances)
		r.Replace(l.set)
		l.runners = append(l.runners, r)
	}
	return l
}

func (l *load) deps() pipeline.Deps {
	return pipeline.Deps{
		Clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
		Call:   l.call,
		Decide: func(pipeline.Decision) {},
		Charge: func(c pipeline.Charge) {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.charges = append(l.charges, c)
		},
		Observe: func(string, time.Duration, time.Duration, error) {},
		Token:   func(string, bool, time.Duration) {},
		NewID: func() string {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.ids++
			return fmt.Sprint("a", l.ids)
		},
	}
}

// call is the stand-in's side of one call.
func (l *load) call(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	l.mu.Lock()
	l.calls[a.Endpoint.Name()]++
	units, work := cost(l.rng, a)
	l.mu.Unlock()
	s := l.servers[a.Endpoint.Name()]
	if s.down(time.Now()) {
		time.Sleep(resetTime)
		return pipeline.Result{}, &pipeline.CallError{Err: fault.Errorf(fault.EndpointFailed, "reset")}
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	}
	defer func() { <-s.slots }()
	select {
	case <-time.After(time.Duration(float64(work) * s.slow(time.Now()))):
	case <-ctx.Done():
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	}
	return pipeline.Result{Text: "done", Units: units}, nil
}

// cost draws the units and the time of a call.
func cost(rng *rand.Rand, a pipeline.Attempt) (float64, time.Duration) {
	jitter := 0.7 + 0.6*rng.Float64()
	if a.Stage.Unit() == "tokens" {
		n := float64(a.Input.MaxTokens) * (0.4 + 0.6*rng.Float64())
		return n, time.Duration((20 + 2.4*n) * jitter * float64(time.Millisecond))
	}
	return 1, time.Duration(20 * jitter * float64(time.Millisecond))
}

// run sends the traffic and waits for every answer.
func (l *load) run() {
	end := time.Now().Add(time.Duration(l.seconds) * time.Second)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		l.mu.Lock()
		gap := time.Duration(l.rng.ExpFloat64() / l.rate * float64(time.Second))
		l.mu.Unlock()
		time.Sleep(gap)
		l.mu.Lock()
		org, _ := l.set.Organisation(l.organised(l.rng))
		kind, _ := l.set.Kind(l.kind(l.rng))
		tokens := 100 + l.rng.IntN(250)
		l.mu.Unlock()
		wg.Go(func() { l.one(i, org, kind, tokens) })
	}
	wg.Wait()
}

func (l *load) one(i int, org *declare.Organisation, kind *declare.Kind, tokens int) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(deadline))
	defer cancel()
	_, err := l.runners[i%len(l.runners)].Run(ctx, pipeline.Request{
		ID: fmt.Sprint(i), Organisation: org, Kind: kind, Deadline: began.Add(deadline),
		Input: pipeline.Payload{Text: "photo notes", MaxTokens: tokens},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.results = append(l.results, outcome{at: began, organisation: org.Name(), kind: kind.Name(), took: time.Since(began), err: err})
}

// attained returns the part of requests answered in time, of those that the
// filter takes.
func (l *load) attained(take func(outcome) bool) float64 {
	n, ok := 0, 0
	for _, o := range l.results {
		if !take(o) {
			continue
		}
		n++
		if o.err == nil && o.took <= deadline {
			ok++
		}
	}
	return float64(ok) / float64(max(1, n))
}

// goodput returns the requests answered in time in a second.
func (l *load) goodput() float64 {
	return l.attained(all) * float64(len(l.results)) / float64(l.seconds)
}

func all(outcome) bool { return true }

// wasted returns the part of busy time that gave no useful result.
func (l *load) wasted() float64 {
	var useful, other time.Duration
	for _, c := range l.charges {
		if c.Waste == pipeline.Useful {
			useful += c.Busy
		} else {
			other += c.Busy
		}
	}
	return float64(other) / float64(max(1, useful+other))
}

// generation is what generation serves in a second at most.
const generation = 180.0

// simulate runs traffic at a multiple of capacity, after change has set it up.
func simulate(t *testing.T, policy stage.Policy, seed uint64, multiple float64, seconds int, change func(*load)) *load {
	t.Helper()
	var l *load
	synctest.Test(t, func(t *testing.T) {
		l = newLoad(t, policy, seed, 3)
		l.rate = multiple * generation
		l.seconds = seconds
		if change != nil {
			change(l)
		}
		l.run()
	})
	return l
}
