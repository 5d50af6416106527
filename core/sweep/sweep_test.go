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

// fixture is a store with a clock that the test advances.
type fixture struct {
	now   time.Time
	store object.Store
	t     *testing.T
	// storeCalls counts the readings of the store's clock. Each advances it by a
	// second, so that the store's rate limits are not reached.
	storeCalls int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{now: time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC), t: t}
	f.store = stand.New(func() time.Time {
		f.storeCalls++
		return f.now.Add(time.Duration(f.storeCalls) * time.Second)
	}).Objects()
	return f
}

func (f *fixture) clock() time.Time { return f.now }

func (f *fixture) publish(n int) {
	f.t.Helper()
	text := fmt.Sprintf("; %d\n[stage s]\n[endpoint e]\naddress = http://127.0.0.1:1\nkind = pool\nstages = s\nfailureDomain = d\n", n)
	change := publish.Change{Fragments: []declare.Fragment{{Name: "a.ini", Data: []byte(text)}}, ID: fmt.Sprint(f.now.UnixNano())}
	if _, err := publish.New(f.store, f.clock).Publish(ctx, change); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fixture) count(kind string) int {
	f.t.Helper()
	objs, err := f.store.List(ctx, kind, "")
	if err != nil {
		f.t.Fatal(err)
	}
	return len(objs)
}

func (f *fixture) sweep() {
	f.t.Helper()
	if _, err := sweep.Run(ctx, f.store, f.now, sweep.Retention{Keys: day, Costs: 2 * day, Revisions: day}); err != nil {
		f.t.Fatal(err)
	}
}

func TestRemovesOnlyOldObjects(t *testing.T) {
	f := newFixture(t)
	coord := once.New(once.Config{Owner: once.Owner{Incarnation: "i"}, Secret: []byte("s"), TicketTTL: time.Minute, MaxKeys: 100}, once.Deps{
		Now: f.clock, NewID: func() string { return "n" }, Store: f.store, Go: func(f func()) { f() },
		Run: func(context.Context, once.Attempt) once.Outcome { return once.Outcome{State: once.Done, Ran: "yes"} },
	})
	ledger := cost.New(f.now, "i", "i")
	for i := range 3 {
		a := once.Attempt{Organisation: "o", Kind: "k", Key: fmt.Sprint("key", i), Body: []byte("b"), Deadline: f.now.Add(time.Second)}
		if _, err := coord.Serve(ctx, a); err != nil {
			t.Fatal(err)
		}
		if _, err := coord.Flush(ctx); err != nil {
			t.Fatal(err)
		}
		ledger.Record(pipeline.Charge{Organisation: "o", Stage: "s", Units: 1})
		if err := ledger.Flush(ctx, f.now, f.store); err != nil {
			t.Fatal(err)
		}
		f.now = f.now.Add(day)
	}
	f.sweep()
	if claims, outcomes, costs := f.count("claims"), f.count("outcomes"), f.count("costs"); claims != 0 || outcomes != 0 || costs != 1 {
		t.Errorf("%d claims, %d outcomes and %d costs remain, want 0, 0 and 1", claims, outcomes, costs)
	}
}

func TestKeepsRevisionInForceAndItsFragments(t *testing.T) {
	f := newFixture(t)
	for i := range 4 {
		f.publish(i)
		f.now = f.now.Add(10 * time.Minute)
	}
	f.now = f.now.Add(10 * day)
	f.sweep()
	if n := f.count("fragments"); n != 4 {
		t.Errorf("%d fragments after the first run, want all 4 until a later run", n)
	}
	f.now = f.now.Add(2 * time.Hour)
	f.sweep()
	if revisions, fragments := f.count("revisions"), f.count("fragments"); revisions != 1 || fragments != 1 {
		t.Errorf("%d revisions and %d fragments remain, want 1 each", revisions, fragments)
	}
	root, err := publish.ReadRoot(ctx, f.store)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publish.ReadFragment(ctx, f.store, root.Fragments[0].Hash); err != nil {
		t.Errorf("ReadFragment() of the revision in force: %v", err)
	}
}

// TestKeepsFragmentThatIsReused guards against the removal of a fragment that
// is published again. The publication writes the fragment after one run has found
// it unreferenced, and its revision only after the run that would remove it.
func TestKeepsFragmentThatIsReused(t *testing.T) {
	f := newFixture(t)
	f.publish(1)
	f.now = f.now.Add(time.Minute)
	f.publish(2)
	f.now = f.now.Add(10 * day)
	f.sweep()
	f.now = f.now.Add(2 * time.Hour)
	swept := false
	plain := f.store
	sweeping := plain
	sweeping.Put = func(ctx context.Context, obj object.Object) (int64, error) {
		if obj.Kind == "revisions" && !swept {
			swept = true
			f.store = plain
			f.sweep()
		}
		return plain.Put(ctx, obj)
	}
	f.store = sweeping
	f.publish(1)
	root, err := publish.ReadRoot(ctx, f.store)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := publish.ReadFragment(ctx, f.store, root.Fragments[0].Hash); err != nil || !swept {
		t.Errorf("ReadFragment() of the reused fragment: %v", err)
	}
}
