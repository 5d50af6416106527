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
	numInstances = 3
	numKeys      = 5
	secret       = "shared by all instances"
)

type (
	// step is one drawn event of a history.
	step struct {
		Op, Instance, Key, Choice int
	}

	// mutation is a fault put into the system on purpose, to show that the judge
	// finds it.
	mutation int

	// cluster is a few instances, a store and the endpoint that counts runs.
	cluster struct {
		objects   *stand.Store
		now       time.Time
		lastID    int
		mutation  mutation
		instances []*instance
		tickets   []string
		// delayedWrites are writes that take effect after their caller gave up, and
		// running are requests that are slow.
		delayedWrites []object.Object
		pendingRuns   []func()
		deferRuns     bool
		refuseSome    bool
		putFault      int
		// keepPutFault keeps puts as it is, so that no write is answered.
		keepPutFault bool

		runs      map[string]int
		notRun    map[string]bool
		answers   map[string]string
		violation error
	}

	// instance is one incarnation of an instance.
	instance struct {
		coordinator *once.Coordinator
		owner       once.Owner
		stopped     bool
	}
)

const (
	noMutation mutation = iota
	// unconditionalClaim claims overwrite each other.
	unconditionalClaim
	// rerunWithoutOwner owners take an attempt for a gone owner's key as new.
	rerunWithoutOwner
	// assumeWritten owners take a write without an answer for done.
	assumeWritten
)

func newCluster(m mutation) *cluster {
	c := &cluster{
		mutation: m, now: time.Unix(1_700_000_000, 0),
		runs: map[string]int{}, notRun: map[string]bool{}, answers: map[string]string{},
	}
	c.objects = stand.New(func() time.Time { return c.now })
	for i := range numInstances {
		c.instances = append(c.instances, c.newInstance(i))
	}
	return c
}

func (c *cluster) newInstance(i int) *instance {
	c.lastID++
	inst := &instance{owner: once.Owner{Incarnation: fmt.Sprintf("i%d-%d", i, c.lastID), Address: fmt.Sprint(i)}}
	inst.coordinator = once.New(once.Config{Owner: inst.owner, Secret: []byte(secret), TicketTTL: time.Minute, Retention: time.Minute, MaxKeys: 1000}, once.Deps{
		Now:   func() time.Time { return c.now },
		NewID: func() string { c.lastID++; return fmt.Sprint(c.lastID) },
		Store: object.Store{Get: c.objects.Objects().Get, Put: c.put, List: c.objects.Objects().List},
		Run:   func(_ context.Context, a once.Attempt) once.Outcome { return c.run(inst, a) },
		Go: func(f func()) {
			if c.deferRuns {
				c.pendingRuns = append(c.pendingRuns, f)
				return
			}
			f()
		},
		Forward: c.forward,
	})
	return inst
}

// put is the store behind a network that delays writes and loses answers.
func (c *cluster) put(ctx context.Context, obj object.Object) (int64, error) {
	choice := c.putFault
	if !c.keepPutFault {
		c.putFault = 0
	}
	if c.mutation == unconditionalClaim {
		if old, err := c.objects.Objects().Get(ctx, obj.Kind, obj.Name); err == nil {
			obj.Version = old.Version
		}
	}
	switch choice {
	case 1: // The answer is lost.
		if _, err := c.objects.Objects().Put(ctx, obj); errors.Is(err, object.ErrConflict) {
			return 0, err
		}
		return 0, object.ErrUncertain
	case 2: // The write takes effect later.
		c.delayedWrites = append(c.delayedWrites, obj)
		if c.mutation == assumeWritten {
			return 1, nil
		}
		return 0, object.ErrUncertain
	case 3:
		return 0, object.ErrUnavailable
	}
	return c.objects.Objects().Put(ctx, obj)
}

// run is the endpoint's side: it counts, and may refuse, or the instance dies.
func (c *cluster) run(inst *instance, a once.Attempt) once.Outcome {
	if inst.stopped {
		return once.Outcome{}
	}
	key := string(a.Body)
	if c.lastID++; c.refuseSome && c.lastID%7 == 0 {
		return once.Outcome{State: once.NotRun, Error: "overloaded", Ran: "no"}
	}
	c.runs[key]++
	answer, _ := json.Marshal(fmt.Sprint("run ", c.lastID))
	return once.Outcome{State: once.Done, Answer: answer, Ran: "yes"}
}

func (c *cluster) forward(ctx context.Context, owner once.Owner, a once.Attempt) (once.Outcome, error) {
	for _, inst := range c.instances {
		if inst.owner.Address != owner.Address || inst.stopped {
			continue
		}
		o, err := inst.coordinator.ServePeer(ctx, owner, a)
		if err != nil && c.mutation == rerunWithoutOwner {
			return c.run(inst, a), nil
		}
		return o, err
	}
	return once.Outcome{}, once.ErrOwnerGone
}

func (c *cluster) attempt(s step) {
	inst := c.instances[s.Instance]
	key := fmt.Sprint("own-", s.Key)
	if len(c.tickets) > 0 && s.Key%2 == 0 {
		key = c.tickets[s.Key%len(c.tickets)]
	}
	c.putFault = s.Choice % 5
	c.deferRuns = s.Choice >= 5
	// The caller has gone already, so that no attempt waits for a slow one.
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	o, err := inst.coordinator.Serve(ctx, once.Attempt{Organisation: "roofs", Kind: "book", Key: key, Body: []byte(key), Deadline: c.now.Add(time.Second)})
	if err != nil {
		if fault.From(err).Ran() == fault.RanNo {
			c.notRun[key] = true
		}
		return
	}
	c.checkAnswer(key, o)
}

// checkAnswer compares an answer with what ran.
func (c *cluster) checkAnswer(key string, o once.Outcome) {
	switch o.State {
	case once.NotRun:
		c.notRun[key] = true
	case once.Done:
		if c.runs[key] != 1 {
			c.reportViolation("key %s is answered as done after %d runs", key, c.runs[key])
		}
		if first, ok := c.answers[key]; ok && first != string(o.Answer) {
			c.reportViolation("key %s has the answers %s and %s", key, first, o.Answer)
		}
		c.answers[key] = string(o.Answer)
	}
}

func (c *cluster) reportViolation(format string, args ...any) {
	if c.violation == nil {
		c.violation = fmt.Errorf(format, args...)
	}
}

func (c *cluster) apply(s step) {
	ctx := context.Background()
	inst := c.instances[s.Instance]
	switch s.Op {
	case 0, 1, 2, 3, 4:
		c.attempt(s)
	case 5:
		if ticket, _, err := inst.coordinator.Issue("roofs"); err == nil {
			c.tickets = append(c.tickets, ticket)
		}
	case 6: // The process dies and another starts in its place.
		inst.stopped = true
		c.instances[s.Instance] = c.newInstance(s.Instance)
	case 7:
		c.putFault = s.Choice % 5
		_, _ = inst.coordinator.Flush(ctx)
	case 8:
		c.completePending()
	case 9:
		c.now = c.now.Add(time.Duration(1+s.Choice) * 2 * time.Minute)
	case 10:
		c.handOver(s.Instance, (s.Instance+1)%numInstances)
	}
	c.putFault = 0
}

// completePending lets delayed writes take effect and slow requests end.
func (c *cluster) completePending() {
	for _, obj := range c.delayedWrites {
		_, _ = c.objects.Objects().Put(context.Background(), obj)
	}
	c.delayedWrites = nil
	runs := c.pendingRuns
	c.pendingRuns = nil
	for _, f := range runs {
		f()
	}
}

func (c *cluster) handOver(from, to int) {
	inst := c.instances[from]
	records, ok := inst.coordinator.Table().Close()
	if !ok {
		return
	}
	c.instances[to].coordinator.Adopt(inst.coordinator.OwnedIncarnations(), records)
	inst.coordinator.MarkHandedOver(c.instances[to].owner)
	_ = inst.coordinator.StoreHandover(context.Background(), c.instances[to].owner)
	inst.stopped = true
	c.instances[from] = c.newInstance(from)
}

// runHistory runs the steps and returns the broken promise, if any.
func runHistory(m mutation, steps []step) error {
	c := newCluster(m)
	c.refuseSome = true
	for _, s := range steps {
		c.apply(s)
	}
	c.completePending()
	for key, n := range c.runs {
		if n > 1 {
			c.reportViolation("key %s ran %d times", key, n)
		}
		if n > 0 && c.notRun[key] {
			c.reportViolation("key %s ran %d times but was answered as not run", key, n)
		}
	}
	return c.violation
}

func historyGenerator() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Op:       rapid.IntRange(0, 10).Draw(t, "op"),
			Instance: rapid.IntRange(0, numInstances-1).Draw(t, "instance"),
			Key:      rapid.IntRange(0, numKeys-1).Draw(t, "key"),
			Choice:   rapid.IntRange(0, 9).Draw(t, "choice"),
		}
	}), 1, 60)
}

func TestAtMostOnceInAnyHistory(t *testing.T) {
	gen := historyGenerator()
	for seed := range 60000 {
		if err := runHistory(noMutation, gen.Example(seed)); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		if err := runHistory(noMutation, gen.Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestCheckDetectsMutations shows that the test above can fail.
func TestCheckDetectsMutations(t *testing.T) {
	for name, m := range map[string]mutation{"unconditional claim": unconditionalClaim, "gone owner taken for none": rerunWithoutOwner, "lost write taken for done": assumeWritten} {
		t.Run(name, func(t *testing.T) {
			gen := historyGenerator()
			for seed := range 60000 {
				if runHistory(m, gen.Example(seed)) != nil {
					return
				}
			}
			t.Error("no history broke a promise")
		})
	}
}

func TestTicketsWorkDuringStoreOutage(t *testing.T) {
	c := newCluster(noMutation)
	c.objects.SetFaults(stand.Faults{Down: true})
	ticket, _, err := c.instances[0].coordinator.Issue("roofs")
	if err != nil {
		t.Fatal(err)
	}
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: ticket, Body: []byte("b"), Deadline: c.now.Add(time.Second)}
	for _, inst := range c.instances {
		o, err := inst.coordinator.Serve(context.Background(), a)
		if err != nil || o.State != once.Done {
			t.Errorf("Serve() through an outage = %+v, %v", o, err)
		}
	}
	if c.runs["b"] != 1 {
		t.Errorf("the request ran %d times", c.runs["b"])
	}
	a.Key = "own"
	if _, err := c.instances[0].coordinator.Serve(context.Background(), a); fault.From(err).Kind() != fault.StoreUnavailable {
		t.Errorf("Serve() of an own key in an outage = %v", err)
	}
}

func TestKeyRules(t *testing.T) {
	c := newCluster(noMutation)
	coord := c.instances[0].coordinator
	serve := func(org, key, body string) (once.Outcome, error) {
		return coord.Serve(context.Background(), once.Attempt{Organisation: org, Kind: "book", Key: key, Body: []byte(body), Deadline: c.now.Add(time.Second)})
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
	if o, err := serve("bench", "k", "c"); err != nil || o.State != once.Done || c.runs["c"] != 1 {
		t.Errorf("another organisation's key: %+v, %v", o, err)
	}
	ticket, _, _ := coord.Issue("roofs")
	if _, err := serve("bench", ticket, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("another organisation's ticket: %v", err)
	}
	forged := ticket[:len(ticket)-2] + "xx"
	if _, err := serve("roofs", forged, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("a forged ticket: %v", err)
	}
	if o, err := coord.Query(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Ask() = %+v, %v", o, err)
	}
	unused, _, _ := coord.Issue("roofs")
	for _, key := range []string{"never", unused} {
		for _, inst := range c.instances {
			_, err := inst.coordinator.Query(context.Background(), "roofs", key)
			if e := fault.From(err); e == nil || e.Kind() != fault.NotFound || e.Ran() != fault.RanUnknown {
				t.Errorf("Ask() of an unused key = %v", err)
			}
		}
	}
	if o, err := c.instances[1].coordinator.Query(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Ask() at another instance = %+v, %v", o, err)
	}
}

// TestUnconfirmedClaimIsDroppedWhenItsRequestRuns lets a claim's write go
// unanswered, a second one succeed and run, and the owner forget the outcome. A
// later attempt must not find the first write and run again.
func TestUnconfirmedClaimIsDroppedWhenItsRequestRuns(t *testing.T) {
	c := newCluster(noMutation)
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: "own", Body: []byte("b")}
	serve := func(inst *instance) {
		a.Deadline = c.now.Add(time.Second)
		_, _ = inst.coordinator.Serve(context.Background(), a)
		c.putFault = 0
	}
	c.putFault, c.keepPutFault = 2, true
	serve(c.instances[0])
	c.keepPutFault = false
	serve(c.instances[0])
	c.completePending()
	if c.runs["b"] != 1 {
		t.Fatalf("the request ran %d times", c.runs["b"])
	}
	c.now = c.now.Add(24 * time.Hour)
	a.Key, a.Body = "another", []byte("c")
	serve(c.instances[0])
	a.Key, a.Body = "own", []byte("b")
	serve(c.instances[1])
	serve(c.instances[0])
	if c.runs["b"] != 1 {
		t.Errorf("the request ran %d times", c.runs["b"])
	}
}

func TestTicketRunsOnceAfterEviction(t *testing.T) {
	c := newCluster(noMutation)
	coord := c.instances[0].coordinator
	ticket, _, _ := coord.Issue("roofs")
	a := once.Attempt{Organisation: "roofs", Kind: "book", Key: ticket, Body: []byte("b")}
	for range 40 {
		a.Deadline = c.now.Add(time.Second)
		_, _ = coord.Serve(context.Background(), a)
		c.now = c.now.Add(30 * time.Second)
	}
	if c.runs["b"] != 1 {
		t.Errorf("one ticket ran %d times in 20 minutes", c.runs["b"])
	}
}

func BenchmarkTicket(b *testing.B) {
	c := newCluster(noMutation)
	coord := c.instances[0].coordinator
	b.ReportAllocs()
	for b.Loop() {
		ticket, _, _ := coord.Issue("roofs")
		c.now = c.now.Add(time.Second)
		a := once.Attempt{Organisation: "roofs", Kind: "book", Key: ticket, Body: []byte("b"), Deadline: c.now.Add(time.Second)}
		if _, err := coord.Serve(context.Background(), a); err != nil {
			b.Fatal(err)
		}
	}
}

// FuzzKey gives the keeper keys as they come from outside. None may panic, and
// none but a ticket of its own may be taken for one.
func FuzzKey(f *testing.F) {
	c := newCluster(noMutation)
	coord := c.instances[0].coordinator
	ticket, _, _ := coord.Issue("roofs")
	f.Add(ticket)
	f.Add("cpt1.")
	f.Add("cpt1.e30.e30")
	f.Add("order-17")
	f.Fuzz(func(t *testing.T, key string) {
		_, err := coord.Query(context.Background(), "roofs", key)
		if err == nil && key != ticket {
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
