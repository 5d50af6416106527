package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fault"
	"chervilpath/core/gather"
	"chervilpath/core/member"
	"chervilpath/core/relay"
	"chervilpath/core/route"
	"chervilpath/io/peer"
	"chervilpath/platform"
)

const (
	// peerBackoff is how long a peer that did not answer is not asked again.
	peerBackoff = time.Second

	// maxOwnerAttempts is how many owners of a service are asked before the instance
	// does the work itself.
	maxOwnerAttempts = 2

	// minCapacityFraction is the capacity at least of an instance that works for others, as
	// a part of the most that any instance has.
	minCapacityFraction = 0.5

	// freeTimeout bounds the call that gives results up.
	freeTimeout = 400 * time.Millisecond
)

// delegator finds the instance that owns a service and asks it, and does the work
// of the services that this instance owns.
type delegator struct {
	instance *Instance

	mu          sync.Mutex
	placers     map[string]*engine.Placer
	dispatchers map[string]*gather.Dispatcher
	pausedUntil map[string]time.Time
	// computedBy holds the peer that had a result made, and placers the one that
	// placed a request.
	computedBy map[string]string
	placedBy   map[string]string
}

func newDelegator(n *Instance) *delegator {
	return &delegator{
		instance: n, placers: make(map[string]*engine.Placer), dispatchers: make(map[string]*gather.Dispatcher),
		pausedUntil: make(map[string]time.Time), computedBy: make(map[string]string), placedBy: make(map[string]string),
	}
}

func (d *delegator) placer(service string) *engine.Placer {
	d.mu.Lock()
	defer d.mu.Unlock()
	placer, ok := d.placers[service]
	if !ok {
		placer = engine.New()
		d.placers[service] = placer
	}
	return placer
}

func (d *delegator) dispatcher(service string, pieces route.PieceConfig) *gather.Dispatcher {
	d.mu.Lock()
	defer d.mu.Unlock()
	dispatcher, ok := d.dispatchers[service]
	if !ok {
		dispatcher = gather.NewDispatcher(service, pieces, d.instance.clock, gather.Deps{
			RunBatch: d.runBatch, Free: d.freeAtServers, BatchEnded: d.batchEnded,
		})
		d.dispatchers[service] = dispatcher
	}
	return dispatcher
}

// ownerAddress returns the address of the instance that owns a service, or "" if it
// is this one. Owners are chosen among the instances of most capacity.
func (d *delegator) ownerAddress(service string) string {
	now := time.Now()
	candidates := capableMembers(d.instance.members.List(), func(m member.Member) bool {
		return m.State == member.Live && (m.ID == d.instance.incarnation || !d.isPaused(m.Address, now))
	})
	best, bestRank := "", uint64(0)
	for _, m := range candidates {
		if rank := xxhash.Sum64String(service + "\x00" + m.Name); best == "" || rank > bestRank {
			best, bestRank = m.Address, rank
		}
	}
	if best == d.instance.peerAddress {
		return ""
	}
	return best
}

// capableMembers returns the chosen members that have at least ownerPart of the most
// capacity of all chosen ones.
func capableMembers(members []member.Member, eligible func(member.Member) bool) []member.Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return !eligible(m) })
	maxWeight := 0.0
	for _, m := range members {
		maxWeight = max(maxWeight, m.Weight)
	}
	return slices.DeleteFunc(members, func(m member.Member) bool { return m.Weight < minCapacityFraction*maxWeight })
}

func (d *delegator) isPaused(address string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.pausedUntil[address])
}

func (d *delegator) pausePeer(address string, err error) {
	d.mu.Lock()
	d.pausedUntil[address] = time.Now().Add(peerBackoff)
	d.mu.Unlock()
	d.instance.log.Warn("owner does not answer", zap.String("peer", address), zap.Error(err))
}

// runStage has pieces made by the owner of their service.
func (d *delegator) runStage(ctx context.Context, job relay.StageJob) ([]string, error) {
	for range maxOwnerAttempts {
		address := d.ownerAddress(job.Service)
		if address == "" {
			break
		}
		start := time.Now()
		handles, err := d.instance.peers.RunStage(ctx, address, job)
		if err == nil {
			d.recordPeer(d.computedBy, handles, address)
			return handles, nil
		}
		if !errors.Is(err, peer.ErrNoAnswer) || ctx.Err() != nil {
			return nil, err
		}
		d.pausePeer(address, err)
		elapsed := time.Since(start)
		job.Due, job.Remaining = job.Due-elapsed, job.Remaining-elapsed
	}
	return d.runStageLocally(ctx, job)
}

func (d *delegator) recordPeer(addresses map[string]string, keys []string, address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range keys {
		addresses[k] = address
	}
}

// takePeer returns and forgets who made a result or placed a request.
func (d *delegator) takePeer(addresses map[string]string, key string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	address := addresses[key]
	delete(addresses, key)
	return address
}

// runStageLocally has pieces made by this instance.
func (d *delegator) runStageLocally(ctx context.Context, job relay.StageJob) ([]string, error) {
	d.mu.Lock()
	dispatcher, ok := d.dispatchers[job.Service]
	d.mu.Unlock()
	if !ok {
		return nil, fault.Errorf(fault.EndpointUnavailable, "service %q works on no stages here", job.Service)
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
	return platform.RunPieces(ctx, d.instance.stageClient, b, remaining)
}

func (d *delegator) batchEnded(service string, b *gather.Batch, elapsed time.Duration, err error) {
	d.instance.metrics.recordBatch(len(b.Items), elapsed, err)
	d.instance.log.Info("batch ended", zap.String("service", service), zap.String("server", b.Server.ID),
		zap.Int("pieces", len(b.Items)), zap.Int64("tookMs", elapsed.Milliseconds()), zap.Error(err))
}

// freeResults gives results up by way of the instances that had them made.
func (d *delegator) freeResults(service string, handles []string) {
	byPeer := make(map[string][]string)
	for _, h := range handles {
		address := d.takePeer(d.computedBy, h)
		byPeer[address] = append(byPeer[address], h)
	}
	for address, list := range byPeer {
		if address == "" {
			d.freeLocally(service, list)
			continue
		}
		go func() {
			if err := d.instance.peers.FreeResults(d.instance.loopCtx, address, service, list); err != nil {
				d.instance.log.Info("results freed without their owner", zap.String("peer", address), zap.Error(err))
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
	if ok {
		dispatcher.Free(handles)
	}
}

// freeAtServers gives results up at the servers that hold them.
func (d *delegator) freeAtServers(ctx context.Context, handles []string) error {
	byServer := make(map[string][]string)
	for _, h := range handles {
		address := platform.ResultAddress(h)
		byServer[address] = append(byServer[address], h)
	}
	var errs []error
	for address, list := range byServer {
		errs = append(errs, platform.FreeResults(ctx, d.instance.stageClient, address, list))
	}
	return errors.Join(errs...)
}

// place has the owner of a service choose an engine.
func (d *delegator) place(ctx context.Context, service string, q engine.Query) string {
	for range maxOwnerAttempts {
		address := d.ownerAddress(service)
		if address == "" {
			break
		}
		id, err := d.instance.peers.Place(ctx, address, service, q, time.Until(q.Expires))
		if err == nil {
			d.recordPeer(d.placedBy, []string{q.RequestID}, address)
			return id
		}
		if ctx.Err() != nil {
			return ""
		}
		d.pausePeer(address, err)
	}
	return d.placeLocally(service, q)
}

func (d *delegator) placeLocally(service string, q engine.Query) string {
	return d.placer(service).Place(time.Now(), q)
}

// settle ends a placement at the instance that made it.
func (d *delegator) settle(service, requestID, serverID string, outcome balance.Outcome) {
	address := d.takePeer(d.placedBy, requestID)
	if address == "" {
		d.settleLocally(service, requestID, serverID, outcome)
		return
	}
	if outcome == balance.Failed || outcome == balance.Full {
		// What was seen here counts here too, if this instance has to place.
		d.settleLocally(service, requestID, serverID, outcome)
	}
	go func() {
		if err := d.instance.peers.Settle(d.instance.loopCtx, address, service, requestID, serverID, outcome); err != nil {
			d.instance.log.Info("placement not settled", zap.String("peer", address), zap.String("requestId", requestID), zap.Error(err))
		}
	}()
}

func (d *delegator) settleLocally(service, requestID, serverID string, outcome balance.Outcome) {
	d.placer(service).Settle(time.Now(), requestID, serverID, outcome)
}
