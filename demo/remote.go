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

// Reply is what a caller got for one request, for scenarios.
type Reply struct {
	Answered bool
	Kind     string
	Ran      string
	Text     string
	Tokens   int
	Took     time.Duration
}

// Send sends one request of a kind by way of an entry instance, the first
// having number 0, or of one that the balancer chooses if it is negative. The
// key may be "".
func (d *Deployment) Send(kind, organisation, key, subject string, stream bool, tokens, via int) Reply {
	l := newLoad(d, 1, 1)
	l.via = via
	s := sent{kind: kind, organisation: organisation, subject: subject}
	began := time.Now()
	l.ask(&s, body(s, stream, tokens), key, stream)
	for _, b := range judgeAnswer(s) {
		return Reply{Kind: "broken", Text: b.String()}
	}
	return Reply{Answered: s.answered, Kind: s.failed.Kind, Ran: s.ran(), Text: s.text, Tokens: len(s.tokens), Took: time.Since(began)}
}

func (s *sent) ran() string {
	if s.answered {
		return "yes"
	}
	return s.failed.Ran
}

// Ticket gets a ticket from an entry instance.
func (d *Deployment) Ticket(organisation string, via int) string {
	l := newLoad(d, 1, 1)
	l.via = via
	return l.ticket(organisation)
}

// Runs returns how often requests ran at a stage, summed over all requests.
func (d *Deployment) Runs(stage string) (total, most int) {
	for id, n := range d.runs() {
		if len(id) > len(stage) && id[:len(stage)+1] == stage+" " {
			total += n
			most = max(most, n)
		}
	}
	return total, most
}

// Calls returns the calls that an endpoint has had.
func (d *Deployment) Calls(endpoint string) int64 { return d.servers[endpoint].counts().Calls }

// EndpointsOf returns the names of the endpoints of a stage.
func (d *Deployment) EndpointsOf(stage string) ([]string, error) {
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

// SetEndpointFaults switches the faults of an endpoint by their JSON.
func (d *Deployment) SetEndpointFaults(endpoint, text string) error {
	s, ok := d.servers[endpoint]
	if !ok {
		return fmt.Errorf("endpoint %q is not declared", endpoint)
	}
	var f standin.ServerFaults
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return fmt.Errorf("reading faults: %w", err)
	}
	s.faults(f)
	return nil
}

// SetPlatformFaults switches the faults of the object API by their JSON.
func (d *Deployment) SetPlatformFaults(text string) error {
	var f stand.Faults
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return fmt.Errorf("reading faults: %w", err)
	}
	d.platform.SetFaults(f)
	return nil
}

// SetEndpointState lists an endpoint as live or leaving, or takes it off the
// list if the state is "gone".
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

// Publish puts one declaration file in force.
func (d *Deployment) Publish(ctx context.Context, name string, data []byte) (int64, error) {
	root, err := d.publisher.Publish(ctx, publish.Change{Fragments: []declare.Fragment{{Name: name, Data: data}}, By: "scenario", ID: fmt.Sprint(time.Now().UnixNano())})
	return root.Revision, err
}

// Revisions returns the revision in force at each instance that is not gone.
func (d *Deployment) Revisions() []int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []int64
	for _, e := range d.entries {
		if !e.gone {
			out = append(out, e.Status().Revision)
		}
	}
	return out
}

// KeepApart lets no instance of one group and none of the others call each other.
func (d *Deployment) KeepApart(group []int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inside, outside []string
	for i, e := range d.entries {
		if slices.Contains(group, i) {
			inside = append(inside, e.peer)
		} else {
			outside = append(outside, e.peer)
		}
	}
	for i, e := range d.entries {
		if slices.Contains(group, i) {
			e.BlockPeers(outside)
		} else {
			e.BlockPeers(inside)
		}
	}
}

// Join lets all instances call each other again.
func (d *Deployment) Join() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		e.BlockPeers(nil)
	}
}

// PlatformURL returns where the platform's stand-in listens.
func (d *Deployment) PlatformURL() string { return "http://" + d.platformAddress }

// OperatorAddress returns where an instance serves operators.
func (d *Deployment) OperatorAddress(i int) string { return d.entries[i].OperatorAddress() }

// Size returns the number of entry instances, gone ones included.
func (d *Deployment) Size() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.entries)
}

// SetModels changes what an engine has loaded behind the system's back.
func (d *Deployment) SetModels(engine string, models []string) {
	d.servers[engine].engine.SetModels(models)
}

// AsDeclared reports whether an engine has its models, adapters and role, and
// the highest fencing number that it has seen.
func (d *Deployment) AsDeclared(engine string) (bool, int64) {
	e, _ := d.set.Endpoint(engine)
	s := d.servers[engine].engine.State()
	ok := slices.Equal(s.Models, e.Models()) && slices.Equal(s.Adapters, e.Adapters()) && s.Role == e.Role()
	return ok, s.Fence
}

// LeaseHolder returns the number of the instance that holds the lease for the
// first shard of engines, or -1.
func (d *Deployment) LeaseHolder(ctx context.Context) int {
	obj, err := d.platform.Objects().Get(ctx, "leases", "engines-000")
	if err != nil {
		return -1
	}
	var l struct {
		Holder string `json:"holder"`
	}
	_ = json.Unmarshal(obj.Data, &l)
	for i, e := range d.entries {
		if e.Status().Incarnation == l.Holder {
			return i
		}
	}
	return -1
}
