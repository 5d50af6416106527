// Package declare owns the declarations of pipelines, stages, endpoints, kinds
// of requests and organisations, and the checks that a set of them must pass.
//
// A Set is immutable: a change builds a new Set, and readers keep using the one
// they loaded. The package reads no files and must not decide how requests are
// served.
package declare

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"

	"chervilpath/core/option"
)

// Priority is the class in which a request is queued. Lower values are served
// first.
type Priority uint8

// The priority classes. NumPriorities is their number.
const (
	High Priority = iota
	Normal
	Low
	NumPriorities
)

type (
	// Fragment is one declaration file, usually that of one service.
	Fragment struct {
		Name string `json:"name"`
		Data []byte `json:"data"`
	}

	// ParsedFragment is a fragment whose sections have been parsed and checked
	// against Table.
	ParsedFragment struct {
		name   string
		blocks []*option.Block
	}

	// Stage is one step of a pipeline.
	Stage struct {
		name       string
		unit       string
		price      float64
		idempotent bool
		retries    int
		hedge      bool
		maxQueue   int
		model      string
		adapter    string
		affinity   bool
		endpoints  []*Endpoint
	}

	// Endpoint is one network address that serves one or more stages.
	Endpoint struct {
		name            string
		address         string
		kind            string
		failureDomain   string
		slots           int
		reportsLoad     bool
		checksCaller    bool
		refusesOldFence bool
		resumes         bool
		models          []string
		modelSlots      int
		adapters        []string
		role            string
	}

	// Kind is one kind of request, with the stages of its pipeline.
	Kind struct {
		name       string
		priority   Priority
		idempotent bool
		deadline   time.Duration
		retries    int
		stages     []*Stage
	}

	// Organisation is one organisation whose callers are served and to which
	// cost is attributed.
	Organisation struct {
		name          string
		share         float64
		maxConcurrent int
		keyHashes     [][sha256.Size]byte
	}

	// Set is a complete, checked and immutable set of declarations.
	Set struct {
		stages        map[string]*Stage
		endpoints     map[string]*Endpoint
		kinds         map[string]*Kind
		organisations map[string]*Organisation
		byKeyHash     map[[sha256.Size]byte]*Organisation
	}
)

var prioritiesByName = map[string]Priority{"high": High, "normal": Normal, "low": Low}

// ParsePriority returns the priority class with the given name.
func ParsePriority(name string) (Priority, bool) {
	p, ok := prioritiesByName[name]
	return p, ok
}

// Name returns the stage's name.
func (s *Stage) Name() string { return s.name }

// Unit returns the unit in which the stage's cost is counted.
func (s *Stage) Unit() string { return s.unit }

// Price returns the cost of one unit in millionths of the operator's currency.
func (s *Stage) Price() float64 { return s.price }

// Idempotent reports whether a call of the stage may be sent more than once.
func (s *Stage) Idempotent() bool { return s.idempotent }

// Retries returns the maximum number of retries of a failed call.
func (s *Stage) Retries() int { return s.retries }

// Hedge reports whether a slow call is also sent to a second endpoint.
func (s *Stage) Hedge() bool { return s.hedge }

// MaxQueue returns the maximum number of requests that may wait for the stage
// at one instance.
func (s *Stage) MaxQueue() int { return s.maxQueue }

// Model returns the model that an endpoint must have loaded, or "".
func (s *Stage) Model() string { return s.model }

// Adapter returns the adapter that an endpoint must have loaded, or "".
func (s *Stage) Adapter() string { return s.adapter }

// Affinity reports whether requests with the same prompt prefix prefer the same
// endpoint.
func (s *Stage) Affinity() bool { return s.affinity }

// Endpoints returns the endpoints that serve the stage, ordered by name. The
// caller must not change the slice.
func (s *Stage) Endpoints() []*Endpoint { return s.endpoints }

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Address returns the endpoint's URL.
func (e *Endpoint) Address() string { return e.address }

// Kind returns the endpoint's protocol: "engine", "pool" or "service".
func (e *Endpoint) Kind() string { return e.kind }

// FailureDomain returns the failure domain in which the endpoint runs.
func (e *Endpoint) FailureDomain() string { return e.failureDomain }

// Slots returns the number of calls that the endpoint processes concurrently.
func (e *Endpoint) Slots() int { return e.slots }

// ReportsLoad reports whether the endpoint publishes its current load.
func (e *Endpoint) ReportsLoad() bool { return e.reportsLoad }

// ChecksCaller reports whether the endpoint authenticates the sender of an
// order.
func (e *Endpoint) ChecksCaller() bool { return e.checksCaller }

// RefusesOldFence reports whether the endpoint refuses orders that carry an
// outdated fencing number.
func (e *Endpoint) RefusesOldFence() bool { return e.refusesOldFence }

// Resumes reports whether the endpoint can resume an interrupted stream.
func (e *Endpoint) Resumes() bool { return e.resumes }

// Models returns the models that an engine may load.
func (e *Endpoint) Models() []string { return e.models }

// Adapters returns the adapters that an engine should have loaded.
func (e *Endpoint) Adapters() []string { return e.adapters }

// Role returns the role that an engine should have, or "" if its role is not
// changed.
func (e *Endpoint) Role() string { return e.role }

// ModelSlots returns the number of models that an engine holds loaded at once.
func (e *Endpoint) ModelSlots() int { return e.modelSlots }

// Name returns the kind's name.
func (k *Kind) Name() string { return k.name }

// Priority returns the priority class of requests of the kind.
func (k *Kind) Priority() Priority { return k.priority }

// Idempotent reports whether a request of the kind may run more than once.
func (k *Kind) Idempotent() bool { return k.idempotent }

// WithPriority returns a copy of the kind with another priority.
func (k *Kind) WithPriority(p Priority) *Kind {
	c := *k
	c.priority = p
	return &c
}

// Deadline returns the longest deadline that a caller can ask for, which is also
// the default.
func (k *Kind) Deadline() time.Duration { return k.deadline }

// Retries returns the maximum number of retries over the whole pipeline.
func (k *Kind) Retries() int { return k.retries }

// Stages returns the stages in order. The caller must not change the slice.
func (k *Kind) Stages() []*Stage { return k.stages }

// Name returns the organisation's name.
func (o *Organisation) Name() string { return o.name }

// Share returns the organisation's weight in the fair sharing of a stage that is
// at capacity.
func (o *Organisation) Share() float64 { return o.share }

// MaxConcurrent returns the maximum number of the organisation's requests in
// flight at one instance.
func (o *Organisation) MaxConcurrent() int { return o.maxConcurrent }

// Stage returns the stage with the given name.
func (s *Set) Stage(name string) (*Stage, bool) {
	st, ok := s.stages[name]
	return st, ok
}

// Kind returns the kind with the given name.
func (s *Set) Kind(name string) (*Kind, bool) {
	k, ok := s.kinds[name]
	return k, ok
}

// Endpoint returns the endpoint with the given name.
func (s *Set) Endpoint(name string) (*Endpoint, bool) {
	e, ok := s.endpoints[name]
	return e, ok
}

// Organisation returns the organisation with the given name.
func (s *Set) Organisation(name string) (*Organisation, bool) {
	o, ok := s.organisations[name]
	return o, ok
}

// StageNames returns the names of all stages, sorted.
func (s *Set) StageNames() []string { return sortedKeys(s.stages) }

// EndpointNames returns the names of all endpoints, sorted.
func (s *Set) EndpointNames() []string { return sortedKeys(s.endpoints) }

// KindNames returns the names of all kinds, sorted.
func (s *Set) KindNames() []string { return sortedKeys(s.kinds) }

// NumOrganisations returns the number of organisations.
func (s *Set) NumOrganisations() int { return len(s.organisations) }

// Authenticate returns the organisation to which the API key belongs. Keys are
// looked up by their digest, and the digests are compared in constant time.
func (s *Set) Authenticate(key string) (*Organisation, bool) {
	digest := sha256.Sum256([]byte(key))
	o, ok := s.byKeyHash[digest]
	if !ok {
		return nil, false
	}
	for _, keyHash := range o.keyHashes {
		if subtle.ConstantTimeCompare(keyHash[:], digest[:]) == 1 {
			return o, true
		}
	}
	return nil, false
}

// HashKey returns the hash of an API key in the form used in declarations.
func HashKey(key string) string {
	digest := sha256.Sum256([]byte(key))
	return keyHashPrefix + hex.EncodeToString(digest[:])
}
