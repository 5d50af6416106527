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

// file returns a valid fragment that depends on no other. n varies its bytes.
func file(name string, n int) declare.Fragment {
	text := fmt.Sprintf("# %d\n[stage %s]\n[endpoint %s-e]\naddress = http://127.0.0.1:1\nkind = pool\nstages = %s\nfailureDomain = d\n", n, name, name, name)
	return declare.Fragment{Name: name + ".ini", Data: []byte(text)}
}

func change(id string, fragments ...declare.Fragment) publish.Change {
	return publish.Change{Fragments: fragments, By: "operator " + id, ID: id}
}

func offer(t *testing.T, tracker *publish.Tracker, store object.Store, root publish.Root) (bool, error) {
	t.Helper()
	return tracker.Offer(ctx, root, func(ctx context.Context, hash string) ([]byte, error) {
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
		t.Fatalf("rollback: revision %d, %v", root.Revision, err)
	}
	if ref, _ := root.Fragment("a.ini"); ref.Hash != publish.HashFragment(file("a", 1).Data) {
		t.Error("the rollback did not restore the old bytes")
	}
	roots, err := publish.History(ctx, store, 10)
	if err != nil || len(roots) != 4 {
		t.Errorf("History() has %d revisions, %v", len(roots), err)
	}
}

func TestInvalidSetIsNotPublished(t *testing.T) {
	store := stand.New(fixedNow).Objects()
	p := publish.New(store, fixedNow)
	if _, err := p.Publish(ctx, change("1", file("a", 1))); err != nil {
		t.Fatal(err)
	}
	duplicate := file("a", 2)
	duplicate.Name = "b.ini"
	_, err := p.Publish(ctx, change("2", duplicate))
	if fault.From(err).Kind() != fault.BadRequest || !strings.Contains(err.Error(), "b.ini:2: stage a") {
		t.Errorf("a file with a duplicate section: %v", err)
	}
	if root, _ := publish.ReadRoot(ctx, store); root.Revision != 1 {
		t.Errorf("revision %d is in force", root.Revision)
	}
}

func TestConcurrentPublications(t *testing.T) {
	store := stand.New(fixedNow).Objects()
	race := func(first, second publish.Change) error {
		raced := false
		racing := store
		racing.Put = func(ctx context.Context, obj object.Object) (int64, error) {
			if obj.Kind == "declarations" && !raced {
				raced = true
				if _, err := publish.New(store, fixedNow).Publish(ctx, second); err != nil {
					t.Fatal(err)
				}
			}
			return store.Put(ctx, obj)
		}
		_, err := publish.New(racing, fixedNow).Publish(ctx, first)
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

func TestTrackerNeverReverts(t *testing.T) {
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
	tracker := publish.NewTracker()
	// Simulate an operator whose clock was fast when revision 1 was published:
	// the revision's number must decide, not its time.
	roots[0].At = roots[2].At.Add(time.Hour)
	for _, i := range []int{1, 0, 2, 1, 0} {
		if _, err := offer(t, tracker, store, roots[i]); err != nil {
			t.Fatal(err)
		}
	}
	if tracker.Revision() != 3 {
		t.Errorf("revision %d is in force, want 3", tracker.Revision())
	}
}

func TestTrackerRefusesDamagedFragment(t *testing.T) {
	objects := stand.New(fixedNow)
	store := objects.Objects()
	p := publish.New(store, fixedNow)
	tracker := publish.NewTracker()
	first, _ := p.Publish(ctx, change("1", file("a", 1)))
	if _, err := offer(t, tracker, store, first); err != nil {
		t.Fatal(err)
	}
	second, _ := p.Publish(ctx, change("2", file("a", 2)))
	objects.SetFaults(stand.Faults{Damage: "fragments"})
	if ok, err := offer(t, tracker, store, second); ok || err == nil {
		t.Error("a damaged fragment was put in force")
	}
	if tracker.Revision() != 1 || tracker.Refused() == nil || tracker.Refused().Revision != 2 {
		t.Errorf("revision %d in force, refused %+v", tracker.Revision(), tracker.Refused())
	}
	objects.SetFaults(stand.Faults{})
	if ok, err := offer(t, tracker, store, second); !ok || err != nil || tracker.Refused() != nil {
		t.Errorf("the undamaged revision: %v, %v", ok, err)
	}
}

// raceSimulation runs publications against a faulty store. During a write it may
// run a nested publication that competes with the outer one. choices, which are
// generated, select the faults, the nested publications and the files.
// unconditional makes writes of the root ignore its version.
type raceSimulation struct {
	store         object.Store
	choices       []int
	depth         int
	lastID        int
	accepted      map[string]publish.Root
	conflicted    map[string]bool
	bases         map[string]int64
	unconditional bool
}

func (s *raceSimulation) nextChoice() int {
	if len(s.choices) == 0 {
		return 0
	}
	c := s.choices[0]
	s.choices = s.choices[1:]
	return c
}

// put writes to the store, but may lose the answer or the write, report an
// outage, or run a competing publication first.
func (s *raceSimulation) put(ctx context.Context, obj object.Object) (int64, error) {
	if s.unconditional && obj.Kind == "declarations" {
		if old, err := s.store.Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch s.nextChoice() {
	case 1:
		if _, err := s.store.Put(ctx, obj); err != nil {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2:
		return 0, object.ErrUncertain
	case 3:
		return 0, object.ErrUnavailable
	case 4, 5:
		if s.depth < 3 {
			s.publish()
		}
	}
	return s.store.Put(ctx, obj)
}

func (s *raceSimulation) publish() {
	s.depth++
	defer func() { s.depth-- }()
	s.lastID++
	id := fmt.Sprint(s.lastID)
	faulty := s.store
	faulty.Put = s.put
	if root, err := publish.ReadRoot(ctx, s.store); err == nil {
		s.bases[id] = root.Revision
	}
	root, err := publish.New(faulty, fixedNow).Publish(ctx, change(id, file(string(rune('a'+s.nextChoice()%3)), s.lastID)))
	switch {
	case err == nil:
		s.accepted[id] = root
	case fault.From(err).Kind() == fault.Conflict:
		s.conflicted[id] = true
	}
}

// checkHistory checks the history of revisions against the results that the
// publishers received.
func (s *raceSimulation) checkHistory() error {
	roots, err := publish.History(ctx, s.store, 1000)
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
		for _, ref := range root.Fragments {
			if ref.Revision != root.Revision || i+1 == len(roots) {
				continue
			}
			if old, ok := roots[i+1].Fragment(ref.Name); ok && old.Revision > s.bases[root.PublishID] {
				return fmt.Errorf("publication %s, based on %d, overwrote %s of revision %d", root.PublishID, s.bases[root.PublishID], ref.Name, old.Revision)
			}
		}
	}
	for id := range s.accepted {
		if !seen[id] {
			return fmt.Errorf("publication %s was accepted and is not in the history", id)
		}
	}
	for id := range s.conflicted {
		if seen[id] {
			return fmt.Errorf("publication %s was refused and is in the history", id)
		}
	}
	return nil
}

func simulateRaces(choices []int, unconditional bool) error {
	objects := stand.New(fixedNow)
	s := &raceSimulation{store: objects.Objects(), choices: choices, accepted: map[string]publish.Root{}, conflicted: map[string]bool{}, bases: map[string]int64{}, unconditional: unconditional}
	for range 6 {
		s.publish()
	}
	return s.checkHistory()
}

func TestRacesLoseNoPublication(t *testing.T) {
	gen := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60)
	for seed := range 3000 {
		if err := simulateRaces(gen.Example(seed), false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := simulateRaces(gen.Draw(t, "choices"), false); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCheckHistoryDetectsUnconditionalWrites checks that checkHistory reports an
// error if the root is written without regard to its version.
func TestCheckHistoryDetectsUnconditionalWrites(t *testing.T) {
	gen := rapid.SliceOfN(rapid.IntRange(0, 9), 0, 60)
	for seed := range 3000 {
		if simulateRaces(gen.Example(seed), true) != nil {
			return
		}
	}
	t.Error("checkHistory accepted every simulation with unconditional writes")
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

func TestPublishReportsOutage(t *testing.T) {
	objects := stand.New(fixedNow)
	objects.SetFaults(stand.Faults{Down: true})
	_, err := publish.New(objects.Objects(), fixedNow).Publish(ctx, change("1", file("a", 1)))
	if fault.From(err).Kind() != fault.StoreUnavailable || !errors.Is(err, object.ErrUnavailable) {
		t.Errorf("Publish() in an outage = %v", err)
	}
}
