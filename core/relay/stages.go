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

// expiryMargin is kept before results are given up: what is known of when they
// were made is as old as an answer between two instances.
const expiryMargin = 200 * time.Millisecond

// stageRun is the stages of one request while they are done.
type stageRun struct {
	run  *run
	zone string
	// handles holds the results of each stage, and done is closed when they
	// are there or the stages were given up.
	handles [][]string
	done    []chan struct{}
	// expires holds when the results of each stage are no longer kept.
	expires []time.Time
	cancel  context.CancelFunc

	mu  sync.Mutex
	err error
}

// doStages does the stages of a request and returns the handles that an engine
// in the zone needs.
func (u *run) doStages(ctx context.Context, zone string) ([]string, error) {
	total := 0
	for _, n := range u.req.Pieces {
		total += n
	}
	if total == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := len(u.route.Stages)
	s := &stageRun{run: u, zone: zone, handles: make([][]string, n), done: make([]chan struct{}, n), expires: make([]time.Time, n), cancel: cancel}
	for i := range s.done {
		s.done[i] = make(chan struct{})
	}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			defer close(s.done[i])
			s.one(ctx, i)
		})
	}
	wg.Wait()
	if s.err != nil {
		for i, handles := range s.handles {
			if len(handles) > 0 {
				u.relay.deps.Free(u.route.Stages[i].Service, handles)
			}
		}
		return nil, s.err
	}
	return s.inputs(), nil
}

// one does the stage with the given index once those before it are done.
func (s *stageRun) one(ctx context.Context, i int) {
	u := s.run
	decl := u.route.Stages[i]
	var inputs []string
	for _, before := range decl.After {
		<-s.done[before]
		inputs = append(inputs, s.handles[before]...)
	}
	if u.req.Pieces[i] == 0 || ctx.Err() != nil {
		return
	}
	w := Work{
		Service: decl.Service, Request: u.req.ID, Stage: i, Class: u.route.Name + "/" + strconv.Itoa(i),
		Inputs: inputs, Pieces: u.req.Pieces[i], Bytes: decl.Bytes,
		Due: u.aim.Sub(u.now()) - s.after(i), Left: u.firstBy.Sub(u.now()) - s.after(i), Worth: u.worth(),
	}
	if len(inputs) == 0 {
		w.Key = u.req.PieceKey
	}
	w.Left = min(w.Left, s.inputsLast(i))
	w.Zone, w.Moved = s.home(i, inputs)
	began := u.now()
	handles, err := u.relay.deps.Work(ctx, w)
	s.log(i, w, err)
	if err != nil {
		s.fail(i, err)
		return
	}
	u.relay.learnt.ObserveStage(u.now(), u.route.Name, i, u.guessStage(i), u.now().Sub(began))
	s.mu.Lock()
	s.handles[i] = handles
	s.expires[i] = u.now().Add(u.keeps(i) - expiryMargin)
	s.mu.Unlock()
	s.freeUsed(i)
}

// inputsLast returns how long the inputs of stage i are kept: a piece that
// begins later finds them gone.
func (s *stageRun) inputsLast(i int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := time.Duration(math.MaxInt64)
	for _, before := range s.run.route.Stages[i].After {
		if s.run.req.Pieces[before] > 0 {
			last = min(last, s.expires[before].Sub(s.run.now()))
		}
	}
	return last
}

// keeps returns how long the results of a stage are kept at their server.
func (u *run) keeps(i int) time.Duration {
	if svc, ok := u.table.Service(u.route.Stages[i].Service); ok && svc.Pieces != nil && svc.Pieces.ResultLife > 0 {
		return svc.Pieces.ResultLife
	}
	return math.MaxInt64 / 2
}

// log notes how a stage went.
func (s *stageRun) log(i int, w Work, err error) {
	u := s.run
	outcome := "made"
	if err != nil {
		outcome = outcomeName(err)
	}
	u.relay.deps.Log(Decision{
		RequestID: u.req.ID, Step: "stage " + strconv.Itoa(i), Version: u.table.Version(), Route: u.route.Name, Service: w.Service,
		Organisation: u.orgName, Zone: w.Zone, Pieces: w.Pieces, Outcome: outcome, Waited: u.now().Sub(u.req.Arrived), Left: u.left(),
	})
}

// home returns the zone in which a piece of stage i is best made, and the bytes
// that move if it is made elsewhere: its inputs, or its result where the engine
// reads it.
func (s *stageRun) home(i int, inputs []string) (zone string, moved int64) {
	u := s.run
	byZone := make(map[string]int64)
	n := 0
	for _, before := range u.route.Stages[i].After {
		for range u.req.Pieces[before] {
			if n < len(inputs) {
				byZone[u.relay.deps.ZoneOf(inputs[n])] += u.route.Stages[before].Bytes
			}
			n++
		}
	}
	if slices.Contains(u.route.Last(), i) {
		byZone[s.zone] += u.route.Stages[i].Bytes
	}
	for z, bytes := range byZone {
		if bytes > moved && z != "" {
			zone, moved = z, bytes
		}
	}
	return zone, moved
}

// fail gives all stages up.
func (s *stageRun) fail(i int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil {
		s.err = fault.From(err).At(s.run.route.Stages[i].Service)
	}
	s.cancel()
}

// after returns the time that is needed after a stage until the first event.
func (s *stageRun) after(i int) time.Duration {
	u := s.run
	longest := time.Duration(0)
	for j := i + 1; j < len(u.route.Stages); j++ {
		for _, a := range u.route.Stages[j].After {
			if a != i || u.req.Pieces[j] == 0 {
				continue
			}
			longest = max(longest, u.expectStage(j)+s.after(j))
		}
	}
	if longest > 0 {
		return longest
	}
	return u.relay.learnt.FirstEventTime(u.now(), u.route.Name)
}

// guessStage returns the time of a full call of a stage's service.
func (u *run) guessStage(j int) time.Duration {
	svc, ok := u.table.Service(u.route.Stages[j].Service)
	if !ok || svc.Pieces == nil {
		return 0
	}
	return svc.Pieces.CallTime + time.Duration(svc.Pieces.Batch)*svc.Pieces.ItemTime
}

// expectStage returns the time that half of the requests need for a stage.
func (u *run) expectStage(j int) time.Duration {
	return u.relay.learnt.StageTime(u.now(), u.route.Name, j, u.guessStage(j))
}

// freeUsed gives up the results that only stage i needed.
func (s *stageRun) freeUsed(i int) {
	u := s.run
	for _, before := range u.route.Stages[i].After {
		others := false
		for j, decl := range u.route.Stages {
			for _, a := range decl.After {
				others = others || a == before && j != i
			}
		}
		if others {
			continue
		}
		s.mu.Lock()
		handles := s.handles[before]
		s.handles[before] = nil
		s.mu.Unlock()
		u.relay.deps.Free(u.route.Stages[before].Service, handles)
	}
}

// inputs returns the handles of the stages that no other follows, which are
// held until the request no longer needs them.
func (s *stageRun) inputs() []string {
	u := s.run
	var out []string
	last := u.route.Last()
	for i, handles := range s.handles {
		if len(handles) == 0 {
			continue
		}
		if !slices.Contains(last, i) {
			u.relay.deps.Free(u.route.Stages[i].Service, handles)
			continue
		}
		out = append(out, handles...)
		u.hold(u.route.Stages[i].Service, handles)
	}
	return out
}
