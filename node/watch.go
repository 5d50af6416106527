package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/declare"
	"chervilpath/core/fleet"
	"chervilpath/core/object"
	"chervilpath/platform"
)

const (
	// listWatchTimeout is how long a watch of the platform's list of servers waits, so
	// that a store that stays silent is noticed within the few seconds in which
	// an endpoint that leaves gets no new work.
	listWatchTimeout = 2 * time.Second

	// listOutageAfter is the time without an answer of the store after which entries
	// of live servers may be missing: two of their reports.
	listOutageAfter = 2400 * time.Millisecond

	// maxListRetryDelay is the longest wait after a failed call for the list.
	maxListRetryDelay = time.Second

	// totalLoadQueryRate is shared by all instances as the number of questions for
	// a load; each asks at least leastLoads and at most mostLoads a second.
	totalLoadQueryRate = 640.0
	minLoadQueryRate   = 2.0
	maxLoadQueryRate   = 100.0
	queryTimeout       = 200 * time.Millisecond

	// maxReportAge is how long a report that came with an answer is enough.
	maxReportAge = time.Second
)

// loadReports notes when each endpoint last reported its load.
type loadReports struct {
	mu         sync.Mutex
	reportedAt map[string]time.Time
}

// startEndpointUpdates begins to follow the endpoints' loads and the list of instances.
func (n *Instance) startEndpointUpdates(context.Context) error {
	n.loops.Go(func() { n.followServerList(n.loopCtx) })
	n.loops.Go(func() { n.followEndpointLoads(n.loopCtx) })
	return nil
}

// followServerList excludes the endpoints that the platform lists as leaving, or that
// it listed and lists no more. While the platform does not answer, the last list
// stays.
func (n *Instance) followServerList(ctx context.Context) {
	view, listed := fleet.New(listOutageAfter), make(map[string]string)
	revision, previous := int64(0), ""
	for ctx.Err() == nil {
		next, err := n.readServerList(ctx, view, revision)
		switch {
		case errors.Is(err, object.ErrHistoryGone):
			revision = 0
			n.sleep(ctx, jitter(maxListRetryDelay))
			continue
		case err != nil:
			n.log.Debug("list of servers not read", zap.Error(err))
			n.sleep(ctx, jitter(maxListRetryDelay))
			continue
		}
		revision = next
		view.Expire(time.Now())
		leaving := n.leavingEndpoints(view.Snapshot(), listed)
		if current := fmt.Sprint(leaving); current != previous {
			previous = current
			n.runner.SetLeaving(leaving)
			n.log.Info("leaving endpoints excluded", zap.Strings("endpoints", leaving))
		}
	}
}

// readServerList takes the list of servers, or what changed after a revision, and
// returns the revision to go on from.
func (n *Instance) readServerList(ctx context.Context, view *fleet.View, revision int64) (next int64, err error) {
	if revision == 0 {
		err = n.objectClient.DoRead(ctx, func(ctx context.Context) error {
			var objects []object.Object
			if objects, next, err = n.platformStore.ListServers(ctx); err == nil {
				view.Replace(time.Now(), n.decodeServers(objects), next)
			}
			return err
		})
		return next, err
	}
	err = n.objectClient.DoWatch(ctx, func(ctx context.Context) error {
		var changes []platform.Change
		if changes, next, err = n.platformStore.WatchServers(ctx, revision, listWatchTimeout); err != nil {
			return err
		}
		view.StoreAnswered(time.Now(), time.Now())
		view.Advance(next)
		for _, c := range changes {
			if servers := n.decodeServers([]object.Object{c.Object}); !c.Removed && len(servers) == 1 {
				view.Set(servers[0])
			} else {
				view.Remove(time.Now(), c.Object.Name)
			}
		}
		return nil
	})
	return max(revision, next), err
}

// decodeServers decodes entries. Those that name no server are left out.
func (n *Instance) decodeServers(objects []object.Object) []fleet.Server {
	servers := make([]fleet.Server, 0, len(objects))
	for _, o := range objects {
		s, err := platform.DecodeServer(o)
		if err != nil {
			n.log.Debug("server entry refused", zap.Error(err))
			continue
		}
		servers = append(servers, s)
	}
	return servers
}

// leavingEndpoints returns the endpoints that were listed at some time and get no more
// work. listed holds the address of each server that was ever listed; an entry
// is of the endpoint with its id or its address.
func (n *Instance) leavingEndpoints(snapshot *fleet.Snapshot, listed map[string]string) []string {
	for _, s := range snapshot.All() {
		listed[s.ID] = s.Address
	}
	set := n.declarations()
	if set == nil {
		return nil
	}
	serving, known := make(map[string]bool), make(map[string]bool)
	for id, address := range listed {
		s, ok := snapshot.Server(id)
		known[id], known[address] = true, true
		if ok {
			serving[id], serving[s.Address] = true, true
		}
	}
	var leaving []string
	for _, name := range set.EndpointNames() {
		e, _ := set.Endpoint(name)
		if address := hostOf(e.Address()); (known[name] || known[address]) && !serving[name] && !serving[address] {
			leaving = append(leaving, name)
		}
	}
	return leaving
}

// hostOf returns the address in an URL, or the text itself.
func hostOf(address string) string {
	if u, err := url.Parse(address); err == nil && u.Host != "" {
		return u.Host
	}
	return address
}

// followEndpointLoads asks the endpoints that report their load and have not done so
// with an answer lately, one after the other.
func (n *Instance) followEndpointLoads(ctx context.Context) {
	next := 0
	for n.sleep(ctx, n.loadQueryInterval()) {
		set := n.declarations()
		if set == nil {
			continue
		}
		names := set.EndpointNames()
		for range names {
			next = (next + 1) % len(names)
			e, _ := set.Endpoint(names[next])
			if e.ReportsLoad() && n.loadReports.isStale(e.Name(), time.Now()) {
				n.queryLoad(ctx, e)
				break
			}
		}
	}
}

// loadQueryInterval returns the time between two questions for a load. In a large fleet
// an instance asks less, so that control needs few bytes; most reports come
// with answers.
func (n *Instance) loadQueryInterval() time.Duration {
	rate := totalLoadQueryRate / float64(n.members.NumServing())
	return time.Duration(float64(time.Second) / min(maxLoadQueryRate, max(minLoadQueryRate, rate)))
}

func (n *Instance) queryLoad(ctx context.Context, e *declare.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	load, err := n.endpoints.Load(ctx, e)
	if err != nil {
		return
	}
	n.loadReports.record(e.Name(), time.Now())
	n.runner.ReportLoad(e.Name(), load.Load, load.Loaded, load.At)
}

// recordLoad takes the load that came with an answer.
func (n *Instance) recordLoad(name string, load float64) {
	now := time.Now()
	n.loadReports.record(name, now)
	n.runner.ReportLoad(name, load, nil, now)
}

// isStale reports whether an endpoint has not reported lately.
func (r *loadReports) isStale(name string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.reportedAt[name]) > maxReportAge
}

func (r *loadReports) record(name string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedAt[name] = now
}

// flushCosts stores the cost of each window.
func (n *Instance) flushCosts(ctx context.Context) {
	for n.sleepJittered(ctx, n.cfg.CostWindow()) {
		if err := n.ledger.Flush(ctx, time.Now(), n.objectClient.Store()); err != nil {
			n.log.Warn("costs wait for the store", zap.Error(err))
		}
	}
}

// flushBeforeStop stores what a leaving instance still holds.
func (n *Instance) flushBeforeStop(ctx context.Context) error {
	n.flushAllOutcomes(ctx)
	var err error
	for range 2 {
		err = n.ledger.Flush(ctx, time.Now(), n.objectClient.Store())
	}
	if err != nil {
		n.log.Error("costs are lost", zap.Any("lines", n.ledger.Lines()), zap.Error(err))
	}
	return nil
}

// drainCallers fails the readiness, waits until the balancer has noticed, and
// says what it would cut before it does.
func (n *Instance) drainCallers(ctx context.Context) error {
	n.draining.Store(true)
	n.log.Info("draining", zap.Int("inFlight", n.callerServer.InFlight()))
	n.sleep(ctx, n.cfg.ShutdownDelay())
	go n.warnBeforeCut(ctx)
	return nil
}

// warnBeforeCut logs the requests that are still in flight shortly before the
// drain's time is over.
func (n *Instance) warnBeforeCut(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	remaining := time.Until(deadline)
	if n.sleep(ctx, remaining-remaining/10) && n.callerServer.InFlight() > 0 {
		n.log.Warn("requests will be cut", zap.Int("inFlight", n.callerServer.InFlight()), zap.Duration("in", time.Until(deadline)))
	}
}

// sleep waits for d and reports whether ctx is still in force.
func (n *Instance) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random time between a half of d and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleepJittered waits for d, a quarter more or less, and reports whether ctx is still
// in force.
func (n *Instance) sleepJittered(ctx context.Context, d time.Duration) bool {
	return n.sleep(ctx, d/4+jitter(d))
}

func isUnchanged(err error) bool { return errors.Is(err, object.ErrUnchanged) }
