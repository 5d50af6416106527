package peer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"chervilpath/core/member"
	"chervilpath/io/peer/peerpb"
)

// joinTimeout limits a sync during the start of an instance.
const joinTimeout = 500 * time.Millisecond

// join announces this instance to the seeds and fetches their directories until
// this instance is settled.
func (m *Members) join(ctx context.Context) {
	self := m.Self()
	var seeds []string
	for _, s := range m.seeds {
		if s != self.Address {
			seeds = append(seeds, s)
		}
	}
	var mu sync.Mutex
	j := member.NewJoin(m.now(), seeds)
	answered := make(chan struct{}, 1)
	for ctx.Err() == nil {
		others := m.NumServing() - 1
		mu.Lock()
		settled, due, wakeup := j.Settled(m.now(), others), j.Due(m.now()), j.NextWakeup()
		mu.Unlock()
		if settled {
			m.onServingChanged(m.NumServing())
			m.markSettled()
			return
		}
		for _, address := range due {
			go func() {
				requestedAt := m.now()
				settled, err := m.syncDirectory(ctx, address)
				if err != nil {
					return
				}
				mu.Lock()
				j.Answered(requestedAt, address, settled)
				mu.Unlock()
				select {
				case answered <- struct{}{}:
				default:
				}
			}()
		}
		timer := time.NewTimer(max(time.Millisecond, wakeup.Sub(m.now())))
		select {
		case <-answered:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// syncDirectory announces this instance to another one, merges its directory, and
// reports whether the other one is settled.
func (m *Members) syncDirectory(ctx context.Context, address string) (settled bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	resp, err := m.clients.For(address).Sync(ctx, &peerpb.SyncRequest{From: toProto(m.Self()), Directory: true})
	if err != nil {
		return false, fmt.Errorf("joining through %s: %w", address, err)
	}
	m.mergeAll(resp.Members)
	m.setReportedServing(int(resp.Serving))
	return resp.Settled, nil
}

// Settled returns a channel that is closed once this instance knows the others
// well enough to work for them.
func (m *Members) Settled() <-chan struct{} { return m.settled }

func (m *Members) isSettled() bool {
	select {
	case <-m.settled:
		return true
	default:
		return false
	}
}

func (m *Members) markSettled() {
	m.settleOnce.Do(func() { close(m.settled) })
}

// Directory returns the members that work for others, and its digest. The caller
// must not change the slice.
func (m *Members) Directory() ([]member.Member, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentDirectory()
}

// currentDirectory returns the directory and its digest. The caller holds mu.
func (m *Members) currentDirectory() ([]member.Member, uint64) {
	if v := m.table.Version(); m.directory == nil || v != m.directoryVersion {
		m.directory, m.directoryVersion = m.table.Directory(), v
		m.directoryDigest = member.Digest(m.directory)
	}
	return m.directory, m.directoryDigest
}

// directoryIfChanged returns the directory for a peer unless the peer has it.
func (m *Members) directoryIfChanged(digest uint64) []*peerpb.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	directory, own := m.currentDirectory()
	if own == digest {
		return nil
	}
	return membersToProto(directory)
}

func membersToProto(members []member.Member) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(members))
	for _, m := range members {
		out = append(out, toProto(m))
	}
	return out
}

// membersFromProto returns the valid ones of the members received from a peer.
func membersFromProto(pbs []*peerpb.Member) []member.Member {
	var out []member.Member
	for _, pb := range pbs {
		if m, err := fromProto(pb); err == nil {
			out = append(out, m)
		}
	}
	return out
}

// MergeDirectory merges the directory of another instance.
func (m *Members) MergeDirectory(directory []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.MergeAll(m.now(), directory)
}
