package publish_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/declare"
	"chervilpath/core/fault"
	"chervilpath/core/object"
	"chervilpath/core/publish"
	"chervilpath/platform/stand"
)

var ctx = context.Background()

func fixedNow() time.Time { return time.Unix(1_700_000_000, 0) }

// file is a valid fragment that stands alone; n makes its bytes differ.
func file(name string, n int) declare.Fragment {
	text := fmt.Sprintf("# %d\n[stage %s]\n[endpoint %s-e]\naddress = http://127.0.0.1:1\nkind = pool\nstages = %s\nfailureDomain = d\n", n, name, name, name)
	return declare.Fragment{Name: name + ".ini", Data: []byte(text)}
}

func change(id string, fragments ...declare.Fragment) publish.Change {
	return publish.Change{Fragments: fragments, By: "operator " + id, ID: id}
}

func offer(t *testing.T, h *publish.Holder, store object.Store, root publish.Root) (bool, error) {
	t.Helper()
	return h.Offer(ctx, root, func(ctx context.Context, hash string) ([]byte, error) {
		return publish.ReadFragment(ctx, store, hash)
	})
}

func TestPublishAndRollBack(t *testing.T) {
	store := stand.New(fixedNow).Objects()
	p := publish.New(store, fixedNow)
	for i := 1; i <= 3; i++ {
		root, err := p.Publish(ctx, change(fmt.Sprint(i), file("a", i)))
		if err != nil || root.Revision != int64(i) {
			t.Fatalf("publication %d: revision %d, %v", i, root.Revision, err)
		}
	}
	again, err := p.Publish(ctx, change("same", file("a", 3)))
	if err != nil || again.Revision != 3 {
		t.Errorf("publishing what is in force: revision %d, %v", again.Revision, err)
	}
	c, err := p.Rollback(ctx, 1, "me", "back")
	if err != nil {
		t.Fatal(err)
	}
	root, err := p.Publish(ctx, c)
	if err != nil || root.Revision != 4 {
		t.Fatalf("roll back: revision %d, %v", root.Revision, err)
	}
	if e, _ := root.Entry("a.ini"); e.Hash != publish.HashFragment(file("a", 1).Data) {
		t.Error("the roll back did not bring the old bytes back")
	}
	roots, err := publish.History(ctx, store, 10)
	if err != nil || len(roots) != 4 {
		t.Errorf("History() has %d revisions, %v", len(roots), err)
	}
}

func TestInvalidWholeIsNeverPublished(t *testing.T) {
	store := stand.New(fixedNow).Objects()
	p := publish.New(store, fixedNow)
	if _, err := p.Publish(ctx, change("1", file("a", 1))); err != nil {
		t.Fatal(err)
	}
	clash := file("a", 2)
	clash.Name = "b.ini"
	_, err := p.Publish(ctx, change("2", clash))
	if fault.From(err).Kind() != fault.BadRequest || !strings.Contains(err.Error(), "b.ini:2: stage a") {
		t.Errorf("a clashing file: %v", err)
	}
	if root, _ := publish.ReadRoot(ctx, store); root.Revision != 1 {
		t.Errorf("revision %d is in force", root.Revision)
	}
}

func TestRacingOperators(t *testing.T) {
	store := stand.New(fixedNow).Objects()
	race := func(first, second publish.Change) error {
		raced := false
		slow := store
		slow.Put = func(ctx context.Context, obj object.Object) (int64, error) {
			if obj.Kind == "declarations" && !raced {
				raced = true
				if _, err := publish.New(store, fixedNow).Publish(ctx, second); err != nil {
					t.Fatal(err)
				}
			}
			return store.Put(ctx, obj)
		}
		_, err := publish.New(slow, fixedNow).Publish(ctx, first)
		return err
	}
	if err := race(change("1", file("a", 1)), change("2", file("b", 1))); err != nil {
		t.Errorf("changes of two files: %v", err)
	}
	root, _ := publish.ReadRoot(ctx, store)
	if len(root.Fragments) != 2 || root.Revision != 2 {
		t.Errorf("after the race: %+v", root)
	}
	err := race(change("3", file("a", 3)), change("4", file("a", 4)))
	if fault.From(err).Kind() != fault.Conflict || !strings.Contains(err.Error(), "revision 3 by operator 4") {
		t.Errorf("changes of one file: %v", err)
	}
}

func TestHolderNeverReverts(t *testing.T) {
	objects := stand.New(fixedNow)
	store := objects.Objects()
	p := publish.New(store, fixedNow)
	var roots []publish.Root
	for i := 1; i <= 3; i++ {
		root, err := p.Publish(ctx, change(fmt.Sprint(i), file("a", i)))
		if err != nil {
			t.Fatal(err)
		}
		roots = append(roots, root)
	}
	h := publish.NewHolder()
	// The clock of the operator who published revision 1 ran ahead.
	roots[0].At = roots[2].At.Add(time.Hour)
	for _, i := range []int{1, 0, 2, 1, 0} {
		if _, err := offer(t, h, store, roots[i]); err != nil {
			t.Fatal(err)
		}
	}
	if h.Revision() != 3 {
		t.Errorf("revision %d is in force, want 3", h.Revision())
	}
}

func TestHolderRefusesDamageAndKeepsTheLastGood(t *testing.T) {
	objects := stand.New(fixedNow)
	store := objects.Objects()
	p := publish.New(store, fixedNow)
	h := publish.NewHolder()
	first, _ := p.Publish(ctx, change("1", file("a", 1)))
	if _, err := offer(t, h, store, first); err != nil {
		t.Fatal(err)
	}
	second, _ := p.Publish(ctx, change("2", file("a", 2)))
	objects.SetFaults(stand.Faults{Damage: "fragments"})
	if ok, err := offer(t, h, store, second); ok || err == nil {
		t.Error("a damaged fragment was put in force")
	}
	if h.Revision() != 1 || h.Refused() == nil || h.Refused().Revision != 2 {
		t.Errorf("revision %d in force, refused %+v", h.Revision(), h.Refused())
	}
	objects.SetFaults(stand.Faults{})
	if ok, err := offer(t, h, store, second); !ok || err != nil || h.Refused() != nil {
		t.Errorf("the whole revision: %v, %v", ok, err)
	}
}

// racer publishes under faults and nested rivals, as drawn.
type racer struct {
	store    object.Store
	choices  []int
	depth    int
	ids      int
	accepted map[string]publish.Root
	refused  map[string]bool
	bases    map[string]int64
	blind    bool
}

func (r *racer) choice() int {
	if len(r.choices) == 0 {
		return 0
	}
	c := r.choices[0]
	r.choices = r.choices[1:]
	return c
}

// put loses answers, refuses, or lets a rival go first.
func (r *racer) put(ctx context.Context, obj object.Object) (int64, error) {
	if r.blind && obj.Kind == "declarations" {
		if old, err := r.store.Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch r.choice() {
	case 1:
		if _, err := r.store.Put(ctx, obj); err != nil {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2:
		return 0, object.ErrUncertain
	case 3:
		return 0, object.ErrUnavailable
	case 4, 5:
		if r.depth < 3 {
			r.publish()
		}
	}
	return r.store.Put(ctx, obj)
}

func (r *racer) publish() {
	r.depth++
	defer func() { r.depth-- }()
	r.ids++
	id := fmt.Sprint(r.ids)
	faulty := r.store
	faulty.Put = r.put
	if root, err := publish.ReadRoot(ctx, r.store); err == nil {
		r.bases[id] = root.Revision
	}
	root, err := publish.New(faulty, fixedNow).Publish(ctx, change(id, file(string(rune('a'+r.choice()%3)), r.ids)))
	switch {
	case err == nil:
		r.accepted[id] = root
	case fault.From(err).Kind() == fault.Conflict:
		r.refused[id] = true
	}
}

// judge checks the chain of revisions against what publishers were told.
func (r *racer) judge() error {
	roots, err := publish.History(ctx, r.store, 1000)
	if err != nil {
		return err
	}
	seen := make(map[string]bool)
	for i, root := range roots {
		if seen[root.PublishID] {
			return fmt.Errorf("publication %s is in force twice", root.PublishID)
		}
		seen[root.PublishID] = true
		if i > 0 && root.Revision != roots[i-1].Revision-1 {
			return fmt.Errorf("revision %d follows %d", roots[i-1].Revision, root.Revision)
		}
		for _, e := range root.Fragments {
			if e.Revision != root.Revision || i+1 == len(roots) {
				continue
			}
			if old, ok := roots[i+1].Entry(e.Name); ok && old.Revision > r.bases[root.PublishID] {
				return fmt.Errorf("publication %s, based on %d, overwrote %s of revision %d", root.PublishID, r.bases[root.PublishID], e.Name, old.Revision)
			}
		}
	}
	for id := range r.accepted {
		if !seen[id] {
			return fmt.Errorf("publication %s was accepted and is not in the history", id)
		}
	}
	for id := range r.refused {
		if seen[id] {
			return fmt.Errorf("publication %s was refused and is in the history", id)
		}
	}
	return nil
}

func races(choices []int, blind bool) error {
	objects := stand.New(fixedNow)
	r := &racer{store: objects.Objects(), choices: choices, accepted: map[string]publish.Root{}, refused: map[string]bool{}, bases: map[string]int64{}, blind: blind}
	for range 6 {
		r.publish()
	}
	return r.judge()
}

func TestRacesLoseNoPublication(t *testing.T) {
	gen := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60)
	for seed := range 3000 {
		if err := races(gen.Example(seed), false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := races(gen.Draw(t, "choices"), false); err != nil {
			t.Fatal(err)
		}
	})
}

// TestJudgeFindsUnconditionalWrites shows that the test above can fail.
func TestJudgeFindsUnconditionalWrites(t *testing.T) {
	gen := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60)
	for seed := range 3000 {
		if races(gen.Example(seed), true) != nil {
			return
		}
	}
	t.Error("no race of unconditional writes broke a promise")
}

func FuzzDecodeRoot(f *testing.F) {
	f.Add([]byte(`{"revision":1,"publishId":"a","fragments":[{"name":"a.ini","hash":"x"}]}`))
	f.Add([]byte(`{"revision":-1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		root, err := publish.DecodeRoot(data)
		if err == nil && (root.Revision < 1 || root.PublishID == "") {
			t.Errorf("accepted %+v", root)
		}
	})
}

func TestOutageIsReported(t *testing.T) {
	objects := stand.New(fixedNow)
	objects.SetFaults(stand.Faults{Down: true})
	_, err := publish.New(objects.Objects(), fixedNow).Publish(ctx, change("1", file("a", 1)))
	if fault.From(err).Kind() != fault.StoreUnavailable || !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("Publish() in an outage = %v", err)
	}
}
