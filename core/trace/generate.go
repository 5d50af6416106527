package trace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

type (
	// Profile describes the deployment for which a trace is generated.
	Profile struct {
		Kinds []KindProfile
		// Organisations lists names in decreasing order of traffic.
		Organisations []string
		// SlowEndpoint and LostEndpoint are the names of the endpoints with these
		// faults. StageEndpoints stands for all endpoints of a stage: their common
		// prefix and a "*".
		SlowEndpoint, LostEndpoint, StageEndpoints string
	}

	// KindProfile describes one kind of request.
	KindProfile struct {
		Name string
		// Weight is the kind's share of the traffic, relative to the other kinds.
		Weight int
		Images int
		// MeanTokens is the mean of the token limits that are drawn.
		MeanTokens int
		// CanStream is set for a kind of which half the requests are streamed.
		CanStream bool
		// NonIdempotent is set for a kind that runs at most once.
		NonIdempotent bool
	}

	// Plan selects the trace to generate.
	Plan struct {
		// Scenario is one of Scenarios.
		Scenario string
		Seed     uint64
		Duration time.Duration
		// Rate is the number of requests a second, without those that a scenario
		// adds.
		Rate float64
	}

	generator struct {
		profile Profile
		plan    Plan
		rng     *rand.Rand
	}
)

// The scenarios. Each changes the traffic or injects a fault in the middle third
// of a trace, unless stated otherwise.
const (
	// Steady changes nothing.
	Steady = "steady"
	// PhotoBurst triples the request rate. The added requests carry four times
	// the usual number of images and come from the largest organisation.
	PhotoBurst = "photoBurst"
	// LongQuotes raises the token limits to four times the usual.
	LongQuotes = "longQuotes"
	// Greedy adds idempotent requests of the smallest organisation, as many as
	// all organisations send together.
	Greedy = "greedy"
	// EndpointSlow makes one endpoint ten times slower.
	EndpointSlow = "endpointSlow"
	// EndpointLost takes one endpoint down, until the end of the trace.
	EndpointLost = "endpointLost"
	// StageLost takes all endpoints of a stage down.
	StageLost = "stageLost"
	// StoreDown takes the platform's object API down.
	StoreDown = "storeDown"
	// AllAtOnce combines all of these.
	AllAtOnce = "allAtOnce"
)

const (
	burstFactor      = 3
	burstImageFactor = 4
	longQuoteFactor  = 4
	slowFactor       = 10
)

// Scenarios returns the names of all scenarios.
func Scenarios() []string {
	return []string{Steady, PhotoBurst, LongQuotes, Greedy, EndpointSlow, EndpointLost, StageLost, StoreDown, AllAtOnce}
}

// Generate returns a trace. The same profile and plan give the same trace.
func Generate(profile Profile, plan Plan) ([]Event, error) {
	if !slices.Contains(Scenarios(), plan.Scenario) {
		return nil, fmt.Errorf("scenario %q is not known; the scenarios are %v", plan.Scenario, Scenarios())
	}
	if len(profile.Kinds) == 0 || len(profile.Organisations) == 0 || plan.Rate <= 0 {
		return nil, fmt.Errorf("a trace needs at least one kind, one organisation and a rate above 0")
	}
	g := &generator{profile: profile, plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 11))}
	events := g.arrivals(0, plan.Duration, plan.Rate, g.steadyRequest)
	from, to := plan.Duration/3, 2*plan.Duration/3
	if g.includes(PhotoBurst) {
		events = append(events, g.arrivals(from, to, (burstFactor-1)*plan.Rate, g.imageRequest)...)
	}
	if g.includes(Greedy) {
		events = append(events, g.arrivals(from, to, plan.Rate, g.greedyRequest)...)
	}
	events = append(events, g.faults(from, to)...)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return events, nil
}

func (g *generator) includes(scenario string) bool {
	return g.plan.Scenario == scenario || g.plan.Scenario == AllAtOnce
}

// arrivals draws the requests of a Poisson process between two times. The rate is
// in requests a second.
func (g *generator) arrivals(from, to time.Duration, rate float64, newRequest func(at time.Duration) Event) []Event {
	var requests []Event
	at := from
	for {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return requests
		}
		e := newRequest(at)
		e.AtMs = at.Milliseconds()
		requests = append(requests, e)
	}
}

func (g *generator) steadyRequest(at time.Duration) Event {
	e := g.drawRequest(func(KindProfile) bool { return true })
	// The lower of two random indexes favours the first organisations.
	n := len(g.profile.Organisations)
	e.Organisation = g.profile.Organisations[min(g.rng.IntN(n), g.rng.IntN(n))]
	if g.includes(LongQuotes) && at > g.plan.Duration/3 && at < 2*g.plan.Duration/3 {
		e.MaxTokens *= longQuoteFactor
	}
	return e
}

func (g *generator) imageRequest(time.Duration) Event {
	e := g.drawRequest(func(k KindProfile) bool { return k.Images > 0 })
	e.Images *= burstImageFactor
	e.Organisation = g.profile.Organisations[0]
	return e
}

func (g *generator) greedyRequest(time.Duration) Event {
	e := g.drawRequest(func(k KindProfile) bool { return !k.NonIdempotent })
	e.Organisation = g.profile.Organisations[len(g.profile.Organisations)-1]
	return e
}

// drawRequest returns a request of a kind drawn by weight among those included,
// or among all kinds if none is.
func (g *generator) drawRequest(include func(KindProfile) bool) Event {
	total := 0
	for _, k := range g.profile.Kinds {
		if include(k) {
			total += k.Weight
		}
	}
	if total == 0 {
		return g.drawRequest(func(KindProfile) bool { return true })
	}
	n := g.rng.IntN(total)
	for _, k := range g.profile.Kinds {
		if !include(k) {
			continue
		}
		if n -= k.Weight; n < 0 {
			return g.requestOfKind(k)
		}
	}
	panic("trace: weights do not add up")
}

func (g *generator) requestOfKind(k KindProfile) Event {
	e := Event{Kind: k.Name, Images: k.Images, Stream: k.CanStream && g.rng.IntN(2) == 0}
	if k.MeanTokens > 0 {
		e.MaxTokens = k.MeanTokens/2 + g.rng.IntN(k.MeanTokens)
	}
	if k.NonIdempotent {
		e.Key = []string{TicketKey, CallerKey}[g.rng.IntN(2)]
	}
	return e
}

// faults returns the events that begin and end the plan's faults.
func (g *generator) faults(from, to time.Duration) []Event {
	var out []Event
	add := func(scenario string, begin, end Fault, ends bool) {
		if !g.includes(scenario) {
			return
		}
		out = append(out, Event{AtMs: from.Milliseconds(), Fault: &begin})
		if ends {
			out = append(out, Event{AtMs: to.Milliseconds(), Fault: &end})
		}
	}
	add(EndpointSlow, Fault{Endpoint: g.profile.SlowEndpoint, SlowFactor: slowFactor}, Fault{Endpoint: g.profile.SlowEndpoint}, true)
	add(EndpointLost, Fault{Endpoint: g.profile.LostEndpoint, Down: true}, Fault{}, false)
	add(StageLost, Fault{Endpoint: g.profile.StageEndpoints, Down: true}, Fault{Endpoint: g.profile.StageEndpoints}, true)
	add(StoreDown, Fault{Endpoint: PlatformEndpoint, Down: true}, Fault{Endpoint: PlatformEndpoint}, true)
	return out
}
