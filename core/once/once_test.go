package once_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/fault"
	"chervilpath/core/object"
	"chervilpath/core/once"
	"chervilpath/platform/stand"
)

const (
	instances = 3
	keys      = 5
	secret    = "shared by all instances"
)

type (
	// step is one drawn event of a history.
	step struct {
		Op, Instance, Key, Choice int
	}

	// plant is a fault put into the system on purpose, to show that the judge
	// finds it.
	plant int

	// world is a few instances, a store and the endpoint that counts runs.
	world struct {
		objects *stand.Store
		now     time.Time
		ids     int
		plant   plant
		nodes   []*node
		tickets []string
		// late are writes that take effect after their caller gave up, and
		// running are requests that are slow.
		late    []object.Object
		running []func()
		slow    bool
		refuses bool
		puts    int
		// allLate keeps puts as it is, so that no write is answered.
		allLate bool

		runs   map[string]int
		notRun map[string]bool
		done   map[string]string
		broken error
	}

	// node is one incarnation of an instance.
	node struct {
		keeper *once.Keeper
		owner  once.Owner
		dead   bool
	}
)

const (
	nothing plant = iota
	// unconditional claims overwrite each other.
	unconditional
	// forgetful owners take an attempt for a gone owner's key as new.
	forgetful
	// guessing owners take a write without an answer for done.
	guessing
)

func newWorld(p plant) *world {
	w := &world{
		plant: p, now: time.Unix(1_700_000_000, 0),
		runs: map[string]int{}, notRun: map[string]bool{}, done: map[string]string{},
	}
	w.objects = stand.New(func() time.Time { return w.now })
	for i := range instances {
		w.nodes = append(w.nodes, w.newNode(i))
	}
	return w
}

func (w *world) newNode(i int) *node {
	w.ids++
	n := &node{owner: once.Owner{Incarnation: fmt.Sprintf("i%d-%d", i, w.ids), Address: fmt.Sprint(i)}}
	n.keeper = once.New(once.Config{Owner: n.owner, Secret: []byte(secret), TicketTTL: time.Minute, Retention: time.Minute, Limit: 1000}, once.Deps{
		Now:   func() time.Time { return w.now },
		NewID: func() string { w.ids++; return fmt.Sprint(w.ids) },
		Store: object.Store{Get: w.objects.Objects().Get, Put: w.put, List: w.objects.Objects().List},
		Run:   func(_ context.Context, a once.Attempt) once.Outcome { return w.run(n, a) },
		Go: func(f func()) {
			if w.slow {
				w.running = append(w.running, f)
				return
			}
			f()
		},
		Forward: w.forward,
	})
	return n
}

// put is the store behind a network that delays writes and loses answers.
func (w *world) put(ctx context.Context, obj object.Object) (int64, error) {
	choice := w.puts
	if !w.allLate {
		w.puts = 0
	}
	if w.plant == unconditional {
		if old, err := w.objects.Objects().Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch choice {
	case 1: // The answer is lost.
		if _, err := w.objects.Objects().Put(ctx, obj); errors.Is(err, object.ErrConflict) {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2: // The write takes effect later.
		w.late = append(w.late, obj)
		if w.plant == guessing {
			return 1, nil
		}
		return 0, object.ErrUncertain
	case 3:
		return 0, object.ErrUnavailable
	}
	return w.objects.Objects().Put(ctx, obj)
}

// run is the endpoint's side: it counts, and may refuse, or the instance dies.
func (w *world) run(n *node, a once.Attempt) once.Outcome {
	if n.dead {
		return once.Outcome{}
	}
	key := string(a.Body)
	if w.ids++; w.refuses && w.ids%7 == 0 {
		return once.Outcome{State: once.NotRun, Error: "overloaded", Ran: "no"}
	}
	w.runs[key]++
	answer, _ := json.Marshal(fmt.Sprint("run ", w.ids))
	return once.Outcome{State: once.Done, Answer: answer, Ran: "yes"}
}

func (w *world) forward(ctx context.Context, owner once.Owner, a once.Attempt) (once.Outcome, error) {
	for _, n := range w.nodes {
		if n.owner.Address != owner.Address || n.dead {
			continue
		}
		o, err := n.keeper.ServePeer(ctx, owner, a)
		if err != nil && w.plant == forgetful {
			return w.run(n, a), nil
		}
		return o, err
	}
	return once.Outcome{}, once.ErrOwnerGone
}

func (w *world) attempt(s step) {
	n := w.nodes[s.Instance]
	key := fmt.Sprint("own-", s.Key)
	if len(w.tickets) > 0 && s.Key%2 == 0 {
		key = w.tickets[s.Key%len(w.tickets)]
	}
	w.puts = s.Choice % 5
	w.slow = s.Choice >= 5
	// The caller has gone already, so that no attempt waits for a slow one.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	o, err := n.keeper.Serve(ctx, once.Attempt{Organisation: "roofs", Kind: "book", Key: key, Body: []byte(key), Deadline: w.now.Add(time.Second)})
	if err != nil {
		if fault.From(err).Ran() == fault.RanNo {
			w.notRun[key] = true
		}
		return
	}
	w.judge(key, o)
}

// judge compares an answer with what ran.
func (w *world) judge(key string, o once.Outcome) {
	switch o.State {
	case once.NotRun:
		w.notRun[key] = true
	case once.Done:
		if w.runs[key] != 1 {
			w.fail("key %s is answered as done after %d runs", key, w.runs[key])
		}
		if first, ok := w.done[key]; ok && first != string(o.Answer) {
			w.fail("key %s has the answers %s and %s", key, first, o.Answer)
		}
		w.done[key] = string(o.Answer)
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

func (w *world) apply(s step) {
	ctx := context.Background()
	n := w.nodes[s.Instance]
	switch s.Op {
	case 0, 1, 2, 3, 4:
		w.attempt(s)
	case 5:
		if text, _, err := n.keeper.Issue("roofs"); err == nil {
			w.tickets = append(w.tickets, text)
		}
	case 6: // The process dies and another starts in its place.
		n.dead = true
		w.nodes[s.Instance] = w.newNode(s.Instance)
	case 7:
		w.puts = s.Choice % 5
		_, _ = n.keeper.Flush(ctx)
	case 8:
		w.settle()
	case 9:
		w.now = w.now.Add(time.Duration(1+s.Choice) * 2 * time.Minute)
	case 10:
		w.handOver(s.Instance, (s.Instance+1)%instances)
	}
	w.puts = 0
}

// settle lets delayed writes take effect and slow requests end.
func (w *world) settle() {
	for _, obj := range w.late {
		_, _ = w.objects.Objects().Put(context.Background(), obj)
	}
	w.late = nil
	running := w.running
	w.running = nil
	for _, f := range running {
		f()
	}
}

func (w *world) handOver(from, to int) {
	n := w.nodes[from]
	records, ok := n.keeper.Table().Close()
	if !ok {
		return
	}
	w.nodes[to].keeper.Adopt(n.keeper.Owned(), records)
	n.keeper.HandedOver(w.nodes[to].owner)
	_ = n.keeper.StoreMove(context.Background(), w.nodes[to].owner)
	n.dead = true
	w.nodes[from] = w.newNode(from)
}

// history runs the steps and returns the broken promise, if any.
func history(p plant, steps []step) error {
	w := newWorld(p)
	w.refuses = true
	for _, s := range steps {
		w.apply(s)
	}
	w.settle()
	for key, n := range w.runs {
		if n > 1 {
			w.fail("key %s ran %d times", key, n)
		}
		if n > 0 && w.notRun[key] {
			w.fail("key %s ran %d times but was answered as not run", key, n)
		}
	}
	return w.broken
}

func histories() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:       rapid.IntRange(0, 10).Draw(t, "op"),
			Instance: rapid.IntRange(0, instances-1).Draw(t, "instance"),
			Key:      rapid.IntRange(0, keys-1).Draw(t, "key"),
			Choice:   rapid.IntRange(0, 9).Draw(t, "choice"),
		}
	}), 1, 60)
}

func TestAtMostOnceInAnyHistory(t *testing.T) {
	gen := histories()
	for seed := range 60000 {
		if err := history(nothing, gen.Example(seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := history(nothing, gen.Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestJudgeFindsPlantedFaults shows that the test above can fail.
func TestJudgeFindsPlantedFaults(t *testing.T) {
	for name, p := range map[string]plant{"unconditional claim": unconditional, "gone owner taken for none": forgetful, "lost write taken for done": guessing} {
		t.Run(name, func(t *testing.T) {
			gen := histories()
			for seed := range 60000 {
				if history(p, gen.Example(seed)) != nil {
					return
				}
			}
			t.Error("no history broke a promise")
		})
	}
}

func TestOutageServesTickets(t *testing.T) {
	w := newWorld(nothing)
	w.objects.SetFaults(stand.Faults{Down: true})
	text, _, err := w.nodes[0].keeper.Issue("roofs")
	if err != nil {
		t.Fatal(err)
	}
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: text, Body: []byte("b"), Deadline: w.now.Add(time.Second)}
	for _, n := range w.nodes {
		o, err := n.keeper.Serve(context.Background(), a)
		if err != nil || o.State != once.Done {
			t.Errorf("Serve() through an outage = %+v, %v", o, err)
		}
	}
	if w.runs["b"] != 1 {
		t.Errorf("the request ran %d times", w.runs["b"])
	}
	a.Key = "own"
	if _, err := w.nodes[0].keeper.Serve(context.Background(), a); fault.From(err).Kind() != fault.StoreUnavailable {
		t.Errorf("Serve() of an own key in an outage = %v", err)
	}
}

func TestKeyRules(t *testing.T) {
	w := newWorld(nothing)
	k := w.nodes[0].keeper
	serve := func(org, key, body string) (once.Outcome, error) {
		return k.Serve(context.Background(), once.Attempt{Organisation: org, Kind: "book", Key: key, Body: []byte(body), Deadline: w.now.Add(time.Second)})
	}
	if _, err := serve("roofs", "", "b"); fault.From(err).Kind() != fault.KeyRequired {
		t.Errorf("without a key: %v", err)
	}
	if o, err := serve("roofs", "k", "b"); err != nil || o.State != once.Done {
		t.Fatalf("first use: %+v, %v", o, err)
	}
	if _, err := serve("roofs", "k", "other"); fault.From(err).Kind() != fault.KeyReused {
		t.Errorf("another body: %v", err)
	}
	if o, err := serve("bench", "k", "c"); err != nil || o.State != once.Done || w.runs["c"] != 1 {
		t.Errorf("another organisation's key: %+v, %v", o, err)
	}
	text, _, _ := k.Issue("roofs")
	if _, err := serve("bench", text, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("another organisation's ticket: %v", err)
	}
	forged := text[:len(text)-2] + "xx"
	if _, err := serve("roofs", forged, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("a forged ticket: %v", err)
	}
	if o, err := k.Ask(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Ask() = %+v, %v", o, err)
	}
	unused, _, _ := k.Issue("roofs")
	for _, key := range []string{"never", unused} {
		for _, n := range w.nodes {
			_, err := n.keeper.Ask(context.Background(), "roofs", key)
			if e := fault.From(err); e == nil || e.Kind() != fault.NotFound || e.Ran() != fault.RanUnknown {
				t.Errorf("Ask() of an unused key = %v", err)
			}
		}
	}
	if o, err := w.nodes[1].keeper.Ask(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Ask() at another instance = %+v, %v", o, err)
	}
}

// TestUnansweredClaimIsForgottenWhenItsRequestRuns lets a claim's write go
// unanswered, a second one succeed and run, and the owner forget the outcome. A
// later attempt must not find the first write and run again.
func TestUnansweredClaimIsForgottenWhenItsRequestRuns(t *testing.T) {
	w := newWorld(nothing)
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: "own", Body: []byte("b")}
	serve := func(n *node) {
		a.Deadline = w.now.Add(time.Second)
		_, _ = n.keeper.Serve(context.Background(), a)
		w.puts = 0
	}
	w.puts, w.allLate = 2, true
	serve(w.nodes[0])
	w.allLate = false
	serve(w.nodes[0])
	w.settle()
	if w.runs["b"] != 1 {
		t.Fatalf("the request ran %d times", w.runs["b"])
	}
	w.now = w.now.Add(24 * time.Hour)
	a.Key, a.Body = "another", []byte("c")
	serve(w.nodes[0])
	a.Key, a.Body = "own", []byte("b")
	serve(w.nodes[1])
	serve(w.nodes[0])
	if w.runs["b"] != 1 {
		t.Errorf("the request ran %d times", w.runs["b"])
	}
}

func TestTicketOutlivesItsMemory(t *testing.T) {
	w := newWorld(nothing)
	k := w.nodes[0].keeper
	text, _, _ := k.Issue("roofs")
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: text, Body: []byte("b")}
	for range 40 {
		a.Deadline = w.now.Add(time.Second)
		_, _ = k.Serve(context.Background(), a)
		w.now = w.now.Add(30 * time.Second)
	}
	if w.runs["b"] != 1 {
		t.Errorf("one ticket ran %d times in 20 minutes", w.runs["b"])
	}
}

func BenchmarkTicket(b *testing.B) {
	w := newWorld(nothing)
	k := w.nodes[0].keeper
	b.ReportAllocs()
	for b.Loop() {
		text, _, _ := k.Issue("roofs")
		w.now = w.now.Add(time.Second)
		a := once.Attempt{Organisation: "roofs", Kind: "book", Key: text, Body: []byte("b"), Deadline: w.now.Add(time.Second)}
		if _, err := k.Serve(context.Background(), a); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzKey gives the keeper keys as they come from outside. None may panic, and
// none but a ticket of its own may be taken for one.
func FuzzKey(f *testing.F) {
	w := newWorld(nothing)
	k := w.nodes[0].keeper
	text, _, _ := k.Issue("roofs")
	f.Add(text)
	f.Add("cpt1.")
	f.Add("cpt1.e30.e30")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, key string) {
		_, err := k.Ask(context.Background(), "roofs", key)
		if err == nil && key != text {
			t.Errorf("something is known of %q", key)
		}
	})
}

// BenchmarkMemory reports the bytes held for each key with an outcome of 1 KB.
func BenchmarkMemory(b *testing.B) {
	const n = 20000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		t := once.NewTable(time.Hour, n)
		records := make([]once.Record, n)
		for i := range records {
			answer, _ := json.Marshal(strings.Repeat("x", 1000))
			records[i] = once.Record{Key: fmt.Sprint("organisation/key-", i), BodyHash: fmt.Sprintf("%064d", i), Outcome: once.Outcome{State: once.Done, Answer: answer, Ran: "yes"}}
		}
		t.Adopt(records)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/n, "B/key")
		runtime.KeepAlive(t)
	}
}
