package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chervilpath/core/member"
	"chervilpath/io/peer/peerpb"
)

const (
	numIndirectProbes = 3

	// pushFanout is how many instances are pinged at once when the instance's own
	// revision changed, so that a revision spreads faster than the period.
	pushFanout = 4

	// minSyncInterval is the least mean number of periods between two syncs with
	// a seed, which join the halves of a fleet again after a cut. A sync
	// carries every member, so that in a larger fleet each instance syncs less
	// often: once in as many periods as there are members.
	minSyncInterval = 15
)

// startupSyncPeriods are the periods after its start in which an instance syncs in any
// case: when many start at once, the first sync finds few of them. The first
// fastPeriods of them are shorter by fastFactor, so that instances that start
// together soon agree on who owns what.
var startupSyncPeriods = []int{1, 2, 5, 15}

const (
	numFastPeriods    = 15
	fastPeriodDivisor = 5
)

// Members is the membership as this instance sees and serves it. Use
// NewMembers. It is safe for concurrent use.
type Members struct {
	clients *Clients
	seeds   []string
	now     func() time.Time
	// onNewerRevision is called when a member has a higher revision than this instance.
	onNewerRevision func(address string, revision int64)
	// onServingChanged is called after the number of serving instances may have changed.
	onServingChanged func(serving int)

	mu         sync.Mutex
	numPeriods int
	table      *member.Table
	rng        *rand.Rand
	numPings   int64
}

// NewMembers returns a membership that knows the instance itself and its seeds.
func NewMembers(self member.Member, seeds []string, clients *Clients, now func() time.Time, rng *rand.Rand, onNewerRevision func(address string, revision int64), onServingChanged func(serving int)) *Members {
	return &Members{
		clients: clients, seeds: seeds, now: now, onNewerRevision: onNewerRevision, onServingChanged: onServingChanged,
		table: member.New(self, rng), rng: rng,
	}
}

// List returns all members, this instance included.
func (m *Members) List() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Members()
}

// Self returns this instance's entry.
func (m *Members) Self() member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// NumServing returns the number of instances that take requests.
func (m *Members) NumServing() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.NumServing()
}

// Rank returns how many live members come before this one by rank.
func (m *Members) Rank(rank func(id string) uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Rank(rank)
}

// SampleLive returns up to n live members chosen at random, this instance excluded.
func (m *Members) SampleLive(n int) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SampleLive("", n)
}

// NumPings returns the number of pings sent.
func (m *Members) NumPings() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.numPings
}

// Leave announces that this instance leaves and tells some members at once.
func (m *Members) Leave(ctx context.Context, successor string) {
	m.mu.Lock()
	m.table.Leave(successor)
	m.mu.Unlock()
	m.pushUpdates(ctx)
}

// SetRevision notes the instance's own revision and tells some members at once.
func (m *Members) SetRevision(ctx context.Context, revision int64) {
	m.mu.Lock()
	m.table.SetRevision(revision)
	m.mu.Unlock()
	m.pushUpdates(ctx)
}

func (m *Members) pushUpdates(ctx context.Context) {
	for _, other := range m.SampleLive(pushFanout) {
		go func() { _ = m.ping(ctx, other.Address, other.ID) }()
	}
}

// Run probes one member each period until ctx is done.
func (m *Members) Run(ctx context.Context) {
	m.syncWithSeed(ctx)
	for m.waitPeriod(ctx) {
		if m.syncDue() {
			m.syncWithSeed(ctx)
		}
		m.probeNext(ctx)
	}
}

// syncDue draws whether to sync with a seed in this period.
func (m *Members) syncDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.numPeriods++
	n := m.table.NumServing()
	return n == 1 || slices.Contains(startupSyncPeriods, m.numPeriods) || m.rng.IntN(max(minSyncInterval, n)) == 0
}

// waitPeriod sleeps for a period, a fifth more or less.
func (m *Members) waitPeriod(ctx context.Context) bool {
	m.mu.Lock()
	period := member.ProbePeriod
	if m.numPeriods < numFastPeriods {
		period /= fastPeriodDivisor
	}
	d := period*4/5 + time.Duration(m.rng.Int64N(int64(period)*2/5))
	m.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// syncWithSeed syncs with one seed, chosen at random.
func (m *Members) syncWithSeed(ctx context.Context) {
	m.mu.Lock()
	order := m.rng.Perm(len(m.seeds))
	self := m.table.Self()
	m.mu.Unlock()
	for _, i := range order {
		if m.seeds[i] == self.Address {
			continue
		}
		if m.syncWith(ctx, m.seeds[i], self) == nil {
			return
		}
	}
}

func (m *Members) syncWith(ctx context.Context, address string, self member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := m.clients.For(address).Sync(ctx, &peerpb.SyncRequest{From: toProto(self)})
	if err != nil {
		return fmt.Errorf("syncing with %s: %w", address, err)
	}
	m.mergeAll(resp.Members)
	return nil
}

// mergeAll takes the table of a seed.
func (m *Members) mergeAll(pbs []*peerpb.Member) {
	m.mu.Lock()
	var members []member.Member
	for _, pb := range pbs {
		if other, err := fromProto(pb); err == nil {
			members = append(members, other)
		}
	}
	m.table.MergeAll(m.now(), members)
	m.mu.Unlock()
	// What is known by now decides whether a member has a higher revision.
	m.mergeUpdates(pbs)
}

func (m *Members) probeNext(ctx context.Context) {
	m.mu.Lock()
	target, ok := m.table.NextTarget()
	m.mu.Unlock()
	if ok && m.ping(ctx, target.Address, target.ID) != nil && !m.probeIndirectly(ctx, target) && ctx.Err() == nil {
		m.mu.Lock()
		m.table.MarkUnreachable(m.now(), target.ID)
		m.mu.Unlock()
	}
	m.mu.Lock()
	m.table.Expire(m.now())
	serving := m.table.NumServing()
	addresses := make(map[string]bool)
	for _, other := range m.table.Members() {
		addresses[other.Address] = true
	}
	m.mu.Unlock()
	m.clients.Retain(addresses)
	m.onServingChanged(serving)
}

// probeIndirectly asks some members to probe the target.
func (m *Members) probeIndirectly(ctx context.Context, target member.Member) bool {
	m.mu.Lock()
	others := m.table.SampleLive(target.ID, numIndirectProbes)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			resp, err := m.clients.For(other.Address).Probe(ctx, &peerpb.ProbeRequest{Id: target.ID, Address: target.Address})
			answered <- err == nil && resp.Answered
		}()
	}
	for range others {
		if <-answered {
			return true
		}
	}
	return false
}

// ping exchanges news with the instance at an address. It fails if another
// process answers there: the one sought has been replaced.
func (m *Members) ping(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	self, updates := m.pingContents()
	resp, err := m.clients.For(address).Ping(ctx, &peerpb.PingRequest{From: self, News: updates})
	if err != nil {
		return fmt.Errorf("pinging %s: %w", address, err)
	}
	m.mergeUpdates(append(resp.News, resp.From))
	if got := resp.GetFrom().GetId(); got != id {
		return fmt.Errorf("pinging %s: process %s answers, not %s", address, got, id)
	}
	return nil
}

// pingContents returns this instance's entry and the news to pass on.
func (m *Members) pingContents() (*peerpb.Member, []*peerpb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.numPings++
	var updates []*peerpb.Member
	for _, other := range m.table.Updates() {
		updates = append(updates, toProto(other))
	}
	return toProto(m.table.Self()), updates
}

// mergeUpdates takes news and follows a member that has a higher revision.
func (m *Members) mergeUpdates(updates []*peerpb.Member) {
	m.mu.Lock()
	var newest member.Member
	for _, pb := range updates {
		other, err := fromProto(pb)
		if err != nil {
			continue
		}
		m.table.Merge(m.now(), other)
		if other.Revision > newest.Revision && other.State < member.Leaving {
			newest = other
		}
	}
	own := m.table.Self().Revision
	m.mu.Unlock()
	if newest.Revision > own {
		m.onNewerRevision(newest.Address, newest.Revision)
	}
}
