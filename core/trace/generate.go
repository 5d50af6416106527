package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// Shape is what a generator needs to know of a deployment.
	Shape struct {
		Kinds []KindShape
		// Organisations lists names, the largest first.
		Organisations []string
		// Slow and Lost name an endpoint, and Stage the endpoints of a stage
		// with a "*" at the end.
		Slow, Lost, Stage string
	}

	// KindShape is one kind of request with its part of the traffic.
	KindShape struct {
		Name   string
		Weight int
		Images int
		Tokens int
		Stream bool
		// Once is set for a kind that runs at most once.
		Once bool
	}

	// Plan says what to generate.
	Plan struct {
		// Scenario is one of Scenarios.
		Scenario string
		Seed     uint64
		Duration time.Duration
		// Rate is requests a second, without a burst's.
		Rate float64
	}

	generator struct {
		shape Shape
		plan  Plan
		rng   *rand.Rand
	}
)

// Scenarios of a generator. During the middle third of a trace:
const (
	// Steady changes nothing.
	Steady = "steady"
	// PhotoBurst sends three times the requests with images, with four images each.
	PhotoBurst = "photoBurst"
	// LongQuotes asks for four times the tokens.
	LongQuotes = "longQuotes"
	// Greedy lets the smallest organisation send as much as all do.
	Greedy = "greedy"
	// EndpointSlow makes one endpoint ten times slower.
	EndpointSlow = "endpointSlow"
	// EndpointLost ends one endpoint, to the end of the trace.
	EndpointLost = "endpointLost"
	// StageLost takes a whole stage down.
	StageLost = "stageLost"
	// StoreDown takes the platform's object API down.
	StoreDown = "storeDown"
	// AllAtOnce does all of these.
	AllAtOnce = "allAtOnce"
)

const (
	burstFactor = 3
	burstImages = 4
	longFactor  = 4
	slowFactor  = 10
)

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return []string{Steady, PhotoBurst, LongQuotes, Greedy, EndpointSlow, EndpointLost, StageLost, StoreDown, AllAtOnce}
}

// Generate returns a trace. The same plan and shape give the same trace.
func Generate(shape Shape, plan Plan) ([]Event, error) {
	if !slices.Contains(Scenarios(), plan.Scenario) {
		return nil, fmt.Errorf("scenario %q is not known; there are %v", plan.Scenario, Scenarios())
	}
	if len(shape.Kinds) == 0 || len(shape.Organisations) == 0 || plan.Rate <= 0 {
		return nil, fmt.Errorf("a trace needs kinds, organisations and a rate above 0")
	}
	g := &generator{shape: shape, plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 11))}
	events := g.requests(0, plan.Duration, plan.Rate, g.ordinary)
	from, to := plan.Duration/3, 2*plan.Duration/3
	if g.is(PhotoBurst) {
		events = append(events, g.requests(from, to, (burstFactor-1)*plan.Rate, g.photos)...)
	}
	if g.is(Greedy) {
		events = append(events, g.requests(from, to, plan.Rate, g.greedy)...)
	}
	events = append(events, g.faults(from, to)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return events, nil
}

func (g *generator) is(scenario string) bool {
	return g.plan.Scenario == scenario || g.plan.Scenario == AllAtOnce
}

// requests draws arrivals at a rate between two times.
func (g *generator) requests(from, to time.Duration, rate float64, draw func(at time.Duration) Event) []Event {
	var out []Event
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return out
		}
		e := draw(at)
		e.AtMs = at.Milliseconds()
		out = append(out, e)
	}
}

func (g *generator) ordinary(at time.Duration) Event {
	e := g.kind(func(KindShape) bool { return true })
	// The first organisations are the large ones.
	n := len(g.shape.Organisations)
	e.Organisation = g.shape.Organisations[min(g.rng.IntN(n), g.rng.IntN(n))]
	if g.is(LongQuotes) && at > g.plan.Duration/3 && at < 2*g.plan.Duration/3 {
		e.MaxTokens *= longFactor
	}
	return e
}

func (g *generator) photos(time.Duration) Event {
	e := g.kind(func(k KindShape) bool { return k.Images > 0 })
	e.Images *= burstImages
	e.Organisation = g.shape.Organisations[0]
	return e
}

func (g *generator) greedy(time.Duration) Event {
	e := g.kind(func(k KindShape) bool { return !k.Once })
	e.Organisation = g.shape.Organisations[len(g.shape.Organisations)-1]
	return e
}

// kind draws a kind among those that are taken, by weight.
func (g *generator) kind(take func(KindShape) bool) Event {
	total := 0
	for _, k := range g.shape.Kinds {
		if take(k) {
			total += k.Weight
		}
	}
	if total == 0 {
		return g.kind(func(KindShape) bool { return true })
	}
	n := g.rng.IntN(total)
	for _, k := range g.shape.Kinds {
		if !take(k) {
			continue
		}
		if n -= k.Weight; n < 0 {
			return g.event(k)
		}
	}
	panic("trace: weights do not add up")
}

func (g *generator) event(k KindShape) Event {
	e := Event{Kind: k.Name, Images: k.Images, Stream: k.Stream && g.rng.IntN(2) == 0}
	if k.Tokens > 0 {
		e.MaxTokens = k.Tokens/2 + g.rng.IntN(k.Tokens)
	}
	if k.Once {
		e.Key = []string{Ticket, OwnKey}[g.rng.IntN(2)]
	}
	return e
}

func (g *generator) faults(from, to time.Duration) []Event {
	var out []Event
	add := func(scenario string, on, off Fault, heals bool) {
		if !g.is(scenario) {
			return
		}
		out = append(out, Event{AtMs: from.Milliseconds(), Fault: &on})
		if heals {
			out = append(out, Event{AtMs: to.Milliseconds(), Fault: &off})
		}
	}
	add(EndpointSlow, Fault{Endpoint: g.shape.Slow, Slow: slowFactor}, Fault{Endpoint: g.shape.Slow}, true)
	add(EndpointLost, Fault{Endpoint: g.shape.Lost, Down: true}, Fault{}, false)
	add(StageLost, Fault{Endpoint: g.shape.Stage, Down: true}, Fault{Endpoint: g.shape.Stage}, true)
	add(StoreDown, Fault{Endpoint: Platform, Down: true}, Fault{Endpoint: Platform}, true)
	return out
}
