package pipeline

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/stage"
)

const (
	// maxPrefixBytes is the maximum number of bytes at the start of a prompt that
	// are hashed as its prefix for affinity.
	maxPrefixBytes = 256

	// answerMargin is reserved at the end of a deadline to deliver the answer.
	answerMargin = 5 * time.Millisecond
)

type (
	// Runner executes requests. Use [New] to make one. It is safe for concurrent
	// use.
	Runner struct {
		deps   Deps
		policy stage.Policy

		mu        sync.RWMutex
		stages    map[string]*stage.Stage
		leaving   map[string]bool
		instances int
		rng       *rand.Rand
	}

	// plan is the stages of an admitted request, with the cost announced to each.
	plan struct {
		stages []*stage.Stage
		// statedCost is the cost that follows from the request, and expectedCost
		// is the estimate after correction by recent calls.
		statedCost   []float64
		expectedCost []float64
		durations    []time.Duration
		// withdrawn is the number of leading stages whose announcements have been
		// withdrawn.
		withdrawn int
	}
)

// New returns a runner without stages. [Runner.SetDeclarations] adds them.
func New(deps Deps, policy stage.Policy, rng *rand.Rand) *Runner {
	return &Runner{deps: deps, policy: policy, stages: make(map[string]*stage.Stage), instances: 1, rng: rng}
}

// SetDeclarations puts a set of declarations in force. Requests that are already
// running keep the declarations that they started with.
func (r *Runner) SetDeclarations(set *declare.Set) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stages := make(map[string]*stage.Stage)
	for _, name := range set.StageNames() {
		decl, _ := set.Stage(name)
		s, ok := r.stages[name]
		if ok {
			s.SetDeclaration(decl)
		} else {
			rng := rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
			s = stage.New(decl, r.deps.Instance, r.instances, r.deps.Clock, rng, r.policy)
		}
		stages[name] = s
	}
	r.stages = stages
	r.updateStages()
}

// SetLeaving excludes exactly the named endpoints from new calls.
func (r *Runner) SetLeaving(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		r.leaving[name] = true
	}
	r.updateStages()
}

// SetInstances sets the number of entry instances that share the endpoints.
func (r *Runner) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = max(1, n); n == r.instances {
		return
	}
	r.instances = n
	r.updateStages()
}

// ReportLoad records the load that an endpoint reported for the given time, and the
// models and adapters that it has loaded. If loaded is nil, the endpoint did not
// report them.
func (r *Runner) ReportLoad(endpoint string, load float64, loaded []string, at time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.stages {
		s.ReportLoad(endpoint, load, loaded, at)
	}
}

// Demand returns the number of this instance's calls that are in flight or
// queued, by model.
func (r *Runner) Demand() map[string]float64 {
	out := make(map[string]float64)
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.stages {
		if model, calls := s.Demand(); model != "" {
			out[model] += calls
		}
	}
	return out
}

// Status returns the status of every stage, sorted by name.
func (r *Runner) Status() []stage.Status {
	now := r.deps.Clock.Now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]stage.Status, 0, len(r.stages))
	for _, s := range r.stages {
		out = append(out, s.Status(now))
	}
	slices.SortFunc(out, func(a, b stage.Status) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// updateStages passes the leaving endpoints and the number of instances on to
// every stage. The caller holds mu.
func (r *Runner) updateStages() {
	for _, s := range r.stages {
		s.UpdateMembership(r.leaving, r.instances)
	}
}

// Run executes a request. The error is a [*fault.Error] that names the stage, if
// one is to blame. Its Ran says whether non-idempotent work ran or, for an
// idempotent request, whether any work ran.
func (r *Runner) Run(ctx context.Context, req Request) (Answer, error) {
	now := r.deps.Clock.Now()
	remaining := req.Deadline.Sub(now)
	if remaining <= 0 {
		return Answer{}, fault.Errorf(fault.DeadlineTooShort, "the deadline has passed")
	}
	p, err := r.plan(now, req)
	if err != nil {
		return Answer{}, fault.From(err).WithRan(fault.RanNo)
	}
	defer p.withdrawAll(req.Organisation)
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	run := &run{runner: r, req: req, plan: p, start: now}
	return run.runStages(ctx)
}

// plan forecasts the whole pipeline before anything is sent. It refuses a request
// that cannot finish in time. Otherwise it announces the request to every stage.
func (r *Runner) plan(now time.Time, req Request) (*plan, error) {
	p := &plan{}
	total := time.Duration(0)
	bottleneck, longestWait := "", time.Duration(-1)
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, decl := range req.Kind.Stages() {
		s, ok := r.stages[decl.Name()]
		if !ok {
			return nil, fault.Errorf(fault.Draining, "the stage is no longer declared").WithStage(decl.Name())
		}
		stated := statedCost(decl, req.Input)
		wait, duration, cost, err := s.Forecast(now, req.Organisation, stated, total)
		if err != nil {
			return nil, err
		}
		if wait > longestWait {
			bottleneck, longestWait = decl.Name(), wait
		}
		total += wait + duration
		p.stages = append(p.stages, s)
		p.statedCost = append(p.statedCost, stated)
		p.expectedCost = append(p.expectedCost, cost)
		p.durations = append(p.durations, duration)
	}
	if remaining := req.Deadline.Sub(now); !r.policy.NoAdmission && !r.policy.NoForecast && total+answerMargin > remaining {
		kind := fault.DeadlineTooShort
		if longestWait > 0 {
			kind = fault.Overloaded
		}
		return nil, fault.Errorf(kind, "the pipeline needs %v, including a wait of %v for stage %q, but only %v remain", total.Round(time.Millisecond), longestWait.Round(time.Millisecond), bottleneck, remaining.Round(time.Millisecond)).WithStage(bottleneck)
	}
	for i, s := range p.stages {
		s.Announce(req.Organisation, p.expectedCost[i])
	}
	return p, nil
}

// withdrawThrough withdraws the announcements of the stages up to index i.
func (p *plan) withdrawThrough(org *declare.Organisation, i int) {
	for ; p.withdrawn <= i; p.withdrawn++ {
		p.stages[p.withdrawn].Withdraw(org, p.expectedCost[p.withdrawn])
	}
}

func (p *plan) withdrawAll(org *declare.Organisation) { p.withdrawThrough(org, len(p.stages)-1) }

// durationAfter returns the expected duration of the stages after index i,
// including answerMargin.
func (p *plan) durationAfter(i int) time.Duration {
	total := answerMargin
	for _, d := range p.durations[i+1:] {
		total += d
	}
	return total
}

// statedCost returns the cost of an input in the stage's unit, before correction
// by recent calls.
func statedCost(decl *declare.Stage, in Payload) float64 {
	switch decl.Unit() {
	case "images":
		return float64(max(1, len(in.Images)))
	case "documents":
		return float64(max(1, len(in.Documents)))
	case "tokens":
		return float64(max(1, in.MaxTokens))
	}
	return 1
}
