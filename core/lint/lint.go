// Package lint checks a configuration before it is put in force, beyond what makes it
// invalid: entries that no request can ever match, limits that contradict each other, and
// what differs from the version in force.
//
// It must not read files or know names of a format: a Problem names its place by the fields
// of this package, and whoever decoded the configuration knows what they are called there.
package lint

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"chervilpath/core/route"
)

type (
	// Config is a decoded configuration of routes. Unlike a route.Table it may be invalid.
	Config struct {
		Version       int64
		Routes        []route.Route
		Services      []route.Service
		Organisations []route.Organisation
		// Servers is the number of servers by service, or nil if it is not known.
		Servers map[string]int
	}

	// Problem is something that is wrong with an entry.
	Problem struct {
		Place    Place
		Severity Severity
		// Message says what is wrong and what would be right.
		Message string
	}

	// Place is a field of an entry. Index is that of the entry in its list, or -1, and
	// Sub that of an element of the field's own list, or -1.
	Place struct {
		List  List
		Index int
		Field Field
		Sub   int
	}

	// Severity says what a problem means.
	Severity uint8

	// List is a list of a configuration.
	List uint8

	// Field is a field of an entry.
	Field uint8
)

// The severities.
const (
	// Error makes the configuration invalid.
	Error Severity = iota
	// Unreachable is an entry that no request can ever match or use.
	Unreachable
	// Contradiction is a limit that another one makes impossible or without effect.
	Contradiction
)

// The lists.
const (
	Whole List = iota
	Routes
	Services
	Organisations
)

// The fields.
const (
	None Field = iota
	Version
	Name
	Host
	Prefix
	Timeout
	TargetLatency
	TargetGap
	Priority
	Target
	TargetWeight
	MaxAttempts
	Stages
	StageInputs
	StageBytes
	Resumable
	MaxConns
	Slots
	KVTokens
	Queue
	Batch
	CallTime
	ResultCapacity
	ResultTTL
	ColdTime
	ColdRate
	Keys
)

var severityNames = [...]string{Error: "error", Unreachable: "unreachable", Contradiction: "contradiction"}

// String returns the severity's name.
func (s Severity) String() string { return severityNames[s] }

// checker collects the problems of a configuration.
type checker struct {
	cfg      Config
	services map[string]*route.Service
	// used are the services that a route sends requests or pieces to.
	used     map[string]bool
	problems []Problem
}

// Check returns the problems of a configuration, in the order of its entries.
func Check(cfg Config) []Problem {
	c := &checker{cfg: cfg, services: make(map[string]*route.Service), used: make(map[string]bool)}
	if cfg.Version <= 0 {
		c.add(Place{Field: Version, Index: -1, Sub: -1}, Error, "%d is not positive; write a number above that of the version in force", cfg.Version)
	}
	for i := range cfg.Services {
		s := &cfg.Services[i]
		if _, ok := c.services[s.Name]; ok {
			c.service(i, Name, Error, "two services are named %q; give each a name of its own", s.Name)
		}
		c.services[s.Name] = s
	}
	for i := range cfg.Routes {
		c.checkRoute(i, &cfg.Routes[i])
	}
	c.checkPrefixes()
	for i := range cfg.Services {
		c.checkService(i, &cfg.Services[i])
	}
	c.checkKeys()
	slices.SortStableFunc(c.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Place.List, b.Place.List), cmp.Compare(a.Place.Index, b.Place.Index))
	})
	return c.problems
}

func (c *checker) add(p Place, s Severity, format string, args ...any) {
	c.problems = append(c.problems, Problem{Place: p, Severity: s, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) route(i int, f Field, s Severity, format string, args ...any) {
	c.add(Place{List: Routes, Index: i, Field: f, Sub: -1}, s, format, args...)
}

func (c *checker) stage(i int, f Field, sub int, s Severity, format string, args ...any) {
	c.add(Place{List: Routes, Index: i, Field: f, Sub: sub}, s, format, args...)
}

func (c *checker) service(i int, f Field, s Severity, format string, args ...any) {
	c.add(Place{List: Services, Index: i, Field: f, Sub: -1}, s, format, args...)
}

func (c *checker) checkRoute(i int, r *route.Route) {
	if r.Name == "" {
		c.route(i, Name, Error, "the route has no name")
	}
	if r.Host == "" {
		c.route(i, Host, Unreachable, "no request has an empty host")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		c.route(i, Prefix, Error, "%q does not begin and end with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# \t\r\n"):
		c.route(i, Prefix, Unreachable, "no path contains what %q has; leave the query, the fragment and white space out", r.Prefix)
	}
	if r.Timeout <= 0 {
		c.route(i, Timeout, Error, "%v is not positive", r.Timeout)
	}
	if r.TargetLatency > r.Timeout && r.Timeout > 0 {
		c.route(i, TargetLatency, Contradiction, "the target of %v is above the timeout of %v; write %v or less", r.TargetLatency, r.Timeout, r.Timeout)
	}
	if r.TargetGap > r.Timeout && r.Timeout > 0 {
		c.route(i, TargetGap, Contradiction, "a pause of %v is above the timeout of %v; write %v or less", r.TargetGap, r.Timeout, r.Timeout)
	}
	if r.MaxAttempts < 1 {
		c.route(i, MaxAttempts, Error, "%d attempts send no request; write 1 or more", r.MaxAttempts)
	}
	if r.Kind == route.Streaming && r.Resumable && r.MaxAttempts == 1 {
		c.route(i, Resumable, Contradiction, "a stream that may be resumed has one attempt, so that it never is; write 2 attempts or more")
	}
	if r.Resumable && r.Kind != route.Streaming {
		c.route(i, Resumable, Contradiction, "only streams are resumed")
	}
	c.checkTargets(i, r)
	c.checkStages(i, r)
}

func (c *checker) checkTargets(i int, r *route.Route) {
	if len(r.Targets) == 0 {
		c.route(i, Target, Error, "the route has no service")
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += max(0, t.Weight)
	}
	for k, t := range r.Targets {
		_, ok := c.services[t.Service]
		switch {
		case !ok:
			c.stage(i, Target, k, Error, "service %q does not exist", t.Service)
		case t.Weight < 0 || math.IsNaN(t.Weight) || math.IsInf(t.Weight, 0):
			c.stage(i, TargetWeight, k, Error, "weight %v is no share", t.Weight)
		case t.Weight == 0 && sum > 0:
			c.stage(i, TargetWeight, k, Unreachable, "service %q gets no request, since its weight is 0", t.Service)
		case c.cfg.Servers != nil && c.cfg.Servers[t.Service] == 0:
			c.stage(i, Target, k, Unreachable, "service %q has no servers", t.Service)
		}
		c.used[t.Service] = true
	}
	if len(r.Targets) > 1 && sum == 0 {
		c.route(i, TargetWeight, Error, "the weights of all services are 0")
	}
}

func (c *checker) checkStages(i int, r *route.Route) {
	// finish is the least time from the request to the end of each stage.
	finish := make([]time.Duration, len(r.Stages))
	longest := time.Duration(0)
	for k, s := range r.Stages {
		c.used[s.Service] = true
		svc, ok := c.services[s.Service]
		if !ok || svc.Pieces == nil {
			c.stage(i, Stages, k, Error, "service %q does not run stages", s.Service)
			continue
		}
		if c.cfg.Servers != nil && c.cfg.Servers[s.Service] == 0 {
			c.stage(i, Stages, k, Unreachable, "service %q has no servers", s.Service)
		}
		begin := time.Duration(0)
		for _, dep := range s.DependsOn {
			if dep < 0 || dep >= k {
				c.stage(i, StageInputs, k, Error, "stage %d is not an earlier one", dep)
				continue
			}
			begin = max(begin, finish[dep])
			input, ok := c.services[r.Stages[dep].Service]
			if ok && input.Pieces != nil && input.Pieces.ResultTTL > 0 && svc.Pieces.CallTime > input.Pieces.ResultTTL {
				c.stage(i, StageInputs, k, Contradiction, "results of stage %d are kept for %v, less than a call of %v that reads them", dep, input.Pieces.ResultTTL, svc.Pieces.CallTime)
			}
		}
		finish[k] = begin + svc.Pieces.CallTime + svc.Pieces.ItemTime
		longest = max(longest, finish[k])
		if svc.Pieces.ResultCapacity > 0 && s.ResultBytes > svc.Pieces.ResultCapacity {
			c.stage(i, StageBytes, k, Contradiction, "a result of %d bytes does not fit into the %d bytes that a server of service %q keeps", s.ResultBytes, svc.Pieces.ResultCapacity, s.Service)
		}
	}
	switch {
	case r.Timeout > 0 && longest >= r.Timeout:
		c.route(i, Timeout, Contradiction, "the stages take %v at least, so no request is answered within the timeout of %v", longest, r.Timeout)
	case r.TargetLatency > 0 && longest >= r.TargetLatency:
		c.route(i, TargetLatency, Contradiction, "the stages take %v at least, so no request meets the target of %v", longest, r.TargetLatency)
	}
}

// checkPrefixes looks for routes that another one of the same host hides.
func (c *checker) checkPrefixes() {
	type key struct{ host, prefix string }
	first := make(map[key]int)
	for i, r := range c.cfg.Routes {
		k := key{strings.ToLower(r.Host), r.Prefix}
		if other, ok := first[k]; ok {
			c.route(i, Prefix, Error, "route %q of the same host has the prefix %q too, so only one of them can match", c.cfg.Routes[other].Name, r.Prefix)
			continue
		}
		first[k] = i
	}
}

func (c *checker) checkService(i int, s *route.Service) {
	if s.Name == "" {
		c.service(i, Name, Error, "the service has no name")
	}
	if !c.used[s.Name] {
		c.service(i, Name, Unreachable, "no route sends anything to service %q", s.Name)
	}
	if e := s.Engine; e != nil {
		if e.Slots < 1 {
			c.service(i, Slots, Error, "an engine with %d slots runs no request; write 1 or more", e.Slots)
		}
		if s.MaxConns > 0 && s.MaxConns < e.Slots {
			c.service(i, MaxConns, Contradiction, "%d connections cannot fill the %d slots of an engine; write %d or more", s.MaxConns, e.Slots, e.Slots)
		}
		if e.KVTokens < 0 {
			c.service(i, KVTokens, Error, "%d tokens are less than none", e.KVTokens)
		}
	}
	if p := s.Pieces; p != nil {
		if p.MaxQueue < 0 {
			c.service(i, Queue, Error, "%d calls that may wait are less than none", p.MaxQueue)
		}
		if p.ResultTTL > 0 && p.ResultTTL < p.CallTime {
			c.service(i, ResultTTL, Contradiction, "results are kept for %v, less than a call of %v", p.ResultTTL, p.CallTime)
		}
		if p.CallTime < 0 || p.ItemTime < 0 {
			c.service(i, CallTime, Error, "a call takes less than no time")
		}
	}
	if s.ColdRate > 0 && s.ColdTime <= 0 {
		c.service(i, ColdRate, Contradiction, "the rate of %v a second never holds, since no server is cold after its start", s.ColdRate)
	}
}

// checkKeys looks for keys that decide nothing.
func (c *checker) checkKeys() {
	holder := make(map[string]int)
	names := make(map[string]bool)
	for i, o := range c.cfg.Organisations {
		place := func(f Field, sub int) Place { return Place{List: Organisations, Index: i, Field: f, Sub: sub} }
		if names[o.Name] {
			c.add(place(Name, -1), Error, "two organisations are named %q", o.Name)
		}
		names[o.Name] = true
		if len(o.Keys) == 0 {
			c.add(place(Keys, -1), Unreachable, "organisation %q has no key, so no request is its own", o.Name)
		}
		for k, key := range o.Keys {
			if key == "" {
				c.add(place(Keys, k), Unreachable, "no request has an empty key")
				continue
			}
			if other, ok := holder[key]; ok && other != i {
				c.add(place(Keys, k), Error, "organisation %q holds this key too", c.cfg.Organisations[other].Name)
			}
			holder[key] = i
		}
	}
}
