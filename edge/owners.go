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
	// shunFor is how long a peer that did not answer is not asked again.
	shunFor = time.Second

	// maxOwners is how many owners of a service are asked before the instance
	// does the work itself.
	maxOwners = 2

	// ownerPart is the capacity at least of an instance that works for others, as
	// a part of the most that any instance has.
	ownerPart = 0.5

	// freeTimeout bounds the call that gives results up.
	freeTimeout = 400 * time.Millisecond
)

// owners finds the instance that owns a service and asks it, and does the work
// of the services that this instance owns.
type owners struct {
	instance *Instance

	mu      sync.Mutex
	desks   map[string]*engine.Placer
	shops   map[string]*gather.Dispatcher
	shunned map[string]time.Time
	// makers holds the peer that had a result made, and placers the one that
	// placed a request.
	makers  map[string]string
	placers map[string]string
}

func newOwners(n *Instance) *owners {
	return &owners{
		instance: n, desks: make(map[string]*engine.Placer), shops: make(map[string]*gather.Dispatcher),
		shunned: make(map[string]time.Time), makers: make(map[string]string), placers: make(map[string]string),
	}
}

func (o *owners) desk(service string) *engine.Placer {
	o.mu.Lock()
	defer o.mu.Unlock()
	d, ok := o.desks[service]
	if !ok {
		d = engine.New()
		o.desks[service] = d
	}
	return d
}

func (o *owners) shop(service string, pieces route.PieceConfig) *gather.Dispatcher {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.shops[service]
	if !ok {
		s = gather.NewDispatcher(service, pieces, o.instance.clock, gather.Deps{
			RunBatch: o.runBatch, Free: o.freeAt, BatchEnded: o.batchEnded,
		})
		o.shops[service] = s
	}
	return s
}

// owner returns the address of the instance that owns a service, or "" if it
// is this one. Owners are chosen among the instances of most capacity.
func (o *owners) owner(service string) string {
	now := time.Now()
	candidates := able(o.instance.members.List(), func(m member.Member) bool {
		return m.State == member.Live && (m.ID == o.instance.incarnation || !o.isShunned(m.Address, now))
	})
	best, bestRank := "", uint64(0)
	for _, m := range candidates {
		if rank := xxhash.Sum64String(service + "\x00" + m.Name); best == "" || rank > bestRank {
			best, bestRank = m.Address, rank
		}
	}
	if best == o.instance.peerAddress {
		return ""
	}
	return best
}

// able returns the chosen members that have at least ownerPart of the most
// capacity of all chosen ones.
func able(members []member.Member, chosen func(member.Member) bool) []member.Member {
	members = slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return !chosen(m) })
	most := 0.0
	for _, m := range members {
		most = max(most, m.Weight)
	}
	return slices.DeleteFunc(members, func(m member.Member) bool { return m.Weight < ownerPart*most })
}

func (o *owners) isShunned(address string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.shunned[address])
}

func (o *owners) shun(address string, err error) {
	o.mu.Lock()
	o.shunned[address] = time.Now().Add(shunFor)
	o.mu.Unlock()
	o.instance.log.Warn("owner does not answer", zap.String("peer", address), zap.Error(err))
}

// work has pieces made by the owner of their service.
func (o *owners) work(ctx context.Context, w relay.StageJob) ([]string, error) {
	for range maxOwners {
		address := o.owner(w.Service)
		if address == "" {
			break
		}
		began := time.Now()
		handles, err := o.instance.clients.Work(ctx, address, w)
		if err == nil {
			o.note(o.makers, handles, address)
			return handles, nil
		}
		if !errors.Is(err, peer.ErrSilent) || ctx.Err() != nil {
			return nil, err
		}
		o.shun(address, err)
		took := time.Since(began)
		w.Due, w.Remaining = w.Due-took, w.Remaining-took
	}
	return o.workHere(ctx, w)
}

func (o *owners) note(m map[string]string, keys []string, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, k := range keys {
		m[k] = address
	}
}

// take returns and forgets who made a result or placed a request.
func (o *owners) take(m map[string]string, key string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	address := m[key]
	delete(m, key)
	return address
}

// workHere has pieces made by this instance.
func (o *owners) workHere(ctx context.Context, w relay.StageJob) ([]string, error) {
	o.mu.Lock()
	shop, ok := o.shops[w.Service]
	o.mu.Unlock()
	if !ok {
		return nil, fault.Errorf(fault.EndpointUnavailable, "service %q works on no stages here", w.Service)
	}
	now := time.Now()
	items := make([]*gather.Item, w.Pieces)
	for i := range items {
		items[i] = &gather.Item{
			RequestID: w.RequestID, Stage: w.Stage, Piece: i, PieceKey: w.PieceKey, Inputs: w.Inputs, ResultBytes: w.ResultBytes, Zone: w.Zone, CrossZoneBytes: w.CrossZoneBytes,
			Class: w.Class, Due: now.Add(w.Due), Deadline: now.Add(w.Remaining), Worth: w.Worth,
		}
	}
	return shop.Process(ctx, items)
}

func (o *owners) runBatch(ctx context.Context, b *gather.Batch, left func(*gather.Item) time.Duration) (gather.CallStatus, []gather.ItemOutcome, error) {
	return platform.RunPieces(ctx, o.instance.pieces, b, left)
}

func (o *owners) batchEnded(service string, b *gather.Batch, took time.Duration, err error) {
	o.instance.metrics.batch(len(b.Items), took, err)
	o.instance.log.Info("batch ended", zap.String("service", service), zap.String("server", b.Server.ID),
		zap.Int("pieces", len(b.Items)), zap.Int64("tookMs", took.Milliseconds()), zap.Error(err))
}

// free gives results up by way of the instances that had them made.
func (o *owners) free(service string, handles []string) {
	byMaker := make(map[string][]string)
	for _, h := range handles {
		address := o.take(o.makers, h)
		byMaker[address] = append(byMaker[address], h)
	}
	for address, list := range byMaker {
		if address == "" {
			o.freeHere(service, list)
			continue
		}
		go func() {
			if err := o.instance.clients.Free(o.instance.loopCtx, address, service, list); err != nil {
				o.instance.log.Info("results freed without their owner", zap.String("peer", address), zap.Error(err))
				ctx, cancel := context.WithTimeout(o.instance.loopCtx, freeTimeout)
				defer cancel()
				_ = o.freeAt(ctx, list)
			}
		}()
	}
}

func (o *owners) freeHere(service string, handles []string) {
	o.mu.Lock()
	shop, ok := o.shops[service]
	o.mu.Unlock()
	if ok {
		shop.Free(handles)
	}
}

// freeAt gives results up at the servers that hold them.
func (o *owners) freeAt(ctx context.Context, handles []string) error {
	byServer := make(map[string][]string)
	for _, h := range handles {
		address := platform.ResultAddress(h)
		byServer[address] = append(byServer[address], h)
	}
	var errs []error
	for address, list := range byServer {
		errs = append(errs, platform.FreeResults(ctx, o.instance.pieces, address, list))
	}
	return errors.Join(errs...)
}

// place has the owner of a service choose an engine.
func (o *owners) place(ctx context.Context, service string, q engine.Query) string {
	for range maxOwners {
		address := o.owner(service)
		if address == "" {
			break
		}
		id, err := o.instance.clients.Place(ctx, address, service, q, time.Until(q.Expires))
		if err == nil {
			o.note(o.placers, []string{q.RequestID}, address)
			return id
		}
		if ctx.Err() != nil {
			return ""
		}
		o.shun(address, err)
	}
	return o.placeHere(service, q)
}

func (o *owners) placeHere(service string, q engine.Query) string {
	return o.desk(service).Place(time.Now(), q)
}

// settle ends a placement at the instance that made it.
func (o *owners) settle(service, request, server string, outcome balance.Outcome) {
	address := o.take(o.placers, request)
	if address == "" {
		o.settleHere(service, request, server, outcome)
		return
	}
	if outcome == balance.Failed || outcome == balance.Full {
		// What was seen here counts here too, if this instance has to place.
		o.settleHere(service, request, server, outcome)
	}
	go func() {
		if err := o.instance.clients.Settle(o.instance.loopCtx, address, service, request, server, outcome); err != nil {
			o.instance.log.Info("placement not settled", zap.String("peer", address), zap.String("requestId", request), zap.Error(err))
		}
	}()
}

func (o *owners) settleHere(service, request, server string, outcome balance.Outcome) {
	o.desk(service).Settle(time.Now(), request, server, outcome)
}
