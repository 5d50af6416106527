// Package route owns the routes, services and organisations of the
// configuration in force, and matches requests to routes.
//
// A Table is immutable: readers keep the one they took, and a change replaces
// the whole table. The package reads no clock and must not decide where a
// request runs.
package route

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request of a route may run.
type Kind uint8

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming responses are series of events. A stream runs at most once
	// unless its route is resumable.
	Streaming
)

type (
	// Target is a service that gets a share of the requests of a route.
	Target struct {
		Service string
		Weight  float64
	}

	// Stage is work that has to be done before a request can run.
	Stage struct {
		Service string
		// DependsOn lists the indexes of the stages whose results it reads.
		DependsOn []int
		// ResultBytes is the approximate size of one result.
		ResultBytes int64
	}

	// Route is one route of a host.
	Route struct {
		Name    string
		Host    string
		Prefix  string
		Kind    Kind
		Timeout time.Duration
		// TargetLatency is the target for the latency of requests, and TargetGap
		// that for the longest pause between two events of a stream.
		TargetLatency time.Duration
		TargetGap     time.Duration
		Priority      int
		Targets       []Target
		MaxAttempts   int
		Stages        []Stage
		// Public is set if requests need no key.
		Public    bool
		Sticky    bool
		Resumable bool
	}

	// EngineConfig describes the servers of a service that are model engines.
	EngineConfig struct {
		Slots int
		// KVTokens is the size of the KV cache of one engine in tokens.
		KVTokens int
		// CopyTTL is how long a moved or backed-up copy is kept.
		CopyTTL time.Duration
		Backups bool
		Moves   bool
	}

	// PieceConfig describes the servers of a service that process pieces of
	// stages.
	PieceConfig struct {
		Slots, MaxQueue, MaxBatch int
		// CallTime is the fixed part of the time of a call, and ItemTime the
		// part for each piece.
		CallTime, ItemTime time.Duration
		// ResultCapacity is how many bytes of results a server keeps, and
		// ResultTTL for how long.
		ResultCapacity int64
		ResultTTL      time.Duration
	}

	// Service is a set of servers.
	Service struct {
		Name       string
		HealthPath string
		MaxConns   int
		// ColdTime is how long a server is slow after its start. ColdRate is the number of
		// requests per second that it tolerates while it is cold; 0 or less means that it is
		// not limited.
		ColdTime time.Duration
		ColdRate float64
		Engine   *EngineConfig
		Pieces   *PieceConfig
	}

	// Limits bounds what a caller may send.
	Limits struct {
		HeaderBytes   int64
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Organisation is an organisation with its keys.
	Organisation struct {
		Name string
		Keys []string
		// Priority takes precedence over that of routes if HasPriority is set.
		Priority    int
		HasPriority bool
	}

	// Table is a validated, immutable configuration. Create one with New.
	Table struct {
		version       int64
		routes        map[string][]*Route
		services      map[string]*Service
		organisations map[[sha256.Size]byte]*Organisation
		requiresKey   bool
		limits        Limits
	}
)

// New returns the table of one version, or an error that says what is invalid.
func New(version int64, routes []Route, services []Service, organisations []Organisation, limits Limits) (*Table, error) {
	t := &Table{
		version: version, limits: limits, requiresKey: len(organisations) > 0,
		routes: make(map[string][]*Route), services: make(map[string]*Service, len(services)),
		organisations: make(map[[sha256.Size]byte]*Organisation),
	}
	for i := range services {
		t.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		r := &routes[i]
		if err := t.validate(r); err != nil {
			return nil, fmt.Errorf("route %q: %w", r.Name, err)
		}
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for host, list := range t.routes {
		byPrefix := make(map[string]*Route, len(list))
		for _, r := range list {
			if other, ok := byPrefix[r.Prefix]; ok {
				return nil, fmt.Errorf("routes %q and %q of host %q have the same prefix %q", other.Name, r.Name, host, r.Prefix)
			}
			byPrefix[r.Prefix] = r
		}
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range organisations {
		for _, key := range organisations[i].Keys {
			t.organisations[sha256.Sum256([]byte(key))] = &organisations[i]
		}
	}
	return t, nil
}

func (t *Table) validate(r *Route) error {
	if len(r.Targets) == 0 {
		return fmt.Errorf("the route has no service")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("prefix %q does not begin and end with a slash", r.Prefix)
	}
	for i, s := range r.Stages {
		if service, ok := t.services[s.Service]; !ok || service.Pieces == nil {
			return fmt.Errorf("stage %d: service %q does not run stages", i, s.Service)
		}
		for _, dep := range s.DependsOn {
			if dep < 0 || dep >= i {
				return fmt.Errorf("stage %d depends on stage %d, which is not an earlier one", i, dep)
			}
		}
	}
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Limits returns the limits of what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Services returns all services in no particular order.
func (t *Table) Services() []*Service {
	out := make([]*Service, 0, len(t.services))
	for _, s := range t.services {
		out = append(out, s)
	}
	return out
}

// Match returns the route of the host with the longest matching path prefix, or
// nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	list, ok := t.routes[host]
	if !ok {
		if h, _, err := net.SplitHostPort(host); err == nil {
			list = t.routes[h]
		}
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RequiresKey reports whether requests of routes that are not public need a key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// Authenticate returns the organisation to which a key belongs.
func (t *Table) Authenticate(key string) (*Organisation, bool) {
	o, ok := t.organisations[sha256.Sum256([]byte(key))]
	return o, ok
}

// ChooseService returns the service for a request, chosen by weight with a
// random number in [0, 1).
func (r *Route) ChooseService(random float64) string {
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	random *= sum
	for _, t := range r.Targets {
		if random < t.Weight {
			return t.Service
		}
		random -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// MayRunAgain reports whether a request of the route may run more than once.
func (r *Route) MayRunAgain() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// FinalStages returns the indexes of the stages that no other stage depends on.
func (r *Route) FinalStages() []int {
	var final []int
	for i := range r.Stages {
		if !slices.ContainsFunc(r.Stages, func(s Stage) bool { return slices.Contains(s.DependsOn, i) }) {
			final = append(final, i)
		}
	}
	return final
}
