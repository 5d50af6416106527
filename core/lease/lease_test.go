package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/lease"
	"chervilpath/core/object"
	"chervilpath/platform/stand"
)

const (
	numInstances = 3
	maxOrder     = 2 * time.Second
)

type (
	// engine receives orders. If it is fenced it refuses old fencing numbers;
	// otherwise it counts the stale orders, which a holder sent although another
	// instance had acquired the lease by then.
	engine struct {
		fenced bool
		fence  int64
		model  string
		stale  int
	}

	// instance is one process. It may pause between the check of its lease and
	// the sending of an order.
	instance struct {
		lease *lease.Lease
		name  string
		// fence is the fencing number of the pending order, which was checked
		// but not yet delivered, and orderIndex its index in cluster.orders.
		fence      int64
		pending    bool
		orderIndex int
	}

	// step is one randomly drawn event of a history.
	step struct{ Op, Instance, Choice int }

	// cluster simulates instances that compete for one lease, the store and an
	// engine.
	cluster struct {
		now           time.Time
		objects       *stand.Store
		lastID        int
		delayedWrites []object.Object
		// putFault selects the fault of the next write; see put.
		putFault int
		// mutation names a bug injected into the system, if any.
		mutation  string
		instances []*instance
		engine    engine
		orders    []order
		violation error
	}

	// order is the period in which an order may be executed by the engine.
	order struct {
		fence    int64
		from, to time.Time
	}
)

func newCluster(fenced bool, mutation string) *cluster {
	c := &cluster{now: time.Unix(1_700_000_000, 0), mutation: mutation, engine: engine{fenced: fenced}}
	c.objects = stand.New(func() time.Time { return c.now })
	store := c.objects.Objects()
	store.Put = c.put
	for i := range numInstances {
		name := fmt.Sprint("i", i)
		c.instances = append(c.instances, &instance{name: name, lease: lease.New(store, "shard-1", name, maxOrder, func() string { c.lastID++; return fmt.Sprint(c.lastID) })})
	}
	return c
}

func (c *cluster) clock() time.Time { return c.now }

// put writes to the store over a network that loses responses and delays writes.
// It may also advance the clock before or after a write, or let another instance
// write first.
func (c *cluster) put(ctx context.Context, obj object.Object) (int64, error) {
	putFault := c.putFault
	c.putFault = 0
	if c.mutation == "unconditional" {
		if old, err := c.objects.Objects().Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch putFault {
	case 1: // The response is lost.
		if _, err := c.objects.Objects().Put(ctx, obj); err != nil {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2: // The write takes effect later.
		c.delayedWrites = append(c.delayedWrites, obj)
		return 0, object.ErrUncertain
	case 3: // The request is slow.
		c.now = c.now.Add(8 * time.Second)
	case 4: // The response is slow.
		v, err := c.objects.Objects().Put(ctx, obj)
		c.now = c.now.Add(8 * time.Second)
		return v, err
	case 5, 6:
		// Another instance writes first, at once or after 8 s.
		c.now = c.now.Add(time.Duration(putFault-5) * 8 * time.Second)
		_, _ = c.instances[c.lastID%numInstances].lease.RenewOrAcquire(ctx, c.clock)
		c.beginOrder(c.instances[c.lastID%numInstances])
	}
	return c.objects.Objects().Put(ctx, obj)
}

func (c *cluster) apply(s step) {
	inst := c.instances[s.Instance]
	switch s.Op {
	case 0, 1, 2:
		c.putFault = s.Choice
		_, _ = inst.lease.RenewOrAcquire(context.Background(), c.clock)
		c.putFault = 0
	case 3, 4:
		c.beginOrder(inst)
	case 5:
		if inst.pending {
			c.deliver(inst)
		}
	case 6:
		c.now = c.now.Add(time.Duration(1+s.Choice) * time.Second)
	case 7:
		for _, obj := range c.delayedWrites {
			_, _ = c.objects.Objects().Put(context.Background(), obj)
		}
		c.delayedWrites = nil
	case 8:
		if !inst.pending {
			_ = inst.lease.Release(context.Background(), c.clock)
		}
	}
}

// beginOrder lets an instance check its lease and prepare an order.
func (c *cluster) beginOrder(inst *instance) {
	fence, ok := inst.lease.MayOrder(c.now)
	if c.mutation == "unchecked" && inst.lease.Holder() == inst.name {
		fence, ok = inst.lease.Fence(), true
	}
	if !ok || inst.pending {
		return
	}
	inst.fence, inst.pending, inst.orderIndex = fence, true, len(c.orders)
	// Unless the instance pauses, the order is sent at once and ends within
	// maxOrder.
	c.orders = append(c.orders, order{fence, c.now, c.now.Add(maxOrder)})
}

// deliver lets a pending order reach the engine, however late.
func (c *cluster) deliver(inst *instance) {
	inst.pending = false
	if o := &c.orders[inst.orderIndex]; c.now.Before(o.to) {
		o.to = c.now
	}
	if c.engine.fenced && inst.fence < c.engine.fence {
		return
	}
	if inst.fence < c.engine.fence {
		c.engine.stale++
		if c.engine.fenced {
			c.violation = fmt.Errorf("a fenced engine accepted fence %d after %d", inst.fence, c.engine.fence)
		}
	}
	c.engine.fence = max(c.engine.fence, inst.fence)
	c.engine.model = inst.name
}

// check verifies that orders which are sent without a pause never overlap with
// orders of another fencing number, and that fencing numbers never decrease.
func (c *cluster) check() error {
	if c.violation != nil {
		return c.violation
	}
	slices.SortStableFunc(c.orders, func(a, b order) int { return a.from.Compare(b.from) })
	for i, a := range c.orders {
		for _, b := range c.orders[i+1:] {
			if a.fence != b.fence && b.from.Before(a.to) {
				return fmt.Errorf("orders of fences %d and %d overlap", a.fence, b.fence)
			}
			if b.fence < a.fence && b.from.After(a.from) {
				return fmt.Errorf("an order of fence %d follows one of fence %d", b.fence, a.fence)
			}
		}
	}
	return nil
}

func historyGenerator() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:       rapid.IntRange(0, 8).Draw(t, "op"),
			Instance: rapid.IntRange(0, numInstances-1).Draw(t, "instance"),
			Choice:   rapid.IntRange(0, 9).Draw(t, "choice"),
		}
	}), 1, 120)
}

// randomHistory returns a long history that depends only on the seed.
func randomHistory(seed int) []step {
	rng := rand.New(rand.NewPCG(uint64(seed), 3))
	out := make([]step, 300)
	for i := range out {
		out[i] = step{rng.IntN(9), rng.IntN(numInstances), rng.IntN(10)}
	}
	return out
}

func runHistory(fenced bool, mutation string, steps []step) error {
	c := newCluster(fenced, mutation)
	for _, s := range steps {
		c.apply(s)
	}
	return c.check()
}

func TestOneHolderAtATime(t *testing.T) {
	gen := historyGenerator()
	for seed := range 2000 {
		if err := runHistory(seed%2 == 0, "", randomHistory(seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(rapid.Bool().Draw(t, "fenced"), "", gen.Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCheckDetectsMutations shows that TestOneHolderAtATime detects each of the
// injected bugs: unconditional writes, and orders without a check of the lease.
func TestCheckDetectsMutations(t *testing.T) {
	for _, mutation := range []string{"unconditional", "unchecked"} {
		t.Run(mutation, func(t *testing.T) {
			for seed := range 2000 {
				if runHistory(false, mutation, randomHistory(seed)) != nil {
					return
				}
			}
			t.Error("no history violated the guarantee")
		})
	}
}

func TestTakeoverAndRelease(t *testing.T) {
	c := newCluster(false, "")
	a, b := c.instances[0].lease, c.instances[1].lease
	ctx := context.Background()
	if acquired, err := a.RenewOrAcquire(ctx, c.clock); !acquired || err != nil {
		t.Fatalf("first RenewOrAcquire() = %v, %v, want true", acquired, err)
	}
	if acquired, _ := b.RenewOrAcquire(ctx, c.clock); acquired {
		t.Fatal("a lease was acquired while another instance held it")
	}
	c.now = c.now.Add(lease.Duration + maxOrder + lease.SafetyMargin)
	if acquired, _ := b.RenewOrAcquire(ctx, c.clock); acquired {
		t.Fatal("the lease was acquired before it had expired")
	}
	if _, ok := a.MayOrder(c.now); ok {
		t.Error("a holder may send orders after its lease has expired")
	}
	c.now = c.now.Add(time.Millisecond)
	if acquired, _ := b.RenewOrAcquire(ctx, c.clock); !acquired {
		t.Fatal("the expired lease was not acquired")
	}
	if fence, ok := b.MayOrder(c.now); !ok || fence != 2 {
		t.Errorf("MayOrder() = %d, %v, want fence 2", fence, ok)
	}
	if err := b.Release(ctx, c.clock); err != nil {
		t.Fatal(err)
	}
	if acquired, _ := a.RenewOrAcquire(ctx, c.clock); !acquired {
		t.Error("the released lease was not acquired at once")
	}
}
