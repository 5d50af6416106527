package edge

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/gather"
	"chervilpath/core/member"
	"chervilpath/core/overload"
	"chervilpath/core/relay"
	"chervilpath/core/route"
	"chervilpath/core/slot"
	"chervilpath/io/peer"
	"chervilpath/io/upstream"
	"chervilpath/platform"
)

const (
	// peerBackoff is how long a peer that did not answer is not chosen as an owner.
	peerBackoff = time.Second

	// maxOwnerAttempts is how many owners of a service are called, one after the
	// other. After them, an instance that owns services does the work itself, and
	// any other one refuses it.
	maxOwnerAttempts = 3

	// freeTimeout is the timeout for freeing results at their servers when the
	// owner of the service does not answer.
	freeTimeout = 400 * time.Millisecond
)

// delegator passes work for a service to the instance that owns the service, and
// does the work for the services that this instance owns. It is safe for concurrent
// use.
type delegator struct {
	instance *Instance

	mu sync.Mutex
	// placers and dispatchers are keyed by service name.
	placers     map[string]*engine.Placer
	dispatchers map[string]*gather.Dispatcher
	// pausedUntil holds, by address, until when a peer is not chosen as an owner.
	pausedUntil map[string]time.Time
	// computedBy holds the peer that had a result computed, by handle, and placedBy
	// the peer that placed a request, by request ID.
	computedBy, placedBy *peerIndex
	// reports has an entry for each report of an observation to another instance.
	reports chan struct{}
	// slotPauses holds, by address, the pauses of owners that did not answer a request for a
	// slot.
	slotPauses map[string]*slotPause
	// engineQueues holds the queues of requests for engines, by service.
	engineQueues map[string]*slot.Owner
	// delayed counts requests that had to wait here or were refused, by organisation.
	delayed overload.Top
}

func newDelegator(in *Instance) *delegator {
	return &delegator{
		instance: in, placers: make(map[string]*engine.Placer), dispatchers: make(map[string]*gather.Dispatcher),
		pausedUntil: make(map[string]time.Time), computedBy: newPeerIndex(time.Now()), placedBy: newPeerIndex(time.Now()), slotPauses: make(map[string]*slotPause), engineQueues: make(map[string]*slot.Owner),
		reports: make(chan struct{}, maxReports),
	}
}

// placer returns the placer of a service, and creates it if there is none.
func (d *delegator) placer(service string) *engine.Placer {
	d.mu.Lock()
	defer d.mu.Unlock()
	placer, ok := d.placers[service]
	if !ok {
		placer = engine.New()
		placer.Usable = d.instance.cold.mayPlace
		d.placers[service] = placer
	}
	return placer
}

// dispatcher returns the dispatcher of a service, and creates it with the given
// configuration if there is none.
func (d *delegator) dispatcher(service string, pieces route.PieceConfig) *gather.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	dispatcher, ok := d.dispatchers[service]
	if !ok {
		dispatcher = gather.NewDispatcher(service, pieces, d.instance.clock, gather.Deps{
			RunBatch: d.runBatch, Free: d.freeAtServers, BatchEnded: d.batchEnded, Admit: d.instance.cold.admitBatch,
		})
		d.dispatchers[service] = dispatcher
	}
	return dispatcher
}

// existingDispatcher returns the dispatcher of a service, or nil if there is none.
func (d *delegator) existingDispatcher(service string) *gather.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatchers[service]
}

// owner returns the address of the instance that owns a service, or "" if it is
// this one. It is chosen by rendezvous hashing among the members of the directory.
// A peer that did not answer is left out for peerBackoff, so that the next
// candidate becomes the owner. It reports false if no candidate is left.
func (d *delegator) owner(service string) (address string, ok bool) {
	now := time.Now()
	directory, _ := d.instance.members.Directory()
	m, ok := member.Owner(directory, service, func(m member.Member) bool {
		return m.ID == d.instance.incarnation || !d.isPaused(m.Address, now)
	})
	if m.ID == d.instance.incarnation {
		return "", ok
	}
	return m.Address, ok
}

// worksForOthers reports whether this instance is in the directory, so that others
// may choose it as an owner.
func (d *delegator) worksForOthers() bool {
	directory, _ := d.instance.members.Directory()
	return slices.ContainsFunc(directory, func(m member.Member) bool { return m.ID == d.instance.incarnation })
}

func (d *delegator) isPaused(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.pausedUntil[address])
}

// pausePeer keeps the peer at an address from being chosen as an owner for
// peerBackoff.
func (d *delegator) pausePeer(address string, err error) {
	d.mu.Lock()
	now := time.Now()
	maps.DeleteFunc(d.pausedUntil, func(_ string, until time.Time) bool { return now.After(until) })
	d.pausedUntil[address] = now.Add(peerBackoff)
	d.mu.Unlock()
	d.instance.log.Warn("owner does not answer", zap.String("peer", address), zap.Error(err))
}

// runStage has the pieces of a stage computed by the owner of their service and
// returns the handles of the results. After maxOwnerAttempts owners that did not
// answer, or if no candidate is left, an instance of the directory does the work
// itself; if no candidate is left, any instance does, since it is then cut off from
// the others.
func (d *delegator) runStage(ctx context.Context, job relay.StageJob) ([]string, error) {
	start := time.Now()
	due, remaining := job.Due, job.Remaining
	for range maxOwnerAttempts {
		elapsed := time.Since(start)
		job.Due, job.Remaining = due-elapsed, remaining-elapsed
		address, ok := d.owner(job.Service)
		if !ok || address == "" {
			return d.runStageLocally(ctx, job)
		}
		handles, err := d.instance.peers.RunStage(ctx, address, job)
		if err == nil {
			d.computedBy.record(time.Now(), handles, address)
			return handles, nil
		}
		if !errors.Is(err, peer.ErrNoAnswer) && fault.From(err).Kind() != fault.Draining || ctx.Err() != nil {
			return nil, err
		}
		d.pausePeer(address, err)
	}
	if d.worksForOthers() {
		return d.runStageLocally(ctx, job)
	}
	return nil, fault.Errorf(fault.EndpointUnavailable, "none of %d owners of service %q answers", maxOwnerAttempts, job.Service).WithRan(fault.RanNo)
}

// runStageForPeer has the pieces of a stage of another instance's request computed
// by this instance, once it is ready.
func (d *delegator) runStageForPeer(ctx context.Context, job relay.StageJob) ([]string, error) {
	start := time.Now()
	if !d.instance.awaitReady(ctx) {
		return nil, fault.Errorf(fault.Draining, "the owner of service %q is not ready", job.Service)
	}
	if !d.instance.state.awaitUse(ctx, job.Service, func(u serviceUse) bool { return u.pieces != nil }) {
		return nil, fault.Errorf(fault.Draining, "service %q does not run stages at its owner yet", job.Service)
	}
	elapsed := time.Since(start)
	job.Due, job.Remaining = job.Due-elapsed, job.Remaining-elapsed
	return d.runStageLocally(ctx, job)
}

// placeForPeer chooses an engine for another instance's request, once this
// instance is ready. An instance that does not become ready finds none. It returns an
// error if the service has no engines here yet, so that the other instance turns elsewhere.
func (d *delegator) placeForPeer(ctx context.Context, service string, q engine.Query) (string, error) {
	d.instance.awaitReady(ctx)
	if !d.instance.state.awaitUse(ctx, service, func(u serviceUse) bool { return u.engine != nil }) {
		return "", fault.Errorf(fault.Draining, "service %q has no engines at its owner yet", service)
	}
	return d.placeAsOwner(ctx, service, q, min(q.Demand.Wait, engineHold))
}

// runStageLocally has the pieces of a stage computed through this instance's own
// dispatcher and returns the handles of the results.
func (d *delegator) runStageLocally(ctx context.Context, job relay.StageJob) ([]string, error) {
	d.mu.Lock()
	dispatcher, ok := d.dispatchers[job.Service]
	d.mu.Unlock()
	if !ok {
		return nil, fault.Errorf(fault.EndpointUnavailable, "service %q does not run stages at this instance", job.Service)
	}
	now := time.Now()
	items := make([]*gather.Item, job.Pieces)
	for i := range items {
		items[i] = &gather.Item{
			RequestID: job.RequestID, Stage: job.Stage, Piece: i, PieceKey: job.PieceKey, Inputs: job.Inputs, ResultBytes: job.ResultBytes, Zone: job.Zone, CrossZoneBytes: job.CrossZoneBytes,
			Class: job.Class, Due: now.Add(job.Due), Deadline: now.Add(job.Remaining), Worth: job.Worth,
		}
	}
	return dispatcher.Process(ctx, items)
}

func (d *delegator) runBatch(ctx context.Context, b *gather.Batch, remaining func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
	return d.instance.stageClient.RunPieces(upstream.SendBefore(ctx, b.SendBefore), b, remaining)
}

func (d *delegator) batchEnded(service string, b *gather.Batch, elapsed time.Duration, err error) {
	d.instance.metrics.recordBatch(len(b.Items), elapsed, err)
	fields := []zap.Field{zap.String("service", service), zap.String("server", b.Server.ID), zap.Int("pieces", len(b.Items)),
		zap.Int64("tookMs", elapsed.Milliseconds()), zap.Int64("expectedMs", b.Expected().Milliseconds()), zap.Error(err)}
	if b.Pace() > 0 {
		fields = append(fields, zap.Float64("reportedPace", b.Pace()))
	}
	d.instance.log.Info("batch ended", fields...)
}

// freeResults frees results through the instances that had them computed.
func (d *delegator) freeResults(service string, handles []string) {
	byPeer := make(map[string][]string)
	for _, h := range handles {
		address := d.computedBy.take(h)
		byPeer[address] = append(byPeer[address], h)
	}
	for address, list := range byPeer {
		if address == "" {
			d.freeLocally(service, list)
			continue
		}
		go func() {
			if err := d.instance.peers.FreeResults(d.instance.loopCtx, address, service, list); err != nil {
				d.instance.log.Info("peer did not free results; freeing them at their servers", zap.String("peer", address), zap.Error(err))
				ctx, cancel := context.WithTimeout(d.instance.loopCtx, freeTimeout)
				defer cancel()
				_ = d.freeAtServers(ctx, list)
			}
		}()
	}
}

func (d *delegator) freeLocally(service string, handles []string) {
	d.mu.Lock()
	dispatcher, ok := d.dispatchers[service]
	d.mu.Unlock()
	if !ok {
		return
	}
	// What one server does not free must not keep the capacity at others.
	byServer := make(map[string][]string)
	for _, h := range handles {
		address := platform.ResultAddress(h)
		byServer[address] = append(byServer[address], h)
	}
	for _, list := range byServer {
		dispatcher.Free(list)
	}
}

// errUnwilling means that a server is to get no requests from this instance for a while.
var errUnwilling = errors.New("the server is to get no requests")

// errCold means that a server is cold and gets no more requests than those that are admitted.
var errCold = errors.New("the server is cold")

// freeAtServers frees results at the servers that hold them, except those that want no
// requests now, are cold or are in an evacuated zone: their results are held until they
// expire. A cold server bears few requests, which are for work.
func (d *delegator) freeAtServers(ctx context.Context, handles []string) error {
	byServer := make(map[string][]string)
	for _, h := range handles {
		address := platform.ResultAddress(h)
		byServer[address] = append(byServer[address], h)
	}
	var errs []error
	servers, now := d.instance.state.servers(), time.Now()
	for address, list := range byServer {
		s, known := servers.ServerAt(address)
		if listed, ok := servers.Server(s.ID); ok && now.Before(listed.ExcludedUntil) {
			errs = append(errs, errUnwilling)
			continue
		}
		if servers.Evacuated(address) {
			errs = append(errs, errUnwilling)
			continue
		}
		if listed, ok := servers.Server(s.ID); ok && now.Before(listed.ColdUntil) && d.instance.cold.limited(listed.Service) {
			errs = append(errs, errCold)
			continue
		}
		if !known {
			s.Address = address
		}
		errs = append(errs, d.instance.stageClient.FreeResults(ctx, s, list))
	}
	return errors.Join(errs...)
}

// place has the owner of a service choose an engine for a request. It returns the
// engine's ID, or "" if there is none. An error is a refusal of the request.
func (d *delegator) place(ctx context.Context, service string, q engine.Query) (string, error) {
	for range maxOwnerAttempts {
		address, ok := d.owner(service)
		if !ok || address == "" {
			break
		}
		id, err := d.placeAt(ctx, address, service, q)
		if err == nil {
			if id != "" {
				d.placedBy.record(time.Now(), []string{q.RequestID}, address)
			}
			return id, nil
		}
		if refusal, ok := errors.AsType[*fault.Error](err); ok {
			return "", refusal
		}
		go d.withdrawPlacement(address, service, q)
		if ctx.Err() != nil {
			return "", nil
		}
		d.pausePeer(address, err)
	}
	address, ok := d.owner(service)
	owns := ok && address == ""
	if q.Trial != "" && !owns {
		// Each instance that places requests for itself would allow a trial of its own.
		return "", nil
	}
	if owns {
		return d.placeAsOwner(ctx, service, q, q.Demand.Wait)
	}
	// Without the loads that an owner knows, the choice is the one that it would
	// make at equal loads.
	return d.placeLocally(service, q), nil
}

// withdrawPlacement ends the placement of a request at a peer that did not answer. The
// peer may make it later, when it reads the call. The peer is asked until it has
// answered twice, since the first call may overtake the placement, or until the
// placement expires.
func (d *delegator) withdrawPlacement(address, service string, q engine.Query) {
	for answers := 0; answers < 2 && time.Now().Before(q.Expires); {
		d.instance.sleep(d.instance.loopCtx, peerBackoff)
		if d.instance.loopCtx.Err() != nil || d.placedBy.has(q.RequestID, address) {
			// A later placement of the request has replaced it.
			return
		}
		err := d.instance.peers.Settle(d.instance.loopCtx, address, service, q.RequestID, "", balance.Abandoned)
		if err == nil {
			answers++
			continue
		}
		d.instance.log.Info("peer did not withdraw placement", zap.String("peer", address), zap.String("requestId", q.RequestID), zap.Error(err))
	}
}

func (d *delegator) placeLocally(service string, q engine.Query) string {
	if q.Trial != "" && !d.instance.claimTrial(service, q.Trial) {
		return ""
	}
	choice := d.placer(service).Choose(time.Now(), q)
	d.recordChoice(service, q.RequestID, choice)
	return choice.Server
}

// settle ends a placement at the instance that made it.
func (d *delegator) settle(service, requestID, serverID string, outcome balance.Outcome) {
	address := d.placedBy.take(requestID)
	if address == "" {
		d.settleLocally(service, requestID, serverID, outcome)
		return
	}
	if outcome == balance.Failed || outcome == balance.Full || outcome == balance.Unreachable {
		// This instance's own placer needs to know of the failure as well, since
		// it places requests when no owner answers.
		d.settleLocally(service, requestID, serverID, outcome)
	}
	go func() {
		if err := d.instance.peers.Settle(d.instance.loopCtx, address, service, requestID, serverID, outcome); err != nil {
			d.instance.log.Info("peer did not settle placement", zap.String("peer", address), zap.String("requestId", requestID), zap.Error(err))
		}
	}()
}

// suspect reports to the instance that made a placement that the engine has been silent
// for long. The placement stays.
func (d *delegator) suspect(service, requestID, serverID string) {
	d.settleLocally(service, "", serverID, balance.Failed)
	address := d.placedBy.find(requestID)
	if address == "" {
		return
	}
	go func() {
		if err := d.instance.peers.Settle(d.instance.loopCtx, address, service, "", serverID, balance.Failed); err != nil {
			d.instance.log.Info("peer was not told of a silent engine", zap.String("peer", address), zap.String("requestId", requestID), zap.Error(err))
		}
	}()
}

func (d *delegator) settleLocally(service, requestID, serverID string, outcome balance.Outcome) {
	d.mu.Lock()
	queue := d.engineQueues[service]
	d.mu.Unlock()
	if queue != nil && requestID != "" && queue.Release(requestID, outcome, 0) {
		return
	}
	d.placer(service).Settle(time.Now(), requestID, serverID, outcome)
	if queue != nil {
		queue.Update()
	}
}
