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

	// ReplayResult is what a replay showed.
	ReplayResult struct {
		Results    []trace.Result
		Violations []Violation
	}
)

// TraceProfile returns what a generator of traces needs to know of an example.
func TraceProfile(deployment string) (trace.Profile, error) {
	fragments, err := readFragments(examples.Files, deployment)
	if err != nil {
		return trace.Profile{}, err
	}
	set, err := buildSet(fragments)
	if err != nil {
		return trace.Profile{}, err
	}
	profile := trace.Profile{Organisations: organisations[deployment], SlowEndpoint: "lm-1", LostEndpoint: "lm-2", StageEndpoints: "rerank-*"}
	for _, name := range set.KindNames() {
		k, _ := set.Kind(name)
		kindProfile := trace.KindProfile{Name: name, Weight: 1, NonIdempotent: !k.Idempotent()}
		for _, stage := range k.Stages() {
			switch stage.Unit() {
			case "images":
				kindProfile.Images = 1
				kindProfile.Weight = 2
			case "tokens":
				kindProfile.MeanTokens = 100
				kindProfile.CanStream = true
			}
		}
		profile.Kinds = append(profile.Kinds, kindProfile)
	}
	return profile, nil
}

// Run replays the trace and waits for every answer.
func (r Replay) Run(ctx context.Context) (*ReplayResult, error) {
	if r.Deployment == "" {
		return r.sendEvents(ctx, nil)
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
	result, err := r.sendEvents(ctx, d)
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancelStop()
	if stopErr := d.Stop(stopCtx); err == nil {
		err = stopErr
	}
	return result, err
}

// sendEvents sends each event at its time.
func (r Replay) sendEvents(ctx context.Context, d *Deployment) (*ReplayResult, error) {
	l := newLoadGenerator(d, 1, 1)
	l.addresses, l.keys = r.Addresses, r.Keys
	start := time.Now()
	var wg sync.WaitGroup
	for i, e := range r.Events {
		select {
		case <-ctx.Done():
			wg.Wait()
			return nil, fmt.Errorf("replaying event %d: %w", i, ctx.Err())
		case <-time.After(time.Until(start.Add(e.At()))):
		}
		if e.Fault != nil {
			if d != nil {
				d.injectFault(*e.Fault)
			}
		} else {
			wg.Go(func() { l.record(l.sendEvent(i, e)) })
		}
		r.Progress(i + 1)
	}
	wg.Wait()
	result := &ReplayResult{}
	runs := map[string]int{}
	if d != nil {
		runs = d.runs()
	}
	for _, req := range l.requests {
		result.Results = append(result.Results, req.result())
		result.Violations = append(result.Violations, checkAnswer(req)...)
		if req.runID != "" && d != nil {
			result.Violations = append(result.Violations, checkAtMostOnce(req, runs[req.nonIdempotentStage+" "+req.runID])...)
		}
	}
	return result, nil
}

// injectFault switches the faults of the endpoints that a fault names.
func (d *Deployment) injectFault(f trace.Fault) {
	if f.Endpoint == trace.PlatformEndpoint {
		d.platform.SetFaults(stand.Faults{Down: f.Down})
		return
	}
	prefix, isPrefix := strings.CutSuffix(f.Endpoint, "*")
	for name, s := range d.servers {
		if name == f.Endpoint || (isPrefix && strings.HasPrefix(name, prefix)) {
			s.setFaults(standin.ServerFaults{Down: f.Down, Slow: f.SlowFactor})
		}
	}
}

// sendEvent sends one request of a trace.
func (l *loadGenerator) sendEvent(number int, e trace.Event) request {
	r := request{kind: e.Kind, organisation: e.Organisation, subject: fmt.Sprintf("case-%d", number), atMs: e.AtMs, images: max(1, e.Images)}
	if l.deployment != nil {
		if k, ok := l.deployment.set.Kind(e.Kind); ok {
			r.deadline = k.Deadline()
		}
	}
	start := time.Now()
	if e.Key == trace.NoKey {
		l.sendOnce(&r, requestBody(r, e.Stream, e.MaxTokens), "", e.Stream)
	} else {
		l.sendAtMostOnce(&r, e.Key == trace.CallerKey)
	}
	r.took = time.Since(start)
	return r
}

func (r *request) result() trace.Result {
	deadline := r.deadline
	if deadline == 0 {
		// A running system ends a request at its kind's deadline by itself.
		deadline = requestTimeout
	}
	return trace.Result{
		AtMs: r.atMs, Kind: r.kind, Organisation: r.organisation, Took: r.took, Deadline: deadline,
		Answered: r.answered, ErrorKind: r.failure.Kind,
	}
}

// randomAddress chooses an address of a running system.
func randomAddress(addresses []string) string {
	return "http://" + addresses[rand.IntN(len(addresses))]
}

// authorise gives a request the key of its organisation.
func (l *loadGenerator) authorise(req *http.Request, organisation string) {
	key := "demo-key-" + organisation
	if k, ok := l.keys[organisation]; ok {
		key = k
	}
	req.Header.Set("Authorization", "Bearer "+key)
}
