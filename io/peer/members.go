package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"chervilpath/core/member"
	"chervilpath/io/peer/peerpb"
)

const (
	// numIndirectProbes is how many members are asked to probe one that does
	// not answer this instance.
	numIndirectProbes = 3

	// pushFanout is how many members are pinged at once when this instance
	// leaves or its revision changes, so that this spreads faster than with one
	// ping per period.
	pushFanout = 4

	// minSyncInterval is the minimum mean number of periods between two syncs
	// with a seed, which reunite the membership after a network partition. A
	// sync carries every member, so with many members each instance syncs less
	// often: on average once in as many periods as there are serving members.
	minSyncInterval = 15
)

// maxStartupSyncPeriod is the last period in which an instance fetches all members
// for the first time. Each draws its own period, so that instances that start
// together do not fetch them from the seeds at the same time.
const maxStartupSyncPeriod = 20

// Until period numFastPeriods, the periods are shorter by the factor
// fastPeriodDivisor, so that instances that start together soon agree on which of
// them owns what.
const (
	numFastPeriods    = 15
	fastPeriodDivisor = 5
)

// Members maintains this instance's view of the membership and exchanges it with
// other instances. Use NewMembers to create one. It is safe for concurrent use.
type Members struct {
	clients *Clients
	seeds   []string
	now     func() time.Time
	// onNewerRevision is called when another member has a higher revision than
	// this instance.
	onNewerRevision func(address string, revision int64)
	// onServingChanged is called when the number of serving instances may have
	// changed.
	onServingChanged func(serving int)

	// quarantine is nil if pings carry no evidence against parts of prompts.
	quarantine *Quarantine

	// settled is closed once this instance knows the others well enough to work
	// for them.
	settled    chan struct{}
	settleOnce sync.Once

	mu         sync.Mutex
	numPeriods int
	// startupSyncPeriod is the period in which this instance fetches all members
	// for the first time.
	startupSyncPeriod int
	table             *member.Table
	rng               *rand.Rand
	numPings          int64
	// reportedServing is the number of serving instances that the last synced
	// instance reported. The table may hold fewer soon after the start.
	reportedServing int
	// directory is that of the table's version directoryVersion.
	directory        []member.Member
	directoryVersion int64
	directoryDigest  uint64
}

// NewMembers returns a membership that knows only the instance itself and the
// addresses of its seeds.
func NewMembers(self member.Member, seeds []string, clients *Clients, now func() time.Time, rng *rand.Rand, onNewerRevision func(address string, revision int64), onServingChanged func(serving int)) *Members {
	return &Members{
		clients: clients, seeds: seeds, now: now, onNewerRevision: onNewerRevision, onServingChanged: onServingChanged,
		table: member.New(self, rng), rng: rng, settled: make(chan struct{}), startupSyncPeriod: 1 + rng.IntN(maxStartupSyncPeriod),
	}
}

// List returns all members, including this instance.
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

// NumServing returns the number of instances that accept requests.
func (m *Members) NumServing() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.numServing()
}

// numServing returns the number of instances that accept requests, as this
// instance knows or was last told. The caller holds mu.
func (m *Members) numServing() int { return max(m.table.NumServing(), m.reportedServing) }

func (m *Members) setReportedServing(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reportedServing = n
}

// Rank returns how many live members rank higher than this instance.
func (m *Members) Rank(score func(id string) uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Rank(score)
}

// SampleLive returns up to n live members chosen at random, excluding this
// instance.
func (m *Members) SampleLive(n int) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SampleLive("", n)
}

// NumPings returns the number of pings that this instance has sent or answered.
func (m *Members) NumPings() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.numPings
}

// Leave marks this instance as leaving and notifies some members immediately. The
// successor is the address of the instance that took over its keys, or "".
func (m *Members) Leave(ctx context.Context, successor string) {
	m.mu.Lock()
	m.table.Leave(successor)
	m.mu.Unlock()
	m.pushUpdates(ctx)
}

// SetRevision sets the revision that this instance has in force and notifies some
// members immediately.
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

// Run joins the other instances and then probes one member in each period until
// ctx is done.
func (m *Members) Run(ctx context.Context) {
	m.join(ctx)
	for m.waitPeriod(ctx) {
		if m.syncDue() {
			m.syncWithSeed(ctx)
		}
		m.probeNext(ctx)
	}
}

// syncDue begins a period and reports whether to sync with a seed in it: always
// if no other serving instance is known or in startupSyncPeriod, otherwise at
// random.
func (m *Members) syncDue() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.numPeriods++
	return m.table.NumServing() == 1 || m.numPeriods == m.startupSyncPeriod || m.rng.IntN(max(minSyncInterval, m.numServing())) == 0
}

// waitPeriod sleeps for a period, varied at random by up to a fifth. It reports
// false if ctx is done.
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

// syncWithSeed syncs with one seed, the first to answer in a random order.
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
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	resp, err := m.clients.For(address).Sync(ctx, &peerpb.SyncRequest{From: toProto(self)})
	if err != nil {
		return fmt.Errorf("syncing with %s: %w", address, err)
	}
	m.mergeAll(resp.Members)
	m.setReportedServing(int(resp.Serving))
	return nil
}

// mergeAll merges the members that another instance returned to a sync.
func (m *Members) mergeAll(pbs []*peerpb.Member) {
	m.MergeDirectory(membersFromProto(pbs))
	// The entries are merged by now. This call detects a member that has a
	// higher revision.
	m.mergeUpdates(pbs)
}

// probeNext probes the next member and then removes members that are gone.
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
	serving := m.numServing()
	addresses := make(map[string]bool)
	for _, other := range m.table.Members() {
		addresses[other.Address] = true
	}
	m.mu.Unlock()
	m.clients.Retain(addresses)
	m.onServingChanged(serving)
}

// Reach pings members, all at the same time, and calls answered with each that answers.
func (m *Members) Reach(ctx context.Context, members []member.Member, answered func(member.Member)) {
	var wg sync.WaitGroup
	for _, other := range members {
		wg.Go(func() {
			if m.ping(ctx, other.Address, other.ID) == nil {
				answered(other)
			}
		})
	}
	wg.Wait()
}

// UnknownSeeds returns the number of seeds at whose addresses no member is known.
func (m *Members) UnknownSeeds() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := make(map[string]bool)
	for _, other := range m.table.Members() {
		known[other.Address] = true
	}
	n := 0
	for _, seed := range m.seeds {
		if !known[seed] {
			n++
		}
	}
	return n
}

// probeIndirectly asks some other members to probe the target and reports whether
// it answered one of them.
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

// ping exchanges updates with the instance at an address. It fails if another
// incarnation answers there, since the one with the given ID has been replaced.
func (m *Members) ping(ctx context.Context, address, id string) error {
	return m.pingWith(ctx, address, id, nil)
}

// pingWith is ping with a change of the evidence against parts of prompts, or nil.
func (m *Members) pingWith(ctx context.Context, address, id string, quarantine []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	self, updates := m.pingContents()
	resp, err := m.clients.For(address).Ping(callCtx, &peerpb.PingRequest{From: self, News: updates, Quarantine: quarantine, QuarantineDigest: m.quarantineDigest()})
	if err != nil {
		return fmt.Errorf("pinging %s: %w", address, err)
	}
	m.mergeUpdates(append(resp.News, resp.From))
	if len(quarantine) == 0 {
		m.mergeQuarantineReply(ctx, address, id, resp)
	}
	if got := resp.GetFrom().GetId(); got != id {
		return fmt.Errorf("pinging %s: incarnation %s answered instead of %s", address, got, id)
	}
	return nil
}

// pingContents returns what to send with a ping or its reply: this instance's
// entry and updates on others.
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

// mergeUpdates merges updates on members, and calls onNewerRevision if one of
// them has a higher revision than this instance.
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
