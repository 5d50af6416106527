package node

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"chervilpath/core/member"
	"chervilpath/core/publish"
	"chervilpath/io/peer/peerpb"
)

const (
	// maxWatchers is how many instances watch the root in the store. The others
	// learn of a new root from their peers, so that the number of watches does
	// not grow with the number of instances.
	maxWatchers = 3

	// rootPollInterval is the minimum time between two reads of the root by an
	// instance that does not watch it.
	rootPollInterval = 60 * time.Second

	// rankCheckInterval is the minimum time after which an instance that does not
	// watch the root checks again whether it ranks among the watchers.
	rankCheckInterval = 5 * time.Second

	// startupReadTimeout bounds the first read of the declarations at startup.
	startupReadTimeout = 2 * time.Second

	minRetryDelay = 200 * time.Millisecond

	// maxRetryDelay is the longest delay before a root that was refused or could
	// not be read is read again. It can be short, because only the few watchers
	// retry: there is no thundering herd when an outage ends.
	maxRetryDelay = 2 * time.Second
)

// newerRevision reports that the member at address has a higher revision in force
// than this instance.
type newerRevision struct {
	address  string
	revision int64
}

// startDeclarations reads the declarations in force from the store and from
// peers, and then follows both. If neither answers, the instance starts
// nevertheless and becomes ready once one of them does.
func (in *Instance) startDeclarations(ctx context.Context) error {
	in.tracker.OnChange(func(s *publish.Snapshot) {
		in.runner.SetDeclarations(s.Set())
		in.members.SetRevision(in.loopCtx, s.Revision())
		in.log.Info("declarations in force", zap.Int64("revision", s.Revision()), zap.String("by", s.Root().By))
	})
	readCtx, cancel := context.WithTimeout(ctx, startupReadTimeout)
	defer cancel()
	in.readFromStore(readCtx)
	for _, m := range in.members.SampleLive(maxWatchers) {
		in.readFromPeer(readCtx, m.Address)
	}
	in.loops.Go(func() { in.followPeers(in.loopCtx) })
	in.loops.Go(func() { in.followStore(in.loopCtx) })
	return nil
}

// onNewerRevision is called by the membership when a member has a higher
// revision. It must not block, and drops the report if one is already queued.
func (in *Instance) onNewerRevision(address string, revision int64) {
	select {
	case in.newerRevisions <- newerRevision{address, revision}:
	default:
	}
}

// followPeers reads the declarations of members that have a higher revision.
func (in *Instance) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case newer := <-in.newerRevisions:
			if newer.revision > in.tracker.Revision() {
				in.readFromPeer(ctx, newer.address)
			}
		}
	}
}

// followStore watches the root in the store while this instance ranks among the
// watchers or has no declarations. Otherwise it polls the root.
func (in *Instance) followStore(ctx context.Context) {
	version := int64(0)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if in.tracker.Current() != nil && in.members.Rank(xxhash.Sum64String) >= maxWatchers {
			if in.waitForPoll(ctx) {
				in.readFromStore(ctx)
			}
			continue
		}
		root, v, err := publish.WatchRoot(ctx, in.objectClient.Store(), version)
		switch {
		case err == nil && in.offerRoot(ctx, root, in.fetchFromStore):
			version, delay = v, minRetryDelay
		case err == nil:
			// A refused root is read again, since a fragment may have been corrupted
			// or unavailable only in this read.
			in.sleep(ctx, jitter(delay))
			delay = min(maxRetryDelay, 2*delay)
		case isUnchanged(err):
			delay = minRetryDelay
		default:
			// The delay grows and has jitter, so that the instances do not all
			// retry at once when an outage ends.
			in.sleep(ctx, jitter(delay))
			delay = min(maxRetryDelay, 2*delay)
		}
	}
}

// waitForPoll waits until the root is due to be read again. It returns false
// early if this instance now ranks among the watchers or ctx is done.
func (in *Instance) waitForPoll(ctx context.Context) bool {
	for waited := time.Duration(0); waited < rootPollInterval; waited += rankCheckInterval {
		in.sleep(ctx, jitter(2*rankCheckInterval))
		if in.members.Rank(xxhash.Sum64String) < maxWatchers || ctx.Err() != nil {
			return false
		}
	}
	return true
}

// readFromStore reads the declarations in force from the store.
func (in *Instance) readFromStore(ctx context.Context) {
	root, err := publish.ReadRoot(ctx, in.objectClient.Store())
	if err != nil {
		in.log.Debug("declarations not read from the store", zap.Error(err))
		return
	}
	in.offerRoot(ctx, root, in.fetchFromStore)
}

// fetchFromStore is a publish.FetchFunc that reads fragments from the store.
func (in *Instance) fetchFromStore(ctx context.Context, hash string) ([]byte, error) {
	return publish.ReadFragment(ctx, in.objectClient.Store(), hash)
}

// readFromPeer reads the declarations in force at a peer. Fragments that the peer
// does not return are read from the store.
func (in *Instance) readFromPeer(ctx context.Context, address string) {
	client := in.peerClients.For(address)
	reply, err := client.Root(ctx, &peerpb.RootRequest{})
	if err != nil || len(reply.Root) == 0 {
		return
	}
	root, err := publish.DecodeRoot(reply.Root)
	if err != nil {
		in.log.Warn("declarations from peer could not be decoded", zap.String("peer", address), zap.Error(err))
		return
	}
	in.offerRoot(ctx, root, func(ctx context.Context, hash string) ([]byte, error) {
		f, err := client.Fragment(ctx, &peerpb.FragmentRequest{Hash: hash})
		if err != nil {
			return in.fetchFromStore(ctx, hash)
		}
		return f.Data, nil
	})
}

// offerRoot offers a root to the tracker and reports whether it was not refused.
// A root that is not newer than the one in force is ignored, not refused.
func (in *Instance) offerRoot(ctx context.Context, root publish.Root, fetch publish.FetchFunc) bool {
	if _, err := in.tracker.Offer(ctx, root, fetch); err != nil {
		in.log.Error("declarations refused", zap.Int64("revision", root.Revision), zap.Int64("inForce", in.tracker.Revision()), zap.Error(err))
		return false
	}
	return true
}

// announceLeave tells the members that this instance leaves, unless handOver has
// done so.
func (in *Instance) announceLeave(ctx context.Context) error {
	if in.members.Self().State != member.Leaving {
		in.members.Leave(ctx, "")
	}
	return nil
}
