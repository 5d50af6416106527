package engine_test

import (
	"fmt"
	"testing"
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/engine"
	"chervilpath/core/fleet"
)

// BenchmarkServe measures a choice among 650 engines (ns/choice), and the choice together with
// the observation and the settlement of the request (ns/op), at 3,700 requests a second.
func BenchmarkServe(b *testing.B) {
	const engines, reading, running = 650, 600, 4000
	p := engine.New()
	var servers []fleet.Server
	for i := range engines {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i), Zone: fmt.Sprint("z-", i%4)})
	}
	p.SetServers(servers, 32)
	p.SetKVTokens(100_000)
	var queries []engine.Query
	for i := range 4 * running {
		class := modelClasses[i%3]
		shared, own := fmt.Sprint("part-", i%3, "-", i*7%50), fmt.Sprint("r-", i)
		queries = append(queries, engine.Query{
			RequestID: own, Affinity: shared, Parts: []engine.Part{{ID: shared, Tokens: class.shared}, {ID: own, Tokens: class.own}},
			PromptTokens: class.shared + class.own, OutputTokens: class.events * 4, Repeatable: true, Expires: start.Add(time.Hour),
		})
	}
	placed := make([]string, len(queries))
	now, choosing, kept := start, time.Duration(0), 0
	step := func(i int) {
		now = now.Add(270 * time.Microsecond)
		q := &queries[i%len(queries)]
		began := time.Now()
		c := p.Choose(now, *q)
		choosing += time.Since(began)
		placed[i%len(queries)] = c.Server
		if c.Reason == engine.ReasonKept {
			kept++
		}
		if first := i - reading; first >= 0 {
			q := &queries[first%len(queries)]
			p.Observe(now, engine.Observation{RequestID: q.RequestID, Server: placed[first%len(queries)], FirstEvent: time.Duration(q.Parts[1].Tokens/50+20) * time.Millisecond})
		}
		if done := i - running; done >= 0 {
			q := &queries[done%len(queries)]
			p.Settle(now, q.RequestID, placed[done%len(queries)], balance.Succeeded)
		}
	}
	warm := 5 * len(queries)
	for i := range warm {
		step(i)
	}
	b.ReportAllocs()
	choosing, kept = 0, 0
	i := warm
	for b.Loop() {
		step(i)
		i++
	}
	b.ReportMetric(float64(choosing.Nanoseconds())/float64(i-warm), "ns/choice")
	b.ReportMetric(float64(kept)/float64(i-warm), "kept/choice")
}

// BenchmarkEstimate measures a choice alone.
func BenchmarkEstimate(b *testing.B) {
	p := engine.New()
	var servers []fleet.Server
	for i := range 650 {
		servers = append(servers, fleet.Server{ID: fmt.Sprint("e-", i)})
	}
	p.SetServers(servers, 32)
	q := engine.Query{Affinity: "part", Parts: []engine.Part{{ID: "part", Tokens: 6300}, {ID: "own", Tokens: 2890}}}
	b.ReportAllocs()
	for b.Loop() {
		p.Estimate(start, q)
	}
}
