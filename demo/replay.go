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
	// Replay describes which trace to replay, and to which system.
	Replay struct {
		Events []trace.Event
		// Deployment is the example to host, with the given number of entry
		// instances, or "" to send the requests to Addresses.
		Deployment string
		Instances  int
		// Addresses are the caller addresses of a running system, and Keys the API
		// keys of its organisations.
		Addresses []string
		Keys      map[string]string
		// Progress is called after each event with the number of events sent so
		// far.
		Progress func(sent int)
	}

	// ReplayResult holds the results of all requests of a replay, and the
	// violations of promises that were observed.
	ReplayResult struct {
		Results    []trace.Result
		Violations []Violation
	}
)

// TraceProfile returns the profile from which traces for an example are generated.
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

// Run replays the trace and waits for the results of all requests.
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

// sendEvents sends each request and injects each fault at its time. Faults are
// ignored if d is nil, since those of a running system can't be controlled.
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

// injectFault replaces the active faults of the platform, of one endpoint, or of all
// endpoints with a name prefix, as given by the fault.
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

// sendEvent sends the request of a trace's event and returns it with its result.
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

// result returns the request's result in the form that expectations are checked
// against.
func (r *request) result() trace.Result {
	deadline := r.deadline
	if deadline == 0 {
		// The deadlines of a running system are not known here. It ends requests
		// at their deadline by itself.
		deadline = requestTimeout
	}
	return trace.Result{
		AtMs: r.atMs, Kind: r.kind, Organisation: r.organisation, Took: r.took, Deadline: deadline,
		Answered: r.answered, ErrorKind: r.failure.Kind,
	}
}

// randomAddress returns the base URL of a random caller address.
func randomAddress(addresses []string) string {
	return "http://" + addresses[rand.IntN(len(addresses))]
}

// authorise adds the API key of an organisation to a request.
func (l *loadGenerator) authorise(req *http.Request, organisation string) {
	key := "demo-key-" + organisation
	if k, ok := l.keys[organisation]; ok {
		key = k
	}
	req.Header.Set("Authorization", "Bearer "+key)
}
