package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"chervilpath/core/trace"
	"chervilpath/examples"
	"chervilpath/io/standin"
	"chervilpath/platform/stand"
)

type (
	// Replay says what to replay and where.
	Replay struct {
		Events []trace.Event
		// Deployment is the example to host, or "" to send to Addresses.
		Deployment string
		Instances  int
		// Addresses are callers' addresses of a running system, and Keys the
		// keys of its organisations.
		Addresses []string
		Keys      map[string]string
		// Progress is called after each event with the number sent.
		Progress func(sent int)
	}

	// Replayed is what a replay showed.
	Replayed struct {
		Results []trace.Result
		Broken  []Broken
	}
)

// ShapeOf returns what a generator of traces needs to know of an example.
func ShapeOf(deployment string) (trace.Profile, error) {
	fragments, err := readFragments(examples.Files, deployment)
	if err != nil {
		return trace.Profile{}, err
	}
	set, err := buildSet(fragments)
	if err != nil {
		return trace.Profile{}, err
	}
	s := trace.Profile{Organisations: organisations[deployment], SlowEndpoint: "lm-1", LostEndpoint: "lm-2", StageEndpoints: "rerank-*"}
	for _, name := range set.KindNames() {
		k, _ := set.Kind(name)
		shape := trace.KindProfile{Name: name, Weight: 1, NonIdempotent: !k.Idempotent()}
		for _, stage := range k.Stages() {
			switch stage.Unit() {
			case "images":
				shape.Images = 1
				shape.Weight = 2
			case "tokens":
				shape.MeanTokens = 100
				shape.CanStream = true
			}
		}
		s.Kinds = append(s.Kinds, shape)
	}
	return s, nil
}

// Run replays the trace and waits for every answer.
func (r Replay) Run(ctx context.Context) (*Replayed, error) {
	if r.Deployment == "" {
		return r.drive(ctx, nil)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	d, err := New(startCtx, examples.Files, r.Deployment, r.Instances, zap.NewNop())
	if err != nil {
		return nil, err
	}
	if err := d.Start(startCtx); err != nil {
		return nil, err
	}
	out, err := r.drive(ctx, d)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if stopErr := d.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return out, err
}

// drive sends each event at its time.
func (r Replay) drive(ctx context.Context, d *Deployment) (*Replayed, error) {
	l := newLoad(d, 1, 1)
	l.addresses, l.keys = r.Addresses, r.Keys
	began := time.Now()
	var wg sync.WaitGroup
	for i, e := range r.Events {
		select {
		case <-ctx.Done():
			wg.Wait()
			return nil, fmt.Errorf("replaying event %d: %w", i, ctx.Err())
		case <-time.After(time.Until(began.Add(e.At()))):
		}
		if e.Fault != nil {
			if d != nil {
				d.inject(*e.Fault)
			}
		} else {
			wg.Go(func() { l.note(l.replay(i, e)) })
		}
		r.Progress(i + 1)
	}
	wg.Wait()
	out := &Replayed{}
	runs := map[string]int{}
	if d != nil {
		runs = d.runs()
	}
	for _, s := range l.all {
		out.Results = append(out.Results, s.result())
		out.Broken = append(out.Broken, judgeAnswer(s)...)
		if s.runID != "" && d != nil {
			out.Broken = append(out.Broken, judgeOnce(s, runs[s.onceStage+" "+s.runID])...)
		}
	}
	return out, nil
}

// inject switches the faults of the endpoints that a fault names.
func (d *Deployment) inject(f trace.Fault) {
	if f.Endpoint == trace.PlatformEndpoint {
		d.platform.SetFaults(stand.Faults{Down: f.Down})
		return
	}
	prefix, many := strings.CutSuffix(f.Endpoint, "*")
	for name, s := range d.servers {
		if name == f.Endpoint || (many && strings.HasPrefix(name, prefix)) {
			s.faults(standin.ServerFaults{Down: f.Down, Slow: f.SlowFactor})
		}
	}
}

// replay sends one request of a trace.
func (l *load) replay(i int, e trace.Event) sent {
	s := sent{kind: e.Kind, organisation: e.Organisation, subject: fmt.Sprintf("case-%d", i), at: e.AtMs, images: max(1, e.Images)}
	if l.deployment != nil {
		if k, ok := l.deployment.set.Kind(e.Kind); ok {
			s.limit = k.Deadline()
		}
	}
	began := time.Now()
	if e.Key == trace.NoKey {
		l.ask(&s, body(s, e.Stream, e.MaxTokens), "", e.Stream)
	} else {
		l.book(&s, e.Key == trace.CallerKey)
	}
	s.took = time.Since(began)
	return s
}

func (s *sent) result() trace.Result {
	limit := s.limit
	if limit == 0 {
		// A running system ends a request at its kind's deadline by itself.
		limit = slowCaller
	}
	return trace.Result{
		AtMs: s.at, Kind: s.kind, Organisation: s.organisation, Took: s.took, Deadline: limit,
		Answered: s.answered, ErrorKind: s.failed.Kind,
	}
}

// draw chooses an address of a running system.
func draw(addresses []string) string { return "http://" + addresses[rand.IntN(len(addresses))] }

// authorise gives a request the key of its organisation.
func (l *load) authorise(req *http.Request, organisation string) {
	key := "demo-key-" + organisation
	if k, ok := l.keys[organisation]; ok {
		key = k
	}
	req.Header.Set("Authorization", "Bearer "+key)
}
