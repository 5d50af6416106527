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
	// step is one randomly drawn event of a history.
	step struct {
		Op, Instance, Key, Choice int
	}

	// mutation is a bug injected into the system, to show that the checks detect
	// it.
	mutation int

	// cluster simulates a few instances, the store, and an endpoint that counts
	// how often each request runs.
	cluster struct {
		objects   *stand.Store
		now       time.Time
		lastID    int
		mutation  mutation
		instances []*instance
		tickets   []string
		// delayedWrites are writes that take effect after the writer has stopped
		// waiting for them.
		delayedWrites []object.Object
		// pendingRuns are slow requests, collected while deferRuns is set.
		pendingRuns []func()
		deferRuns   bool
		// refuseSome makes the endpoint refuse some requests.
		refuseSome bool
		// putFault selects the fault of the next write; see put.
		putFault int
		// keepPutFault applies putFault to every write instead of only the next.
		keepPutFault bool

		// runs counts the runs of each key's request. notRun holds the keys
		// reported as not run, and answers the first answer for each key.
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
	// unconditionalClaim writes claims even if one exists.
	unconditionalClaim
	// rerunWithoutOwner runs the request again at an instance that does not own
	// the key, as if the key were new.
	rerunWithoutOwner
	// assumeWritten treats a write that was not confirmed as successful.
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

// put writes to the store over a network that delays writes and loses responses.
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
	case 1: // The response is lost.
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
	case 3: // The store is unavailable.
		return 0, object.ErrUnavailable
	}
	return c.objects.Objects().Put(ctx, obj)
}

// run is the endpoint: it counts the run or refuses the request. A request of a
// stopped instance does not reach it.
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
	// The caller has already disconnected, so that no attempt waits for a slow
	// request.
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

// checkAnswer compares the outcome that a caller received with what ran.
func (c *cluster) checkAnswer(key string, o once.Outcome) {
	switch o.State {
	case once.NotRun:
		c.notRun[key] = true
	case once.Done:
		if c.runs[key] != 1 {
			c.reportViolation("key %s is reported as done after %d runs", key, c.runs[key])
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
	case 6: // The process crashes and a new one replaces it.
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

// completePending applies the delayed writes and completes the slow requests.
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

// runHistory applies the steps and returns the first violation of the guarantee
// that a request runs at most once, or nil.
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
			c.reportViolation("key %s ran %d times but was reported as not run", key, n)
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

// TestCheckDetectsMutations shows that TestAtMostOnceInAnyHistory detects each of
// the injected bugs.
func TestCheckDetectsMutations(t *testing.T) {
	for name, m := range map[string]mutation{"unconditional claim": unconditionalClaim, "gone owner taken for none": rerunWithoutOwner, "lost write taken for done": assumeWritten} {
		t.Run(name, func(t *testing.T) {
			gen := historyGenerator()
			for seed := range 60000 {
				if runHistory(m, gen.Example(seed)) != nil {
					return
				}
			}
			t.Error("no history violated the guarantee")
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
			t.Errorf("Serve() of a ticket during an outage = %+v, %v, want state done", o, err)
		}
	}
	if c.runs["b"] != 1 {
		t.Errorf("the request ran %d times", c.runs["b"])
	}
	a.Key = "own"
	if _, err := c.instances[0].coordinator.Serve(context.Background(), a); fault.From(err).Kind() != fault.StoreUnavailable {
		t.Errorf("Serve() of a caller-supplied key during an outage = %v, want kind storeUnavailable", err)
	}
}

func TestKeyRules(t *testing.T) {
	c := newCluster(noMutation)
	coord := c.instances[0].coordinator
	serve := func(org, key, body string) (once.Outcome, error) {
		return coord.Serve(context.Background(), once.Attempt{Organisation: org, Kind: "book", Key: key, Body: []byte(body), Deadline: c.now.Add(time.Second)})
	}
	if _, err := serve("roofs", "", "b"); fault.From(err).Kind() != fault.KeyRequired {
		t.Errorf("Serve() without a key = %v, want kind keyRequired", err)
	}
	if o, err := serve("roofs", "k", "b"); err != nil || o.State != once.Done {
		t.Fatalf("Serve() of a new key = %+v, %v, want state done", o, err)
	}
	if _, err := serve("roofs", "k", "other"); fault.From(err).Kind() != fault.KeyReused {
		t.Errorf("Serve() with another body = %v, want kind keyReused", err)
	}
	if o, err := serve("bench", "k", "c"); err != nil || o.State != once.Done || c.runs["c"] != 1 {
		t.Errorf("Serve() of another organisation's key = %+v, %v, want a run of its own", o, err)
	}
	ticket, _, _ := coord.Issue("roofs")
	if _, err := serve("bench", ticket, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("Serve() of another organisation's ticket = %v, want kind badRequest", err)
	}
	forged := ticket[:len(ticket)-2] + "xx"
	if _, err := serve("roofs", forged, "b"); fault.From(err).Kind() != fault.BadRequest {
		t.Errorf("Serve() of a forged ticket = %v, want kind badRequest", err)
	}
	if o, err := coord.Query(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Query() = %+v, %v, want state done", o, err)
	}
	unused, _, _ := coord.Issue("roofs")
	for _, key := range []string{"never", unused} {
		for _, inst := range c.instances {
			_, err := inst.coordinator.Query(context.Background(), "roofs", key)
			if e := fault.From(err); e == nil || e.Kind() != fault.NotFound || e.Ran() != fault.RanUnknown {
				t.Errorf("Query() of an unused key = %v, want kind notFound and ran unknown", err)
			}
		}
	}
	if o, err := c.instances[1].coordinator.Query(context.Background(), "roofs", "k"); err != nil || o.State != once.Done {
		t.Errorf("Query() at another instance = %+v, %v, want state done", o, err)
	}
}

// TestUnconfirmedClaimIsDroppedWhenItsRequestRuns guards against a second run
// after eviction: the write of a claim is not confirmed, a second attempt
// succeeds and runs the request, and the owner evicts the outcome. A later
// attempt must not take the claim in force for the first, unconfirmed write and
// run the request again.
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
		t.Errorf("the request of one ticket ran %d times in 20 minutes", c.runs["b"])
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

// FuzzKey queries arbitrary keys. None may cause a panic, and only the ticket
// that the instance issued may be accepted as one.
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
			t.Errorf("Query(%q) returned an outcome, want an error", key)
		}
	})
}

// BenchmarkMemory reports the memory used for each key with an outcome of 1 KB.
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
