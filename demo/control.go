package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"chervilpath/core/declare"
	"chervilpath/core/publish"
	"chervilpath/io/standin"
	"chervilpath/platform/stand"
)

// Response is the result of one request as its caller saw it.
type Response struct {
	Answered  bool
	ErrorKind string
	Ran       string
	Text      string
	Tokens    int
	Took      time.Duration
}

// Send sends one request and returns its result. The request goes to the entry
// instance with index via, or to one chosen by load balancing if via is negative. The
// idempotency key may be empty. If the answer breaks a promise, the ErrorKind of the
// response is "broken" and its Text describes the violation.
func (d *Deployment) Send(kind, organisation, key, subject string, stream bool, tokens, via int) Response {
	l := newLoadGenerator(d, 1, 1)
	l.via = via
	r := request{kind: kind, organisation: organisation, subject: subject}
	start := time.Now()
	l.sendOnce(&r, requestBody(r, stream, tokens), key, stream)
	for _, v := range checkAnswer(r) {
		return Response{ErrorKind: "broken", Text: v.String()}
	}
	return Response{Answered: r.answered, ErrorKind: r.failure.Kind, Ran: r.ran(), Text: r.text, Tokens: len(r.tokens), Took: time.Since(start)}
}

// ran returns whether the request ran, as reported to the caller: "yes", "no" or
// "unknown".
func (r *request) ran() string {
	if r.answered {
		return "yes"
	}
	return r.failure.Ran
}

// RequestTicket returns a new ticket from the entry instance with index via, or "" if
// it issued none.
func (d *Deployment) RequestTicket(organisation string, via int) string {
	l := newLoadGenerator(d, 1, 1)
	l.via = via
	return l.requestTicket(organisation)
}

// Runs returns how often a stage ran, in total and at most for a single request.
func (d *Deployment) Runs(stage string) (total, maxPerRequest int) {
	for key, n := range d.runs() {
		if len(key) > len(stage) && key[:len(stage)+1] == stage+" " {
			total += n
			maxPerRequest = max(maxPerRequest, n)
		}
	}
	return total, maxPerRequest
}

// EndpointCalls returns the number of calls that an endpoint has received.
func (d *Deployment) EndpointCalls(endpoint string) int64 { return d.servers[endpoint].counts().Calls }

// StageEndpoints returns the names of the endpoints of a stage.
func (d *Deployment) StageEndpoints(stage string) ([]string, error) {
	s, ok := d.set.Stage(stage)
	if !ok {
		return nil, fmt.Errorf("stage %q is not declared", stage)
	}
	var out []string
	for _, e := range s.Endpoints() {
		out = append(out, e.Name())
	}
	return out, nil
}

// SetEndpointFaults replaces the active faults of an endpoint by those given as the
// JSON of a [standin.ServerFaults].
func (d *Deployment) SetEndpointFaults(endpoint, faultsJSON string) error {
	s, ok := d.servers[endpoint]
	if !ok {
		return fmt.Errorf("endpoint %q is not declared", endpoint)
	}
	var f standin.ServerFaults
	if err := json.Unmarshal([]byte(faultsJSON), &f); err != nil {
		return fmt.Errorf("reading faults: %w", err)
	}
	s.setFaults(f)
	return nil
}

// SetPlatformFaults replaces the active faults of the platform's object API by those
// given as the JSON of a [stand.Faults].
func (d *Deployment) SetPlatformFaults(faultsJSON string) error {
	var f stand.Faults
	if err := json.Unmarshal([]byte(faultsJSON), &f); err != nil {
		return fmt.Errorf("reading faults: %w", err)
	}
	d.platform.SetFaults(f)
	return nil
}

// SetEndpointState changes an endpoint's entry in the platform's list of servers. The
// state "gone" removes the entry, "leaving" marks the endpoint as draining, and any
// other state marks it as ready.
func (d *Deployment) SetEndpointState(endpoint, state string) {
	switch state {
	case "gone":
		d.platform.RemoveServer(endpoint)
		return
	case "leaving":
		state = stand.Draining
	default:
		state = stand.Ready
	}
	e, _ := d.set.Endpoint(endpoint)
	d.platform.PutServer(endpoint, d.addresses[endpoint], e.FailureDomain(), state)
}

// Publish publishes one declaration file and returns the revision that contains it.
func (d *Deployment) Publish(ctx context.Context, name string, data []byte) (int64, error) {
	root, err := d.publisher.Publish(ctx, publish.Change{Fragments: []declare.Fragment{{Name: name, Data: data}}, By: "scenario", ID: fmt.Sprint(time.Now().UnixNano())})
	return root.Revision, err
}

// Revisions returns the revision in force at each entry instance that has been
// neither stopped nor crashed.
func (d *Deployment) Revisions() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []int64
	for _, in := range d.instances {
		if !in.removed {
			out = append(out, in.Status().Revision)
		}
	}
	return out
}

// Partition blocks all calls between the entry instances with the given indexes and
// the other entry instances. Callers, endpoints and the platform still reach both
// sides.
func (d *Deployment) Partition(group []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inside, outside []string
	for i, in := range d.instances {
		if slices.Contains(group, i) {
			inside = append(inside, in.peerAddress)
		} else {
			outside = append(outside, in.peerAddress)
		}
	}
	for i, in := range d.instances {
		if slices.Contains(group, i) {
			in.BlockPeers(outside)
		} else {
			in.BlockPeers(inside)
		}
	}
}

// HealPartition lets all entry instances call each other again.
func (d *Deployment) HealPartition() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, in := range d.instances {
		in.BlockPeers(nil)
	}
}

// PlatformURL returns the base URL of the platform's stand-in.
func (d *Deployment) PlatformURL() string { return "http://" + d.platformAddress }

// OperatorAddress returns the operator address of the entry instance with index i.
func (d *Deployment) OperatorAddress(i int) string { return d.instances[i].OperatorAddress() }

// NumInstances returns the number of entry instances, including those that have been
// stopped or have crashed.
func (d *Deployment) NumInstances() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.instances)
}

// SetLoadedModels changes which models an engine has loaded without an order from the
// system, as an operator would by hand.
func (d *Deployment) SetLoadedModels(engine string, models []string) {
	d.servers[engine].engine.SetModels(models)
}

// MatchesDeclaration reports whether an engine has the models, adapters and role that
// are declared for it, and returns the highest fencing number it has received.
func (d *Deployment) MatchesDeclaration(engine string) (bool, int64) {
	e, _ := d.set.Endpoint(engine)
	s := d.servers[engine].engine.State()
	ok := slices.Equal(s.Models, e.Models()) && slices.Equal(s.Adapters, e.Adapters()) && s.Role == e.Role()
	return ok, s.Fence
}

// LeaseHolder returns the index of the entry instance that holds the lease for the
// first shard of engines, or -1 if none does.
func (d *Deployment) LeaseHolder(ctx context.Context) int {
	obj, err := d.platform.Objects().Get(ctx, "leases", "engines-000")
	if err != nil {
		return -1
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(obj.Data, &lease)
	for i, in := range d.instances {
		if in.Status().Incarnation == lease.Holder {
			return i
		}
	}
	return -1
}
