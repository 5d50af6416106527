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
	// hear of a new one from their peers, so that the watches do not grow with
	// the fleet.
	maxWatchers = 3

	// rootPollInterval is the time between two reads of the root by an instance that
	// does not watch it.
	rootPollInterval = 60 * time.Second

	// rankCheckInterval is the time after which an instance looks again whether it
	// is to watch.
	rankCheckInterval = 5 * time.Second

	startupReadTimeout = 2 * time.Second
	minRetryDelay      = 200 * time.Millisecond

	// maxRetryDelay is the longest wait before a root that was refused or could
	// not be read is read again. Only watchers wait for it, so that it can be
	// short without making a herd at the end of an outage.
	maxRetryDelay = 2 * time.Second
)

// newerRevision tells of a member that has a higher revision.
type newerRevision struct {
	address  string
	revision int64
}

// startDeclarations reads what is in force from the store and from peers, and
// then follows both. The instance starts also if neither answers; it is ready
// once one does.
func (n *Instance) startDeclarations(ctx context.Context) error {
	n.tracker.OnChange(func(s *publish.Snapshot) {
		n.runner.SetDeclarations(s.Set())
		n.members.SetRevision(n.loopCtx, s.Revision())
		n.log.Info("declarations in force", zap.Int64("revision", s.Revision()), zap.String("by", s.Root().By))
	})
	readCtx, cancel := context.WithTimeout(ctx, startupReadTimeout)
	defer cancel()
	n.readFromStore(readCtx)
	for _, m := range n.members.SampleLive(maxWatchers) {
		n.readFromPeer(readCtx, m.Address)
	}
	n.loops.Go(func() { n.followPeers(n.loopCtx) })
	n.loops.Go(func() { n.followStore(n.loopCtx) })
	return nil
}

// onNewerRevision is called by the membership; it must not block.
func (n *Instance) onNewerRevision(address string, revision int64) {
	select {
	case n.newerRevisions <- newerRevision{address, revision}:
	default:
	}
}

func (n *Instance) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case newer := <-n.newerRevisions:
			if newer.revision > n.tracker.Revision() {
				n.readFromPeer(ctx, newer.address)
			}
		}
	}
}

// followStore watches the root if this instance ranks among the watchers, and
// else reads it now and then.
func (n *Instance) followStore(ctx context.Context) {
	version := int64(0)
	delay := minRetryDelay
	for ctx.Err() == nil {
		if n.tracker.Current() != nil && n.members.Rank(xxhash.Sum64String) >= maxWatchers {
			if n.waitForPoll(ctx) {
				n.readFromStore(ctx)
			}
			continue
		}
		root, v, err := publish.WatchRoot(ctx, n.objectClient.Store(), version)
		switch {
		case err == nil && n.offerRoot(ctx, root, n.fetchFromStore):
			version, delay = v, minRetryDelay
		case err == nil:
			// What was refused is read again: a read may have been damaged.
			n.sleep(ctx, jitter(delay))
			delay = min(maxRetryDelay, 2*delay)
		case isUnchanged(err):
			delay = minRetryDelay
		default:
			// Every instance waits a random part of a growing time, so that
			// the end of an outage brings no herd.
			n.sleep(ctx, jitter(delay))
			delay = min(maxRetryDelay, 2*delay)
		}
	}
}

// waitForPoll waits until the root is to be read again. It reports false if
// this instance is to watch instead.
func (n *Instance) waitForPoll(ctx context.Context) bool {
	for waited := time.Duration(0); waited < rootPollInterval; waited += rankCheckInterval {
		n.sleep(ctx, jitter(2*rankCheckInterval))
		if n.members.Rank(xxhash.Sum64String) < maxWatchers || ctx.Err() != nil {
			return false
		}
	}
	return true
}

func (n *Instance) readFromStore(ctx context.Context) {
	root, err := publish.ReadRoot(ctx, n.objectClient.Store())
	if err != nil {
		n.log.Debug("root not read from the store", zap.Error(err))
		return
	}
	n.offerRoot(ctx, root, n.fetchFromStore)
}

func (n *Instance) fetchFromStore(ctx context.Context, hash string) ([]byte, error) {
	return publish.ReadFragment(ctx, n.objectClient.Store(), hash)
}

// readFromPeer takes the declarations in force at a peer.
func (n *Instance) readFromPeer(ctx context.Context, address string) {
	client := n.peerClients.For(address)
	reply, err := client.Root(ctx, &peerpb.RootRequest{})
	if err != nil || len(reply.Root) == 0 {
		return
	}
	root, err := publish.DecodeRoot(reply.Root)
	if err != nil {
		n.log.Warn("root of a peer refused", zap.String("peer", address), zap.Error(err))
		return
	}
	n.offerRoot(ctx, root, func(ctx context.Context, hash string) ([]byte, error) {
		f, err := client.Fragment(ctx, &peerpb.FragmentRequest{Hash: hash})
		if err != nil {
			return n.fetchFromStore(ctx, hash)
		}
		return f.Data, nil
	})
}

// offerRoot offers a root to the holder and reports whether it was not refused.
func (n *Instance) offerRoot(ctx context.Context, root publish.Root, fetch publish.FetchFunc) bool {
	if _, err := n.tracker.Offer(ctx, root, fetch); err != nil {
		n.log.Error("declarations refused", zap.Int64("revision", root.Revision), zap.Int64("inForce", n.tracker.Revision()), zap.Error(err))
		return false
	}
	return true
}

// announceLeave tells the members that this instance leaves.
func (n *Instance) announceLeave(ctx context.Context) error {
	if n.members.Self().State != member.Leaving {
		n.members.Leave(ctx, "")
	}
	return nil
}
