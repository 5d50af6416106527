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

	// resetDelay is the time that a call to an endpoint that is down takes to fail.
	resetDelay = 5 * time.Millisecond
)

type (
	// fakeEndpoint simulates an endpoint: it serves as many calls at once as it has
	// slots and queues the others.
	fakeEndpoint struct {
		slots chan struct{}
		// slowdown returns the factor by which the duration of a call is
		// multiplied.
		slowdown func(now time.Time) float64
		down     func(now time.Time) bool
	}

	// simulation runs generated traffic in virtual time.
	simulation struct {
		endpoints        map[string]*fakeEndpoint
		runners          []*pipeline.Runner
		set              *declare.Set
		rng              *rand.Rand
		seconds          int
		rate             float64
		pickOrganisation func(rng *rand.Rand) string
		pickKind         func(rng *rand.Rand) string

		mu      sync.Mutex
		calls   map[string]int
		charges []pipeline.Charge
		lastID  int
		results []requestResult
	}

	requestResult struct {
		start        time.Time
		organisation string
		kind         string
		took         time.Duration
		err          error
	}
)

func constantSlowdown(v float64) func(time.Time) float64 { return func(time.Time) float64 { return v } }

func never(time.Time) bool { return false }

// newDeclarations declares a pipeline whose generate stage serves about 200
// requests per second.
func newDeclarations(t testing.TB, organisations int) *declare.Set {
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

// newSimulation must be called in a synctest bubble.
func newSimulation(t testing.TB, policy stage.Policy, seed uint64, instances int) *simulation {
	sim := &simulation{
		endpoints: make(map[string]*fakeEndpoint),
		set:       newDeclarations(t, 10),
		rng:       rand.New(rand.NewPCG(seed, 1)),
		calls:     make(map[string]int),
		pickKind:  func(*rand.Rand) string { return "quote" },
		pickOrganisation: func(rng *rand.Rand) string {
			return fmt.Sprint("o", rng.IntN(10))
		},
	}
	for _, name := range sim.set.EndpointNames() {
		e, _ := sim.set.Endpoint(name)
		sim.endpoints[name] = &fakeEndpoint{slots: make(chan struct{}, e.Slots()), slowdown: constantSlowdown(1), down: never}
	}
	for i := range instances {
		r := pipeline.New(sim.deps(), policy, rand.New(rand.NewPCG(seed, uint64(i))))
		r.SetInstances(instances)
		r.SetDeclarations(sim.set)
		sim.runners = append(sim.runners, r)
	}
	return sim
}

func (sim *simulation) deps() pipeline.Deps {
	return pipeline.Deps{
		Clock: stage.Clock{
			Now:       time.Now,
			AfterFunc: func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		},
		Call:        sim.call,
		LogDecision: func(pipeline.Decision) {},
		RecordCharge: func(c pipeline.Charge) {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.charges = append(sim.charges, c)
		},
		ObserveStage: func(string, time.Duration, time.Duration, error) {},
		ObserveToken: func(string, bool, time.Duration) {},
		NewID: func() string {
			sim.mu.Lock()
			defer sim.mu.Unlock()
			sim.lastID++
			return fmt.Sprint("a", sim.lastID)
		},
	}
}

// call simulates the endpoint's side of a call.
func (sim *simulation) call(ctx context.Context, a pipeline.Attempt, emit func(string)) (pipeline.Result, error) {
	sim.mu.Lock()
	sim.calls[a.Endpoint.Name()]++
	units, work := drawCost(sim.rng, a)
	sim.mu.Unlock()
	endpoint := sim.endpoints[a.Endpoint.Name()]
	if endpoint.down(time.Now()) {
		time.Sleep(resetDelay)
		return pipeline.Result{}, &pipeline.CallError{Err: fault.Errorf(fault.EndpointFailed, "reset")}
	}
	select {
	case endpoint.slots <- struct{}{}:
	case <-ctx.Done():
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	}
	defer func() { <-endpoint.slots }()
	select {
	case <-time.After(time.Duration(float64(work) * endpoint.slowdown(time.Now()))):
	case <-ctx.Done():
		return pipeline.Result{}, &pipeline.CallError{Err: fault.From(ctx.Err())}
	}
	return pipeline.Result{Text: "done", Units: units}, nil
}

// drawCost draws the units and the duration of a call.
func drawCost(rng *rand.Rand, a pipeline.Attempt) (float64, time.Duration) {
	jitter := 0.7 + 0.6*rng.Float64()
	if a.Stage.Unit() == "tokens" {
		n := float64(a.Input.MaxTokens) * (0.4 + 0.6*rng.Float64())
		return n, time.Duration((20 + 2.4*n) * jitter * float64(time.Millisecond))
	}
	return 1, time.Duration(20 * jitter * float64(time.Millisecond))
}

// run sends requests at random intervals for the configured time and waits for
// all answers.
func (sim *simulation) run() {
	end := time.Now().Add(time.Duration(sim.seconds) * time.Second)
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(end); i++ {
		sim.mu.Lock()
		gap := time.Duration(sim.rng.ExpFloat64() / sim.rate * float64(time.Second))
		sim.mu.Unlock()
		time.Sleep(gap)
		sim.mu.Lock()
		org, _ := sim.set.Organisation(sim.pickOrganisation(sim.rng))
		kind, _ := sim.set.Kind(sim.pickKind(sim.rng))
		maxTokens := 100 + sim.rng.IntN(250)
		sim.mu.Unlock()
		wg.Go(func() { sim.send(i, org, kind, maxTokens) })
	}
	wg.Wait()
}

func (sim *simulation) send(i int, org *declare.Organisation, kind *declare.Kind, maxTokens int) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(deadline))
	defer cancel()
	_, err := sim.runners[i%len(sim.runners)].Run(ctx, pipeline.Request{
		ID: fmt.Sprint(i), Organisation: org, Kind: kind, Deadline: start.Add(deadline),
		Input: pipeline.Payload{Text: "photo notes", MaxTokens: maxTokens},
	})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.results = append(sim.results, requestResult{start: start, organisation: org.Name(), kind: kind.Name(), took: time.Since(start), err: err})
}

// attainment returns the fraction of the included requests that were answered
// within the deadline.
func (sim *simulation) attainment(include func(requestResult) bool) float64 {
	total, inTime := 0, 0
	for _, r := range sim.results {
		if !include(r) {
			continue
		}
		total++
		if r.err == nil && r.took <= deadline {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, total))
}

// goodput returns the number of requests per second answered within the deadline.
func (sim *simulation) goodput() float64 {
	return sim.attainment(anyRequest) * float64(len(sim.results)) / float64(sim.seconds)
}

func anyRequest(requestResult) bool { return true }

// wastedFraction returns the fraction of the endpoints' busy time that was spent on
// calls without a useful result.
func (sim *simulation) wastedFraction() float64 {
	var useful, wasted time.Duration
	for _, c := range sim.charges {
		if c.Class == pipeline.Useful {
			useful += c.Busy
		} else {
			wasted += c.Busy
		}
	}
	return float64(wasted) / float64(max(1, useful+wasted))
}

// generateCapacity is the number of requests per second that the generate stage
// can serve.
const generateCapacity = 180.0

// simulate runs traffic at loadFactor times the capacity of the generate stage,
// on a simulation that setUp may adjust beforehand.
func simulate(t *testing.T, policy stage.Policy, seed uint64, loadFactor float64, seconds int, setUp func(*simulation)) *simulation {
	t.Helper()
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(t, policy, seed, 3)
		sim.rate = loadFactor * generateCapacity
		sim.seconds = seconds
		if setUp != nil {
			setUp(sim)
		}
		sim.run()
	})
	return sim
}
