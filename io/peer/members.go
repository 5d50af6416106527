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
	helpers = 3

	// pushes is how many instances are pinged at once when the instance's own
	// revision changed, so that a revision spreads faster than the period.
	pushes = 4

	// rejoinPeriods is the least mean number of periods between two syncs with
	// a seed, which join the halves of a fleet again after a cut. A sync
	// carries every member, so that in a larger fleet each instance syncs less
	// often: once in as many periods as there are members.
	rejoinPeriods = 15
)

// earlyPeriods are the periods after its start in which an instance syncs in any
// case: when many start at once, the first sync finds few of them. The first
// fastPeriods of them are shorter by fastFactor, so that instances that start
// together soon agree on who owns what.
var earlyPeriods = []int{1, 2, 5, 15}

const (
	fastPeriods = 15
	fastFactor  = 5
)

// Members is the membership as this instance sees and serves it. Use
// NewMembers. It is safe for concurrent use.
type Members struct {
	clients *Clients
	seeds   []string
	now     func() time.Time
	// behind is called when a member has a higher revision than this instance.
	behind func(address string, revision int64)
	// changed is called after the number of serving instances may have changed.
	changed func(serving int)

	mu      sync.Mutex
	periods int
	table   *member.Table
	rng     *rand.Rand
	calls   int64
}

// NewMembers returns a membership that knows the instance itself and its seeds.
func NewMembers(self member.Member, seeds []string, clients *Clients, now func() time.Time, rng *rand.Rand, behind func(address string, revision int64), changed func(serving int)) *Members {
	return &Members{
		clients: clients, seeds: seeds, now: now, behind: behind, changed: changed,
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

// Serving returns the number of instances that take requests.
func (m *Members) Serving() int {
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

// Live returns up to n live members chosen at random, this instance excluded.
func (m *Members) Live(n int) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.SampleLive("", n)
}

// Calls returns the number of pings sent.
func (m *Members) Calls() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Leave announces that this instance leaves and tells some members at once.
func (m *Members) Leave(ctx context.Context, successor string) {
	m.mu.Lock()
	m.table.Leave(successor)
	m.mu.Unlock()
	m.push(ctx)
}

// SetRevision notes the instance's own revision and tells some members at once.
func (m *Members) SetRevision(ctx context.Context, revision int64) {
	m.mu.Lock()
	m.table.SetRevision(revision)
	m.mu.Unlock()
	m.push(ctx)
}

func (m *Members) push(ctx context.Context) {
	for _, other := range m.Live(pushes) {
		go func() { _ = m.ping(ctx, other.Address, other.ID) }()
	}
}

// Run probes one member each period until ctx is done.
func (m *Members) Run(ctx context.Context) {
	m.join(ctx)
	for m.wait(ctx) {
		if m.rejoins() {
			m.join(ctx)
		}
		m.period(ctx)
	}
}

// rejoins draws whether to sync with a seed in this period.
func (m *Members) rejoins() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.periods++
	n := m.table.NumServing()
	return n == 1 || slices.Contains(earlyPeriods, m.periods) || m.rng.IntN(max(rejoinPeriods, n)) == 0
}

// wait sleeps for a period, a fifth more or less.
func (m *Members) wait(ctx context.Context) bool {
	m.mu.Lock()
	period := member.ProbePeriod
	if m.periods < fastPeriods {
		period /= fastFactor
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

// join syncs with one seed, chosen at random.
func (m *Members) join(ctx context.Context) {
	m.mu.Lock()
	order := m.rng.Perm(len(m.seeds))
	self := m.table.Self()
	m.mu.Unlock()
	for _, i := range order {
		if m.seeds[i] == self.Address {
			continue
		}
		if m.sync(ctx, m.seeds[i], self) == nil {
			return
		}
	}
}

func (m *Members) sync(ctx context.Context, address string, self member.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := m.clients.At(address).Sync(ctx, &peerpb.SyncRequest{From: toWire(self)})
	if err != nil {
		return fmt.Errorf("syncing with %s: %w", address, err)
	}
	m.learnAll(reply.Members)
	return nil
}

// learnAll takes the table of a seed.
func (m *Members) learnAll(table []*peerpb.Member) {
	m.mu.Lock()
	var members []member.Member
	for _, w := range table {
		if other, err := fromWire(w); err == nil {
			members = append(members, other)
		}
	}
	m.table.MergeAll(m.now(), members)
	m.mu.Unlock()
	// What is known by now decides whether a member has a higher revision.
	m.learn(table)
}

func (m *Members) period(ctx context.Context) {
	m.mu.Lock()
	target, ok := m.table.NextTarget()
	m.mu.Unlock()
	if ok && m.ping(ctx, target.Address, target.ID) != nil && !m.reached(ctx, target) && ctx.Err() == nil {
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
	m.clients.Keep(addresses)
	m.changed(serving)
}

// reached asks some members to probe the target.
func (m *Members) reached(ctx context.Context, target member.Member) bool {
	m.mu.Lock()
	others := m.table.SampleLive(target.ID, helpers)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			reply, err := m.clients.At(other.Address).Probe(ctx, &peerpb.ProbeRequest{Id: target.ID, Address: target.Address})
			answers <- err == nil && reply.Answered
		}()
	}
	for range others {
		if <-answers {
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
	self, news := m.tell()
	reply, err := m.clients.At(address).Ping(ctx, &peerpb.PingRequest{From: self, News: news})
	if err != nil {
		return fmt.Errorf("pinging %s: %w", address, err)
	}
	m.learn(append(reply.News, reply.From))
	if got := reply.GetFrom().GetId(); got != id {
		return fmt.Errorf("pinging %s: process %s answers, not %s", address, got, id)
	}
	return nil
}

// tell returns this instance's entry and the news to pass on.
func (m *Members) tell() (*peerpb.Member, []*peerpb.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	var news []*peerpb.Member
	for _, other := range m.table.Updates() {
		news = append(news, toWire(other))
	}
	return toWire(m.table.Self()), news
}

// learn takes news and follows a member that has a higher revision.
func (m *Members) learn(news []*peerpb.Member) {
	m.mu.Lock()
	var ahead member.Member
	for _, w := range news {
		other, err := fromWire(w)
		if err != nil {
			continue
		}
		m.table.Merge(m.now(), other)
		if other.Revision > ahead.Revision && other.State < member.Leaving {
			ahead = other
		}
	}
	own := m.table.Self().Revision
	m.mu.Unlock()
	if ahead.Revision > own {
		m.behind(ahead.Address, ahead.Revision)
	}
}
