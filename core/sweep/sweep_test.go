package sweep_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"chervilpath/core/cost"
	"chervilpath/core/declare"
	"chervilpath/core/object"
	"chervilpath/core/once"
	"chervilpath/core/pipeline"
	"chervilpath/core/publish"
	"chervilpath/core/sweep"
	"chervilpath/platform/stand"
)

var ctx = context.Background()

const day = 24 * time.Hour

// world is a store in which a clock can be moved.
type world struct {
	now   time.Time
	store object.Store
	t     *testing.T
	// calls moves the clock by which the store counts its rates.
	calls int
}

func newWorld(t *testing.T) *world {
	w := &world{now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), t: t}
	w.store = stand.New(func() time.Time {
		w.calls++
		return w.now.Add(time.Duration(w.calls) * time.Second)
	}).Objects()
	return w
}

func (w *world) time() time.Time { return w.now }

func (w *world) publish(n int) {
	w.t.Helper()
	text := fmt.Sprintf("; %d\n[stage s]\n[endpoint e]\naddress = http://127.0.0.1:1\nkind = pool\nstages = s\nfailureDomain = d\n", n)
	c := publish.Change{Fragments: []declare.Fragment{{Name: "a.ini", Data: []byte(text)}}, ID: fmt.Sprint(w.now.UnixNano())}
	if _, err := publish.New(w.store, w.time).Publish(ctx, c); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) count(kind string) int {
	w.t.Helper()
	objs, err := w.store.List(ctx, kind, "")
	if err != nil {
		w.t.Fatal(err)
	}
	return len(objs)
}

func (w *world) sweep() {
	w.t.Helper()
	if _, err := sweep.Run(ctx, w.store, w.now, sweep.Keep{Keys: day, Costs: 2 * day, Revisions: day}); err != nil {
		w.t.Fatal(err)
	}
}

func TestOldObjectsGoAndOthersStay(t *testing.T) {
	w := newWorld(t)
	k := once.New(once.Config{Owner: once.Owner{Incarnation: "i"}, Secret: []byte("s"), TicketTTL: time.Minute, MaxKeys: 100}, once.Deps{
		Now: w.time, NewID: func() string { return "n" }, Store: w.store, Go: func(f func()) { f() },
		Run: func(context.Context, once.Attempt) once.Outcome { return once.Outcome{State: once.Done, Ran: "yes"} },
	})
	ledger := cost.New(w.now, "i", "i")
	for i := range 3 {
		a := once.Attempt{Organisation: "o", Kind: "k", Key: fmt.Sprint("key", i), Body: []byte("b"), Deadline: w.now.Add(time.Second)}
		if _, err := k.Serve(ctx, a); err != nil {
			t.Fatal(err)
		}
		if _, err := k.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		ledger.Charge(pipeline.Charge{Organisation: "o", Stage: "s", Units: 1})
		if err := ledger.Flush(ctx, w.now, w.store); err != nil {
			t.Fatal(err)
		}
		w.now = w.now.Add(day)
	}
	w.sweep()
	if c, o, l := w.count("claims"), w.count("outcomes"), w.count("costs"); c != 0 || o != 0 || l != 1 {
		t.Errorf("%d claims, %d outcomes and %d costs stay, want 0, 0 and 1", c, o, l)
	}
}

func TestRevisionInForceAndItsFragmentsStay(t *testing.T) {
	w := newWorld(t)
	for i := range 4 {
		w.publish(i)
		w.now = w.now.Add(10 * time.Minute)
	}
	w.now = w.now.Add(10 * day)
	w.sweep()
	if n := w.count("fragments"); n != 4 {
		t.Errorf("%d fragments after the first run, want all 4 until a later one", n)
	}
	w.now = w.now.Add(2 * time.Hour)
	w.sweep()
	if r, f := w.count("revisions"), w.count("fragments"); r != 1 || f != 1 {
		t.Errorf("%d revisions and %d fragments stay, want 1 each", r, f)
	}
	root, err := publish.ReadRoot(ctx, w.store)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publish.ReadFragment(ctx, w.store, root.Fragments[0].Hash); err != nil {
		t.Errorf("the fragment in force: %v", err)
	}
}

// TestFragmentThatIsUsedAgainStays lets a publication bring an old fragment
// back between the run that finds it unused and the one that removes such, and
// the rest of it come only after that run.
func TestFragmentThatIsUsedAgainStays(t *testing.T) {
	w := newWorld(t)
	w.publish(1)
	w.now = w.now.Add(time.Minute)
	w.publish(2)
	w.now = w.now.Add(10 * day)
	w.sweep()
	w.now = w.now.Add(2 * time.Hour)
	swept := false
	fast := w.store
	slow := fast
	slow.Put = func(ctx context.Context, obj object.Object) (int64, error) {
		if obj.Kind == "revisions" && !swept {
			swept = true
			w.store = fast
			w.sweep()
		}
		return fast.Put(ctx, obj)
	}
	w.store = slow
	w.publish(1)
	root, err := publish.ReadRoot(ctx, w.store)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publish.ReadFragment(ctx, w.store, root.Fragments[0].Hash); err != nil || !swept {
		t.Errorf("the fragment that came back: %v", err)
	}
}
