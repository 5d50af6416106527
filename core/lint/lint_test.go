package lint_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chervilpath/core/lint"
	"chervilpath/core/route"
)

// sound returns a configuration without problems.
func sound() lint.Config {
	return lint.Config{
		Version: 3,
		Routes: []route.Route{
			{Name: "r-1", Host: "a.example", Prefix: "/x/", Kind: route.Streaming, Resumable: true, Timeout: 5 * time.Second, TargetLatency: time.Second, TargetGap: 300 * time.Millisecond, MaxAttempts: 2,
				Targets: []route.Target{{Service: "llm", Weight: 1}}, Stages: []route.Stage{{Service: "photos", ResultBytes: 1000}, {Service: "photos", DependsOn: []int{0}, ResultBytes: 10}}},
			{Name: "r-2", Host: "a.example", Prefix: "/", Kind: route.NonIdempotent, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "desk", Weight: 1}}},
		},
		Services: []route.Service{
			{Name: "llm", MaxConns: 100, Engine: &route.EngineConfig{Slots: 16, KVTokens: 1000}, ColdTime: time.Second, ColdRate: 15},
			{Name: "photos", Pieces: &route.PieceConfig{Slots: 1, MaxBatch: 8, CallTime: 200 * time.Millisecond, ItemTime: time.Millisecond, ResultCapacity: 1e6, ResultTTL: 4 * time.Second}},
			{Name: "desk"},
		},
		Organisations: []route.Organisation{{Name: "o-1", Keys: []string{"k-1"}}, {Name: "o-2", Keys: []string{"k-2", "k-3"}}},
	}
}

// Guards against a configuration that is put in force though a route can never be used or a
// limit makes another one impossible, and against problems found in a sound one.
func TestCheckFindsEachProblemAtItsPlace(t *testing.T) {
	if got := lint.Check(sound()); len(got) > 0 {
		t.Fatalf("problems in a sound configuration: %v", got)
	}
	at := func(l lint.List, i int, f lint.Field, sub int) lint.Place {
		return lint.Place{List: l, Index: i, Field: f, Sub: sub}
	}
	for name, c := range map[string]struct {
		change   func(c *lint.Config)
		place    lint.Place
		severity lint.Severity
	}{
		"version":              {func(c *lint.Config) { c.Version = 0 }, at(lint.Whole, -1, lint.Version, -1), lint.Error},
		"prefix":               {func(c *lint.Config) { c.Routes[0].Prefix = "x" }, at(lint.Routes, 0, lint.Prefix, -1), lint.Error},
		"prefix with query":    {func(c *lint.Config) { c.Routes[0].Prefix = "/x?y/" }, at(lint.Routes, 0, lint.Prefix, -1), lint.Unreachable},
		"same prefix":          {func(c *lint.Config) { c.Routes[1].Host, c.Routes[1].Prefix = "A.example", "/x/" }, at(lint.Routes, 1, lint.Prefix, -1), lint.Error},
		"target above timeout": {func(c *lint.Config) { c.Routes[1].TargetLatency = 2 * time.Second }, at(lint.Routes, 1, lint.TargetLatency, -1), lint.Contradiction},
		"stages above target":  {func(c *lint.Config) { c.Routes[0].TargetLatency = 400 * time.Millisecond }, at(lint.Routes, 0, lint.TargetLatency, -1), lint.Contradiction},
		"stages above timeout": {func(c *lint.Config) { c.Routes[0].Timeout, c.Routes[0].TargetLatency = 400*time.Millisecond, 0 }, at(lint.Routes, 0, lint.Timeout, -1), lint.Contradiction},
		"resumed never":        {func(c *lint.Config) { c.Routes[0].MaxAttempts = 1 }, at(lint.Routes, 0, lint.Resumable, -1), lint.Contradiction},
		"no attempts":          {func(c *lint.Config) { c.Routes[1].MaxAttempts = 0 }, at(lint.Routes, 1, lint.MaxAttempts, -1), lint.Error},
		"unknown service":      {func(c *lint.Config) { c.Routes[1].Targets[0].Service = "gone" }, at(lint.Routes, 1, lint.Target, 0), lint.Error},
		"weight of 0": {func(c *lint.Config) {
			c.Routes[1].Targets = append(c.Routes[1].Targets, route.Target{Service: "llm"})
		}, at(lint.Routes, 1, lint.TargetWeight, 1), lint.Unreachable},
		"no servers":          {func(c *lint.Config) { c.Servers = map[string]int{"llm": 1, "photos": 1} }, at(lint.Routes, 1, lint.Target, 0), lint.Unreachable},
		"service without use": {func(c *lint.Config) { c.Services = append(c.Services, route.Service{Name: "spare"}) }, at(lint.Services, 3, lint.Name, -1), lint.Unreachable},
		"later stage":         {func(c *lint.Config) { c.Routes[0].Stages[1].DependsOn = []int{1} }, at(lint.Routes, 0, lint.StageInputs, 1), lint.Error},
		"result too large":    {func(c *lint.Config) { c.Routes[0].Stages[0].ResultBytes = 2e6 }, at(lint.Routes, 0, lint.StageBytes, 0), lint.Contradiction},
		"connections":         {func(c *lint.Config) { c.Services[0].MaxConns = 8 }, at(lint.Services, 0, lint.MaxConns, -1), lint.Contradiction},
		"never cold":          {func(c *lint.Config) { c.Services[0].ColdTime = 0 }, at(lint.Services, 0, lint.ColdRate, -1), lint.Contradiction},
		"key of two":          {func(c *lint.Config) { c.Organisations[1].Keys[1] = "k-1" }, at(lint.Organisations, 1, lint.Keys, 1), lint.Error},
		"no key":              {func(c *lint.Config) { c.Organisations[0].Keys = nil }, at(lint.Organisations, 0, lint.Keys, -1), lint.Unreachable},
	} {
		cfg := sound()
		c.change(&cfg)
		got := lint.Check(cfg)
		if !slices.ContainsFunc(got, func(p lint.Problem) bool { return p.Place == c.place && p.Severity == c.severity }) {
			t.Errorf("%s: found %v", name, got)
		}
	}
}

// Guards against a difference that is not shown, or a key that is.
func TestDiffNamesChangedEntries(t *testing.T) {
	decode := func(text string) (v any) {
		if err := json.Unmarshal([]byte(text), &v); err != nil {
			t.Fatal(err)
		}
		return v
	}
	got := lint.Diff(
		decode(`{"version":1,"routes":[{"name":"a","timeoutMs":5},{"name":"b"}],"tenants":[{"name":"o","apiKeys":["secret-1"]}]}`),
		decode(`{"version":2,"routes":[{"name":"c"},{"name":"a","timeoutMs":6}],"tenants":[{"name":"o","apiKeys":["secret-2","secret-3"]}]}`), "name", "apiKeys")
	want := []lint.Change{
		{Path: "routes[a].timeoutMs", Old: "5", New: "6"}, {Path: "routes[b]", Old: `{"name":"b"}`}, {Path: "routes[c]", New: `{"name":"c"}`},
		{Path: "tenants[o].apiKeys", Old: "1 values", New: "2 values"}, {Path: "version", Old: "1", New: "2"},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v", got)
	}
}

// Guards against two different values without a difference, and a difference of equal ones.
func TestDiffIsEmptyForEqualValuesOnly(t *testing.T) {
	value := rapid.Custom(func(t *rapid.T) string {
		return rapid.SampledFrom([]string{`1`, `"x"`, `[1,2]`, `[{"name":"a","v":1}]`, `[{"name":"a","v":2},{"name":"a"}]`, `{"a":{"b":[null]}}`, `null`, `{"a":null}`, `[]`, `{}`}).Draw(t, "value")
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := value.Draw(t, "a"), value.Draw(t, "b")
		var before, after any
		_ = json.Unmarshal([]byte(`{"f":`+a+`}`), &before)
		_ = json.Unmarshal([]byte(`{"f":`+b+`}`), &after)
		if changes := lint.Diff(before, after, "name"); (len(changes) == 0) != (a == b) {
			t.Fatalf("%s and %s differ by %v", a, b, changes)
		}
	})
}
