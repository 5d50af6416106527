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
	// watchers is how many instances watch the root in the store. The others
	// hear of a new one from their peers, so that the watches do not grow with
	// the fleet.
	watchers = 3

	// pollRoot is the time between two reads of the root by an instance that
	// does not watch it.
	pollRoot = 60 * time.Second

	// rankPeriod is the time after which an instance looks again whether it
	// is to watch.
	rankPeriod = 5 * time.Second

	bootWait   = 2 * time.Second
	retryFirst = 200 * time.Millisecond

	// retryMost is the longest wait before a root that was refused or could
	// not be read is read again. Only watchers wait for it, so that it can be
	// short without making a herd at the end of an outage.
	retryMost = 2 * time.Second
)

// behind tells of a member that has a higher revision.
type behind struct {
	address  string
	revision int64
}

// startDeclarations reads what is in force from the store and from peers, and
// then follows both. The instance starts also if neither answers; it is ready
// once one does.
func (n *Instance) startDeclarations(ctx context.Context) error {
	n.holder.OnChange(func(s *publish.Snapshot) {
		n.runner.SetDeclarations(s.Set())
		n.members.SetRevision(n.loopCtx, s.Revision())
		n.log.Info("declarations in force", zap.Int64("revision", s.Revision()), zap.String("by", s.Root().By))
	})
	bootCtx, cancel := context.WithTimeout(ctx, bootWait)
	defer cancel()
	n.readStore(bootCtx)
	for _, m := range n.members.Live(watchers) {
		n.readPeer(bootCtx, m.Address)
	}
	n.running.Go(func() { n.followPeers(n.loopCtx) })
	n.running.Go(func() { n.followStore(n.loopCtx) })
	return nil
}

// noteBehind is called by the membership; it must not block.
func (n *Instance) noteBehind(address string, revision int64) {
	select {
	case n.behind <- behind{address, revision}:
	default:
	}
}

func (n *Instance) followPeers(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-n.behind:
			if b.revision > n.holder.Revision() {
				n.readPeer(ctx, b.address)
			}
		}
	}
}

// followStore watches the root if this instance ranks among the watchers, and
// else reads it now and then.
func (n *Instance) followStore(ctx context.Context) {
	version := int64(0)
	retry := retryFirst
	for ctx.Err() == nil {
		if n.holder.Current() != nil && n.members.Rank(xxhash.Sum64String) >= watchers {
			if n.sleepRanked(ctx) {
				n.readStore(ctx)
			}
			continue
		}
		root, v, err := publish.WatchRoot(ctx, n.platform.Store(), version)
		switch {
		case err == nil && n.offer(ctx, root, n.storeFragment):
			version, retry = v, retryFirst
		case err == nil:
			// What was refused is read again: a read may have been damaged.
			n.sleep(ctx, jitter(retry))
			retry = min(retryMost, 2*retry)
		case isUnchanged(err):
			retry = retryFirst
		default:
			// Every instance waits a random part of a growing time, so that
			// the end of an outage brings no herd.
			n.sleep(ctx, jitter(retry))
			retry = min(retryMost, 2*retry)
		}
	}
}

// sleepRanked waits until the root is to be read again. It reports false if
// this instance is to watch instead.
func (n *Instance) sleepRanked(ctx context.Context) bool {
	for waited := time.Duration(0); waited < pollRoot; waited += rankPeriod {
		n.sleep(ctx, jitter(2*rankPeriod))
		if n.members.Rank(xxhash.Sum64String) < watchers || ctx.Err() != nil {
			return false
		}
	}
	return true
}

func (n *Instance) readStore(ctx context.Context) {
	root, err := publish.ReadRoot(ctx, n.platform.Store())
	if err != nil {
		n.log.Debug("root not read from the store", zap.Error(err))
		return
	}
	n.offer(ctx, root, n.storeFragment)
}

func (n *Instance) storeFragment(ctx context.Context, hash string) ([]byte, error) {
	return publish.ReadFragment(ctx, n.platform.Store(), hash)
}

// readPeer takes the declarations in force at a peer.
func (n *Instance) readPeer(ctx context.Context, address string) {
	client := n.clients.At(address)
	reply, err := client.Root(ctx, &peerpb.RootRequest{})
	if err != nil || len(reply.Root) == 0 {
		return
	}
	root, err := publish.DecodeRoot(reply.Root)
	if err != nil {
		n.log.Warn("root of a peer refused", zap.String("peer", address), zap.Error(err))
		return
	}
	n.offer(ctx, root, func(ctx context.Context, hash string) ([]byte, error) {
		f, err := client.Fragment(ctx, &peerpb.FragmentRequest{Hash: hash})
		if err != nil {
			return n.storeFragment(ctx, hash)
		}
		return f.Data, nil
	})
}

// offer offers a root to the holder and reports whether it was not refused.
func (n *Instance) offer(ctx context.Context, root publish.Root, fetch publish.FetchFunc) bool {
	if _, err := n.holder.Offer(ctx, root, fetch); err != nil {
		n.log.Error("declarations refused", zap.Int64("revision", root.Revision), zap.Int64("inForce", n.holder.Revision()), zap.Error(err))
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
