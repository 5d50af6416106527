package edge

import (
	"context"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/confirm"
	"chervilpath/core/fleet"
	"chervilpath/core/object"
	"chervilpath/platform"
)

const (
	// watchFraction and watchOutageFraction limit how long the store may hold one
	// watch, as fractions of the propagation time and of the length of an outage.
	watchFraction       = 0.5
	watchOutageFraction = 0.75

	// minWatchFraction is the shortest watch, as a fraction of the longest one.
	minWatchFraction = 0.1

	// watchCheckInterval is the time between two checks of whether this instance
	// has to watch the store.
	watchCheckInterval = 100 * time.Millisecond

	// watchGraceFraction is how much longer than the watch its response may take,
	// and readFraction how long the response to a read may take, as fractions of
	// the propagation time.
	watchGraceFraction = 0.3
	readFraction       = 0.75

	// A failed call is retried after minBackoff, doubled with each consecutive
	// failure, up to maxBackoff at an instance that watches the store on behalf of
	// all, and substituteBackoff at another one. Half of the backoff is random.
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 400 * time.Millisecond
	substituteBackoff = 1600 * time.Millisecond

	// storeCallPerInstance is the mean time between two calls of an instance outside
	// of the directory whose peers answer but have no confirmation by the store,
	// divided by the number of instances: those of the directory ask the store
	// already, and the rate of calls must not grow with the fleet.
	storeCallPerInstance = 200 * time.Millisecond
)

// follower reads and watches one kind of object in the store.
type follower struct {
	instance *Instance
	kind     string
	// read reads and applies all objects and returns the revision to watch from.
	read func(ctx context.Context) (int64, error)
	// watch waits for changes after a revision, applies them and returns the
	// revision to continue from.
	watch func(ctx context.Context, after int64) (int64, error)
	// lost is set while the store does not serve the calls for this kind.
	lost bool
}

// setLost sets whether the store serves the calls for the follower's kind.
func (f *follower) setLost(lost bool) {
	switch {
	case lost && !f.lost:
		f.instance.numLostKinds.Add(1)
	case !lost && f.lost:
		f.instance.numLostKinds.Add(-1)
	}
	f.lost = lost
}

func (in *Instance) followConfig(ctx context.Context) {
	f := &follower{instance: in, kind: "configuration", read: in.readConfig, watch: in.watchConfig}
	f.run(ctx)
}

func (in *Instance) followServers(ctx context.Context) {
	f := &follower{instance: in, kind: "servers", read: in.readServers, watch: in.watchServers}
	f.run(ctx)
}

// run keeps reading and watching until ctx is done.
func (f *follower) run(ctx context.Context) {
	revision, failures := int64(0), 0
	for ctx.Err() == nil {
		if !f.instance.shouldWatchStore() {
			// Changes from now on come from peers, or from the next read.
			revision = 0
			f.setLost(false)
			f.instance.sleep(ctx, watchCheckInterval)
			continue
		}
		if d := f.instance.storeCallInterval(); d > 0 && mathrand.N(d) > watchCheckInterval {
			// On average a call is made once in d, at a random phase.
			f.instance.sleep(ctx, watchCheckInterval)
			continue
		}
		var err error
		if revision == 0 {
			revision, err = f.callWithTimeout(ctx, f.instance.state.propagationTime(readFraction), func(ctx context.Context) (int64, error) { return f.read(ctx) })
		} else {
			after := revision
			revision, err = f.callWithTimeout(ctx, f.instance.state.watchTime()+f.instance.state.propagationTime(watchGraceFraction), func(ctx context.Context) (int64, error) { return f.watch(ctx, after) })
			if err != nil {
				revision = after
			}
		}
		if errors.Is(err, object.ErrHistoryGone) || errors.Is(err, object.ErrNotFound) {
			f.instance.state.storeAnswered()
			f.instance.log.Info("store read again", zap.String("kind", f.kind), zap.Error(err))
			revision, err = 0, nil
			f.sleepJittered(ctx, minBackoff)
			continue
		}
		if err == nil {
			if f.lost {
				f.instance.log.Info("store regained", zap.String("kind", f.kind))
			}
			failures = 0
			f.setLost(false)
			f.instance.state.storeAnswered()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !f.lost {
			f.instance.log.Warn("store lost", zap.String("kind", f.kind), zap.Error(err))
		}
		f.setLost(true)
		f.instance.metrics.storeFailures.Inc()
		f.sleepJittered(ctx, min(f.instance.maxStoreBackoff(), minBackoff<<min(failures, 8)))
		failures++
	}
}

func (f *follower) callWithTimeout(ctx context.Context, timeout time.Duration, call func(context.Context) (int64, error)) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	f.instance.metrics.storeCalls.Inc()
	return call(ctx)
}

// sleepJittered sleeps between half of d and d.
func (f *follower) sleepJittered(ctx context.Context, d time.Duration) {
	f.instance.sleep(ctx, d/2+mathrand.N(d/2+1))
}

// watchAnsweredAt returns a time at which the store had surely not answered a watch yet, or was
// just answering it. Without changes it answers at the end of the wait; with changes it may have
// answered as soon as the watch was sent. The answer may have been on its way ever since.
func watchAnsweredAt(sentAt time.Time, wait time.Duration, changed bool, arrivedAt time.Time) time.Time {
	if end := sentAt.Add(wait); !changed && !end.After(arrivedAt) {
		return end
	}
	return sentAt
}

func (in *Instance) readConfig(ctx context.Context) (int64, error) {
	requestedAt := in.bootTime()
	objects, revision, err := in.store.ListConfig(ctx)
	if err != nil {
		return 0, err
	}
	for _, o := range objects {
		in.applyConfig(o)
	}
	in.state.recordConfirmations(sourceStore, confirmations{config: in.state.byStore(requestedAt)})
	return revision, nil
}

func (in *Instance) watchConfig(ctx context.Context, after int64) (int64, error) {
	wait, sentAt := in.state.untilConfirmationDue(func(c confirmations) confirm.Confirmation { return c.config }), in.bootTime()
	changes, revision, err := in.store.WatchConfig(ctx, after, wait)
	answeredAt := watchAnsweredAt(sentAt, wait, len(changes) > 0, in.bootTime())
	if err != nil {
		return 0, err
	}
	for _, c := range changes {
		if !c.Removed {
			in.applyConfig(c.Object)
		}
	}
	in.state.recordConfirmations(sourceStore, confirmations{config: in.state.byStore(answeredAt)})
	return max(after, revision), nil
}

func (in *Instance) applyConfig(o object.Object) {
	if platform.IsActiveConfig(o) {
		in.state.offerConfig(o.Data, sourceStore)
	}
}

func (in *Instance) readServers(ctx context.Context) (int64, error) {
	requestedAt := in.bootTime()
	objects, revision, err := in.store.ListServers(ctx)
	if err != nil {
		return 0, err
	}
	servers := make([]fleet.Server, 0, len(objects))
	refused := make(map[string]bool)
	for _, o := range objects {
		s, err := platform.DecodeServer(o)
		if err != nil {
			in.refuseEntry(sourceStore, o.Name, o.Version, err)
			refused[o.Name] = true
			continue
		}
		servers = append(servers, s)
	}
	if len(objects) > 0 && len(servers) == 0 {
		// Taking this over removes every server. It may be the answer to another call.
		listed, err := in.store.HasServer(ctx, objects[0].Name)
		if err != nil {
			return 0, err
		}
		if !listed {
			return 0, fmt.Errorf("%w: none of %d listed objects is the entry of a server", object.ErrUnavailable, len(objects))
		}
	}
	in.refused.retain(refused)
	in.state.updateServers(sourceStore, func(v *fleet.View, now time.Time) { v.Replace(now, servers, revision) })
	in.state.recordConfirmations(sourceStore, confirmations{servers: in.state.byStore(requestedAt)})
	return revision, nil
}

func (in *Instance) watchServers(ctx context.Context, after int64) (int64, error) {
	wait, sentAt := in.state.untilConfirmationDue(func(c confirmations) confirm.Confirmation { return c.servers }), in.bootTime()
	changes, revision, err := in.store.WatchServers(ctx, after, wait)
	answeredAt := watchAnsweredAt(sentAt, wait, len(changes) > 0, in.bootTime())
	if err != nil {
		return 0, err
	}
	events := make([]fleet.Update, 0, len(changes))
	for _, c := range changes {
		events = append(events, in.serverUpdate(c))
	}
	in.state.updateServers(sourceStore, func(v *fleet.View, now time.Time) { v.ApplyWatch(now, events, revision) })
	in.state.recordConfirmations(sourceStore, confirmations{servers: in.state.byStore(answeredAt)})
	return max(after, revision), nil
}

// serverUpdate returns what an event of the store means for the servers to use.
func (in *Instance) serverUpdate(c platform.Change) fleet.Update {
	out := fleet.Update{ID: c.Object.Name}
	if c.Removed {
		in.refused.forget(out.ID)
		return out
	}
	s, err := platform.DecodeServer(c.Object)
	if err != nil {
		in.refuseEntry(sourceStore, out.ID, c.Object.Version, err)
		return out
	}
	in.refused.forget(out.ID)
	out.Server = &s
	return out
}

// shouldWatchStore reports whether this instance has to watch the store itself,
// either on behalf of the others or because none of those that do has a recent
// confirmation by the store. The instances of the directory start earlier, so that
// the others can follow them.
func (in *Instance) shouldWatchStore() bool {
	settledAt := in.settledAt.Load()
	if settledAt == nil {
		return in.watchingStore.Load()
	}
	fraction := staleFraction
	if !in.delegator.worksForOthers() {
		fraction = lateFraction
	}
	age := min(in.state.confirmationAge(), time.Since(*settledAt))
	if age >= in.state.propagationTime(fraction) && in.watchingStore.CompareAndSwap(false, true) {
		in.log.Warn("peers do not have what the store confirmed", zap.Duration("age", age))
	}
	return in.watchingStore.Load()
}

// storeCallInterval returns the mean time between two calls of the store, or 0 if
// the calls of this instance are not limited. Only an instance that is not in the
// directory and whose peers answer is limited.
func (in *Instance) storeCallInterval() time.Duration {
	lastReply := in.lastReplyAt.Load()
	if lastReply == nil || time.Since(*lastReply) > in.state.propagationTime(lateFraction) || in.delegator.worksForOthers() {
		return 0
	}
	return time.Duration(in.members.NumServing()) * storeCallPerInstance
}

// maxStoreBackoff returns the longest time after which this instance retries a
// failed call of the store.
func (in *Instance) maxStoreBackoff() time.Duration {
	if _, watches := in.sources(); watches {
		return maxBackoff
	}
	return substituteBackoff
}
