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
	holders = 3
	longest = 2 * time.Second
)

type (
	// engine judges orders: it may refuse old fencing numbers, and it notes an
	// order that a holder sent although another held the lease by then.
	engine struct {
		fenced bool
		fence  int64
		model  string
		stale  int
	}

	// instance is one process with a clock that runs with the others' but for
	// its pauses.
	instance struct {
		lease *lease.Lease
		name  string
		// fence is that of an order checked and not yet sent.
		fence   int64
		pending bool
		index   int
	}

	step struct{ Op, Instance, Choice int }

	world struct {
		now     time.Time
		objects *stand.Store
		ids     int
		late    []object.Object
		choice  int
		plant   string
		nodes   []*instance
		engine  engine
		orders  []order
		broken  error
	}

	// order is the time during which an order can be at work at the engine.
	order struct {
		fence    int64
		from, to time.Time
	}
)

func newWorld(fenced bool, plant string) *world {
	w := &world{now: time.Unix(1_700_000_000, 0), plant: plant, engine: engine{fenced: fenced}}
	w.objects = stand.New(func() time.Time { return w.now })
	store := w.objects.Objects()
	store.Put = w.put
	for i := range holders {
		name := fmt.Sprint("i", i)
		w.nodes = append(w.nodes, &instance{name: name, lease: lease.New(store, "shard-1", name, longest, func() string { w.ids++; return fmt.Sprint(w.ids) })})
	}
	return w
}

func (w *world) time() time.Time { return w.now }

// put loses answers, delays writes, or lets time pass during the write.
func (w *world) put(ctx context.Context, obj object.Object) (int64, error) {
	choice := w.choice
	w.choice = 0
	if w.plant == "unconditional" {
		if old, err := w.objects.Objects().Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch choice {
	case 1:
		if _, err := w.objects.Objects().Put(ctx, obj); err != nil {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2:
		w.late = append(w.late, obj)
		return 0, object.ErrUncertain
	case 3:
		w.now = w.now.Add(8 * time.Second)
	case 4:
		v, err := w.objects.Objects().Put(ctx, obj)
		w.now = w.now.Add(8 * time.Second)
		return v, err
	case 5, 6:
		// Another instance goes first, after a while.
		w.now = w.now.Add(time.Duration(choice-5) * 8 * time.Second)
		_, _ = w.nodes[w.ids%holders].lease.Step(ctx, w.time)
		w.order(w.nodes[w.ids%holders])
	}
	return w.objects.Objects().Put(ctx, obj)
}

func (w *world) apply(s step) {
	n := w.nodes[s.Instance]
	switch s.Op {
	case 0, 1, 2:
		w.choice = s.Choice
		_, _ = n.lease.Step(context.Background(), w.time)
		w.choice = 0
	case 3, 4:
		w.order(n)
	case 5:
		if n.pending {
			w.deliver(n)
		}
	case 6:
		w.now = w.now.Add(time.Duration(1+s.Choice) * time.Second)
	case 7:
		for _, obj := range w.late {
			_, _ = w.objects.Objects().Put(context.Background(), obj)
		}
		w.late = nil
	case 8:
		if !n.pending {
			_ = n.lease.Release(context.Background(), w.time)
		}
	}
}

// order lets an instance check its lease and begin an order.
func (w *world) order(n *instance) {
	fence, ok := n.lease.MayOrder(w.now)
	if w.plant == "unchecked" && n.lease.Holder() == n.name {
		fence, ok = n.lease.Fence(), true
	}
	if !ok || n.pending {
		return
	}
	n.fence, n.pending, n.index = fence, true, len(w.orders)
	// Without a pause the order is sent at once and ends in time.
	w.orders = append(w.orders, order{fence, w.now, w.now.Add(longest)})
}

// deliver lets a checked order reach the engine, however late.
func (w *world) deliver(n *instance) {
	n.pending = false
	if o := &w.orders[n.index]; w.now.Before(o.to) {
		o.to = w.now
	}
	if w.engine.fenced && n.fence < w.engine.fence {
		return
	}
	if n.fence < w.engine.fence {
		w.engine.stale++
		if w.engine.fenced {
			w.broken = fmt.Errorf("an engine that checks took fence %d after %d", n.fence, w.engine.fence)
		}
	}
	w.engine.fence = max(w.engine.fence, n.fence)
	w.engine.model = n.name
}

// judge checks that orders sent without a pause never overlap with those of
// another fencing number.
func (w *world) judge() error {
	if w.broken != nil {
		return w.broken
	}
	slices.SortStableFunc(w.orders, func(a, b order) int { return a.from.Compare(b.from) })
	for i, a := range w.orders {
		for _, b := range w.orders[i+1:] {
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

func histories() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:       rapid.IntRange(0, 8).Draw(t, "op"),
			Instance: rapid.IntRange(0, holders-1).Draw(t, "instance"),
			Choice:   rapid.IntRange(0, 9).Draw(t, "choice"),
		}
	}), 1, 120)
}

// seeded returns a long history.
func seeded(seed int) []step {
	rng := rand.New(rand.NewPCG(uint64(seed), 3))
	out := make([]step, 300)
	for i := range out {
		out[i] = step{rng.IntN(9), rng.IntN(holders), rng.IntN(10)}
	}
	return out
}

func history(fenced bool, plant string, steps []step) error {
	w := newWorld(fenced, plant)
	for _, s := range steps {
		w.apply(s)
	}
	return w.judge()
}

func TestOneHolderAtATime(t *testing.T) {
	gen := histories()
	for seed := range 2000 {
		if err := history(seed%2 == 0, "", seeded(seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := history(rapid.Bool().Draw(t, "fenced"), "", gen.Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestJudgeFindsPlantedFaults shows that the test above can fail.
func TestJudgeFindsPlantedFaults(t *testing.T) {
	for _, plant := range []string{"unconditional", "unchecked"} {
		t.Run(plant, func(t *testing.T) {
			for seed := range 2000 {
				if history(false, plant, seeded(seed)) != nil {
					return
				}
			}
			t.Error("no history broke a promise")
		})
	}
}

func TestTakeoverAndRelease(t *testing.T) {
	w := newWorld(false, "")
	a, b := w.nodes[0].lease, w.nodes[1].lease
	ctx := context.Background()
	if taken, err := a.Step(ctx, w.time); !taken || err != nil {
		t.Fatalf("the first Step() = %v, %v", taken, err)
	}
	if taken, _ := b.Step(ctx, w.time); taken {
		t.Fatal("a held lease was taken")
	}
	w.now = w.now.Add(lease.Duration + longest + lease.Margin)
	if taken, _ := b.Step(ctx, w.time); taken {
		t.Fatal("the lease was taken a moment early")
	}
	if _, ok := a.MayOrder(w.now); ok {
		t.Error("a holder whose lease has run out may order")
	}
	w.now = w.now.Add(time.Millisecond)
	if taken, _ := b.Step(ctx, w.time); !taken {
		t.Fatal("the lease that ran out was not taken")
	}
	if fence, ok := b.MayOrder(w.now); !ok || fence != 2 {
		t.Errorf("MayOrder() = %d, %v, want fence 2", fence, ok)
	}
	if err := b.Release(ctx, w.time); err != nil {
		t.Fatal(err)
	}
	if taken, _ := a.Step(ctx, w.time); !taken {
		t.Error("a released lease was not taken at once")
	}
}
