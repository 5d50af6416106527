package member_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"chervilpath/core/member"
)

const (
	// startSpread is the time within which the instances of a fleet start, and
	// networkDelay that of a message.
	startSpread  = 300 * time.Millisecond
	networkDelay = 3 * time.Millisecond
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type (
	// startingFleet is a fleet of instances that all start at nearly the same
	// time, in virtual time.
	startingFleet struct {
		instances []*startingInstance
		seeds     []*startingInstance
	}

	startingInstance struct {
		member.Member
		started   time.Time
		join      *member.Join
		table     *member.Table
		settledAt time.Time
		// syncs are the calls made, and received the members in their replies.
		syncs, received int
	}

	// reply is a seed's answer to a sync that is on its way.
	reply struct {
		at, requestedAt time.Time
		to, seed        *startingInstance
		settled         bool
		directory       []member.Member
	}
)

// newStartingFleet returns a fleet of n instances, one in 20 of which has more
// capacity. The first three are the seeds, of which some are down.
func newStartingFleet(n, seedsDown int, rng *rand.Rand) *startingFleet {
	f := &startingFleet{}
	for i := range n {
		m := member.Member{ID: fmt.Sprintf("edge-%d-x", i), Name: fmt.Sprint("edge-", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Weight: 0.08}
		if i%20 == 0 {
			m.Weight = 0.8
		}
		in := &startingInstance{Member: m, started: epoch.Add(time.Duration(rng.Int64N(int64(startSpread)))), table: member.New(m, rand.New(rand.NewPCG(1, uint64(i))))}
		f.instances = append(f.instances, in)
	}
	f.seeds = f.instances[:3]
	var addresses []string
	for _, s := range f.seeds {
		addresses = append(addresses, s.Address)
	}
	for _, in := range f.instances {
		others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == in.Address })
		in.join = member.NewJoin(in.started, others)
	}
	f.instances = f.instances[seedsDown:]
	f.seeds = f.seeds[seedsDown:]
	return f
}

// run plays the start until all instances are settled.
func (f *startingFleet) run(t testing.TB) {
	var replies []reply
	for now := epoch; now.Before(epoch.Add(5 * time.Second)); now = now.Add(time.Millisecond) {
		for len(replies) > 0 && !now.Before(replies[0].at) {
			r := replies[0]
			replies = replies[1:]
			r.to.table.MergeAll(now, r.directory)
			r.to.received += len(r.directory)
			r.to.join.Answered(r.requestedAt, r.seed.Address, r.settled)
		}
		unsettled := 0
		for _, in := range f.instances {
			if now.Before(in.started) || !in.settledAt.IsZero() {
				continue
			}
			if in.join.Settled(now, in.table.NumServing()-1) {
				in.settledAt = now
				continue
			}
			unsettled++
			for _, address := range in.join.Due(now) {
				in.syncs++
				i := slices.IndexFunc(f.seeds, func(s *startingInstance) bool { return s.Address == address && !now.Before(s.started) })
				if i < 0 {
					continue
				}
				seed := f.seeds[i]
				seed.table.Merge(now, in.table.Self())
				replies = append(replies, reply{at: now.Add(2 * networkDelay), requestedAt: now, to: in, seed: seed, settled: !seed.settledAt.IsZero(), directory: seed.table.Directory()})
			}
		}
		slices.SortStableFunc(replies, func(a, b reply) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		if unsettled == 0 && now.After(epoch.Add(startSpread)) {
			return
		}
	}
	t.Fatal("some instances did not settle within 5 s")
}

// Pattern: all instances lose power and start at once. Each one learns which
// instances work for others before it settles, all choose the same owner for each
// service, and what each sends and receives does not grow with the fleet.
func TestFleetThatStartsAtOnceAgreesOnOwners(t *testing.T) {
	for _, n := range []int{30, 300, 1000} {
		for _, seedsDown := range []int{0, 2} {
			t.Run(fmt.Sprintf("instances=%d,seedsDown=%d", n, seedsDown), func(t *testing.T) {
				f := newStartingFleet(n, seedsDown, rand.New(rand.NewPCG(7, uint64(n))))
				f.run(t)
				owners := make(map[string]map[string]int)
				for _, in := range f.instances {
					if took := in.settledAt.Sub(in.started); took > time.Second {
						t.Errorf("%s settled %v after its start", in.Name, took)
					}
					if in.syncs > 15 || in.received > 15*64 {
						t.Errorf("%s made %d syncs and received %d members", in.Name, in.syncs, in.received)
					}
					for _, service := range []string{"photos", "stock", "texts", "llm"} {
						m, ok := member.Owner(in.table.Directory(), service, func(member.Member) bool { return true })
						if !ok || m.Weight != 0.8 {
							t.Fatalf("%s chose %+v as the owner of %s", in.Name, m, service)
						}
						if owners[service] == nil {
							owners[service] = make(map[string]int)
						}
						owners[service][m.Name]++
					}
				}
				for service, chosen := range owners {
					if len(chosen) != 1 {
						t.Errorf("owners of %s, by number of instances that chose them: %v", service, chosen)
					}
				}
			})
		}
	}
}

// An instance that restarts in a running fleet does not wait for others.
func TestInstanceSettlesWithTheFirstAnswerOfASettledOne(t *testing.T) {
	j := member.NewJoin(epoch, []string{"a:1", "b:1"})
	if due := j.Due(epoch); len(due) != 2 {
		t.Fatalf("%d seeds are due, want both", len(due))
	}
	j.Answered(epoch, "a:1", true)
	if !j.Settled(epoch.Add(10*time.Millisecond), 1) {
		t.Error("not settled after the answer of a settled instance")
	}
}

// An instance that no seed answers acts on its own after a while, not before.
func TestInstanceThatHearsNothingSettlesLate(t *testing.T) {
	j := member.NewJoin(epoch, []string{"a:1"})
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += 100 * time.Millisecond {
		if j.Due(epoch.Add(elapsed)); j.Settled(epoch.Add(elapsed), 0) {
			t.Fatalf("settled %v after the start without an answer", elapsed)
		}
	}
	if !j.Settled(epoch.Add(2*time.Second), 0) {
		t.Error("not settled 2 s after the start")
	}
}

// The directory has the same live members at all instances that know them,
// whatever else they know, and its size is bounded.
func TestDirectoryIsBounded(t *testing.T) {
	for _, n := range []int{30, 300, 1000} {
		table := member.New(member.Member{ID: "self", Name: "self", Address: "10.1.0.1:1", Weight: 1}, rand.New(rand.NewPCG(1, 1)))
		for i := range n {
			table.Merge(epoch, member.Member{ID: fmt.Sprint("m-", i), Name: fmt.Sprint("m-", i), Address: "10.1.0.2:1", Weight: 1, State: member.State(i % 3)})
		}
		directory := table.Directory()
		if len(directory) > 64 {
			t.Errorf("%d instances: the directory has %d members", n, len(directory))
		}
		other := member.New(member.Member{ID: "other", Name: "other", Address: "10.1.0.3:1", Weight: 0.1}, rand.New(rand.NewPCG(1, 1)))
		other.MergeAll(epoch, directory)
		if member.Digest(other.Directory()) != member.Digest(directory) {
			t.Errorf("%d instances: an instance that merged the directory has another one", n)
		}
	}
}

// BenchmarkDirectory measures the directory of a table, which is computed after a
// change of a member.
func BenchmarkDirectory(b *testing.B) {
	for _, n := range []int{30, 300, 1000} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			table := member.New(member.Member{ID: "self", Name: "self", Weight: 0.08}, rand.New(rand.NewPCG(1, 1)))
			for _, in := range newStartingFleet(n, 0, rand.New(rand.NewPCG(7, 7))).instances {
				table.Merge(epoch, in.Member)
			}
			for b.Loop() {
				table.Directory()
			}
		})
	}
}
