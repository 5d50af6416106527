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
	// maxPrefixBytes is how much of a prompt counts as its prefix.
	maxPrefixBytes = 256

	// answerMargin is kept free at the end of a deadline to give the answer.
	answerMargin = 5 * time.Millisecond
)

type (
	// Runner takes requests through their stages. Use New. It is safe for
	// concurrent use.
	Runner struct {
		deps   Deps
		policy stage.Policy

		mu        sync.RWMutex
		stages    map[string]*stage.Stage
		leaving   map[string]bool
		instances int
		rng       *rand.Rand
	}

	// plan is a request's stages with their announced cost.
	plan struct {
		stages []*stage.Stage
		// statedCost is the cost as the request states it, cost the corrected one.
		statedCost   []float64
		expectedCost []float64
		durations    []time.Duration
		// withdrawn is the number of stages whose announcement has been withdrawn.
		withdrawn int
	}
)

// New returns a runner without stages; Replace gives it some.
func New(deps Deps, policy stage.Policy, rng *rand.Rand) *Runner {
	return &Runner{deps: deps, policy: policy, stages: make(map[string]*stage.Stage), instances: 1, rng: rng}
}

// SetDeclarations puts a set of declarations in force. Requests that run keep the
// declarations with which they began.
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

// SetLeaving shuts exactly the named endpoints out from new calls.
func (r *Runner) SetLeaving(names []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = make(map[string]bool, len(names))
	for _, name := range names {
		r.leaving[name] = true
	}
	r.updateStages()
}

// SetInstances notes how many entry instances share the endpoints.
func (r *Runner) SetInstances(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n = max(1, n); n == r.instances {
		return
	}
	r.instances = n
	r.updateStages()
}

// Report notes an endpoint's report of its load at a given time, and of the
// models and adapters that it has loaded; nil means that it does not say.
func (r *Runner) Report(endpoint string, load float64, loaded []string, at time.Time) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, s := range r.stages {
		s.ReportLoad(endpoint, load, loaded, at)
	}
}

// Demand returns the calls of this instance that are at work or waiting, by model.
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

// Status returns the state of every stage, ordered by name.
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

// updateStages tells every stage what holds for all. The caller holds mu.
func (r *Runner) updateStages() {
	for _, s := range r.stages {
		s.UpdateMembership(r.leaving, r.instances)
	}
}

// Run takes a request through its stages. The error is a *fault.Error that
// names the stage and says whether non-idempotent work ran; for a request that
// is idempotent, whether any call was sent.
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

// plan looks at the whole pipeline before anything is sent. It refuses a
// request that cannot finish in time and announces the others to every stage.
func (r *Runner) plan(now time.Time, req Request) (*plan, error) {
	p := &plan{}
	total := time.Duration(0)
	bottleneck, longestWait := "", time.Duration(-1)
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, decl := range req.Kind.Stages() {
		s, ok := r.stages[decl.Name()]
		if !ok {
			return nil, fault.Errorf(fault.Draining, "the stage is no longer declared").At(decl.Name())
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
		return nil, fault.Errorf(kind, "the pipeline needs %v, of which %v is the wait for stage %q, and %v remain", total.Round(time.Millisecond), longestWait.Round(time.Millisecond), bottleneck, remaining.Round(time.Millisecond)).At(bottleneck)
	}
	for i, s := range p.stages {
		s.Announce(req.Organisation, p.expectedCost[i])
	}
	return p, nil
}

// withdrawThrough withdraws the announcement of the stage with the given index.
func (p *plan) withdrawThrough(org *declare.Organisation, i int) {
	for ; p.withdrawn <= i; p.withdrawn++ {
		p.stages[p.withdrawn].Withdraw(org, p.expectedCost[p.withdrawn])
	}
}

func (p *plan) withdrawAll(org *declare.Organisation) { p.withdrawThrough(org, len(p.stages)-1) }

// durationAfter returns the time that the stages after the given one take.
func (p *plan) durationAfter(i int) time.Duration {
	total := answerMargin
	for _, d := range p.durations[i+1:] {
		total += d
	}
	return total
}

// statedCost returns the cost in the stage's unit that a request states.
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
