package edge

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"chervilpath/core/fleet"
	"chervilpath/core/member"
	"chervilpath/io/peer"
)

const (
	// joinPollInterval is the time between two checks, before this instance is
	// settled, of whether it is among those that watch the store.
	joinPollInterval = 20 * time.Millisecond

	// numStoreWatchers is how many instances watch the store on behalf of all, so
	// that the number of calls does not grow with the number of instances.
	numStoreWatchers = 3

	// unconfirmedFraction is the age of the store's last confirmation, as a fraction
	// of the propagation time, from which an instance that watches the store follows
	// the others too, and any other instance asks other sources than its own. It is
	// longer than a watch.
	unconfirmedFraction = 0.6

	// followFraction is how long a Follow request to a peer waits for a change,
	// as a fraction of the propagation time.
	followFraction = 0.25
)

// followPeers follows the store through the instances that watch it, until ctx
// is done. While this instance is one of them, it watches the store itself, and
// follows the others only if the store does not confirm what it has.
func (in *Instance) followPeers(ctx context.Context) {
	in.awaitDirectory(ctx)
	chooser := fleet.Sources{Offset: xxhash.Sum64String(in.incarnation)}
	for ctx.Err() == nil {
		in.state.expireMissing()
		sources, watches := in.sources()
		if watches {
			in.watchingStore.Store(true)
		}
		// The store may refuse this instance alone. Without what the others know, it
		// would take that for an outage, in which missing servers count as present.
		untilStale := in.state.propagationTime(unconfirmedFraction) - in.state.confirmationAge()
		if watches && (len(sources) == 0 || untilStale > 0 && in.numLostKinds.Load() == 0) {
			in.sleep(ctx, in.followWait(untilStale))
			continue
		}
		wait := time.Duration(0)
		if !chooser.Searching() {
			wait = in.followWait(untilStale)
		}
		source := in.pollPeers(ctx, chooser.Next(sources, numStoreWatchers), wait)
		if source == "" {
			in.sleep(ctx, chooser.Failed(in.state.propagationTime(followFraction)))
			continue
		}
		if chooser.Found(source) {
			in.state.logSource(source)
		}
		if !watches && in.watchingStore.CompareAndSwap(true, false) {
			in.log.Info("following peers", zap.String("source", source))
		}
	}
}

// followWait returns how long a peer may wait for a change if what this instance has
// becomes stale after the given time. A peer that cannot confirm it later is noticed
// when it becomes stale.
func (in *Instance) followWait(untilStale time.Duration) time.Duration {
	return min(max(untilStale, minBackoff), in.state.propagationTime(followFraction))
}

// pollPeers asks peers for changes at the same time and returns the first that has a
// recent confirmation by the store, or "" if none has.
func (in *Instance) pollPeers(ctx context.Context, addresses []string, wait time.Duration) string {
	found := make(chan string, len(addresses))
	for _, address := range addresses {
		go func() {
			if !in.pollPeer(ctx, address, wait) {
				address = ""
			}
			found <- address
		}()
	}
	for range addresses {
		if address := <-found; address != "" {
			return address
		}
	}
	return ""
}

// awaitDirectory waits until this instance is settled. If it is among the watchers
// according to the seeds that have answered, it starts to watch the store earlier.
func (in *Instance) awaitDirectory(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-in.members.Settled():
			now := time.Now()
			in.settledAt.Store(&now)
			in.state.updateReady()
			return
		default:
		}
		if directory, _ := in.members.Directory(); len(directory) > 1 {
			if _, watches := in.sources(); watches {
				in.watchingStore.Store(true)
			}
		}
		in.sleep(ctx, joinPollInterval)
	}
}

// sources returns the addresses of the live members of the directory, of which the
// first numStoreWatchers watch the store on behalf of all, and reports whether this
// instance is one of these or no other instance is known.
func (in *Instance) sources() (addresses []string, watches bool) {
	directory, _ := in.members.Directory()
	rank := 0
	for _, m := range directory {
		if m.State != member.Live {
			continue
		}
		if m.ID == in.incarnation {
			watches = rank < numStoreWatchers
		} else {
			addresses = append(addresses, m.Address)
		}
		rank++
	}
	return addresses, watches || len(addresses) == 0
}

// onNewerVersion is called when a peer has a newer configuration in force.
func (in *Instance) onNewerVersion(address string, _ int64) { go in.pollPeer(in.loopCtx, address, 0) }

// pollPeer asks a peer for changes, applies them, and reports whether the peer
// has a recent confirmation by the store. The peer waits for a change for up to
// the given time.
func (in *Instance) pollPeer(ctx context.Context, address string, wait time.Duration) bool {
	age := in.state.confirmationAge()
	req := peer.FollowRequest{ServersRevision: in.state.serversRevision(), CompressedServers: true, Wait: wait, Confirmed: age < math.MaxInt64, Age: age}
	if t := in.state.table(); t != nil {
		req.Version = t.Version()
	}
	req.EvacuationsRevision = in.state.evacuationsRevision()
	req.DirectoryDigest, req.ConfigurationDigest = in.directoryDigests.get(address), in.state.deltaBase()
	in.metrics.followRequests.Inc()
	sentAt := in.bootTime()
	reply, err := in.peers.Follow(ctx, address, req)
	if err != nil {
		in.metrics.staleSources.Inc()
		in.log.Info("peer does not answer a request for changes", zap.String("peer", address), zap.Duration("age", in.state.confirmationAge()), zap.Error(err))
		return false
	}
	now := time.Now()
	in.lastReplyAt.Store(&now)
	if len(reply.Directory) > 0 {
		in.directoryDigests.set(address, member.Digest(reply.Directory))
		in.members.MergeDirectory(reply.Directory)
	}
	in.state.applyReply(address, sentAt, reply)
	if !reply.Confirmed || reply.Confirmation.Age >= in.state.propagationTime(unconfirmedFraction) {
		in.metrics.staleSources.Inc()
		in.log.Info("peer has no recent confirmation", zap.String("peer", address), zap.Bool("confirmed", reply.Confirmed),
			zap.Duration("peerAge", reply.Confirmation.Age), zap.String("origin", reply.Confirmation.Origin), zap.Int("hops", reply.Confirmation.Hops), zap.Duration("age", in.state.confirmationAge()))
		return false
	}
	return true
}

func (c *clusterState) serversRevision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.Revision()
}

// sleep waits for d or until ctx is done.
func (in *Instance) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
