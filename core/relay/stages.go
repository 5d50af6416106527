package relay

import (
	"context"
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"chervilpath/core/fault"
)

// expiryMargin is how long before their expiry results are treated as expired:
// the time at which they were stored is known only to within the delay of a
// response between two instances.
const expiryMargin = 200 * time.Millisecond

// stageResults are the results of a request's stages.
type stageResults struct {
	// inputs are the handles of those that an engine reads, and held all that have to
	// be released.
	inputs []string
	held   []heldResults
}

// stageRunner runs the stages of one request.
type stageRunner struct {
	exec       *execution
	engineZone string
	// deadline is when the engine's next event has to come.
	deadline time.Time
	// handles holds the handles of the results of each stage. The stage's
	// channel in done is closed when they are available or the stage has ended
	// without results.
	handles [][]string
	done    []chan struct{}
	// expiry holds when the results of each stage expire at their server.
	expiry []time.Time
	cancel context.CancelFunc

	mu  sync.Mutex
	err error
}

// runStages runs the stages of a request for an engine in the given zone, whose next
// event has to come by deadline. It may be called while an attempt is in progress.
func (e *execution) runStages(ctx context.Context, engineZone string, deadline time.Time) (stageResults, error) {
	if e.pieces() == 0 {
		return stageResults{}, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := len(e.route.Stages)
	r := &stageRunner{exec: e, engineZone: engineZone, deadline: deadline, handles: make([][]string, n), done: make([]chan struct{}, n), expiry: make([]time.Time, n), cancel: cancel}
	for i := range r.done {
		r.done[i] = make(chan struct{})
	}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			defer close(r.done[i])
			r.runStage(ctx, i)
		})
	}
	wg.Wait()
	if r.err != nil {
		for i, handles := range r.handles {
			if len(handles) > 0 {
				e.relay.deps.FreeResults(e.route.Stages[i].Service, handles)
			}
		}
		return stageResults{}, r.err
	}
	return r.engineInputs(), nil
}

// pieces returns the number of pieces of all stages.
func (e *execution) pieces() int {
	sum := 0
	for _, n := range e.req.Pieces {
		sum += n
	}
	return sum
}

// runStage runs stage i once the stages that it depends on are done.
func (r *stageRunner) runStage(ctx context.Context, i int) {
	e := r.exec
	stage := e.route.Stages[i]
	var inputs []string
	for _, dep := range stage.DependsOn {
		<-r.done[dep]
		inputs = append(inputs, r.handles[dep]...)
	}
	if e.req.Pieces[i] == 0 || ctx.Err() != nil {
		return
	}
	job := StageJob{
		Service: stage.Service, RequestID: e.req.ID, Stage: i, Class: e.route.Name + "/" + strconv.Itoa(i),
		Inputs: inputs, Pieces: e.req.Pieces[i], ResultBytes: stage.ResultBytes,
		Due: e.due.Sub(e.now()) - r.timeAfter(i), Remaining: r.deadline.Sub(e.now()) - r.timeAfter(i), Worth: e.worth,
	}
	if len(inputs) == 0 {
		job.PieceKey = e.req.PieceKey
	}
	inputsRemaining := r.inputsRemaining(i)
	limitedByInputs := inputsRemaining < job.Remaining
	job.Remaining = min(job.Remaining, inputsRemaining)
	job.Zone, job.CrossZoneBytes = r.preferredZone(i, inputs)
	start := e.now()
	handles, err := e.relay.deps.RunStage(ctx, job)
	r.log(i, job, err)
	if err != nil {
		if limitedByInputs && isTooLate(err) && r.deadline.Sub(e.now()) > r.timeFrom(i) {
			// The results are about to expire, but the request has enough time
			// left to compute them again.
			err = fault.Errorf(fault.InputGone, "the inputs of stage %d expire before it can start: %w", i, err).WithRan(fault.RanNo)
		}
		r.fail(i, err)
		return
	}
	e.relay.stats.ObserveStage(e.now(), e.route.Name, i, e.initialStageTime(i), e.now().Sub(start))
	r.mu.Lock()
	r.handles[i] = handles
	r.expiry[i] = e.now().Add(e.resultTTL(i) - expiryMargin)
	r.mu.Unlock()
	r.freeConsumedInputs(i)
}

// isTooLate reports whether a stage failed because it could not finish in time.
func isTooLate(err error) bool {
	kind := fault.From(err).Kind()
	return kind == fault.DeadlineTooShort || kind == fault.Overloaded
}

// timeFrom returns the expected time from the start of the stages that stage i
// depends on to the first event.
func (r *stageRunner) timeFrom(i int) time.Duration {
	longest := time.Duration(0)
	for _, dep := range r.exec.route.Stages[i].DependsOn {
		longest = max(longest, r.timeFrom(dep))
	}
	if longest == 0 {
		return r.exec.expectedStageTime(i) + r.timeAfter(i)
	}
	return longest
}

// inputsRemaining returns how long the inputs of stage i are kept: a piece that
// starts later finds them gone.
func (r *stageRunner) inputsRemaining(i int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := time.Duration(math.MaxInt64)
	for _, dep := range r.exec.route.Stages[i].DependsOn {
		if r.exec.req.Pieces[dep] > 0 {
			remaining = min(remaining, r.expiry[dep].Sub(r.exec.now()))
		}
	}
	return remaining
}

// resultTTL returns how long the results of stage i are kept at their server.
func (e *execution) resultTTL(i int) time.Duration {
	if svc, ok := e.table.Service(e.route.Stages[i].Service); ok && svc.Pieces != nil && svc.Pieces.ResultTTL > 0 {
		return svc.Pieces.ResultTTL
	}
	return math.MaxInt64 / 2
}

// log records the outcome of a stage.
func (r *stageRunner) log(i int, job StageJob, err error) {
	e := r.exec
	outcome := "made"
	if err != nil {
		outcome = outcomeText(err)
	}
	e.relay.deps.Log(Decision{
		RequestID: e.req.ID, Step: "stage " + strconv.Itoa(i), Version: e.table.Version(), Route: e.route.Name, Service: job.Service,
		Organisation: e.orgName, Zone: job.Zone, Pieces: job.Pieces, Outcome: outcome, Elapsed: e.now().Sub(e.req.Arrived), Remaining: e.remaining(),
	})
}

// preferredZone returns the zone in which a piece of stage i is best processed,
// and the bytes that cross zones if it is processed elsewhere: its inputs there,
// and its result if an engine there reads it.
func (r *stageRunner) preferredZone(i int, inputs []string) (zone string, crossZoneBytes int64) {
	e := r.exec
	bytesByZone := make(map[string]int64)
	input := 0
	for _, dep := range e.route.Stages[i].DependsOn {
		for range e.req.Pieces[dep] {
			if input < len(inputs) {
				bytesByZone[e.relay.deps.ResultZone(inputs[input])] += e.route.Stages[dep].ResultBytes
			}
			input++
		}
	}
	if slices.Contains(e.route.FinalStages(), i) {
		bytesByZone[r.engineZone] += e.route.Stages[i].ResultBytes
	}
	for candidate, bytes := range bytesByZone {
		if bytes > crossZoneBytes && candidate != "" {
			zone, crossZoneBytes = candidate, bytes
		}
	}
	return zone, crossZoneBytes
}

// fail records the error of stage i and cancels all stages.
func (r *stageRunner) fail(i int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil {
		r.err = fault.From(err).WithStage(r.exec.route.Stages[i].Service)
	}
	r.cancel()
}

// timeAfter returns the expected time from the end of stage i to the first
// event.
func (r *stageRunner) timeAfter(i int) time.Duration {
	e := r.exec
	longest := time.Duration(0)
	for j := i + 1; j < len(e.route.Stages); j++ {
		for _, dep := range e.route.Stages[j].DependsOn {
			if dep != i || e.req.Pieces[j] == 0 {
				continue
			}
			longest = max(longest, e.expectedStageTime(j)+r.timeAfter(j))
		}
	}
	if longest > 0 {
		return longest
	}
	return e.relay.stats.FirstEventTime(e.now(), e.route.Name)
}

// initialStageTime returns the time of a call with a full batch, which is the
// estimate for stage j until enough requests have been observed.
func (e *execution) initialStageTime(j int) time.Duration {
	svc, ok := e.table.Service(e.route.Stages[j].Service)
	if !ok || svc.Pieces == nil {
		return 0
	}
	return svc.Pieces.CallTime + time.Duration(svc.Pieces.MaxBatch)*svc.Pieces.ItemTime
}

// expectedStageTime returns the median time of stage j.
func (e *execution) expectedStageTime(j int) time.Duration {
	return e.relay.stats.StageTime(e.now(), e.route.Name, j, e.initialStageTime(j))
}

// freeConsumedInputs releases the inputs of stage i that no other stage reads.
func (r *stageRunner) freeConsumedInputs(i int) {
	e := r.exec
	for _, dep := range e.route.Stages[i].DependsOn {
		neededElsewhere := false
		for j, stage := range e.route.Stages {
			for _, other := range stage.DependsOn {
				neededElsewhere = neededElsewhere || other == dep && j != i
			}
		}
		if neededElsewhere {
			continue
		}
		r.mu.Lock()
		handles := r.handles[dep]
		r.handles[dep] = nil
		r.mu.Unlock()
		e.relay.deps.FreeResults(e.route.Stages[dep].Service, handles)
	}
}

// engineInputs returns the results of the final stages, which are kept until the
// request no longer needs them, and releases those of the other stages.
func (r *stageRunner) engineInputs() stageResults {
	e := r.exec
	var out stageResults
	final := e.route.FinalStages()
	for i, handles := range r.handles {
		if len(handles) == 0 {
			continue
		}
		service := e.route.Stages[i].Service
		if !slices.Contains(final, i) {
			e.relay.deps.FreeResults(service, handles)
			continue
		}
		out.inputs = append(out.inputs, handles...)
		out.held = append(out.held, heldResults{service: service, handles: handles})
	}
	return out
}
