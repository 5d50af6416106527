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
	// listWatchTimeout is how long a watch of the platform's server list waits for
	// a change. It is short, so that a store that does not answer is detected
	// within the few seconds after which an endpoint that leaves must get no new
	// work.
	listWatchTimeout = 2 * time.Second

	// listOutageAfter is the time without an answer from the store after which
	// entries of live servers may have expired. It is twice the interval at
	// which servers report.
	listOutageAfter = 2400 * time.Millisecond

	// maxListRetryDelay is the longest delay after a failed read of the list.
	maxListRetryDelay = time.Second

	// totalLoadQueryRate is the number of load queries per second by all instances
	// together. Each instance makes at least minLoadQueryRate and at most
	// maxLoadQueryRate of them.
	totalLoadQueryRate = 640.0
	minLoadQueryRate   = 2.0
	maxLoadQueryRate   = 100.0

	// queryTimeout bounds a query of an endpoint's load or state.
	queryTimeout = 200 * time.Millisecond

	// maxReportAge is the age of a load report above which it is stale, and the
	// endpoint is queried again.
	maxReportAge = time.Second
)

// loadReports records when each endpoint last reported its load. It is safe for
// concurrent use.
type loadReports struct {
	mu         sync.Mutex
	reportedAt map[string]time.Time
}

// startEndpointUpdates starts following the platform's server list and the
// endpoints' loads.
func (in *Instance) startEndpointUpdates(context.Context) error {
	in.loops.Go(func() { in.followServerList(in.loopCtx) })
	in.loops.Go(func() { in.followEndpointLoads(in.loopCtx) })
	return nil
}

// followServerList follows the platform's server list and excludes from new calls
// the endpoints whose servers were listed and are now draining or no longer
// listed. While the platform does not answer, the last list remains valid.
func (in *Instance) followServerList(ctx context.Context) {
	view, listed := fleet.New(listOutageAfter), make(map[string]string)
	revision, previous := int64(0), ""
	for ctx.Err() == nil {
		next, err := in.readServerList(ctx, view, revision)
		switch {
		case errors.Is(err, object.ErrHistoryGone):
			revision = 0
			in.sleep(ctx, jitter(maxListRetryDelay))
			continue
		case err != nil:
			in.log.Debug("server list not read", zap.Error(err))
			in.sleep(ctx, jitter(maxListRetryDelay))
			continue
		}
		revision = next
		view.Expire(time.Now())
		for _, e := range view.TakeEvents() {
			in.log.Info("server list changed", zap.Stringer("event", e.Kind), zap.String("server", e.Server.ID), zap.Duration("gap", e.Gap))
		}
		leaving := in.leavingEndpoints(view.Snapshot(), listed)
		if current := fmt.Sprint(leaving); current != previous {
			previous = current
			in.runner.SetLeaving(leaving)
			in.log.Info("leaving endpoints excluded", zap.Strings("endpoints", leaving))
		}
	}
}

// readServerList updates the view with the changes to the server list after the
// given revision, or with the whole list if the revision is 0. It returns the
// revision from which to continue.
func (in *Instance) readServerList(ctx context.Context, view *fleet.View, revision int64) (next int64, err error) {
	if revision == 0 {
		err = in.objectClient.DoRead(ctx, func(ctx context.Context) error {
			var objects []object.Object
			if objects, next, err = in.platformStore.ListServers(ctx); err == nil {
				view.Replace(time.Now(), in.decodeServers(objects), next)
			}
			return err
		})
		return next, err
	}
	err = in.objectClient.DoWatch(ctx, func(ctx context.Context) error {
		var changes []platform.Change
		if changes, next, err = in.platformStore.WatchServers(ctx, revision, listWatchTimeout); err != nil {
			return err
		}
		events := make([]fleet.Update, 0, len(changes))
		for _, c := range changes {
			e := fleet.Update{ID: c.Object.Name}
			if servers := in.decodeServers([]object.Object{c.Object}); !c.Removed && len(servers) == 1 {
				e.Server = &servers[0]
			}
			events = append(events, e)
		}
		view.ApplyWatch(time.Now(), events, next)
		return nil
	})
	return max(revision, next), err
}

// decodeServers decodes entries of the server list and leaves out invalid ones.
func (in *Instance) decodeServers(objects []object.Object) []fleet.Server {
	servers := make([]fleet.Server, 0, len(objects))
	for _, o := range objects {
		s, err := platform.DecodeServer(o)
		if err != nil {
			in.log.Debug("server entry refused", zap.String("server", fmt.Sprintf("%.64q", o.Name)), zap.Error(err))
			continue
		}
		servers = append(servers, s)
	}
	return servers
}

// leavingEndpoints returns the endpoints whose server was in an earlier snapshot
// and is not in this one. Servers and endpoints are matched by ID and name, or by
// address. The function adds the snapshot's servers to listed, which maps the ID
// of each server seen so far to its address.
func (in *Instance) leavingEndpoints(snapshot *fleet.Snapshot, listed map[string]string) []string {
	for _, s := range snapshot.All() {
		listed[s.ID] = s.Address
	}
	set := in.declarations()
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

// hostOf returns the host and port of a URL, or the text itself if it is not a
// URL.
func hostOf(address string) string {
	if u, err := url.Parse(address); err == nil && u.Host != "" {
		return u.Host
	}
	return address
}

// followEndpointLoads queries the load of one endpoint after the other. It skips
// endpoints that do not report a load or have done so recently.
func (in *Instance) followEndpointLoads(ctx context.Context) {
	next := 0
	for in.sleep(ctx, in.loadQueryInterval()) {
		set := in.declarations()
		if set == nil {
			continue
		}
		names := set.EndpointNames()
		for range names {
			next = (next + 1) % len(names)
			e, _ := set.Endpoint(names[next])
			if e.ReportsLoad() && in.loadReports.isStale(e.Name(), time.Now()) {
				in.queryLoad(ctx, e)
				break
			}
		}
	}
}

// loadQueryInterval returns the time between two load queries by this instance. It
// grows with the number of instances, to limit the control traffic; most loads
// are reported with answers anyway.
func (in *Instance) loadQueryInterval() time.Duration {
	rate := totalLoadQueryRate / float64(in.members.NumServing())
	return time.Duration(float64(time.Second) / min(maxLoadQueryRate, max(minLoadQueryRate, rate)))
}

// queryLoad queries an endpoint's load and records the report.
func (in *Instance) queryLoad(ctx context.Context, e *declare.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	load, err := in.endpoints.Load(ctx, e)
	if err != nil {
		return
	}
	in.loadReports.record(e.Name(), time.Now())
	in.runner.ReportLoad(e.Name(), load.Load, load.Loaded, load.At)
}

// recordLoad records a load that an endpoint reported with an answer.
func (in *Instance) recordLoad(name string, load float64) {
	now := time.Now()
	in.loadReports.record(name, now)
	in.runner.ReportLoad(name, load, nil, now)
}

// isStale reports whether an endpoint's last report is older than maxReportAge or
// there is none.
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

// flushCosts periodically closes the cost window and stores it.
func (in *Instance) flushCosts(ctx context.Context) {
	for in.sleepJittered(ctx, in.cfg.CostWindow()) {
		if err := in.ledger.Flush(ctx, time.Now(), in.objectClient.Store()); err != nil {
			in.log.Warn("costs not stored; they will be retried", zap.Error(err))
		}
	}
}

// flushBeforeStop stores the outcomes and costs that the instance still holds
// before it stops. It flushes the ledger twice: if costs of an earlier window are
// pending, a flush stores just these and leaves the open window to the next.
func (in *Instance) flushBeforeStop(ctx context.Context) error {
	in.flushAllOutcomes(ctx)
	var err error
	for range 2 {
		err = in.ledger.Flush(ctx, time.Now(), in.objectClient.Store())
	}
	if err != nil {
		in.log.Error("costs are lost", zap.Any("lines", in.ledger.Lines()), zap.Error(err))
	}
	return nil
}

// drainCallers makes the instance not ready and waits until the load balancer has
// had time to notice. The server then waits for the requests in flight.
func (in *Instance) drainCallers(ctx context.Context) error {
	in.draining.Store(true)
	in.log.Info("draining", zap.Int("inFlight", in.callerServer.InFlight()))
	in.sleep(ctx, in.cfg.ShutdownDelay())
	go in.warnBeforeCut(ctx)
	return nil
}

// warnBeforeCut logs the number of requests that are still in flight when a tenth
// of the drain timeout is left.
func (in *Instance) warnBeforeCut(ctx context.Context) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	remaining := time.Until(deadline)
	if in.sleep(ctx, remaining-remaining/10) && in.callerServer.InFlight() > 0 {
		in.log.Warn("requests in flight will be aborted when the drain timeout ends", zap.Int("inFlight", in.callerServer.InFlight()), zap.Duration("in", time.Until(deadline)))
	}
}

// sleep waits for d. It returns false early if ctx is done.
func (in *Instance) sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// jitter returns a random duration between d/2 and d.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2+1) }

// sleepJittered waits for d plus or minus up to a quarter, at random. It returns
// false early if ctx is done.
func (in *Instance) sleepJittered(ctx context.Context, d time.Duration) bool {
	return in.sleep(ctx, d/4+jitter(d))
}

func isUnchanged(err error) bool { return errors.Is(err, object.ErrUnchanged) }
